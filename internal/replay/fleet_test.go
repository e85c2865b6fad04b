// Package replay simulates loads in virtual time with the real scheduling code: owners
// split jobs and collect outcomes, holders admit, queue and place tasks, and fake targets
// run them. The tests compare what callers receive with the result of a planner that knows
// all run times in advance.
package replay

import (
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/holder"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/pipeline"
	"github.com/vanillagrade/vanillagrade/internal/policy/crash"
	"github.com/vanillagrade/vanillagrade/internal/policy/speed"
	"github.com/vanillagrade/vanillagrade/internal/policy/split"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

const (
	poolName = "p"
	// reportsEvery is how often holders report their load to owners.
	reportInterval = 250 * time.Millisecond
	// inZoneLatency and crossZoneLatency are the one-way latencies of a message.
	inZoneLatency    = 100 * time.Microsecond
	crossZoneLatency = 900 * time.Microsecond
	// targetLatency is the one-way latency of a start request and of its response.
	targetLatency = 200 * time.Microsecond
	// maxJitter bounds the extra delay of a message.
	maxJitter = 20 * time.Microsecond
	// stopTime is how long a target takes to stop a task.
	stopTime = 10 * time.Millisecond
)

// site describes a simulated fleet. Each zone has owners that hold targets and owners that
// hold none.
type site struct {
	zones, holders, owners, targets int
	// processors of a target, by its number.
	processors []int
	// speeds are factors on the run time of a task, by the number of the target.
	speeds []float64
	// record, when set, returns the speed record of a target with a factor on its run times.
	record func(factor float64) speed.Estimate
	// millis is the mean size of a task in thousandths of a processor; zero means usualMillis.
	millis float64
	opts   scheduler.Options
	costs  split.Costs
	// noCrashReports stops holders from being notified that a target ended during a task.
	noCrashReports bool
	// lost is the number of targets of the first zone that are missing.
	lost int
	// resends is how often a caller resends a job that may have run.
	resends int
}

// defaultSite has three zones of 16 targets; one entry in each zone holds all of them.
func defaultSite() site {
	return site{zones: 3, holders: 1, owners: 2, targets: 16, processors: []int{16, 16, 24}, speeds: []float64{0.8, 1, 1.25}, costs: split.DefaultCosts()}
}

// fleet is a running simulation of a site.
type fleet struct {
	site
	kinds   []kind
	owners  []*owner
	holders map[job.EntryID]*holder.Holder
	targets map[job.TargetID]*fakeTarget

	mu      sync.Mutex
	runs    map[job.ID][]time.Duration
	answers []answer
	// crashCounts holds the tasks that crash each target on which they run, with the
	// number of targets that each has crashed.
	crashCounts map[string]int
	// busy is the total run time of all tasks.
	busy time.Duration
}

// answer is what a caller received.
type answer struct {
	arrival *arrival
	job.Answer
	after time.Duration
	// freeCapacity is how many tasks of the job's size fitted on the targets when the job
	// was answered.
	freeCapacity int
}

// owner is an entry that receives jobs from callers.
type owner struct {
	fleet    *fleet
	self     job.Owner
	held     *holder.Holder
	run      pipeline.Run
	mu       sync.Mutex
	splitter *split.Splitter
}

var _ pipeline.Holders = (*owner)(nil)

func taskName(task int) string { return strconv.Itoa(task) }

func zoneName(z int) job.Zone { return job.Zone(fmt.Sprint("z", z)) }

func newFleet(s site, kinds []kind) *fleet {
	f := &fleet{site: s, kinds: kinds, holders: map[job.EntryID]*holder.Holder{}, targets: map[job.TargetID]*fakeTarget{}, runs: map[job.ID][]time.Duration{}, crashCounts: map[string]int{}}
	file := &config.File{Number: 1}
	for i := range kinds {
		file.Services = append(file.Services, kinds[i].service())
	}
	n := 0
	for z := range s.zones {
		var held []*holder.Holder
		for h := range s.holders + s.owners {
			self := job.Owner{Entry: job.EntryID(fmt.Sprintf("%s-%d", zoneName(z), h)), Incarnation: 1, Zone: zoneName(z)}
			o := &owner{fleet: f, self: self, splitter: split.New(self.Entry, self.Zone, s.costs, uint64(n+h))}
			o.run = pipeline.Run{Self: self, Holders: o, Events: timeline.Discard{}, Crashes: crash.NewTracker()}
			if h < s.holders {
				o.held = holder.New(holder.Options{Self: self, Config: config.Fixed{File: file}, Connect: f.connect, Scheduler: s.opts, Seed: uint64(h), Crashes: o.run.Crashes, OnCrash: func(_ job.Owner, t crash.Task) { f.reportCrash(o.run.Crashes, t) }})
				f.holders[self.Entry] = o.held
				held = append(held, o.held)
			}
			f.owners = append(f.owners, o)
		}
		for i := range s.targets {
			if z > 0 || i >= s.lost {
				f.addTarget(held[i%len(held)], z, i, n)
			}
			n++
		}
	}
	return f
}

func (f *fleet) addTarget(h *holder.Holder, z, i, n int) {
	id := job.TargetID(fmt.Sprintf("%s-t%02d", zoneName(z), i))
	processors := f.processors[n%len(f.processors)]
	f.targets[id] = &fakeTarget{fleet: f, holder: h, ended: make(chan struct{}), free: 1000 * processors, speed: f.speeds[n/len(f.processors)%len(f.speeds)], stops: map[string]chan struct{}{}}
	f.targets[id].spec = job.Target{
		ID: id, Pool: poolName, Address: string(id), Zone: zoneName(z), Rack: fmt.Sprintf("%s-r%d", zoneName(z), i/8),
		Slots: 8, Connections: 64, Processors: processors, MemoryMB: 32768,
	}
	h.SetTarget(f.targets[id].spec)
	if f.record != nil {
		h.UseSpeed(id, f.record(f.targets[id].speed))
	}
}

func (f *fleet) connect(t job.Target) holder.Connection {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets[t.ID]
}

// report sends the holders' loads to all owners until ctx ends.
func (f *fleet) report(ctx context.Context) {
	for ctx.Err() == nil {
		for _, id := range slices.Sorted(maps.Keys(f.holders)) {
			h := f.holders[id]
			for _, l := range h.Loads() {
				for _, o := range f.owners {
					if o.held != h {
						o.mu.Lock()
						o.splitter.Report(time.Now(), l)
						o.mu.Unlock()
					}
				}
			}
		}
		time.Sleep(reportInterval)
	}
}

// Place implements pipeline.Holders.
func (o *owner) Place(now time.Time, f *pipeline.Flow, tasks []int, without []job.EntryID) ([]pipeline.Part, job.Reason) {
	batch := make([]job.BatchTask, len(tasks))
	for i, task := range tasks {
		batch[i] = job.BatchTask{Index: task, TaskSpec: f.Submission.Tasks[task]}
	}
	var own []job.HolderLoad
	if o.held != nil {
		own = o.held.Loads()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, l := range own {
		o.splitter.Report(now, l)
	}
	plan := o.splitter.SplitFor(now, poolName, split.Precedence{Urgency: f.Service.Urgency, Priority: f.Service.Priority}, batch, without...)
	parts := make([]pipeline.Part, len(plan.Parts))
	for i, p := range plan.Parts {
		parts[i].Holder = p.Entry
		for _, t := range p.Tasks {
			parts[i].Tasks = append(parts[i].Tasks, t.Index)
		}
	}
	return parts, plan.Reason
}

// delayMessage sleeps for the latency of a message about a job to or from an entry.
func (o *owner) delayMessage(to job.EntryID, id job.ID, what string) {
	switch {
	case to == o.self.Entry:
		time.Sleep(jitter(string(id), what))
	case job.Zone(to[:2]) == o.self.Zone:
		time.Sleep(inZoneLatency + jitter(string(id), what))
	default:
		time.Sleep(crossZoneLatency + jitter(string(id), what))
	}
}

// jitter returns a delay of up to 20 µs that depends on the message, so that hardly any two
// messages arrive at the same moment. Goroutines that wake at the same moment run in any
// order, so the simulation would not be repeatable.
func jitter(message ...string) time.Duration {
	h := fnv.New64a()
	for _, m := range message {
		_, _ = h.Write([]byte(m))
		_, _ = h.Write([]byte{0})
	}
	return time.Duration(h.Sum64() % uint64(maxJitter))
}

// Offer implements pipeline.Holders.
func (o *owner) Offer(to job.EntryID, _ string, b *job.Batch, report func([]job.TaskOutcome)) {
	go func() {
		o.delayMessage(to, b.Submission, "offer "+taskName(b.Tasks[0].Index))
		o.fleet.holders[to].Offer(b, func(outcomes []job.TaskOutcome) {
			go func() {
				o.delayMessage(to, b.Submission, "report "+taskName(b.Tasks[0].Index))
				o.recordOutcomes(to, len(b.Tasks), outcomes)
				report(outcomes)
			}()
		})
	}()
}

func (o *owner) recordOutcomes(from job.EntryID, n int, outcomes []job.TaskOutcome) {
	var sum time.Duration
	ran := 0
	for i := range outcomes {
		if outcomes[i].Status == job.TaskDone {
			sum += outcomes[i].Ran
			ran++
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.splitter.Returned(poolName, from, n, sum/time.Duration(max(1, ran)))
}

// Cancel implements pipeline.Holders.
func (o *owner) Cancel(to job.EntryID, by job.Owner, id job.ID) {
	go func() {
		o.delayMessage(to, id, "cancel "+string(to))
		o.fleet.holders[to].Cancel(by, id)
	}()
}

// submit sends one job and records its answer.
func (f *fleet) submit(a *arrival, o *owner) {
	s := &job.Submission{
		ID: a.id, CallerID: true, Transient: true, Attempt: 1, Service: a.kind.name, Received: time.Now(),
		Deadline: time.Now().Add(a.waitLimit()), Tasks: a.tasks(),
	}
	f.mu.Lock()
	f.runs[a.id] = a.runs
	if a.crashing {
		f.crashCounts[target.TaskName(a.id, 0)] = 0
	}
	f.mu.Unlock()
	got := o.run.Process(context.Background(), &pipeline.Flow{Submission: s, Service: a.kind.service()}, nil)
	for range f.resends {
		if got.Outcome == job.Complete || got.Run.Proven() || got.Reason == job.TaskCrashes {
			break
		}
		time.Sleep(resendDelay)
		again := *s
		again.Deadline = time.Now().Add(a.waitLimit())
		again.Received = time.Now()
		o = f.owners[(slices.Index(f.owners, o)+1)%len(f.owners)]
		got = o.run.Process(context.Background(), &pipeline.Flow{Submission: &again, Service: a.kind.service()}, nil)
	}
	freeCapacity := f.freeCapacity(a.millis)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers = append(f.answers, answer{arrival: a, Answer: got, after: time.Since(s.Received), freeCapacity: freeCapacity})
}

// resendDelay is how long a caller waits before it resends a job that may have run.
const resendDelay = 1300 * time.Millisecond

// crashReportDelay is the time from a crash report at one entry to its arrival at all entries.
const crashReportDelay = 250 * time.Millisecond

// reportCrash sends the crash record of a task from one entry to all entries.
func (f *fleet) reportCrash(from *crash.Tracker, t crash.Task) {
	time.AfterFunc(crashReportDelay, func() {
		for _, o := range f.owners {
			o.run.Crashes.Merge(time.Now(), t, from.Decide(t).Counted)
		}
	})
}

// freeCapacity returns how many tasks of a size fit on the targets now.
func (f *fleet) freeCapacity(millis int) int {
	n := 0
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		t.mu.Lock()
		n += t.free / millis
		t.mu.Unlock()
	}
	return n
}

// simulate submits all arrivals and returns the fleet with the answers that callers received.
func simulate(t *testing.T, s site, kinds []kind, arrivals []arrival) *fleet {
	var f *fleet
	synctest.Test(t, func(*testing.T) {
		f = newFleet(s, kinds)
		ctx, stop := context.WithCancel(context.Background())
		go f.report(ctx)
		time.Sleep(time.Second)
		start := time.Now()
		balance := rand.New(rand.NewPCG(1, 2))
		var wg sync.WaitGroup
		for i := range arrivals {
			a := &arrivals[i]
			time.Sleep(time.Until(start.Add(a.at)))
			perZone := f.site.holders + f.site.owners
			o := f.owners[a.zone*perZone+balance.IntN(perZone)]
			wg.Go(func() { f.submit(a, o) })
		}
		wg.Wait()
		stop()
		time.Sleep(time.Minute)
	})
	return f
}

// fakeTarget occupies its processors for the run time of each task.
type fakeTarget struct {
	fleet       *fleet
	holder      *holder.Holder
	spec        job.Target
	incarnation int
	speed       float64
	// ended is closed when a task crashes the target.
	ended chan struct{}
	mu    sync.Mutex
	down  bool
	free  int
	stops map[string]chan struct{}
}

const (
	// leaseTime is the time from the end of a target until its runs are known to be over,
	// restartDelay the time until its next incarnation announces itself.
	leaseTime    = 1100 * time.Millisecond
	restartDelay = 2 * time.Second
	// noticeDelay is the time from the end of a target until its machine has refused a connection.
	noticeDelay = 20 * time.Millisecond
)

// crash ends the target with all tasks on it; its next incarnation starts after restartDelay.
func (t *fakeTarget) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return
	}
	t.down = true
	close(t.ended)
	if !t.fleet.noCrashReports {
		time.AfterFunc(noticeDelay, func() { t.holder.TargetEnded(t.spec.ID) })
	}
	time.AfterFunc(restartDelay, func() {
		next := &fakeTarget{
			fleet: t.fleet, holder: t.holder, spec: t.spec, incarnation: t.incarnation + 1, speed: t.speed,
			ended: make(chan struct{}), free: 1000 * t.spec.Processors, stops: map[string]chan struct{}{},
		}
		next.spec.ID = job.TargetID(fmt.Sprintf("%s/%d", t.spec.Address, next.incarnation))
		t.fleet.mu.Lock()
		delete(t.fleet.targets, t.spec.ID)
		t.fleet.targets[next.spec.ID] = next
		t.fleet.mu.Unlock()
		t.holder.RemoveTarget(t.spec.ID)
		t.holder.SetTarget(next.spec)
	})
}

// countCrash reports whether a task crashes the target on which it runs, and counts the
// crash.
func (f *fleet) countCrash(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, crashing := f.crashCounts[name]
	if crashing {
		f.crashCounts[name]++
	}
	return crashing
}

// Start implements holder.Connection.
func (t *fakeTarget) Start(_ context.Context, task target.Task) target.Result {
	name := target.TaskName(task.Submission, task.Index)
	time.Sleep(targetLatency + jitter(name, "start"))
	t.fleet.mu.Lock()
	run := t.fleet.runs[task.Submission][task.Index]
	t.fleet.mu.Unlock()
	millis := sizeOf(task.Payload)
	stop := make(chan struct{}, 1)
	t.mu.Lock()
	if t.down {
		t.mu.Unlock()
		return target.Result{Status: job.TaskNotStarted, Reason: job.TargetRefused, Refusal: target.Unreachable}
	}
	if t.free < millis {
		t.mu.Unlock()
		return target.Result{Status: job.TaskNotStarted, Reason: job.TargetRefused, Refusal: target.Busy}
	}
	t.free -= millis
	t.stops[name] = stop
	t.mu.Unlock()
	started := time.Now()
	res := target.Result{Status: job.TaskDone}
	if t.fleet.countCrash(name) {
		time.AfterFunc(time.Duration(float64(run)*t.speed/2), t.crash)
	}
	select {
	case <-time.After(time.Duration(float64(run) * t.speed)):
	case <-t.ended:
		time.Sleep(leaseTime)
		return target.Result{Status: job.TaskErred, Reason: job.TargetLost, Over: true, TargetEnded: !t.fleet.noCrashReports, Ran: time.Since(started)}
	case <-stop:
		time.Sleep(stopTime)
		res = target.Result{Status: job.TaskErred, Reason: job.CancelledByCall, Over: true}
	}
	t.fleet.addBusy(time.Since(started))
	t.mu.Lock()
	t.free += millis
	delete(t.stops, name)
	t.mu.Unlock()
	time.Sleep(targetLatency + jitter(name, "end"))
	res.Ran = time.Since(started)
	return res
}

func (f *fleet) addBusy(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.busy += d
}

// Stop implements holder.Connection.
func (t *fakeTarget) Stop(_ context.Context, id job.ID, index int) error {
	time.Sleep(targetLatency + jitter(target.TaskName(id, index), "stop"))
	t.mu.Lock()
	defer t.mu.Unlock()
	if stop := t.stops[target.TaskName(id, index)]; stop != nil {
		select {
		case stop <- struct{}{}:
		default:
		}
	}
	return nil
}

// Preempt implements holder.Preempter.
func (t *fakeTarget) Preempt(ctx context.Context, id job.ID, index int) error {
	return t.Stop(ctx, id, index)
}

// Close implements holder.Connection.
func (t *fakeTarget) Close() {}
