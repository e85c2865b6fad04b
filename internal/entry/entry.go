// Package entry assembles one entry: the listeners for callers, peers and operators,
// the stages of the submission pipeline, the holder of targets and the state shared
// between entries. It wires other packages together; they do the actual work.
package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/oklog/run"

	"github.com/vanillagrade/vanillagrade/internal/api"
	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/discovery"
	"github.com/vanillagrade/vanillagrade/internal/eventlog"
	"github.com/vanillagrade/vanillagrade/internal/handover"
	"github.com/vanillagrade/vanillagrade/internal/holder"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/keep"
	"github.com/vanillagrade/vanillagrade/internal/malformed"
	"github.com/vanillagrade/vanillagrade/internal/membership"
	"github.com/vanillagrade/vanillagrade/internal/metrics"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/pipeline"
	"github.com/vanillagrade/vanillagrade/internal/policy/memory"
	"github.com/vanillagrade/vanillagrade/internal/register"
	"github.com/vanillagrade/vanillagrade/internal/registrar"
	"github.com/vanillagrade/vanillagrade/internal/runs"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
	"github.com/vanillagrade/vanillagrade/internal/settings"
	"github.com/vanillagrade/vanillagrade/internal/storage"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
	"github.com/vanillagrade/vanillagrade/internal/vmclock"
)

// Options describes one entry.
type Options struct {
	Settings  settings.Entry
	Listeners Listeners
	Log       *slog.Logger
	// Scheduler disables single decisions, for measurements.
	Scheduler scheduler.Options
	// Events is the size of the time line's ring buffer; zero means the default. A
	// negative number disables the time line, for measurements.
	Events int
	// Config, when set, replaces the configuration that the entries agree on; the
	// load tool uses it.
	Config config.View
	// LingerPeriod is how long a stopping entry keeps answering after its work has
	// ended; zero means DefaultLingerPeriod.
	LingerPeriod time.Duration
	// NoticePeriod is how long a stopping entry accepts submissions after it has reported
	// that it is not ready: the balancer sends callers until it notices.
	NoticePeriod time.Duration
	// Grace is how long a planned stop may take before the remaining submissions are
	// answered as failed; zero waits for all of them.
	Grace time.Duration
	// Incarnation is the number of this run of the entry; zero takes it from the clock.
	Incarnation job.Incarnation
	// Parse parses a declarative file; nil means config.Parse.
	Parse func(name string, body []byte) (*config.File, error)
	// Malformed counts unusable input from others; nil creates a new tally.
	Malformed *malformed.Tally
	// NewTargetClient, when set, creates the client for a target that runs tasks under a
	// lease, in place of the targets' HTTP interface.
	NewTargetClient func(job.Target) runs.TargetClient
	// Lease is the longest lease that such a target grants; zero means the default.
	Lease time.Duration
	// Suspended returns the total time for which the VM was suspended so far; nil means
	// never.
	Suspended func() time.Duration
	// Seeds, when set, replaces the seeds of the settings; its result may change.
	Seeds func() []string
	// LogEvents also writes each decision as a log line, within a budget, and
	// counts it for the metrics address.
	LogEvents bool
	// Attach, when set, returns additional servers of this entry.
	Attach func(*Entry) []AttachedServer
}

// AttachedServer is an additional server of an entry. Its listener is already open.
type AttachedServer struct {
	Listener net.Listener
	Server   *http.Server
	// Intake says that the server only accepts submissions. The server ends when a
	// stopping entry accepts no more. Callers then can't connect, so they know that
	// nothing of their job ran, and use another entry at once. If the entry answered
	// "draining" instead, a caller with an open connection would fail because of a
	// planned stop.
	Intake bool
}

