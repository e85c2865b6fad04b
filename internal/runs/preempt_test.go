package runs

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// preempting starts tasks a and b, and asks the target to stop a. The result of each arrives in
// its channel.
func preempting(t *testing.T, w *worker) (s *Session, a, b chan target.Result) {
	s = NewSession(Options{Client: w})
	a, b = make(chan target.Result, 1), make(chan target.Result, 1)
	go func() { a <- s.Start(t.Context(), taskOf("a", 1)) }()
	go func() { b <- s.Start(t.Context(), taskOf("b", 1)) }()
	time.Sleep(100 * time.Millisecond)
	qt.Assert(t, s.Preempt(t.Context(), "a", 0), qt.IsNil)
	return s, a, b
}

// A stopped run must be known to be over, and the task must be able to start again on the same
// target.
func TestPreemptedTaskStartsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.runTime = 3 * time.Second
		s, a, b := preempting(t, w)
		res := <-a
		qt.Check(t, res.Over, qt.IsTrue)
		qt.Check(t, res.Reason, qt.Equals, job.CancelledByCall)
		qt.Check(t, res.Ran < 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", res.Ran))
		qt.Check(t, s.Start(t.Context(), taskOf("a", 2)).Status, qt.Equals, job.TaskDone)
		qt.Check(t, (<-b).Status, qt.Equals, job.TaskDone)
		s.Close()
		drain()
	})
}

// No stop request reaches the target. Neither the run nor the others on the target may be lost
// for it, as they would be if their lease ended with the run.
func TestLeaseOutlivesAStopWithoutEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.runTime, w.delay = 4*DefaultLease, time.Hour
		w.lose = func(request string) bool { return request == "stop" }
		s, a, b := preempting(t, w)
		qt.Check(t, (<-a).Status, qt.Equals, job.TaskDone)
		qt.Check(t, (<-b).Status, qt.Equals, job.TaskDone)
		s.Close()
		drain()
	})
}

// The holder dies after it has asked for a stop that gets lost. The lease must end the run, and
// only then may the next holder start the task, under a higher number.
func TestHolderDiesWhileStopping(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.runTime, w.delay = time.Hour, time.Hour
		w.lose = func(request string) bool { return request == "stop" }
		s, _, _ := preempting(t, w)
		s.stop()
		time.Sleep(DefaultLease + 100*time.Millisecond)
		w.set(func() {
			qt.Check(t, w.running, qt.HasLen, 0)
			w.runTime = 50 * time.Millisecond
		})
		next := NewSession(Options{Client: w, Salt: 2})
		qt.Check(t, next.Start(t.Context(), taskOf("a", 1)).Status, qt.Equals, job.TaskDone)
		w.set(func() { qt.Check(t, w.highest[Ref{Submission: "a"}] > 1, qt.IsTrue) })
		next.Close()
		s.mu.Lock()
		for ref, r := range s.runs {
			s.endRunLocked(ref, r, erred(job.TargetLost, "the holder is dead", true))
		}
		s.mu.Unlock()
		drain()
	})
}
