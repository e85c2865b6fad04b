package membership

import (
	"fmt"
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
)

// Timings are the detector's figures for entries at one distance.
type Timings struct {
	// Period is the time between two heartbeats.
	Period time.Duration
	// SuspectAfter and DeadAfter count from the last heartbeat that was heard.
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// VouchWithin is how old the last heartbeat may be for this entry to tell
	// others that it hears the sender.
	VouchWithin time.Duration
}

// InZone suspects after four lost heartbeats: one or two are lost to a pause
// of a busy VM several times a day. Death is declared late enough that the
// pauses of a small VM (a second) don't move targets to and fro, and early
// enough that targets are served again within a few seconds.
var InZone = Timings{
	Period: 250 * time.Millisecond, SuspectAfter: time.Second,
	DeadAfter: 2500 * time.Millisecond, VouchWithin: 600 * time.Millisecond,
}

// AcrossZones is sparse, since nothing that is held moves across zones: the
// view only steers spilled work and resubmissions.
var AcrossZones = Timings{
	Period: time.Second, SuspectAfter: 3 * time.Second,
	DeadAfter: 6 * time.Second, VouchWithin: 1500 * time.Millisecond,
}

const (
	// vouchHold is how long another entry's word keeps a silent one from being
	// declared dead: the longest period of heartbeats and a delay.
	vouchHold = 1250 * time.Millisecond
	// refusedAfter is how long an entry must be silent before a refused
	// connection proves that its process has ended. It covers a restart of the
	// link alone.
	refusedAfter = 500 * time.Millisecond
)

// Change is one member whose state or life changed, for logs and events.
type Change struct {
	Before, After Member
	Cause         string
}

// peerState is what the detector knows of one other entry.
type peerState struct {
	Member
	timings Timings
	heard   time.Time
	vouched time.Time
	// met is set once a heartbeat of any life was heard.
	met bool
}

// Detector decides which entries are alive. It is pure: readings and times in,
// changes out; its owner holds a lock.
//
// An entry is declared dead only by what this entry knows itself: silence on
// the direct way and no other entry that hears it. Hearsay never kills, it only
// keeps alive. Where only the way between two entries is broken, both stay in
// everybody's view, so that no target gets a second holder.
type Detector struct {
	self    Member
	peers   []*peerState
	byName  map[job.EntryID]*peerState
	version uint64
	// across is how entries of other zones are watched.
	across Timings
}

// NewDetector starts with each configured entry under suspicion: it counts as
// one that may be alive until its silence lasts.
func NewDetector(now time.Time, self job.Owner, peers []Peer) *Detector {
	d := &Detector{
		self:    Member{Entry: self.Entry, Zone: self.Zone, Incarnation: self.Incarnation, State: Alive, Since: now},
		version: 1, across: AcrossZones, byName: map[job.EntryID]*peerState{},
	}
	for _, p := range peers {
		d.Add(now, p)
	}
	return d
}

// Add watches one more entry from now on, under suspicion until it is heard. A
// known one only takes over what it holds.
func (d *Detector) Add(now time.Time, p Peer) {
	if p.Entry == d.self.Entry {
		d.describe(&d.self, p)
		return
	}
	if known := d.peer(p.Entry); known != nil {
		d.describe(&known.Member, p)
		return
	}
	timings := d.across
	if p.Zone == d.self.Zone {
		timings = InZone
	}
	added := &peerState{
		Member:  Member{Entry: p.Entry, Zone: p.Zone, State: Suspect, Since: now, Reserve: p.Reserve, Carries: p.Carries},
		timings: timings, heard: now,
	}
	d.peers = append(d.peers, added)
	d.byName[p.Entry] = added
	d.version++
}

// describe takes over what a known entry says of itself.
func (d *Detector) describe(m *Member, p Peer) {
	if m.Reserve == p.Reserve && m.Carries == p.Carries {
		return
	}
	m.Reserve, m.Carries = p.Reserve, p.Carries
	d.version++
}

// Remove forgets an entry that is gone for good.
func (d *Detector) Remove(id job.EntryID) {
	for i, p := range d.peers {
		if p.Entry == id {
			d.peers = slices.Delete(d.peers, i, i+1)
			delete(d.byName, id)
			d.version++
			return
		}
	}
}

func (d *Detector) peer(id job.EntryID) *peerState {
	return d.byName[id]
}

// set moves a member to a state and notes the change.
func (d *Detector) set(p *peerState, now time.Time, s State, life job.Incarnation, cause string, changes []Change) []Change {
	if p.State == s && p.Incarnation == life {
		return changes
	}
	before := p.Member
	p.State, p.Incarnation, p.Since = s, life, now
	d.version++
	return append(changes, Change{Before: before, After: p.Member, Cause: cause})
}

// Hear takes a heartbeat. Heartbeats of a life earlier than the known one are
// of a process that has ended and say nothing.
func (d *Detector) Hear(now time.Time, from job.Owner, said State, hears []Heard) []Change {
	p := d.peer(from.Entry)
	if p == nil || from.Incarnation < p.Incarnation {
		return nil
	}
	if p.State == Left && from.Incarnation == p.Incarnation {
		return nil
	}
	p.heard, p.met = now, true
	changes := d.set(p, now, said, from.Incarnation, "heartbeat", nil)
	for _, h := range hears {
		changes = d.vouch(now, from.Entry, h, changes)
	}
	return changes
}

