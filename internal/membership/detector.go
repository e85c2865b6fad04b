package membership

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Timings holds the detector's intervals and timeouts for entries that are watched at one
// pace.
type Timings struct {
	// Period is the interval between two heartbeats.
	Period time.Duration
	// SuspectAfter and DeadAfter count from the last heartbeat received.
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// VouchWithin is the maximum age of the last heartbeat for this entry to vouch for the
	// sender to others.
	VouchWithin time.Duration
}

// InZone suspects an entry after four lost heartbeats, because a busy VM that pauses loses
// one or two several times a day. DeadAfter is long enough that the pauses of a small VM (a
// second) don't move targets back and forth, and short enough that targets are served again
// within a few seconds.
var InZone = Timings{
	Period: 250 * time.Millisecond, SuspectAfter: time.Second,
	DeadAfter: 2500 * time.Millisecond, VouchWithin: 600 * time.Millisecond,
}

// AcrossZones is sparse because nothing that is held moves across zones: the view only
// steers spilled work and resubmissions. In a large fleet it applies to every entry that is
// watched loosely.
var AcrossZones = Timings{
	Period: time.Second, SuspectAfter: 3 * time.Second,
	DeadAfter: 6 * time.Second, VouchWithin: 1500 * time.Millisecond,
}

const (
	// vouchValidity is how long the answer of another entry keeps an unresponsive one from being
	// declared dead. It covers several ticks of the detector and the delay of the query.
	vouchValidity = 1250 * time.Millisecond
	// refutedGrace is how long this entry doesn't declare an entry dead again after that entry
	// has refuted its death, since only the link between the two is broken.
	refutedGrace = 30 * time.Second
	// refusedAfter is how long an entry must be unresponsive before a refused connection proves
	// that its process has ended. It covers a restart of the link alone.
	refusedAfter = 500 * time.Millisecond
	// queryAfter is how long an entry whose machine refuses connections must be unresponsive
	// before others are asked whether they hear it: at least one heartbeat has failed to arrive.
	queryAfter = 350 * time.Millisecond
)

// Pace is how closely an entry is watched.
type Pace uint8

// The paces.
const (
	// Unwatched entries send this entry no heartbeats; other entries report their state.
	Unwatched Pace = iota
	// Loose is the pace of AcrossZones.
	Loose
	// Close uses InZone in the same zone and Options.Across for other zones.
	Close
)

// Change is a change of a member's state or incarnation, for logs and events.
type Change struct {
	Before, After Member
	Cause         string
}

// peerState is the detector's state for one other entry.
type peerState struct {
	Member
	// revision numbers the state changes that the entry announces in this incarnation; see
	// Update.
	revision uint32
	timings  Timings
	pace     Pace
	// watchedSince is when the entry was first watched at its present pace. silenceStart is the
	// earliest time from which its silence counts: watchedSince, or later if this entry was
	// paused or partitioned.
	watchedSince time.Time
	silenceStart time.Time
	lastHeard    time.Time
	lastVouch    time.Time
	// lastQuery is when other entries were last asked whether they hear the watched entry.
	lastQuery time.Time
	// everHeard is set once a heartbeat or another sign of life of this incarnation has been
	// received.
	everHeard bool
	// declaredDead is set while the entry is dead by this entry's own decision.
	declaredDead bool
	// discovered is the incarnation that discovery reported.
	discovered job.Incarnation
}

// Detector decides which entries are alive. It reads no clock and does no I/O: its methods
// take clock readings and return changes. The caller holds a lock.
//
// A watched entry is declared dead only by this entry's own observations: no message arrives
// on the direct link, and no entry that is asked hears it. If only the link between two
// entries is broken, both stay in every entry's view, so that no target gets a second
// holder. For an entry that isn't watched, the reports of its watchers count.
type Detector struct {
	self     Member
	revision uint32
	peers    []*peerState
	byID     map[job.EntryID]*peerState
	// watched lists the peers that are watched, sorted by name.
	watched []*peerState
	version uint64
	// sparse is set while only some of the peers are watched.
	sparse bool
	// acrossZones applies to entries of other zones that are watched closely.
	acrossZones Timings
	// everHeardAny is set once any other entry has been heard. isolatedSince is when this entry
	// became isolated, or zero while it isn't.
	everHeardAny  bool
	isolatedSince time.Time
}

