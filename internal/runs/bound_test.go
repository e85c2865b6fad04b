package runs

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// timeUntilIdle returns how long after begun the last run of a worker has ended, at most
// about 10 s.
func timeUntilIdle(w *worker, begun time.Time) time.Duration {
	for time.Since(begun) < 10*time.Second {
		idle := false
		w.set(func() { idle = len(w.running) == 0 })
		if idle {
			return time.Since(begun)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begun)
}

// The holder receives nothing from the owner of a run any more, and each stop request that the
// holder sends gets lost. The lease that the holder renews for other runs must not keep this run
// alive, because its owner or its caller starts it elsewhere.
func TestRunWithLostStopsEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.runTime = time.Hour
		w.delay = time.Hour
		w.lose = func(request string) bool { return request == "stop" }
		s := NewSession(Options{Client: w})
		go s.Start(t.Context(), taskOf("lost", 1))
		go s.Start(t.Context(), taskOf("other", 1))
		time.Sleep(2 * time.Second)
		begun := time.Now()
		go func() { _ = s.Stop(t.Context(), "lost", 0) }()
		took := timeUntilIdle(w, begun)
		qt.Assert(t, took <= stopTimeout+leaseMargin, qt.IsTrue, qt.Commentf("%v", took))
		s.Close()
		drain()
	})
}

// A holder is about to pause: the last proof that the owner is alive is 800 ms old when the holder
// renews the lease for the last time. The run must end when the owner expects it to, not when the
// longest lease would end.
func TestLeaseIsBoundedByTimeLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.runTime = time.Hour
		s := NewSession(Options{Client: w})
		bound := time.Now().Add(1200 * time.Millisecond)
		task := taskOf("a", 1)
		task.Left = func() time.Duration { return time.Until(bound) }
		begun := time.Now()
		go s.Start(t.Context(), task)
		time.Sleep(50 * time.Millisecond)
		took := timeUntilIdle(w, begun)
		qt.Assert(t, took <= 1220*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
		s.Close()
		drain()
	})
}

// While a run on a target has to end and can't be stopped, nothing is started on that target: a
// start would extend the lease and so the run.
func TestNoStartWhileARunHasToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.runTime = time.Hour
		s := NewSession(Options{Client: w})
		bound := time.Now().Add(time.Second)
		task := taskOf("a", 1)
		task.Left = func() time.Duration { return time.Until(bound) }
		go s.Start(t.Context(), task)
		time.Sleep(900 * time.Millisecond)
		res := s.Start(t.Context(), taskOf("b", 1))
		qt.Assert(t, res.Status, qt.Equals, job.TaskNotStarted)
		qt.Assert(t, res.Refusal, qt.Equals, target.Busy)
		s.Close()
		drain()
	})
}

// A task stops being wanted while its start is renumbered or sent under a newer epoch: each
// attempt must ask Wanted again.
func TestEveryStartAttemptChecksWanted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		s := NewSession(Options{Client: w})
		time.Sleep(100 * time.Millisecond)
		ref := Ref{"a", 0}
		w.set(func() { w.highest[ref] = 5 })
		asked := 0
		task := taskOf("a", 1)
		task.Wanted = func() bool { asked++; return asked < 3 }
		res := s.Start(t.Context(), task)
		qt.Assert(t, res.Refusal, qt.Equals, target.Abandoned)
		qt.Assert(t, w.starts, qt.Equals, 0)
		s.Close()
		drain()
	})
}
