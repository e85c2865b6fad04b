package runs

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// runsUntil returns when the last run of a worker has ended, at the latest after a while.
func runsUntil(w *worker, begun time.Time) time.Duration {
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

// The owner of a run is not heard any more, and each stop that its holder sends gets lost.
// The run must not live on with the lease that the holder renews for others: the owner, or
// its caller, has it run elsewhere.
func TestARunWhoseStopsGetLostEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.takes = time.Hour
		w.delay = time.Hour
		w.lose = func(order string) bool { return order == "stop" }
		s := NewSession(Options{Orders: w})
		go s.Start(t.Context(), taskOf("lost", 1))
		go s.Start(t.Context(), taskOf("other", 1))
		time.Sleep(2 * time.Second)
		begun := time.Now()
		go func() { _ = s.Stop(t.Context(), "lost", 0) }()
		took := runsUntil(w, begun)
		qt.Assert(t, took <= stopBound+leaseMargin, qt.IsTrue, qt.Commentf("%v", took))
		s.Close()
		settle()
	})
}

// A holder is about to stand still: the proof of its owner's life is 800 ms old when it
// renews the lease for the last time. The run ends when the owner counts on it, not when
// the longest lease would.
func TestALeaseEndsWithTheRightToAct(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.takes = time.Hour
		s := NewSession(Options{Orders: w})
		bound := time.Now().Add(1200 * time.Millisecond)
		task := taskOf("a", 1)
		task.Left = func() time.Duration { return time.Until(bound) }
		begun := time.Now()
		go s.Start(t.Context(), task)
		time.Sleep(50 * time.Millisecond)
		took := runsUntil(w, begun)
		qt.Assert(t, took <= 1220*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
		s.Close()
		settle()
	})
}

// Nothing is started on a target while a run there has to end and can't be stopped: the
// start would lengthen its life.
func TestNothingStartsBesideARunThatHasToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.takes = time.Hour
		s := NewSession(Options{Orders: w})
		bound := time.Now().Add(time.Second)
		task := taskOf("a", 1)
		task.Left = func() time.Duration { return time.Until(bound) }
		go s.Start(t.Context(), task)
		time.Sleep(900 * time.Millisecond)
		res := s.Start(t.Context(), taskOf("b", 1))
		qt.Assert(t, res.Status, qt.Equals, job.TaskNotStarted)
		qt.Assert(t, res.Refusal, qt.Equals, target.Busy)
		s.Close()
		settle()
	})
}

// The right to act ends while a start is renumbered or sent under a newer epoch: each
// sending asks for it anew.
func TestEachSendingOfAStartAsksWhetherItIsWanted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		s := NewSession(Options{Orders: w})
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
		settle()
	})
}