// NewDetector returns a detector that suspects every configured entry: each may be alive
// until its silence lasts too long.
func NewDetector(now time.Time, self job.Owner, peers []Peer) *Detector {
	d := &Detector{
		self:    Member{Entry: self.Entry, Zone: self.Zone, Incarnation: self.Incarnation, State: Alive, Since: now},
		version: 1, acrossZones: AcrossZones, byID: map[job.EntryID]*peerState{},
	}
	for _, p := range peers {
		d.Add(now, p)
	}
	return d
}

// Add starts to watch another entry, which is suspect until it is heard. In a large fleet, Add
// doesn't watch the entry, and considers it alive until another entry reports otherwise. For a
// known entry, Add only updates its attributes and, if the entry isn't watched, a later
// incarnation.
func (d *Detector) Add(now time.Time, p Peer) []Change {
	if p.Entry == d.self.Entry {
		d.updateAttributes(&d.self, p)
		return nil
	}
	if known := d.peer(p.Entry); known != nil {
		d.updateAttributes(&known.Member, p)
		known.discovered = max(known.discovered, p.Incarnation)
		if known.pace != Unwatched || p.Incarnation <= known.Incarnation {
			return nil
		}
		known.everHeard, known.declaredDead, known.revision = false, false, 0
		return d.setState(known, now, Alive, p.Incarnation, "a later incarnation was discovered", nil)
	}
	timings := d.acrossZones
	if p.Zone == d.self.Zone {
		timings = InZone
	}
	added := &peerState{
		Member:  Member{Entry: p.Entry, Zone: p.Zone, State: Suspect, Since: now, Reserve: p.Reserve, Carries: p.Carries, Capacity: p.Capacity},
		timings: timings, watchedSince: now, silenceStart: now, discovered: p.Incarnation,
	}
	d.peers = append(d.peers, added)
	d.byID[p.Entry] = added
	if d.sparse {
		added.State, added.Incarnation = Alive, p.Incarnation // until another entry reports otherwise
	} else {
		added.pace = Close
		d.watched = append(d.watched, added)
	}
	d.version++
	return nil
}

// updateAttributes applies the attributes that a known entry announces.
func (d *Detector) updateAttributes(m *Member, p Peer) {
	if m.Reserve == p.Reserve && m.Carries == p.Carries && m.Capacity == p.Capacity {
		return
	}
	m.Reserve, m.Carries, m.Capacity = p.Reserve, p.Carries, p.Capacity
	d.version++
}

// Remove deletes an entry that has left the fleet permanently.
func (d *Detector) Remove(id job.EntryID) {
	if d.byID[id] == nil {
		return
	}
	matches := func(p *peerState) bool { return p.Entry == id }
	d.peers = slices.DeleteFunc(d.peers, matches)
	d.watched = slices.DeleteFunc(d.watched, matches)
	delete(d.byID, id)
	d.version++
}

func (d *Detector) peer(id job.EntryID) *peerState {
	return d.byID[id]
}

// setState sets a member's state and incarnation and appends the change.
func (d *Detector) setState(p *peerState, now time.Time, s State, incarnation job.Incarnation, cause string, changes []Change) []Change {
	if p.State == s && p.Incarnation == incarnation {
		return changes
	}
	before := p.Member
	p.State, p.Incarnation, p.Since = s, incarnation, now
	d.version++
	return append(changes, Change{Before: before, After: p.Member, Cause: cause})
}

// timingsOf returns the timings that apply to the entry at its present pace.
func (p *peerState) timingsOf() Timings {
	if p.pace == Loose {
		return AcrossZones
	}
	return p.timings
}

// silentFor returns how long the entry has been unresponsive while it was watched.
func (p *peerState) silentFor(now time.Time) time.Duration {
	last := p.lastHeard
	if p.silenceStart.After(last) {
		last = p.silenceStart
	}
	return now.Sub(last)
}

// canVouch reports whether the entry was heard recently enough to vouch for it.
func (p *peerState) canVouch(now time.Time) bool {
	return p.everHeard && p.State != Left && now.Sub(p.lastHeard) <= p.timingsOf().VouchWithin
}

// HeartbeatResult is the result of a received heartbeat.
type HeartbeatResult struct {
	Changes []Change
	// News is set if other entries may not know the sender's state yet.
	News bool
	// Wronged is set if the sender is considered dead and has to refute it.
	Wronged bool
}

