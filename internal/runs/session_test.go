package runs

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

var errLost = errors.New("no answer")

// worker is a target in memory that follows the protocol: a lease on its own clock, one highest
// epoch, and ends that are listed until they are acknowledged.
type worker struct {
	mu         sync.Mutex
	clockStart time.Time
	// startedAt is reported as the start of the process, in Unix milliseconds; zero if it is not.
	startedAt int64
	epoch     uint64
	until     int64
	running   map[Ref]*task
	highest   map[Ref]int
	ended     []End
	last      uint64
	acked     uint64
	changed   chan struct{}
	// runTime is how long a run takes. lose decides which answers are lost, and delay is how much
	// later a request whose answer is lost is carried out.
	runTime      time.Duration
	lose         func(request string) bool
	delay        time.Duration
	unresponsive bool
	// randomDelay replaces delay where it is set. All starts of the submission loseTask get lost.
	// full means that there is no free capacity.
	randomDelay func() time.Duration
	loseTask    job.ID
	full        bool
	// starts counts the starts that were carried out.
	starts int
}

type task struct {
	run   int
	timer *time.Timer
}

func newWorker() *worker {
	w := &worker{clockStart: time.Now().Add(-time.Hour), running: map[Ref]*task{}, highest: map[Ref]int{}, changed: make(chan struct{}), runTime: 100 * time.Millisecond}
	go w.expireLeases()
	return w
}

func (w *worker) clock() int64 { return time.Since(w.clockStart).Milliseconds() }

// expireLeases ends all runs when the lease expires. It returns after 40 s, so that the test's
// bubble can end.
func (w *worker) expireLeases() {
	for range 4000 {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		if len(w.running) > 0 && w.clock() > w.until {
			for ref := range w.running {
				w.end(ref, LeaseExpired)
			}
		}
		w.mu.Unlock()
	}
}

// end records the end of a run. The caller holds the lock.
func (w *worker) end(ref Ref, how EndState) {
	x := w.running[ref]
	if x == nil {
		return
	}
	x.timer.Stop()
	delete(w.running, ref)
	w.last++
	w.ended = append(w.ended, End{Number: w.last, Task: ref, Run: x.run, How: how})
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) extend(until int64) {
	most := w.clock() + DefaultLease.Milliseconds()
	w.until = max(w.until, min(until, most))
}

// carryOut carries out a request, now or later, and loses its answer where lose says so.
func (w *worker) carryOut(ctx context.Context, request string, do func() Reply) (Reply, error) {
	w.mu.Lock()
	unresponsive := w.unresponsive
	lost := w.lose != nil && w.lose(request)
	delay := w.delay
	if lost && w.randomDelay != nil {
		delay = w.randomDelay()
	}
	w.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return Reply{}, errLost
	}
	if lost {
		time.AfterFunc(delay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			do()
		})
		<-ctx.Done()
		return Reply{}, errLost
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return do(), nil
}

func (w *worker) fenced(epoch uint64) bool {
	if epoch < w.epoch {
		return true
	}
	w.epoch = epoch
	return false
}

func (w *worker) losesTask(ref Ref) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loseTask != "" && w.loseTask == ref.Submission
}

func (w *worker) Start(ctx context.Context, o StartRequest) (Reply, error) {
	if w.losesTask(o.Task) {
		<-ctx.Done()
		return Reply{}, errLost
	}
	return w.carryOut(ctx, "start", func() Reply {
		r := Reply{Clock: w.clock()}
		switch {
		case w.fenced(o.Epoch):
			r.Refusal = Fenced
		case o.Until <= w.clock():
			r.Refusal = Late
		case w.running[o.Task] != nil && w.running[o.Task].run == o.Run:
		case o.Run <= w.highest[o.Task]:
			r.Refusal = StaleRunNumber
		case w.full:
			r.Refusal = NoCapacity
		default:
			w.extend(o.Until)
			w.highest[o.Task] = o.Run
			w.starts++
			ref := o.Task
			w.running[ref] = &task{run: o.Run, timer: time.AfterFunc(w.runTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.end(ref, Done)
			})}
		}
		return r
	})
}

func (w *worker) Stop(ctx context.Context, o StopRequest) (Reply, error) {
	return w.carryOut(ctx, "stop", func() Reply {
		r := Reply{Clock: w.clock()}
		if w.fenced(o.Epoch) {
			r.Refusal = Fenced
			return r
		}
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		w.end(o.Task, Stopped)
		return r
	})
}

