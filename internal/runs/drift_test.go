package runs

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// slowClock makes the worker's clock run 2% slow until stop is called.
func slowClock(w *worker) (stop func()) {
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		for ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
			w.set(func() { w.clockStart = w.clockStart.Add(200 * time.Microsecond) })
		}
	}()
	return stop
}

// holdFor has a session run short tasks on a worker for some seconds, so that it keeps receiving
// the worker's clock readings.
func holdFor(t *testing.T, s *Session, w *worker, seconds int) {
	for range seconds {
		s.Start(t.Context(), taskOf("short", w.nextRun()))
		time.Sleep(900 * time.Millisecond)
	}
}

func (w *worker) nextRun() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.highest[Ref{"short", 0}] + 1
}

// A target's clock runs 2% slow, and an entry has held the target for half a minute. The last
// proof that an owner is alive is 900 ms old when the entry starts a task for it and pauses. The
// run must end 300 ms later, when the owner expects it to, and not a whole lease later: the owner
// places the task again, and the user's job would run twice.
func TestLeaseIsBoundedOnASlowClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		stop := slowClock(w)
		s := NewSession(Options{Client: w})
		holdFor(t, s, w, 30)
		w.set(func() { w.runTime = time.Hour })
		bound := time.Now().Add(300 * time.Millisecond)
		task := taskOf("a", 1)
		task.Left = func() time.Duration { return time.Until(bound) }
		begun := time.Now()
		go s.Start(t.Context(), task)
		time.Sleep(50 * time.Millisecond)
		took := timeUntilIdle(w, begun)
		qt.Check(t, took <= 300*time.Millisecond+leaseMargin, qt.IsTrue, qt.Commentf("%v", took))
		stop()
		s.Close()
		drain()
	})
}

// A target's clock runs 2% slow, and an entry has held the target for two minutes. A start and all
// polls after it get no answer, so the entry reports the run as over and the task may go
// elsewhere. The target receives the start half a second later: its lease must have expired by
// then, or the task runs twice.
func TestAStartIsNotTakenAfterItsLeaseOnASlowClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		stop := slowClock(w)
		s := NewSession(Options{Client: w})
		holdFor(t, s, w, 120)
		w.set(func() {
			w.runTime = time.Hour
			w.lose = func(string) bool { return true }
			w.delay = 3 * time.Second
		})
		begun := time.Now()
		res := s.Start(t.Context(), taskOf("a", 1))
		qt.Check(t, res.Reason, qt.Equals, job.TargetLost)
		qt.Check(t, res.Over, qt.IsTrue)
		qt.Check(t, time.Since(begun) < 3*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(begun)))
		before := 0
		w.set(func() { before = w.starts })
		time.Sleep(time.Until(begun.Add(3*time.Second + 5*time.Millisecond)))
		w.set(func() { qt.Check(t, w.starts, qt.Equals, before, qt.Commentf("the start was carried out")) })
		stop()
		s.Close()
		drain()
	})
}