// ApplyHeartbeat applies a heartbeat. A heartbeat of an incarnation earlier than the known one
// comes from a process that has ended and is ignored.
func (d *Detector) ApplyHeartbeat(now time.Time, from job.Owner, state State, revision uint32) HeartbeatResult {
	p := d.peer(from.Entry)
	if p == nil || from.Incarnation < p.Incarnation {
		return HeartbeatResult{}
	}
	same := from.Incarnation == p.Incarnation
	if p.State == Left && same {
		return HeartbeatResult{}
	}
	p.lastHeard, p.everHeard, d.everHeardAny = now, true, true
	if same && revision < p.revision && p.State != Dead {
		return HeartbeatResult{} // overtaken by a later revision
	}
	h := HeartbeatResult{Wronged: same && p.State == Dead && revision <= p.revision}
	h.News = !h.Wronged && (!same || revision > p.revision)
	if !same || revision > p.revision {
		p.revision = revision
	}
	p.declaredDead = false
	h.Changes = d.setState(p, now, state, from.Incarnation, "heartbeat", nil)
	return h
}

// Touch treats a message other than a heartbeat as a sign of life. It keeps the state that
// the incarnation has announced, and marks the incarnation alive if it has announced none or
// is suspected or considered dead.
func (d *Detector) Touch(now time.Time, from job.Owner) HeartbeatResult {
	p := d.peer(from.Entry)
	if p == nil || from.Incarnation < p.Incarnation {
		return HeartbeatResult{}
	}
	state, revision := p.State, p.revision
	if from.Incarnation > p.Incarnation {
		revision = 0
	}
	if !p.everHeard || from.Incarnation > p.Incarnation || p.State == Suspect || p.State == Dead {
		state = Alive
	}
	return d.ApplyHeartbeat(now, from, state, revision)
}

// Vouch records that the entry by has answered that it hears an incarnation.
func (d *Detector) Vouch(now time.Time, by job.EntryID, owner job.Owner) []Change {
	p := d.peer(owner.Entry)
	if p == nil || owner.Incarnation < p.Incarnation || p.State == Left && owner.Incarnation == p.Incarnation {
		return nil
	}
	p.lastVouch = now
	if owner.Incarnation > p.Incarnation {
		return d.setState(p, now, Suspect, owner.Incarnation, fmt.Sprintf("a later incarnation is heard by %s", by), nil)
	}
	if p.State == Dead {
		return d.setState(p, now, Suspect, p.Incarnation, fmt.Sprintf("heard by %s", by), nil)
	}
	return nil
}

// Watch sets the pace at which each entry is watched; entries missing from paces aren't
// watched. sparse is set if paces covers only a part of the fleet.
func (d *Detector) Watch(now time.Time, paces map[job.EntryID]Pace, sparse bool) {
	d.sparse = sparse
	for _, p := range d.watched {
		if paces[p.Entry] != Unwatched {
			continue
		}
		p.pace = Unwatched
		if p.State == Suspect {
			// No entry reports it dead, and its heartbeats are no longer expected here.
			_ = d.setState(p, now, Alive, max(p.Incarnation, p.discovered), "", nil)
		}
	}
	d.watched = d.watched[:0]
	for id, pace := range paces {
		p := d.peer(id)
		if p == nil || pace == Unwatched {
			continue
		}
		if pace > p.pace {
			p.watchedSince, p.silenceStart = now, now // no heartbeats at this pace were requested before
		}
		p.pace = pace
		d.watched = append(d.watched, p)
	}
	slices.SortFunc(d.watched, func(a, b *peerState) int { return cmp.Compare(a.Entry, b.Entry) })
}

// DiscountPause records that this entry was paused. Missing messages of others don't count for
// the duration of the pause.
func (d *Detector) DiscountPause(now time.Time, gap time.Duration) {
	for _, p := range d.watched {
		last := now.Add(-p.silentFor(now))
		p.silenceStart = last.Add(min(gap, now.Sub(last)))
	}
}

// QuerySubjects lists the members whose state other entries are to be asked about now.
func (d *Detector) QuerySubjects(now time.Time, refused func(job.EntryID) bool) []Member {
	var out []Member
	for _, p := range d.watched {
		if p.State == Left || p.State == Dead {
			continue
		}
		silent := p.silentFor(now)
		if silent > p.timingsOf().SuspectAfter || silent > queryAfter && refused(p.Entry) {
			out = append(out, p.Member)
		}
	}
	return out
}

// RecordQuery records that other entries were asked whether they hear an entry.
func (d *Detector) RecordQuery(now time.Time, id job.EntryID) {
	if p := d.peer(id); p != nil {
		p.lastQuery = now
	}
}

