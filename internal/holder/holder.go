// Package holder runs tasks on the targets that this entry holds. It accepts
// batches from owners, asks the scheduler of each pool which task starts on
// which target, sends the start requests, and reports the outcomes.
//
// The package enforces two rules. It sends a task to a target at most once,
// unless the target provably did not start it. And a slot stays occupied until
// the target itself has ended the task, even if nobody waits for the result any
// more: otherwise a wave of cancellations would fill targets beyond their
// slots.
package holder

import (
	"context"
	"log/slog"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/crash"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// Connection sends requests to one target. target.Link implements it.
type Connection interface {
	Start(ctx context.Context, t target.Task) target.Result
	Stop(ctx context.Context, submission job.ID, index int) error
	Close()
}

// Options configures a holder. Self, Config and either Client or Connect are
// required.
type Options struct {
	Self   job.Owner
	Config config.View
	Client *target.Client
	// Connect, if not nil, opens the connections to targets in place of Client. The package
	// entry sets it where a client for targets that run tasks under a lease is configured;
	// tests set it to fakes.
	Connect func(job.Target) Connection
	Events  timeline.Sink
	Log     *slog.Logger
	// Crashes tracks the tasks that were running on targets when these ended; nil creates
	// a new tracker. OnCrash, if not nil, is called for a task whenever the end of a target
	// is newly counted against it.
	Crashes *crash.Tracker
	OnCrash func(owner job.Owner, t crash.Task)
	// Scheduler disables individual scheduling decisions, for measurements.
	Scheduler scheduler.Options
	// Seed makes the scheduler break ties the same way in each run.
	Seed uint64
}

// Holder runs the tasks of all pools in which this entry holds targets.
type Holder struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	gate   gate
	stats  counters

	// targetChange serializes adding and removing targets. Each change updates
	// poolOf and then the pool; a concurrent change between the two steps could
	// leave a target in a pool where no later change finds it.
	targetChange sync.Mutex

	mu    sync.RWMutex
	file  *config.File
	pools map[string]*pool
	// cordoned is set while the zone of this entry, and so of its targets, is cordoned.
	cordoned bool
	// poolOf maps the id of each held target to its pool.
	poolOf map[job.TargetID]*pool
}