func (w *worker) Renew(ctx context.Context, o PollRequest) (PollReply, error) {
	var l PollReply
	reply, err := w.carryOut(ctx, "renew", func() Reply {
		r := Reply{Clock: w.clock()}
		if w.fenced(o.Epoch) {
			r.Refusal = Fenced
			return r
		}
		if o.Until > 0 {
			w.extend(o.Until)
		}
		w.acked = max(w.acked, o.Acked)
		w.ended = slices.DeleteFunc(w.ended, func(e End) bool { return e.Number <= w.acked })
		return r
	})
	if err != nil || reply.Refusal != Accepted {
		l.Reply = reply
		return l, err
	}
	w.mu.Lock()
	changed, ends := w.changed, len(w.ended)
	w.mu.Unlock()
	if ends == 0 && o.WaitMillis > 0 {
		timer := time.NewTimer(time.Duration(o.WaitMillis) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return l, ctx.Err()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	l.Reply = Reply{Clock: w.clock()}
	l.StartedAt = w.startedAt
	for ref, x := range w.running {
		l.Running = append(l.Running, Running{Task: ref, Run: x.run})
	}
	l.Ended = slices.Clone(w.ended)
	return l, nil
}

func (w *worker) Close() {}

func (w *worker) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func taskOf(id string, run int) target.Task {
	return target.Task{Submission: job.ID(id), Run: run}
}

// drain waits until everything that a test left behind has ended.
func drain() { time.Sleep(time.Minute) }

// A run that takes three leases must end as done: its lease is renewed throughout, and its end is
// acknowledged although no further run follows.
func TestRunOutlivesManyLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.runTime = 3 * DefaultLease
		s := NewSession(Options{Client: w})
		res := s.Start(t.Context(), taskOf("a", 1))
		qt.Assert(t, res.Status, qt.Equals, job.TaskDone)
		qt.Assert(t, res.Ran >= w.runTime, qt.IsTrue)
		time.Sleep(time.Second)
		w.set(func() { qt.Check(t, w.acked, qt.Equals, uint64(1)) })
		s.Close()
		drain()
	})
}

// A caller cancels while the entry still waits for a target that it has just taken. The task must
// not start once the target answers.
func TestUnwantedStartIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		s := NewSession(Options{Client: w})
		unwanted := taskOf("a", 1)
		unwanted.Wanted = func() bool { return false }
		res := s.Start(t.Context(), unwanted)
		qt.Assert(t, res.Status, qt.Equals, job.TaskNotStarted)
		w.set(func() { qt.Check(t, len(w.running)+len(w.ended), qt.Equals, 0) })
		s.Close()
		drain()
	})
}

// The answer to a start is lost, and the request is carried out at once, after a delay, or never.
// The caller must get its result, or the task must be reported as not started. An abandoned start
// must never run later.
func TestStartWithoutAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		delay time.Duration
		want  job.TaskStatus
		runs  int
	}{
		"carried out at once": {0, job.TaskDone, 1},
		"carried out later":   {500 * time.Millisecond, job.TaskNotStarted, 0},
		"carried out late":    {2 * time.Second, job.TaskNotStarted, 0},
		"never carried out":   {time.Hour, job.TaskNotStarted, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorker()
				w.runTime, w.delay = 600*time.Millisecond, c.delay
				w.lose = func(request string) bool { return request == "start" }
				s := NewSession(Options{Client: w})
				res := s.Start(t.Context(), taskOf("a", 1))
				qt.Assert(t, res.Status, qt.Equals, c.want)
				time.Sleep(5 * time.Second)
				w.set(func() { qt.Check(t, w.starts, qt.Equals, c.runs) })
				s.Close()
				drain()
			})
		})
	}
}

// A target becomes unresponsive with a run on it. The run must count as over only when its lease
// has certainly expired, so that the task can go elsewhere without ever running twice at once.
func TestLeaseOfUnresponsiveTargetExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.runTime = time.Hour
		s := NewSession(Options{Client: w})
		go func() {
			time.Sleep(500 * time.Millisecond)
			w.set(func() { w.unresponsive = true })
		}()
		res := s.Start(t.Context(), taskOf("a", 1))
		qt.Assert(t, res.Status, qt.Equals, job.TaskErred)
		qt.Assert(t, res.Over, qt.IsTrue)
		w.set(func() { qt.Check(t, w.running, qt.HasLen, 0) })
		qt.Assert(t, res.Ran < 3*time.Second, qt.IsTrue, qt.Commentf("%v", res.Ran))
		refused := s.Start(t.Context(), taskOf("b", 1))
		qt.Assert(t, refused.Refusal, qt.Equals, target.Unreachable)
		w.set(func() { w.unresponsive = false })
		time.Sleep(time.Second)
		w.set(func() { w.runTime = 10 * time.Millisecond })
		qt.Assert(t, s.Start(t.Context(), taskOf("b", 2)).Status, qt.Equals, job.TaskDone)
		s.Close()
		drain()
	})
}