// Tick declares entries suspect or dead whose silence exceeds their timeouts. refused
// reports whether an entry's machine refuses connections, which proves that the process
// isn't running.
func (d *Detector) Tick(now time.Time, refused func(job.EntryID) bool) []Change {
	var changes []Change
	for _, p := range d.watched {
		t := p.timingsOf()
		silent := p.silentFor(now)
		vouched := now.Sub(p.lastVouch) <= vouchValidity
		switch {
		case p.State == Left, p.State == Dead:
		case silent > refusedAfter && !vouched && p.lastQuery.After(now.Add(-silent)) && refused(p.Entry):
			changes = d.declareDead(p, now, "its machine refuses connections", changes)
		case silent > t.DeadAfter && !vouched:
			changes = d.declareDead(p, now, fmt.Sprintf("silent for %s and heard by nobody", silent), changes)
		case silent > t.SuspectAfter && p.State == Alive:
			changes = d.setState(p, now, Suspect, p.Incarnation, fmt.Sprintf("silent for %s", silent), changes)
		}
	}
	return changes
}

func (d *Detector) declareDead(p *peerState, now time.Time, cause string, changes []Change) []Change {
	p.declaredDead = true
	return d.setState(p, now, Dead, p.Incarnation, cause, changes)
}

// Declare sets this entry's own state.
func (d *Detector) Declare(now time.Time, s State) {
	if d.self.State != s {
		d.self.State, d.self.Since = s, now
		d.revision++
		d.version++
	}
}

// CanVouch reports whether this entry hears an incarnation well enough to vouch for it.
func (d *Detector) CanVouch(now time.Time, owner job.Owner) bool {
	p := d.peer(owner.Entry)
	return p != nil && p.Incarnation == owner.Incarnation && p.canVouch(now)
}

// Members returns the current view.
func (d *Detector) Members(refused func(job.EntryID) bool) *Members {
	m := &Members{Version: d.version, Self: d.self}
	m.List = append(m.List, d.self)
	for _, p := range d.peers {
		m.List = append(m.List, p.Member)
	}
	m.sort()
	m.Isolated = d.isolated(refused)
	return m
}

// hasZoneMate reports whether another entry is configured in this entry's zone.
func (d *Detector) hasZoneMate() bool {
	return slices.ContainsFunc(d.peers, func(p *peerState) bool { return p.Zone == d.self.Zone })
}

// isolated reports whether this entry is likely partitioned: it has heard others in this
// incarnation, hears none of those that it watches now, and not all of them have provably
// ended. With only one other entry in the whole fleet, a partition can't be told from the
// other's death, and continuing to serve is worth more. The only entry of its zone isn't
// isolated either: no other entry there could have taken over its work, and a partitioned
// zone has to keep serving.
func (d *Detector) isolated(refused func(job.EntryID) bool) bool {
	const minPeers = 2
	if len(d.peers) < minPeers {
		return false
	}
	// In a large fleet, the watched entries may have changed since others were heard.
	heardAny, unreachable := d.everHeardAny, false
	for _, p := range d.watched {
		// An entry that hasn't been heard since it is watched may be as unreachable as the rest.
		if (p.State == Alive || p.State == Draining) && p.lastHeard.After(p.watchedSince) {
			return false
		}
		unreachable = unreachable || (p.everHeard || d.sparse) && p.State != Left && !refused(p.Entry)
	}
	return heardAny && unreachable && d.hasZoneMate()
}

// UpdateIsolation records when this entry became isolated. Once it hears others again, it
// reverts the deaths that it declared meanwhile to suspect, because it was this entry that was
// partitioned. Entries that aren't watched revert to alive.
func (d *Detector) UpdateIsolation(now time.Time, refused func(job.EntryID) bool) []Change {
	isolated := d.isolated(refused)
	switch {
	case isolated && d.isolatedSince.IsZero():
		d.isolatedSince = now
	case !isolated && !d.isolatedSince.IsZero():
		since := d.isolatedSince
		d.isolatedSince = time.Time{}
		return d.retractDeaths(now, since)
	}
	return nil
}

func (d *Detector) retractDeaths(now, since time.Time) []Change {
	var changes []Change
	for _, p := range d.peers {
		if p.declaredDead && p.State == Dead && !p.Since.Before(since) {
			p.declaredDead, p.silenceStart = false, now
			state := Suspect
			if p.pace == Unwatched {
				state = Alive
			}
			changes = d.setState(p, now, state, p.Incarnation, "declared dead while this entry was partitioned", changes)
		}
	}
	return changes
}