// Touch takes another message than a heartbeat for a sign of life. It says nothing of
// the state of a life that has told it, and makes one alive that has not yet.
func (d *Detector) Touch(now time.Time, from job.Owner) []Change {
	p := d.peer(from.Entry)
	if p == nil || from.Incarnation < p.Incarnation {
		return nil
	}
	said := p.State
	if !p.met || from.Incarnation > p.Incarnation || p.State == Suspect || p.State == Dead {
		said = Alive
	}
	return d.Hear(now, from, said, nil)
}

// vouch takes another entry's word that it hears somebody.
func (d *Detector) vouch(now time.Time, by job.EntryID, h Heard, changes []Change) []Change {
	p := d.peer(h.Entry)
	if p == nil || h.Incarnation < p.Incarnation || p.State == Left && h.Incarnation == p.Incarnation {
		return changes
	}
	p.vouched = now
	if h.Incarnation > p.Incarnation {
		return d.set(p, now, Suspect, h.Incarnation, fmt.Sprintf("%s hears a new life", by), changes)
	}
	if p.State == Dead {
		return d.set(p, now, Suspect, p.Incarnation, fmt.Sprintf("%s hears it", by), changes)
	}
	return changes
}

// stretched is a time of a small fleet in this one.
func (d *Detector) stretched(t time.Duration) time.Duration {
	return peer.Stretched(t, len(d.peers))
}

// fullPacePeers returns whom this entry watches at the full pace also in a large fleet: if it
// has a disk, the others that have one, unless they are as many as a full-paced fleet.
// A lost voter has to be replaced within seconds, however large the fleet.
func (d *Detector) fullPacePeers() map[job.EntryID]bool {
	if !d.self.Reserve || len(d.peers) <= peer.FullPace {
		return nil
	}
	disks := map[job.EntryID]bool{}
	for _, p := range d.peers {
		if p.Reserve {
			disks[p.Entry] = true
		}
	}
	if len(disks) > peer.FullPace {
		return nil
	}
	return disks
}

// Tick declares what silence has made certain. refused reports whether
// connections to an entry are refused by its machine, which proves that the
// process does not run.
func (d *Detector) Tick(now time.Time, refused func(job.EntryID) bool) []Change {
	var changes []Change
	fullPace := d.fullPacePeers()
	for _, p := range d.peers {
		stretched := d.stretched
		if fullPace[p.Entry] {
			stretched = func(t time.Duration) time.Duration { return t }
		}
		silent := now.Sub(p.heard)
		vouched := now.Sub(p.vouched) <= stretched(vouchHold)
		switch {
		case p.State == Left, p.State == Dead:
		case silent > refusedAfter && !vouched && refused(p.Entry):
			changes = d.set(p, now, Dead, p.Incarnation, "its machine refuses connections", changes)
		case silent > stretched(p.timings.DeadAfter) && !vouched:
			changes = d.set(p, now, Dead, p.Incarnation, fmt.Sprintf("silent for %s and heard by nobody", silent), changes)
		case silent > stretched(p.timings.SuspectAfter) && p.State == Alive:
			changes = d.set(p, now, Suspect, p.Incarnation, fmt.Sprintf("silent for %s", silent), changes)
		}
	}
	return changes
}

// Declare sets this entry's own state.
func (d *Detector) Declare(now time.Time, s State) {
	if d.self.State != s {
		d.self.State, d.self.Since = s, now
		d.version++
	}
}

// Hears lists the entries that this one hears well enough to vouch for.
func (d *Detector) Hears(now time.Time, linked func(job.EntryID) bool) []Heard {
	var hears []Heard
	for _, p := range d.peers {
		if p.met && p.State != Left && now.Sub(p.heard) <= d.stretched(p.timings.VouchWithin) && linked(p.Entry) {
			hears = append(hears, Heard{Entry: p.Entry, Incarnation: p.Incarnation})
		}
	}
	return hears
}

// Members returns the present view.
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

// hasZoneMate reports whether another entry is configured in this one's zone.
func (d *Detector) hasZoneMate() bool {
	for _, p := range d.peers {
		if p.Zone == d.self.Zone {
			return true
		}
	}
	return false
}

// isolated reports whether this entry was cut off: it has heard others in this
// life, hears none now, and not all of them provably ended. With one other
// entry in the whole fleet nothing tells a cut from the other's death, and
// going on is worth more. Nor is an entry isolated that is the only one of its
// zone: no other entry there could have taken its work over, and a zone that is
// cut off has to go on serving.
func (d *Detector) isolated(refused func(job.EntryID) bool) bool {
	const fewest = 2
	if len(d.peers) < fewest || !d.hasZoneMate() {
		return false
	}
	met, away := false, false
	for _, p := range d.peers {
		if p.State == Alive || p.State == Draining {
			return false
		}
		met = met || p.met
		away = away || p.met && p.State != Left && !refused(p.Entry)
	}
	return met && away
}
