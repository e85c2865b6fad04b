// Package register runs the consensus of the voters on the configuration and
// distributes accepted configurations to every entry.
//
// An entry with a data folder is a node of package consensus and votes if the
// register lists its disk as a voter. An entry without a data folder is a
// learner: a voter's message or any heartbeat announces a new number, and the
// learner pulls the file from an entry that holds it. An entry always serves with
// the newest accepted file that it holds and never returns to an older one.
package register

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"log/slog"
	mathrand "math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/consensus"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/storage"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// Intervals of the register. Messages distribute a change at once; the intervals
// bound the time until a lost message or a partition is detected. Their sum stays
// below half of the 6 s within which a change must be in effect.
const (
	probeInterval = 2 * time.Second
	// unresponsiveAfter is the time without a message after which a voter is
	// probed. It equals the shortest time between two probes, so that the next
	// probe after a lost message recovers the message's content.
	unresponsiveAfter = probeInterval / 2
	// finishInterval is how often a voter checks for a proposal that its
	// proposer abandoned.
	finishInterval = time.Second
	// bootstrapInterval is the time between pulls while there is no configuration.
	bootstrapInterval = 200 * time.Millisecond
	// rejoinInterval is the time between the reports of an entry whose disk is not the one
	// that the register lists. One lost report must not delay the repair of the voter set
	// by much, and the reports end with it.
	rejoinInterval = 200 * time.Millisecond
	// staleAfter is how long a majority may be unreachable before an entry
	// reports its configuration as stale: two probes and their answers.
	staleAfter = 5 * time.Second
	// retryMin and retryMax bound the backoff before an unanswered message is
	// sent again.
	retryMin = 30 * time.Millisecond
	retryMax = time.Second
	// writeRetryDelay is the delay after a failed write.
	writeRetryDelay = time.Second
	// pullTimeout bounds a pull request.
	pullTimeout = 2 * time.Second
)

// Options configures a Register.
type Options struct {
	Mesh peer.Mesh
	// Store is nil for an entry without a disk.
	Store *storage.Store
	// Voters are the entries that form the register at the first start of the
	// fleet. Afterwards the register itself stores the set of voters.
	Voters []job.EntryID
	// InitialVoters returns the voters that form the register, where entries discover
	// each other; nil until they are known. It is called only while the register
	// is not formed.
	InitialVoters func() []job.EntryID
	// Entries are the entries listed in the settings. Discovered returns those
	// discovered since the start.
	Entries    []job.EntryID
	Discovered func() []job.EntryID
	// Repair, when set, enables the repair of the voter set without an operator.
	Repair *RepairOptions
	// SparseHeartbeats reports whether this entry receives heartbeats from few entries only, so
	// that most voters without recent messages are healthy. Nil means never.
	SparseHeartbeats func() bool
	// Parse parses a file; nil means config.Parse.
	Parse  func(name string, body []byte) (*config.File, error)
	Log    *slog.Logger
	Events timeline.Sink
	// Clock returns the time of day for display; no decision depends on it.
	Clock func() time.Time
}

// Register holds one entry's configuration and, on an entry with a disk, takes part in
// the consensus. It implements config.View.
type Register struct {
	opts   Options
	mesh   peer.Mesh
	self   job.EntryID
	log    *slog.Logger
	events timeline.Sink
	clock  func() time.Time

	current atomic.Pointer[snapshot]
	// installing serialises the installation of snapshots and guards watchers and
	// changed.
	installing sync.Mutex
	watchers   []func(old, updated *config.File)
	// cordonWatchers are called with the cordoned zones when these have changed.
	cordonWatchers []func(zones []job.Zone)
	// changed is closed and replaced when another file or cordon takes effect.
	changed chan struct{}

	// hasDisk never changes after New.
	hasDisk bool

	mu sync.Mutex
	// node is nil without a usable disk.
	node         *consensus.State
	pendingWrite *consensus.Write
	outcomes     map[consensus.Token]chan consensus.Outcome
	lastToken    consensus.Token
	problem      string
	// foreignFleet describes another fleet that was found on the network.
	foreignFleet string
	// majorityLost describes the loss of a majority of the voters' disks; empty otherwise.
	majorityLost string
	lastContact  map[job.EntryID]time.Time
	// disks are the disk identities that entries reported last.
	disks map[job.EntryID]consensus.Identity
	// cordonKeepers are the disks whose entries have reported that they keep cordons.
	cordonKeepers map[consensus.Voter]bool
	started       time.Time
	stale         bool
	// pulling holds the entries with a pull in progress.
	pulling    map[job.EntryID]bool
	probeCount int
	idleTicks  int

	// repairState is used only by the goroutine that runs repairLoop.
	repairState repairState
	// reachableVoters, lossesLeft and spareDisks are the results of its last
	// assessment.
	reachableVoters, lossesLeft, spareDisks atomic.Int64

	retryNeeded chan struct{}
	writeNeeded chan struct{}
	retiring    chan struct{}
	runCtx      atomic.Pointer[context.Context]
}

