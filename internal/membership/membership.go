// Package membership maintains each entry's view of the others. In a small fleet all entries
// exchange heartbeats: frequently inside an availability zone, less often across zones. In a
// large fleet each entry watches a few others (package watch) and those with which it shares
// work, and reports what it detects to the rest.
//
// Entries die, restart, are partitioned for long or are paused by a busy VM, while each zone
// has to keep serving. Without a shared view, a dead entry's targets would stay unserved,
// and an entry that returns would act on outdated state. InZone and AcrossZones hold the
// intervals and document their reasons; measured bytes are in docs/design/20-membership.md.
//
// Heartbeats also carry data that would otherwise need separate messages: the number and
// digest of the configuration, and the loads of the sender's targets.
package membership

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/policy/watch"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
	"github.com/vanillagrade/vanillagrade/internal/vmclock"
)

// Peer is a known entry.
type Peer struct {
	Entry job.EntryID
	Zone  job.Zone
	// Reserve is set for an entry that holds targets only while no other entry of its zone can.
	Reserve bool
	// Carries is how many targets the entry can hold; zero if it reports no limit.
	Carries int
	// Capacity is the same where VMs state different capacities; zero if it is not stated.
	Capacity int
	// Incarnation is the incarnation that discovery reported; zero for an entry that is named in
	// the settings.
	Incarnation job.Incarnation
}

// Config is the configuration whose number and digest heartbeats carry.
type Config interface {
	Summary() (number uint64, digest string)
	// Observe receives another entry's number and digest. It must not block.
	Observe(from job.EntryID, number uint64, digest string)
}

// Options configures a Membership.
type Options struct {
	Mesh   peer.Mesh
	Peers  []Peer
	Log    *slog.Logger
	Events timeline.Sink
	Config Config
	// Loads returns the loads of the targets that this entry holds.
	Loads func() []job.HolderLoad
	// Refused reports whether an entry's machine refuses connections. May be nil.
	Refused func(job.EntryID) bool
	// KeepLinks receives the entries to which links are to be kept up; nil means all. May be nil.
	KeepLinks func([]job.EntryID)
	// Loaded receives the loads of other holders as they arrive. May be nil.
	Loaded func([]Load)
	// Compare is called with an entry whose list of the fleet differs from this one's, to compare
	// the lists. It must not block. May be nil.
	Compare func(job.EntryID)
	// Busy lists the entries that share transient work with this one: work that ends when
	// either entry is unresponsive. May be nil.
	Busy func() []job.EntryID
	// Across holds the timings for entries of other zones; the zero value means AcrossZones.
	Across Timings
	// Now is the clock whose readings other entries echo; nil means time.Now.
	Now func() time.Time
	// Proved is called with a time at which another entry was certainly alive: that entry has
	// echoed the clock reading that this entry made at that time. May be nil.
	Proved func(owner job.Owner, at time.Time)
	// MayProve reports whether this entry may prove to another one that this entry continues to
	// act for its callers; nil means always.
	MayProve func(to job.EntryID) bool
}

// Load is one holder's load and the age of the report.
type Load struct {
	job.HolderLoad
	Age time.Duration
	// Direct is set if the holder itself has just sent the report. Its reports arrive in the
	// order in which they were made, and none twice.
	Direct bool
}

// Membership is this entry's view of the others.
type Membership struct {
	opts Options
	view atomic.Pointer[Members]
	// changed wakes Run after the view has changed.
	changed chan struct{}

	mu        sync.Mutex
	detector  *Detector
	loads     map[job.EntryID]loadReport
	callbacks []func(Members)
	// sent is when the last heartbeat went to each entry, and sentLoadsVersion is the version of
	// this entry's loads that it carried.
	sent             map[job.EntryID]time.Time
	sentLoadsVersion map[job.EntryID]uint64
	lastLoads        []job.HolderLoad
	loadsVersion     uint64
	// holdsAny is set while this entry holds targets.
	holdsAny bool
	// watchSet holds the entries that this one watches because of their position, and zoneMates
	// the other entries of its zone, both computed at chosenVersion of the view. requests holds
	// the heartbeat requests of other entries.
	watchSet      watch.Set
	zoneMates     []*peerState
	chosenVersion uint64
	requests      map[job.EntryID]heartbeatRequest
	// keptLinks is the list last passed to Options.KeepLinks.
	keptLinks []job.EntryID
	// configNumbers is the number of the configuration that each entry last reported.
	configNumbers map[job.EntryID]uint64
	// pendingUpdates holds the entries whose state is to be sent to the neighbours.
	pendingUpdates map[job.EntryID]bool
	// lastTick is the time of the last tick; queryCount counts queries to select witnesses in
	// turn.
	lastTick   time.Time
	queryCount int
	// cachedDigest is the digest at digestVersion of the view; differsSince is when the digest
	// of each neighbour began to differ; lastCompared is when lists were last compared.
	cachedDigest, digestVersion uint64
	differsSince                map[job.EntryID]time.Time
	lastCompared                time.Time
	// timestamps makes this entry's clock readings; readings holds the last reading of each other
	// entry.
	timestamps vmclock.TimestampCodec
	readings   map[job.EntryID]clockReading
}

