package holder

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// preemptible is a fake target whose runs take a second unless they are stopped.
type preemptible struct {
	mu      sync.Mutex
	stops   map[job.ID]chan struct{}
	alive   map[job.ID]int
	runs    map[job.ID][]int
	doubled bool
	// ignoresStops is set if stops have no effect. doneAfter is how long a run that is to be
	// stopped goes on if it then ends with a result; zero: it is stopped after 40 ms.
	ignoresStops bool
	doneAfter    time.Duration
}

func (c *preemptible) Start(_ context.Context, t target.Task) target.Result {
	c.mu.Lock()
	stop := make(chan struct{}, 2)
	c.stops[t.Submission] = stop
	c.runs[t.Submission] = append(c.runs[t.Submission], t.Run)
	c.alive[t.Submission]++
	c.doubled = c.doubled || c.alive[t.Submission] > 1
	c.mu.Unlock()
	res := target.Result{Status: job.TaskDone, Payload: []byte("1")}
	begun := time.Now()
	select {
	case <-time.After(time.Duration(t.Expected)):
	case <-stop:
		if c.doneAfter > 0 {
			time.Sleep(c.doneAfter)
			break
		}
		time.Sleep(40 * time.Millisecond)
		res = target.Result{Status: job.TaskErred, Reason: job.CancelledByCall, Over: true}
	}
	c.mu.Lock()
	c.alive[t.Submission]--
	c.mu.Unlock()
	res.Ran = time.Since(begun)
	return res
}

func (c *preemptible) Stop(_ context.Context, id job.ID, _ int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ignoresStops {
		c.stops[id] <- struct{}{}
	}
	return nil
}

func (c *preemptible) Preempt(ctx context.Context, id job.ID, index int) error {
	return c.Stop(ctx, id, index)
}

func (c *preemptible) Close() {}

var sharedFile = &config.File{Number: 1, Services: []config.Service{
	{Name: "check", Pool: "p", Urgency: job.UrgencyInteractive},
	{Name: "permit", Pool: "p", Urgency: job.UrgencyInteractive, Priority: 2},
}}

// preempting runs a holder with one target that has room for one task. For ten seconds it ran
// other work, then a long task starts, and 100 ms later an urgent job arrives and gets the long
// task stopped.
func preempting(t *testing.T, c *preemptible) (h *Holder, long, urgent *reports) {
	t.Helper()
	c.stops, c.alive, c.runs = map[job.ID]chan struct{}{}, map[job.ID]int{}, map[job.ID][]int{}
	h = New(Options{Self: owner, Config: config.Fixed{File: sharedFile}, Connect: func(job.Target) Connection { return c }})
	one := announced("1")
	one.Slots = 1
	h.SetTarget(one)
	offer := func(id job.ID, service string, millis int64, r *reports) {
		b := transientOf(id, owner.Entry)
		b.Owner, b.Service, b.Stretch, b.Slack = owner, service, 1.6, 60*time.Millisecond
		b.Tasks[0].RunMillis = millis
		h.Offer(b, r.add)
	}
	offer("before", "permit", 10000, &reports{})
	time.Sleep(10*time.Second + time.Millisecond)
	long, urgent = &reports{}, &reports{}
	offer("long", "permit", 1000, long)
	time.Sleep(100 * time.Millisecond)
	offer("urgent", "check", 60, urgent)
	synctest.Wait()
	qt.Assert(t, h.Stats().Preempted, qt.Equals, uint64(1))
	qt.Assert(t, c.runs["urgent"], qt.HasLen, 0)
	return h, long, urgent
}

// A stopped task must start again, with a higher number, only after its run has ended and the
// urgent job was served. Neither counts as a failure.
func TestPreemptedTaskRunsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &preemptible{}
		h, long, urgent := preempting(t, c)
		qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
		qt.Check(t, urgent.tally(), qt.DeepEquals, tally{"done": 1})
		qt.Check(t, long.tally(), qt.DeepEquals, tally{"done": 1})
		qt.Check(t, c.runs["long"], qt.DeepEquals, []int{1, 2})
		qt.Check(t, c.doubled, qt.IsFalse)
		s := h.Stats()
		qt.Check(t, s.Failed+s.Retried+s.Requeued, qt.Equals, uint64(0))
		qt.Check(t, s.PreemptedMillis, qt.Equals, uint64(140))
	})
}

// The stop is never answered, or the run ends with a result while the stop is on its way. The
// capacity must stay taken until the run has ended, and the result must count.
func TestRunThatIsNotStopped(t *testing.T) {
	for name, c := range map[string]*preemptible{"no answer": {ignoresStops: true}, "done before the stop": {doneAfter: 30 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, long, _ := preempting(t, c)
				qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
				qt.Check(t, long.tally(), qt.DeepEquals, tally{"done": 1})
				qt.Check(t, c.runs["long"], qt.DeepEquals, []int{1})
				qt.Check(t, h.Stats().PreemptedMillis, qt.Equals, uint64(0))
			})
		})
	}
}

// The owner dies, or the job is cancelled, while the run is being stopped or before it starts
// again. The task must not start again, and it must not be reported as "not started": its caller
// would take that for "not run". Where the run is known to be over, the owner may place it again.
func TestPreemptedJobEndsInTheMeantime(t *testing.T) {
	for name, c := range map[string]struct {
		wait time.Duration
		end  func(*Holder)
		want tally
	}{
		"owner dies during the stop":  {0, func(h *Holder) { h.Drop(owner) }, tally{"erred target_lost": 1}},
		"owner dies before the start": {50 * time.Millisecond, func(h *Holder) { h.Drop(owner) }, tally{"erred owner_lost": 1}},
		"cancelled during the stop":   {0, func(h *Holder) { h.Cancel(owner, "long") }, tally{"erred cancelled_by_caller": 1}},
		"cancelled before the start":  {50 * time.Millisecond, func(h *Holder) { h.Cancel(owner, "long") }, tally{"erred cancelled_by_caller": 1}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := &preemptible{}
				h, long, _ := preempting(t, target)
				time.Sleep(c.wait)
				c.end(h)
				qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
				qt.Check(t, long.tally(), qt.DeepEquals, c.want)
				qt.Check(t, target.runs["long"], qt.DeepEquals, []int{1})
			})
		})
	}
}