// An entry takes a target that another entry, such as one that was paused, still believes to hold.
// Runs of the earlier holder must be stopped before anything starts, the earlier holder must
// yield, and neither may take the target back.
func TestLaterHolderFencesTheEarlier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.runTime = 10 * time.Second
		yielded := make(chan struct{}, 1)
		first := NewSession(Options{Client: w, Salt: 1, Yielded: func() { yielded <- struct{}{} }})
		lost := make(chan target.Result, 1)
		go func() { lost <- first.Start(t.Context(), taskOf("a", 1)) }()
		time.Sleep(time.Second)
		w.set(func() { w.runTime = 100 * time.Millisecond })
		second := NewSession(Options{Client: w, Salt: 2, Yielded: func() { t.Error("the later holder yields") }})
		qt.Assert(t, second.Start(t.Context(), taskOf("b", 1)).Status, qt.Equals, job.TaskDone)
		res := <-lost
		qt.Assert(t, res.Status, qt.Equals, job.TaskErred)
		qt.Assert(t, res.Over, qt.IsTrue)
		<-yielded
		qt.Assert(t, first.Start(t.Context(), taskOf("c", 1)).Refusal, qt.Equals, target.Draining)
		qt.Assert(t, second.Start(t.Context(), taskOf("d", 1)).Status, qt.Equals, job.TaskDone)
		first.Close()
		second.Close()
		drain()
	})
}

// A caller disconnects. Its run must be stopped at the target within 500 ms, even when the first
// stop request is lost and never carried out.
func TestStopReachesTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.runTime, w.delay = time.Hour, time.Hour
		losses := 1
		w.lose = func(request string) bool {
			losses--
			return request == "stop" && losses >= 0
		}
		s := NewSession(Options{Client: w})
		done := make(chan target.Result, 1)
		go func() { done <- s.Start(t.Context(), taskOf("a", 1)) }()
		time.Sleep(100 * time.Millisecond)
		w.set(func() { losses = 1 })
		begun := time.Now()
		qt.Assert(t, s.Stop(t.Context(), "a", 0), qt.IsNil)
		res := <-done
		qt.Assert(t, res.Status, qt.Equals, job.TaskErred)
		qt.Assert(t, time.Since(begun) < 500*time.Millisecond, qt.IsTrue)
		w.set(func() { qt.Check(t, w.running, qt.HasLen, 0) })
		s.Close()
		drain()
	})
}

// A submission is sent again through another entry, which numbers its runs from 1 again and
// reaches the target that ran it before.
func TestLaterOwnerGetsAHigherRunNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		s := NewSession(Options{Client: w})
		qt.Assert(t, s.Start(t.Context(), taskOf("a", 3)).Status, qt.Equals, job.TaskDone)
		qt.Assert(t, s.Start(t.Context(), taskOf("a", 1)).Status, qt.Equals, job.TaskDone)
		w.set(func() { qt.Check(t, w.starts, qt.Equals, 2) })
		s.Close()
		drain()
	})
}

// One answer in ten is lost, and its request is carried out seconds later. Every start must have
// one result, and a run reported as not started or over must not be active at that moment.
func TestOutcomesHoldWhileAnswersGetLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		n := 0
		w.lose = func(string) bool {
			n++
			return n%10 == 3
		}
		w.delay = 3 * time.Second
		s := NewSession(Options{Client: w})
		var both sync.WaitGroup
		for i := range 4 {
			both.Go(func() {
				for k := range 40 {
					ref := Ref{job.ID(rune('a' + i)), k}
					res := s.Start(t.Context(), target.Task{Submission: ref.Submission, Index: k, Run: 1})
					w.set(func() {
						if res.Status != job.TaskDone && (res.Status == job.TaskNotStarted || res.Over) {
							qt.Check(t, w.running[ref], qt.IsNil)
						}
					})
				}
			})
		}
		both.Wait()
		time.Sleep(10 * time.Second)
		w.set(func() { qt.Check(t, w.running, qt.HasLen, 0) })
		s.Close()
		drain()
	})
}

// A run makes no progress on a target that answers normally otherwise. It must be stopped early
// enough for the task to run elsewhere, and must not count as cancelled.
func TestStalledRunIsMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.runTime = time.Hour
		s := NewSession(Options{Client: w})
		task := taskOf("a", 1)
		task.Expected = 100 * time.Millisecond
		res := s.Start(t.Context(), task)
		qt.Assert(t, res.Status, qt.Equals, job.TaskErred)
		qt.Assert(t, res.Reason, qt.Equals, job.TargetLost)
		qt.Assert(t, res.Over, qt.IsTrue)
		qt.Assert(t, res.Ran < 400*time.Millisecond, qt.IsTrue, qt.Commentf("%v", res.Ran))
		s.Close()
		drain()
	})
}

// Guards against a task that never ends because its target is released between the decision to
// start the task and the start itself.
func TestStartOnAClosedSessionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		s := NewSession(Options{Client: w})
		time.Sleep(time.Second)
		s.Close()
		done := make(chan target.Result, 1)
		go func() { done <- s.Start(context.Background(), taskOf("a", 1)) }()
		time.Sleep(5 * time.Second)
		select {
		case res := <-done:
			qt.Assert(t, res.Status, qt.Equals, job.TaskNotStarted)
		default:
			t.Error("the start has not returned")
		}
		w.set(func() { qt.Check(t, w.starts, qt.Equals, 0) })
		drain()
	})
}
