package runs

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// slowed makes the worker's clock 2% slow until stop is called.
func slowed(w *worker) (stop func()) {
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		for ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
			w.set(func() { w.born = w.born.Add(200 * time.Microsecond) })
		}
	}()
	return stop
}

// heldFor has a session give a worker short tasks for some time, so that it has heard the
// worker's clock all the while.
func heldFor(t *testing.T, s *Session, w *worker, seconds int) {
	for range seconds {
		s.Start(t.Context(), taskOf("short", w.next()))
		time.Sleep(900 * time.Millisecond)
	}
}

func (w *worker) next() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.highest[Ref{"short", 0}] + 1
}

// A target's clock is 2% slow, and an entry has held the target for half a minute. An owner
// was last proved alive 900 ms ago when the entry starts a task for it and stands still.
// The run must end when the owner counts on it, 300 ms later, and not a whole lease later:
// the owner places the task anew, and the user's job runs twice.
func TestALeaseEndsWithTheRightOnASlowClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		stop := slowed(w)
		s := NewSession(Options{Orders: w})
		heldFor(t, s, w, 30)
		w.set(func() { w.takes = time.Hour })
		bound := time.Now().Add(300 * time.Millisecond)
		task := taskOf("a", 1)
		task.Left = func() time.Duration { return time.Until(bound) }
		begun := time.Now()
		go s.Start(t.Context(), task)
		time.Sleep(50 * time.Millisecond)
		took := runsUntil(w, begun)
		qt.Check(t, took <= 300*time.Millisecond+leaseMargin, qt.IsTrue, qt.Commentf("%v", took))
		stop()
		s.Close()
		settle()
	})
}

// A target's clock is 2% slow, and an entry has held it for two minutes. A start gets no
// answer, nor does any look after it, and the entry says that the run is over, so that the
// task may go elsewhere. The start is carried out half a second later: its time must be
// over then, or the task runs twice.
func TestAStartIsNotTakenAfterItsLeaseOnASlowClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		stop := slowed(w)
		s := NewSession(Options{Orders: w})
		heldFor(t, s, w, 120)
		w.set(func() {
			w.takes = time.Hour
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
		settle()
	})
}