// Entry is one entry process.
type Entry struct {
	opts  Options
	self  job.Owner
	log   *slog.Logger
	clock *timeline.Clock
	// vmClock is the clock by which this entry detects that it was paused.
	vmClock vmclock.Clock
	// rights holds the rights to act for owners of transient work; nil where heartbeats
	// are too sparse for it and no work is transient.
	rights *rights
	ring   *timeline.Ring
	// events is the ring, plus the log if the entry logs its decisions.
	events timeline.Sink
	config config.View
	links  *peer.Links

	register         *register.Register
	members          *membership.Membership
	lastIncarnations lastIncarnations
	// discovered and joiner discover the other entries; nil where the settings name them.
	discovered *discovery.Directory
	joiner     *discovery.Joiner

	record         *pipeline.Record
	check          *pipeline.Check
	join           *pipeline.Join
	admit          *pipeline.Admit
	chain          pipeline.Next
	holder         *holder.Holder
	holders        *holders
	remote         *handover.Remote
	handoverServer *handover.Server
	// registrar knows the owner of each submission.
	registrar *registrar.Registrar
	keeper    *keep.Keeper
	// submissions is the keeper's log; nil without a disk.
	submissions *storage.SubmissionLog
	targets     *targets
	// store is the data folder, nil on a VM without a disk.
	store *storage.Store
	// inventory records which entry holds which targets; nil where the settings name the
	// entries.
	inventory *targetInventory
	memory    *api.ByteBudget
	crashes   *crashReporter
	// calls counts the calls to targets.
	calls runs.Calls

	// stopping is closed when an operator asks for a planned stop.
	stopping chan struct{}
	started  time.Time
	draining atomic.Bool // a planned stop has begun
	// intakeClosed is closed when a stopping entry accepts no more submissions.
	intakeClosed chan struct{}
	// eventLog writes events to the log; nil if they are not logged.
	eventLog *eventlog.Sink
	metrics  *metrics.Sink
	// cordonMu serialises the transfer of the cordons from the register to the holder.
	cordonMu sync.Mutex
	stopOnce sync.Once
	killed   chan struct{}
	killOnce sync.Once
}

// DefaultLingerPeriod is how long a stopping entry keeps its listener and its
// connections. A caller that reuses a connection may write its next request while
// the entry closes the connection, and can't know whether the entry read it. While
// the entry lingers, each answer closes its connection, so at the end only
// connections that were idle for the whole time remain to be closed. One second is
// longer than the time between two requests on any busy connection.
const DefaultLingerPeriod = time.Second

// stopTimeout bounds how long a stop waits, after all work has ended, for callers that
// do not read their answers.
const stopTimeout = 10 * time.Second

// New assembles an entry and opens its listeners.
func New(o Options) (*Entry, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Malformed == nil {
		o.Malformed = malformed.New(o.Log)
	}
	if o.LingerPeriod == 0 {
		o.LingerPeriod = DefaultLingerPeriod
	}
	if o.Incarnation == 0 {
		o.Incarnation = job.Incarnation(time.Now().UnixNano())
	}
	if err := openListeners(&o); err != nil {
		return nil, err
	}
	self := job.Owner{Entry: o.Settings.Name, Incarnation: o.Incarnation, Zone: o.Settings.Zone}
	e := &Entry{
		opts:    o,
		self:    self,
		log:     o.Log.With("entry", self.Entry, "availability_zone", self.Zone),
		clock:   timeline.NewClock(time.Now),
		vmClock: vmclock.Clock{Suspended: o.Suspended},
		memory:  api.NewByteBudget(memory.Share(o.Settings.Memory()).Submissions),

		stopping:     make(chan struct{}),
		started:      time.Now(),
		killed:       make(chan struct{}),
		intakeClosed: make(chan struct{}),
	}
	e.ring = timeline.NewRing(self.Entry, e.clock, o.Events)
	e.events = e.ring
	if o.LogEvents {
		e.metrics = metrics.New(e.ring)
		e.eventLog = eventlog.New(e.metrics, e.log)
		e.events = e.eventLog
	}
	if err := e.assemble(); err != nil {
		return nil, errors.Trace(err)
	}
	return e, nil
}