var _ config.View = (*Register)(nil)

// New creates a register and installs its message handlers. If the disk can't be
// read, or its record fails the integrity check, the entry becomes a learner and
// State reports the problem: a voter that doesn't know its earlier votes could undo
// an accepted configuration.
func New(opts Options) *Register {
	r := &Register{
		opts: opts, mesh: opts.Mesh, self: opts.Mesh.Self().Entry,
		log: opts.Log, events: opts.Events, clock: opts.Clock,
		changed:     make(chan struct{}),
		outcomes:    map[consensus.Token]chan consensus.Outcome{},
		lastContact: map[job.EntryID]time.Time{},
		disks:       map[job.EntryID]consensus.Identity{},

		cordonKeepers: map[consensus.Voter]bool{},
		pulling:       map[job.EntryID]bool{},
		retryNeeded:   make(chan struct{}, 1),
		writeNeeded:   make(chan struct{}, 1),

		retiring: make(chan struct{}, 1),
	}
	if r.log == nil {
		r.log = slog.New(slog.DiscardHandler)
	}
	if r.events == nil {
		r.events = timeline.Discard{}
	}
	if r.clock == nil {
		r.clock = time.Now
	}
	if r.opts.Parse == nil {
		r.opts.Parse = config.Parse
	}
	r.started = time.Now()
	if opts.Store != nil {
		r.load()
	}
	r.mesh.HandleInOrder(peer.ConsensusMessage, r.onMessage)
	r.mesh.Handle(peer.ConfigPull, r.onPull)
	r.mesh.Handle(peer.ConfigApply, r.onApply)
	return r
}

// load reads the record from the disk, or creates the first one.
func (r *Register) load() {
	record, err := loadRecord(r.opts.Store)
	if errors.Is(err, errors.NotFound) {
		record = consensus.Record{Self: consensus.Voter{Entry: r.self, Identity: newIdentity()}}
		err = saveRecord(r.opts.Store, record)
	}
	if err == nil && record.Self.Entry != r.self {
		err = errors.Errorf("the data folder belongs to entry %q", record.Self.Entry)
	}
	if err != nil {
		r.problem = err.Error()
		r.log.Error("the data folder can't be used; this entry does not vote", "error", err)
		return
	}
	node := consensus.Start(record, r.opts.Voters, randomUint64())
	r.node, r.hasDisk = &node, true
	r.install(snapshotOf(&record.Chosen))
}

func newIdentity() consensus.Identity {
	var b [16]byte
	_, _ = rand.Read(b[:]) // documented never to fail
	return consensus.Identity(hex.EncodeToString(b[:]))
}

func randomUint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