// loadReport is the last report of an entry's loads.
type loadReport struct {
	at   time.Time
	list []job.HolderLoad
}

// New returns a membership whose view holds all peers as suspects.
func New(o Options) *Membership {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Events == nil {
		o.Events = timeline.Discard{}
	}
	if o.Loads == nil {
		o.Loads = func() []job.HolderLoad { return nil }
	}
	if o.Refused == nil {
		o.Refused = func(job.EntryID) bool { return false }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Proved == nil {
		o.Proved = func(job.Owner, time.Time) {}
	}
	m := &Membership{
		timestamps: vmclock.NewTimestampCodec(o.Now()), readings: map[job.EntryID]clockReading{},
		opts: o, changed: make(chan struct{}, 1), loads: map[job.EntryID]loadReport{},
		sent: map[job.EntryID]time.Time{}, sentLoadsVersion: map[job.EntryID]uint64{},
		requests: map[job.EntryID]heartbeatRequest{}, configNumbers: map[job.EntryID]uint64{}, pendingUpdates: map[job.EntryID]bool{}, differsSince: map[job.EntryID]time.Time{},
		detector: NewDetector(time.Now(), o.Mesh.Self(), o.Peers),
	}
	if o.Across != (Timings{}) {
		m.detector.acrossZones = o.Across
		for _, p := range m.detector.peers {
			if p.Zone != o.Mesh.Self().Zone {
				p.timings = o.Across
			}
		}
	}
	m.chooseWatchSet()
	m.view.Store(m.detector.Members(o.Refused))
	o.Mesh.HandleInOrder(peer.Heartbeat, m.handleHeartbeat)
	o.Mesh.HandleInOrder(peer.MemberUpdates, m.handleUpdates)
	o.Mesh.Handle(peer.MemberAsk, m.handleQuery)
	return m
}

// View returns the current view.
func (m *Membership) View() Members { return *m.view.Load() }

// Add adds entries or updates known ones.
func (m *Membership) Add(peers ...Peer) {
	now := time.Now()
	var changes []Change
	m.mu.Lock()
	for _, p := range peers {
		changes = append(changes, m.detector.Add(now, p)...)
	}
	grown := m.watchSet.All && len(m.detector.peers) > watch.WatchAllMax
	m.publish()
	m.mu.Unlock()
	m.reportChanges(changes)
	if grown {
		m.refreshWatched(now)
	}
}

// Remove deletes an entry that has left the fleet permanently.
func (m *Membership) Remove(id job.EntryID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.Remove(id)
	delete(m.loads, id)
	delete(m.sent, id)
	delete(m.sentLoadsVersion, id)
	delete(m.readings, id)
	delete(m.requests, id)
	delete(m.configNumbers, id)
	delete(m.differsSince, id)
	m.publish()
}

// OnChange adds a function that receives each new view, in order, from one goroutine. It must
// be called before Run.
func (m *Membership) OnChange(f func(Members)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.callbacks = append(m.callbacks, f)
}

// Holder returns the entry of this zone that holds a target.
func (m *Membership) Holder(target job.TargetID) job.EntryID {
	return m.HolderOf(m.opts.Mesh.Self().Zone, target)
}

// HolderOf returns the entry of a zone that holds a target, or an empty ID if there is none.
func (m *Membership) HolderOf(zone job.Zone, target job.TargetID) job.EntryID {
	return m.view.Load().Holder(zone, target)
}

// Gone reports whether the incarnation of an entry has ended in this entry's view.
func (m *Membership) Gone(entry job.EntryID, incarnation job.Incarnation) bool {
	return m.view.Load().Gone(entry, incarnation)
}

// Heard reports whether a heartbeat or another sign of life of an entry's present incarnation
// has arrived.
func (m *Membership) Heard(entry job.EntryID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.detector.peer(entry)
	return p != nil && p.everHeard
}

// Silent returns how long ago an incarnation of an entry was last heard. For an incarnation
// other than the latest known one, one that has left, or an unknown entry, it returns the
// maximum duration.
func (m *Membership) Silent(entry job.EntryID, incarnation job.Incarnation) time.Duration {
	const forever = time.Duration(1<<63 - 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.detector.peer(entry)
	if p == nil || p.Incarnation != incarnation || p.State == Left {
		return forever
	}
	return time.Since(p.lastHeard)
}

// Touch records a sign of life other than a heartbeat, such as work that an entry handed
// over. Otherwise the entry would count as unresponsive between two heartbeats of a large
// fleet.
func (m *Membership) Touch(from job.Owner) {
	m.mu.Lock()
	result := m.detector.Touch(time.Now(), from)
	refutable := m.applyHeartbeatResult(from, result)
	m.publish()
	m.mu.Unlock()
	m.reportChanges(result.Changes)
	if refutable != nil {
		m.requestRefutation(*refutable)
	}
}

// applyHeartbeatResult queues the update that a sign of life brought. It returns the update
// that the sender has to refute, or nil if there is none. The caller holds the lock.
func (m *Membership) applyHeartbeatResult(from job.Owner, result HeartbeatResult) *Update {
	if m.watchSet.All {
		return nil
	}
	if result.News {
		m.queueUpdates(from.Entry)
	}
	if !result.Wronged {
		return nil
	}
	u, _ := m.detector.update(from.Entry)
	u.State = Dead
	return &u
}

// Run sends heartbeats and evaluates those of others until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	tick := time.NewTicker(InZone.Period)
	defer tick.Stop()
	m.refreshWatched(time.Now())
	m.sendDue(time.Now(), true)
	seen := uint64(0)
	for {
		seen = m.notify(seen)
		select {
		case <-ctx.Done():
			return nil
		case <-m.changed:
		case <-tick.C:
			now := time.Now()
			m.tick(now)
			m.sendDue(now, false)
		}
	}
}

// notify passes a new view to the callbacks and returns the version that they have seen.
func (m *Membership) notify(seen uint64) uint64 {
	view := m.view.Load()
	if view.Version == seen {
		return seen
	}
	m.mu.Lock()
	callbacks := m.callbacks
	m.mu.Unlock()
	for _, f := range callbacks {
		f(*view)
	}
	return view.Version
}

// pauseThreshold is the gap between two ticks above which this entry must have been paused
// and may have missed messages of others.
const pauseThreshold = 1500 * time.Millisecond

func (m *Membership) tick(now time.Time) {
	m.refreshWatched(now)
	m.mu.Lock()
	if gap := now.Sub(m.lastTick); !m.lastTick.IsZero() && gap > pauseThreshold {
		m.detector.DiscountPause(now, gap)
	}
	m.lastTick = now
	changes := m.detector.Tick(now, m.opts.Refused)
	m.queueDeaths(changes)
	changes = append(changes, m.detector.UpdateIsolation(now, m.opts.Refused)...)
	queries := m.dueQueries(now)
	m.publish()
	m.mu.Unlock()
	m.reportChanges(changes)
	m.startQueries(queries)
}

// refreshWatched updates the watched entries. If the list of links to keep up has changed, it
// passes the list to Options.KeepLinks.
func (m *Membership) refreshWatched(now time.Time) {
	busy := m.busyEntries()
	m.mu.Lock()
	m.updateWatched(now, busy)
	links := m.linksToKeep(now)
	changed := !slices.Equal(links, m.keptLinks) || (links == nil) != (m.keptLinks == nil)
	m.keptLinks = links
	m.publish()
	m.mu.Unlock()
	if changed && m.opts.KeepLinks != nil {
		m.opts.KeepLinks(links)
	}
}

// busyEntries returns the entries that share transient work with this one. In a small fleet
// every entry is watched closely anyway.
func (m *Membership) busyEntries() []job.EntryID {
	if m.opts.Busy == nil || len(m.View().List)-1 <= watch.WatchAllMax {
		return nil
	}
	return m.opts.Busy()
}

// publish stores the view if it has changed. The caller holds m.mu. It is called for each
// heartbeat, of which nearly all change nothing: building a list of the whole fleet for each
// would make the cost quadratic in the size of the fleet.
func (m *Membership) publish() {
	old := m.view.Load()
	if m.detector.version == old.Version && m.detector.isolated(m.opts.Refused) == old.Isolated {
		return
	}
	m.view.Store(m.detector.Members(m.opts.Refused))
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// Drain announces to all entries that this one takes no new work, so that they hold its
// targets from now on.
func (m *Membership) Drain() { m.declareState(Draining) }

// Leave announces to all entries that this one has ended its work.
func (m *Membership) Leave(context.Context) { m.declareState(Left) }

// AnnounceConfig announces a configuration that has just taken effect here to those
// neighbours in a large fleet that aren't known to have it. In a small fleet the voters
// notify all entries.
func (m *Membership) AnnounceConfig() {
	b := m.composeHeartbeat()
	m.mu.Lock()
	var list []dueHeartbeat
	if !m.watchSet.All {
		for _, id := range m.neighbours() {
			if m.configNumbers[id] < b.ConfigNumber {
				list = append(list, dueHeartbeat{to: id})
			}
		}
	}
	m.mu.Unlock()
	m.send(b, list)
}

// SendHeartbeats sends a heartbeat now to every entry that receives heartbeats or loads from
// this one, for changes that callers wait for.
func (m *Membership) SendHeartbeats() { m.sendDue(time.Now(), true) }

func (m *Membership) declareState(s State) {
	now := time.Now()
	m.mu.Lock()
	m.detector.Declare(now, s)
	m.publish()
	m.mu.Unlock()
	m.sendDue(now, true)
}

// Loads returns the loads of the targets that this entry and all serving entries hold.
func (m *Membership) Loads() []job.HolderLoad {
	aged := m.AgedLoads()
	list := make([]job.HolderLoad, len(aged))
	for i := range aged {
		list[i] = aged[i].HolderLoad
	}
	return list
}

// AgedLoads returns the same loads as Loads, each with its age.
func (m *Membership) AgedLoads() []Load {
	now := time.Now()
	var list []Load
	if m.view.Load().Self.Serving() {
		for _, l := range m.ownLoads() {
			list = append(list, Load{HolderLoad: l})
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range m.view.Load().List {
		if !member.Serving() || member.Entry == m.opts.Mesh.Self().Entry {
			continue
		}
		known := m.loads[member.Entry]
		for _, l := range known.list {
			list = append(list, Load{HolderLoad: l, Age: now.Sub(known.at)})
		}
	}
	return list
}

func (m *Membership) ownLoads() []job.HolderLoad {
	list := m.opts.Loads()
	self := m.opts.Mesh.Self()
	for i := range list {
		list[i].Entry, list[i].Zone = self.Entry, self.Zone
	}
	return list
}

// handleHeartbeat processes a received heartbeat.
func (m *Membership) handleHeartbeat(_ context.Context, from job.Owner, body cbor.RawMessage) (any, error) {
	var stamped stampedHeartbeat
	if err := cbor.Unmarshal(body, &stamped); err != nil {
		return nil, errors.Annotate(err, "decoding a heartbeat")
	}
	var b heartbeat
	if err := cbor.Unmarshal(stamped.Beat, &b); err != nil {
		return nil, errors.Annotate(err, "decoding a heartbeat")
	}
	if b.State != Alive && b.State != Draining && b.State != Left {
		return nil, errors.NotValidf("state %d in a heartbeat", b.State)
	}
	now := time.Now()
	for i := range b.Loads {
		b.Loads[i].Entry, b.Loads[i].Zone = from.Entry, from.Zone
	}
	m.mu.Lock()
	result := m.detector.ApplyHeartbeat(now, from, b.State, b.Revision)
	refutable := m.applyHeartbeatResult(from, result)
	m.loads[from.Entry] = loadReport{now, b.Loads}
	received := m.recordLoads(now, b.Loads, b.Relayed)
	m.configNumbers[from.Entry] = b.ConfigNumber
	if b.Want != Unwatched {
		m.requests[from.Entry] = heartbeatRequest{b.Want, now.Add(requestPeriods * requestedPeriod(b.Want))}
	}
	compare := m.shouldCompare(now, from.Entry, b.Digest)
	m.recordReading(from.Entry, from.Incarnation, stamped.Reading)
	m.publish()
	m.mu.Unlock()
	m.reportChanges(result.Changes)
	if refutable != nil {
		m.requestRefutation(*refutable)
	}
	if m.opts.Loaded != nil && len(received) > 0 {
		m.opts.Loaded(received)
	}
	if compare && m.opts.Compare != nil {
		m.opts.Compare(from.Entry)
	}
	if at, ok := m.Proof(stamped.Life, stamped.Echo); ok {
		m.opts.Proved(from, at)
	}
	if m.opts.Config != nil {
		m.opts.Config.Observe(from.Entry, b.ConfigNumber, b.ConfigDigest)
	}
	return nil, nil
}

func requestedPeriod(p Pace) time.Duration {
	if p == Close {
		return InZone.Period
	}
	return AcrossZones.Period
}

// recordLoads records the loads in a heartbeat and returns them with their age. A relayed
// load counts only if it is newer than the last report from or about its holder. The caller
// holds the lock.
func (m *Membership) recordLoads(now time.Time, own []job.HolderLoad, relayed []relayedLoad) []Load {
	received := make([]Load, 0, len(own)+len(relayed))
	for _, l := range own {
		received = append(received, Load{HolderLoad: l, Direct: true})
	}
	for _, r := range relayed {
		if len(r.Loads) == 0 {
			continue
		}
		holder, age := r.Loads[0].Entry, time.Duration(r.AgeMillis)*time.Millisecond
		at := now.Add(-age)
		if holder == m.opts.Mesh.Self().Entry || !at.After(m.loads[holder].at) {
			continue
		}
		m.loads[holder] = loadReport{at, r.Loads}
		for _, l := range r.Loads {
			received = append(received, Load{HolderLoad: l, Age: age})
		}
	}
	return received
}