// assemble creates the parts: first the state shared between entries, then the
// submission pipeline.
func (e *Entry) assemble() error {
	if err := e.assembleShared(); err != nil {
		return errors.Trace(err)
	}
	if err := e.openKeeper(); err != nil {
		return errors.Trace(err)
	}
	e.assemblePath()
	e.configure(nil, e.config.Current())
	e.register.OnChange(e.configure)
	e.register.OnChange(func(_, _ *config.File) { go e.members.AnnounceConfig() })
	e.followCordons()
	e.register.OnCordonChange(func([]job.Zone) { go e.followCordons() })
	e.members.OnChange(e.setView)
	return nil
}

// configure applies a configuration file to the stages that keep state derived from
// it; the others read the view.
func (e *Entry) configure(_, updated *config.File) {
	if updated == nil {
		return
	}
	e.admit.Configure(updated, e.quotaShare())
	e.holder.Configure(updated)
}

// assemblePath creates the holder, the membership and the stages of the pipeline.
func (e *Entry) assemblePath() {
	e.crashes = newCrashReporter(e)
	e.holder = holder.New(holder.Options{
		Self:      e.self,
		Config:    e.config,
		Client:    target.NewClient(target.ClientOptions{}),
		Connect:   e.connector(),
		Events:    e.events,
		Log:       e.log,
		Scheduler: e.opts.Scheduler,
		Crashes:   e.crashes.tracker,
		OnCrash:   e.crashes.record,
	})
	e.assembleMembership()
	e.crashes.members = e.members
	e.handoverServer = handover.Serve(e.links, e.holder)
	e.handoverServer.OnOffer(e.members.Touch)
	e.handoverServer.SetEventSink(e.events)
	e.handoverServer.ReportLoads(e.holder.Load)
	e.remote = handover.NewRemote(handover.RemoteOptions{
		Mesh: e.links, Gone: e.members.Gone, SinceLastMessage: e.members.Silent,
		Proof: e.proofFor, Learn: e.members.RecordReading, Events: e.events,
		OnLoad: func(from job.EntryID, l job.HolderLoad) { e.holders.recordAnswerLoad(from, l) },
	})
	e.holders = newHolders(e.self, e.holder, e.remote, e.members)
	e.targets = newTargets(e)
	if e.opts.Settings.Discover && e.opts.NewTargetClient != nil {
		e.inventory = newTargetInventory(e.targets, e.store)
		e.targets.inventory = e.inventory
		if e.store != nil {
			e.targets.forward.Remembers = e.inventory.knowsHolder
		}
	}
	e.record = &pipeline.Record{Events: e.events}
	e.check = &pipeline.Check{Config: e.config, Events: e.events}
	e.join = &pipeline.Join{Events: e.events}
	e.admit = pipeline.NewAdmit(e.events)
	e.assembleRegistrar()
	e.serveSearches()
	fresh := &pipeline.Freshness{Events: e.events}
	if e.rights != nil {
		e.handoverServer.RequireRights(e.rights)
		serveProofRequests(e.links, e.mayProve)
		fresh.Right = e.rights.ownRight
	}
	e.chain = pipeline.Chain(
		e.record,
		fresh,
		e.check,
		e.join,
		&pipeline.Claim{Registrar: e.registrar, Owned: e.join.Owned, Collect: e.collectResults, Kept: e.keptAnswer, Find: e.findAnswer, Events: e.events},
		e.admit,
		&pipeline.Keep{Self: e.self, Choose: e.chooseKeeper, Events: e.events},
		&pipeline.Run{Self: e.self, Holders: e.holders, Events: e.events, Crashes: e.crashes.tracker},
	)
}

