package holder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// preemptible is a fake target that signals each request to stop a run.
type preemptible struct {
	*fakeTarget
	stop chan struct{}
}

func (c *preemptible) Preempt(context.Context, job.ID, int) error {
	c.stop <- struct{}{}
	return nil
}

// preempting runs a holder with one target that has room for one task. For ten seconds it ran
// other work, then a long task starts, and 100 ms later an urgent job arrives for which the long
// task is asked to stop. stopped is called for the result of that run.
func preempting(t *testing.T, stopped func() target.Result) (h *Holder, long, urgent *reports, runs *[]int) {
	f, stop := newFleet(), make(chan struct{}, 1)
	t.Cleanup(func() { qt.Check(t, f.maxRunning["1"], qt.Equals, 1) })
	runs = new([]int)
	f.answer = func(_ job.TargetID, t target.Task) target.Result {
		if t.Submission == "long" {
			*runs = append(*runs, t.Run)
		}
		begun := time.Now()
		res := target.Result{Status: job.TaskDone, Payload: []byte("1")}
		select {
		case <-time.After(t.Expected):
		case <-stop:
			res = stopped()
		}
		res.Ran = time.Since(begun)
		return res
	}
	file := &config.File{Services: []config.Service{{Name: "check", Pool: "p", Urgency: job.UrgencyInteractive}, {Name: "permit", Pool: "p", Urgency: job.UrgencyInteractive, Priority: 2}}}
	h = New(Options{Self: owner, Config: config.Fixed{File: file}, Connect: func(job.Target) Connection { return &preemptible{&fakeTarget{f, "1", ""}, stop} }})
	one := announced("1")
	one.Slots = 1
	h.SetTarget(one)
	offer := func(id job.ID, service string, millis int64) *reports {
		b := transientOf(id, owner.Entry)
		b.Service, b.Stretch, b.Slack, b.Tasks[0].RunMillis = service, 1.6, 60*time.Millisecond, millis
		r := &reports{}
		h.Offer(b, r.add)
		return r
	}
	offer("before", "permit", 10000)
	time.Sleep(10*time.Second + time.Millisecond)
	long = offer("long", "permit", 1000)
	time.Sleep(100 * time.Millisecond)
	urgent = offer("urgent", "check", 60)
	synctest.Wait()
	qt.Assert(t, h.Stats().Preempted, qt.Equals, uint64(1))
	return h, long, urgent, runs
}

// Guards against a second run before the first has ended, lost results, a false "not run", and
// stops that count as failures.
func TestPreemptedTask(t *testing.T) {
	isStopped := func() target.Result {
		time.Sleep(40 * time.Millisecond)
		return target.Result{Status: job.TaskErred, Reason: job.CancelledByCall, Over: true}
	}
	goesOn := func() target.Result {
		time.Sleep(900 * time.Millisecond)
		return target.Result{Status: job.TaskDone}
	}
	drop, cancel := func(h *Holder) { h.Drop(owner) }, func(h *Holder) { h.Cancel(owner, "long") }
	for name, c := range map[string]struct {
		stopped func() target.Result
		wait    time.Duration
		end     func(*Holder)
		long    string
		runs    []int
		lost    uint64
	}{
		"stopped":                     {isStopped, 0, nil, "done", []int{1, 2}, 140},
		"the stop is never answered":  {goesOn, 0, nil, "done", []int{1}, 0},
		"done before the stop":        {done, 0, nil, "done", []int{1}, 0},
		"owner dies during the stop":  {isStopped, 0, drop, "erred target_lost", []int{1}, 140},
		"owner dies before the start": {isStopped, 50 * time.Millisecond, drop, "erred target_lost", []int{1}, 140},
		"zone cordoned":               {isStopped, 50 * time.Millisecond, func(h *Holder) { h.SetCordoned(true) }, "erred target_lost", []int{1}, 140},
		"cancelled during the stop":   {isStopped, 0, cancel, "erred cancelled_by_caller", []int{1}, 0},
		"cancelled before the start":  {isStopped, 50 * time.Millisecond, cancel, "erred cancelled_by_caller", []int{1}, 140},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, long, urgent, runs := preempting(t, c.stopped)
				time.Sleep(c.wait)
				if c.end != nil {
					c.end(h)
				}
				qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
				qt.Check(t, long.tally(), qt.DeepEquals, tally{c.long: 1})
				qt.Check(t, *runs, qt.DeepEquals, c.runs)
				s := h.Stats()
				qt.Check(t, s.PreemptedMillis, qt.Equals, c.lost)
				if name == "stopped" {
					qt.Check(t, urgent.tally(), qt.DeepEquals, tally{"done": 1})
					qt.Check(t, s.Failed+s.Retried+s.Requeued, qt.Equals, uint64(0))
				}
			})
		})
	}
}