// New returns a holder that has no targets yet.
func New(opts Options) *Holder {
	if opts.Events == nil {
		opts.Events = timeline.Discard{}
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	if opts.Crashes == nil {
		opts.Crashes = crash.NewTracker()
	}
	if opts.OnCrash == nil {
		opts.OnCrash = func(job.Owner, crash.Task) {}
	}
	if opts.Connect == nil {
		client := opts.Client
		opts.Connect = func(t job.Target) Connection { return client.Link(t.Address, t.Connections) }
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Holder{
		opts:   opts,
		ctx:    ctx,
		cancel: cancel,
		file:   opts.Config.Current(),
		pools:  make(map[string]*pool),
		poolOf: make(map[job.TargetID]*pool),
	}
}

// Close ends all connections immediately. The owners of running tasks lose the
// results; call Drain first to avoid that.
func (h *Holder) Close() { h.cancel() }

// Configure applies a configuration file to all pools.
func (h *Holder) Configure(f *config.File) {
	h.mu.Lock()
	h.file = f
	pools := h.sortedPools()
	h.mu.Unlock()
	for _, p := range pools {
		p.configure(f)
	}
}

// sortedPools returns the pools in the order of their names. The caller must
// hold h.mu.
func (h *Holder) sortedPools() []*pool {
	out := make([]*pool, 0, len(h.pools))
	for _, p := range h.pools {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

func (h *Holder) allPools() []*pool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.sortedPools()
}

// pool returns the named pool and creates it if it does not exist.
func (h *Holder) pool(name string) *pool {
	h.mu.RLock()
	p := h.pools[name]
	h.mu.RUnlock()
	if p != nil {
		return p
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if p = h.pools[name]; p == nil {
		p = newPool(h, name, h.file)
		h.pools[name] = p
	}
	return p
}

// SetTarget adds a target that this entry now holds, or updates a held target
// from its latest announcement. A removed target gets work again.
func (h *Holder) SetTarget(t job.Target) {
	h.targetChange.Lock()
	defer h.targetChange.Unlock()
	p := h.pool(t.Pool)
	h.mu.Lock()
	former := h.poolOf[t.ID]
	h.poolOf[t.ID] = p
	h.mu.Unlock()
	if former != nil && former != p {
		former.removeTarget(t.ID, false)
	}
	if former == nil {
		p.record(timeline.Event{Kind: timeline.TargetAnnounced, Target: t.ID, Cause: "held by this entry for pool " + t.Pool})
	}
	p.setTarget(t)
}

// RemoveTarget stops new starts on a target immediately. Running tasks continue
// and their results count. RemoveTarget returns the number of running tasks for
// the next holder, which would otherwise learn it only from refusals.
func (h *Holder) RemoveTarget(id job.TargetID) (running int) {
	return h.removeTarget(id, false)
}

// RemoveStoppingTarget removes a target whose stop is planned: when it ends later, its tasks
// are not suspected of having crashed it.
func (h *Holder) RemoveStoppingTarget(id job.TargetID) { h.removeTarget(id, true) }

// TargetEnded records that a target's process has ended, before its runs are known to be
// over.
func (h *Holder) TargetEnded(id job.TargetID) {
	for _, p := range h.allPools() {
		p.targetEnded(id)
	}
}

// RemoveEndedTarget removes a target whose process has ended: the tasks that ran there become
// suspects.
func (h *Holder) RemoveEndedTarget(id job.TargetID) {
	h.TargetEnded(id)
	h.removeTarget(id, false)
}

func (h *Holder) removeTarget(id job.TargetID, planned bool) (running int) {
	h.targetChange.Lock()
	defer h.targetChange.Unlock()
	h.mu.Lock()
	p := h.poolOf[id]
	delete(h.poolOf, id)
	h.mu.Unlock()
	if p == nil {
		return 0
	}
	return p.removeTarget(id, planned)
}

// Running returns how many tasks run on a target, including a target that this
// entry no longer holds.
func (h *Holder) Running(id job.TargetID) int {
	n := 0
	for _, p := range h.allPools() {
		p.mu.Lock()
		if l := p.links[id]; l != nil {
			n += l.running
		}
		p.mu.Unlock()
	}
	return n
}

// Offer submits a batch: either all of its tasks are queued or none. report is
// called once, from any goroutine, with the outcomes of all tasks. It may call
// Offer and Cancel, but must not add or remove targets. The first failure makes
// the holder call report immediately: it drops the queued tasks and reports the
// running ones as "may have run".
func (h *Holder) Offer(b *job.Batch, report func([]job.TaskOutcome)) {
	if !h.gate.enter() {
		report(notStartedOutcomes(b.Tasks, scheduler.Admission{Reason: job.Draining, Detail: "the entry is stopping", RetryAfter: time.Second}))
		return
	}
	h.mu.RLock()
	service, known := h.file.Service(b.Service)
	h.mu.RUnlock()
	if b.Pool != "" {
		service.Pool = b.Pool
	}
	if (!known || service.Pool == "") && b.Pool == "" {
		// This entry's configuration may lag the owner's by a few seconds. By
		// default, a pool has the name of its service.
		service.Pool = b.Service
	}
	h.pool(service.Pool).offer(b, service, report)
}

// Cancel drops the queued tasks of a submission and asks the targets to stop
// the running ones, whose results are discarded.
func (h *Holder) Cancel(owner job.Owner, id job.ID) {
	for _, p := range h.allPools() {
		p.cancel(batchKey{owner, id})
	}
}

// Drop returns the queued tasks of a dead owner as provably not started.
// Running tasks continue, and each batch is reported when its last task has
// ended, because the entry that takes the submission over may need the results.
func (h *Holder) Drop(owner job.Owner) {
	for _, p := range h.allPools() {
		p.drop(owner)
	}
}

// Owners returns the owners whose transient batches this holder has.
func (h *Holder) Owners() []job.Owner {
	found := map[job.Owner]bool{}
	for _, p := range h.allPools() {
		p.owners(found)
	}
	out := make([]job.Owner, 0, len(found))
	for o := range found {
		out = append(out, o)
	}
	return out
}

// DropUnauthorized stops the queued and running work of all owners for whom this entry has no
// right to act any more: the work may have been started elsewhere.
func (h *Holder) DropUnauthorized() {
	for _, p := range h.allPools() {
		p.dropUnauthorized()
	}
}

// Loads returns the load of each pool, as reported to owners.
func (h *Holder) Loads() []job.HolderLoad {
	pools := h.allPools()
	out := make([]job.HolderLoad, 0, len(pools))
	for _, p := range pools {
		l := p.load()
		l.Entry, l.Zone = h.opts.Self.Entry, h.opts.Self.Zone
		out = append(out, l)
	}
	return out
}

// Pools returns the state of each pool for operators.
func (h *Holder) Pools() []scheduler.Stats {
	pools := h.allPools()
	out := make([]scheduler.Stats, 0, len(pools))
	for _, p := range pools {
		p.mu.Lock()
		out = append(out, p.sched.Stats(time.Now()))
		p.mu.Unlock()
	}
	return out
}

// Stats holds the holder's counters since its start.
type Stats struct {
	Starts   uint64 `json:"starts"`
	Done     uint64 `json:"done"`
	Failed   uint64 `json:"failed"`
	Requeued uint64 `json:"requeued"`
	Retried  uint64 `json:"retried"`
	Dropped  uint64 `json:"dropped"`
	Stops    uint64 `json:"stops"`
	// Preempted counts the runs that were asked to stop for a more urgent job, and PreemptedMillis
	// the run time that was thrown away with those of them that were stopped.
	Preempted       uint64 `json:"preempted"`
	PreemptedMillis uint64 `json:"preempted_ms"`
	// Discarded counts results that arrived after their batch was reported.
	Discarded     uint64 `json:"discarded"`
	BytesSent     uint64 `json:"bytes_sent"`
	BytesReceived uint64 `json:"bytes_received"`
	// Priorities counts the jobs with an objective by priority, in the pools whose services
	// have several.
	Priorities map[int]scheduler.LevelCounts `json:"priorities,omitempty"`
}

type counters struct {
	starts, done, failed, requeued, retried, dropped, stops, preempted, preemptedMillis, discarded, sent, received atomic.Uint64
}

// Stats returns a snapshot of the counters.
func (h *Holder) Stats() Stats {
	c := &h.stats
	return Stats{
		Starts:          c.starts.Load(),
		Done:            c.done.Load(),
		Failed:          c.failed.Load(),
		Requeued:        c.requeued.Load(),
		Retried:         c.retried.Load(),
		Dropped:         c.dropped.Load(),
		Stops:           c.stops.Load(),
		Preempted:       c.preempted.Load(),
		PreemptedMillis: c.preemptedMillis.Load(),
		Discarded:       c.discarded.Load(),
		BytesSent:       c.sent.Load(),
		BytesReceived:   c.received.Load(),
		Priorities:      h.priorityCounts(),
	}
}