// Run serves until ctx ends and then performs a planned stop, which interrupts no
// request in progress.
func (e *Entry) Run(ctx context.Context) error {
	var g run.Group
	e.events.Record(timeline.Event{Kind: timeline.EntryStarted})
	e.log.Info("entry serving", "callers", e.opts.Settings.CallerAddr, "peers", e.opts.Settings.PeerAddr, "incarnation", e.self.Incarnation, "version", version(),
		"memory_bytes", e.opts.Settings.Memory(), "submission_bytes", e.memory.Limit())
	caller := e.Caller()
	caller.Targets = api.Targets(e.targets)
	listen := e.opts.Listeners
	if listen.Caller != nil {
		e.addActor(&g, func(ctx context.Context) error {
			return e.serve(ctx, api.Server(api.CloseWhileDraining(caller.Handler(), e.draining.Load), e.log), listen.Caller)
		})
	}
	if e.opts.Attach != nil {
		for _, a := range e.opts.Attach(e) {
			a.Server.Handler = api.CloseWhileDraining(a.Server.Handler, e.draining.Load)
			e.addActor(&g, func(ctx context.Context) error { return e.serveAttached(ctx, a) })
		}
	}
	if e.joiner != nil {
		e.addActor(&g, e.joiner.Run)
		e.addActor(&g, e.forgetDead)
	}
	if e.rights != nil {
		e.addActor(&g, e.watchOwners)
	}
	if e.inventory != nil {
		e.addActor(&g, e.inventory.run)
		e.addActor(&g, e.inventory.save)
		e.addActor(&g, e.inventory.speeds.save)
	}
	e.addActor(&g, func(ctx context.Context) error {
		return e.serve(ctx, api.Server(e.operator().Handler(), e.log), listen.Operator)
	})
	e.addActor(&g, func(ctx context.Context) error { return api.Serve(ctx, e.links.Server(), listen.Peer, stopTimeout) })
	e.addActor(&g, e.links.Run)
	e.addActor(&g, e.register.Run)
	e.addActor(&g, e.members.Run)
	e.addActor(&g, e.logTraffic)
	e.addActor(&g, e.registrar.Run)
	e.addActor(&g, e.watchOrphans)
	e.addActor(&g, e.targets.watchLeases)
	e.addActor(&g, e.waitForKill)
	stopped, stop := e.stopContext(ctx)
	g.Add(func() error { return e.drainAndStop(stopped) }, func(error) { stop() })
	err := g.Run()
	e.holder.Close()
	if e.submissions != nil {
		_ = e.submissions.Close()
	}
	if e.eventLog != nil {
		e.eventLog.Flush()
	}
	e.log.Info("entry stopped")
	return errors.Trace(err)
}

// errKilled ends Run without waiting for anything.
const errKilled = errors.ConstError("killed")

// Kill ends the entry as the loss of its VM would, without waiting for work in
// progress. Tests use it.
func (e *Entry) Kill() {
	e.killOnce.Do(func() { close(e.killed) })
}

func (e *Entry) waitForKill(ctx context.Context) error {
	select {
	case <-e.killed:
		e.holder.Close()
		return errKilled
	case <-ctx.Done():
		return nil
	}
}

func (e *Entry) isKilled() bool {
	select {
	case <-e.killed:
		return true
	default:
		return false
	}
}

// addActor adds f to the group; its context ends when the group ends.
func (e *Entry) addActor(g *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

func (e *Entry) serveAttached(ctx context.Context, a AttachedServer) error {
	if !a.Intake {
		return e.serve(ctx, a.Server, a.Listener)
	}
	intake, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-e.intakeClosed:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := e.serve(intake, a.Server, a.Listener)
	if err == nil {
		<-ctx.Done()
	}
	return err
}

func (e *Entry) serve(ctx context.Context, server *http.Server, l net.Listener) error {
	served := make(chan struct{})
	defer close(served)
	go func() {
		select {
		case <-e.killed:
			_ = server.Close()
		case <-served:
		}
	}()
	return api.Serve(ctx, server, l, stopTimeout)
}

// Slots returns the number of slots of a pool on which this entry can place tasks,
// held here or elsewhere.
func (e *Entry) Slots(pool string) int { return e.holders.knownSlots(pool) }

// Load returns the load of the pool's targets that this entry holds.
func (e *Entry) Load(pool string) job.HolderLoad { return e.holder.Load(pool) }

// DrivenSubmissions returns how many submissions this entry owns.
func (e *Entry) DrivenSubmissions() int { return e.join.OwnedCount() }