// Run participates in the consensus until ctx ends, and then closes the store.
func (r *Register) Run(ctx context.Context) error {
	r.runCtx.Store(&ctx)
	if r.opts.Store != nil {
		defer func() { _ = r.opts.Store.Close() }()
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	if r.hasDisk {
		wg.Go(func() { r.writeLoop(ctx) })
		wg.Go(func() { r.retryLoop(ctx) })
		wg.Go(func() { r.finishLoop(ctx) })
		if r.opts.Repair != nil {
			wg.Go(func() { r.repairLoop(ctx) })
		}
	}
	r.probeLoop(ctx)
	return nil
}

// Current returns the configuration in effect on this entry; nil before the first.
func (r *Register) Current() *config.File {
	if s := r.current.Load(); s != nil {
		return s.file
	}
	return nil
}

// OnChange registers a function that is called whenever another file has taken
// effect, one call at a time and in order. The function must not block.
func (r *Register) OnChange(f func(old, updated *config.File)) {
	r.installing.Lock()
	defer r.installing.Unlock()
	r.watchers = append(r.watchers, f)
}

// maxLoggedRoutes bounds the routes that one log line names.
const maxLoggedRoutes = 8

// install puts s into effect if it is newer than the current snapshot.
func (r *Register) install(s *snapshot) {
	if s.Version == 0 {
		return
	}
	r.installing.Lock()
	defer r.installing.Unlock()
	old := r.current.Load()
	if old != nil && (old.Version >= s.Version || old.Lineage != s.Lineage) {
		return
	}
	s.since = r.clock()
	if old != nil && old.Change == s.Change {
		s.file, s.body, s.since = old.file, old.body, old.since
		r.current.Store(s)
		r.recordNewVoters(old, s)
		r.reportCordons(old, s)
		return
	}
	var previous *config.File
	if old != nil {
		previous = old.file
	}
	if s.Change.Number > 0 {
		if err := s.decode(r.opts.Parse); err != nil {
			// Another release accepted a file that this one can't read. The
			// previous file stays in effect, and the number shows which file
			// is missing.
			r.log.Error("the accepted configuration can't be read", "number", s.Change.Number, "error", err)
			s.file = previous
		}
	}
	r.current.Store(s)
	r.recordNewVoters(old, s)
	r.reportCordons(old, s)
	if s.file == nil || s.file == previous {
		return
	}
	r.log.Info("configuration in force", "number", s.Change.Number, "digest", s.Change.Digest.String())
	if routes := s.file.UnsupportedRoutes(); len(routes) > 0 {
		r.log.Warn("jobs of some routes are refused", "number", s.Change.Number, "routes", len(routes), "first", routes[:min(len(routes), maxLoggedRoutes)])
	}
	r.events.Record(timeline.Event{Kind: timeline.ConfigurationInEffect, Cause: s.describe(), Took: s.propagationTime()})
	for _, f := range r.watchers {
		f(previous, s.file)
	}
	r.signalChange()
}

// recordNewVoters records the disks that became voters. An entry's own report of its disk may
// have been lost; the disk that was recorded before is not the one that votes now.
func (r *Register) recordNewVoters(old, updated *snapshot) {
	if old == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range updated.Voters {
		if !slices.Contains(old.Voters, v) {
			r.setDisk(v)
		}
	}
}

// signalChange wakes those who wait for a change. The caller holds installing.
func (r *Register) signalChange() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// nextChange returns a channel that is closed when the next file or cordon takes effect.
func (r *Register) nextChange() <-chan struct{} {
	r.installing.Lock()
	defer r.installing.Unlock()
	return r.changed
}

// AwaitFirst waits until a configuration is in effect or ctx ends. It reports whether
// one is in effect.
func (r *Register) AwaitFirst(ctx context.Context) bool {
	for {
		changed := r.nextChange()
		if r.Current() != nil {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// voters returns the voters that this entry knows.
func (r *Register) voters() []job.EntryID {
	s := r.current.Load()
	if s == nil {
		return r.opts.Voters
	}
	names := make([]job.EntryID, len(s.Voters))
	for i, v := range s.Voters {
		names[i] = v.Entry
	}
	return names
}

// others returns all known entries except this one.
func (r *Register) others() []job.EntryID {
	all := slices.Concat(r.voters(), r.opts.Voters, r.opts.Entries)
	if r.opts.Discovered != nil {
		all = append(all, r.opts.Discovered()...)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(e job.EntryID) bool { return e == r.self })
}

// jitter returns a random duration between d/2 and d, so that entries do not act
// in lockstep.
func jitter(d time.Duration) time.Duration {
	return d/2 + mathrand.N(d/2+1)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
