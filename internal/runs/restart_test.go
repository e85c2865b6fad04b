package runs

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// newRestartingWorker returns a worker that reports when its process started.
func newRestartingWorker() *worker {
	w := newWorker()
	w.startedAt = time.Now().Add(-time.Hour).UnixMilli()
	return w
}

// restart ends the worker's process and starts it again under its id: it runs and knows nothing
// of before.
func (w *worker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.running {
		x.timer.Stop()
	}
	w.startedAt, w.clockStart = time.Now().UnixMilli(), time.Now()
	w.epoch, w.until, w.last, w.acked = 0, 0, 0, 0
	w.running, w.highest, w.ended = map[Ref]*task{}, map[Ref]int{}, nil
	close(w.changed)
	w.changed = make(chan struct{})
}

// Guards against waiting for the lease of a target that has restarted under its id, and against
// a cursor of the former process that hides the ends of the new one.
func TestRunsAreLostAtOnceWhenTheirTargetRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRestartingWorker()
		s := NewSession(Options{Client: w})
		time.Sleep(time.Second)
		for i := range 20 {
			res := s.Start(t.Context(), target.Task{Submission: "before", Index: i, Run: 1})
			qt.Assert(t, res.Status, qt.Equals, job.TaskDone)
		}
		w.set(func() { w.runTime = 10 * time.Second })
		lost := make(chan target.Result, 1)
		go func() { lost <- s.Start(t.Context(), taskOf("a", 1)) }()
		time.Sleep(50 * time.Millisecond)
		w.restart()
		restarted := time.Now()
		res := <-lost
		qt.Check(t, time.Since(restarted) <= 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(restarted)))
		qt.Check(t, res.Over && res.TargetEnded, qt.IsTrue, qt.Commentf("%+v", res))
		w.set(func() { w.runTime = 60 * time.Millisecond })
		for i := range 5 {
			res := s.Start(t.Context(), target.Task{Submission: "after", Index: i, Run: 1})
			qt.Check(t, res.Status, qt.Equals, job.TaskDone, qt.Commentf("%+v", res))
			qt.Check(t, res.Ran <= 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", res.Ran))
		}
		s.Close()
		drain()
	})
}

// Guards against a second run of a task that the restarted process has accepted before the entry
// knew of the restart.
func TestRunOnTheRestartedTargetGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRestartingWorker()
		w.runTime = 300 * time.Millisecond
		s := NewSession(Options{Client: w})
		time.Sleep(time.Second)
		w.restart()
		res := s.Start(t.Context(), taskOf("a", 1))
		qt.Check(t, res.Status, qt.Equals, job.TaskDone, qt.Commentf("%+v", res))
		w.set(func() { qt.Check(t, w.starts, qt.Equals, 1) })
		s.Close()
		drain()
	})
}

// Guards against a start for the former process that is carried out by its successor after the
// run has been reported as over.
func TestLateStartForTheFormerProcessIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRestartingWorker()
		w.runTime, w.delay = 10*time.Second, 700*time.Millisecond
		s := NewSession(Options{Client: w})
		time.Sleep(time.Second)
		w.set(func() { w.lose = func(request string) bool { return request == "start" } })
		ended := make(chan target.Result, 1)
		go func() { ended <- s.Start(t.Context(), taskOf("a", 1)) }()
		time.Sleep(5 * time.Millisecond)
		w.restart()
		res := <-ended
		qt.Check(t, res.Over || res.Status == job.TaskNotStarted, qt.IsTrue, qt.Commentf("%+v", res))
		w.set(func() { w.lose = nil })
		time.Sleep(3 * time.Second)
		w.set(func() { qt.Check(t, w.starts, qt.Equals, 0) })
		s.Close()
		drain()
	})
}

// Guards against a holder that can't take a target whose restarted process has seen an epoch of
// the former one: its own clock has begun anew.
func TestNextHolderTakesARestartedTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRestartingWorker()
		w.runTime = 60 * time.Millisecond
		first := NewSession(Options{Client: w, Salt: 1})
		time.Sleep(time.Second)
		w.restart()
		res := first.Start(t.Context(), taskOf("a", 1))
		qt.Check(t, res.Status, qt.Equals, job.TaskDone, qt.Commentf("%+v", res))
		first.Close()
		second := NewSession(Options{Client: w, Salt: 2, StartedAt: w.startedAt, Yielded: func() { t.Error("the later holder yields") }})
		res = second.Start(t.Context(), taskOf("b", 1))
		qt.Check(t, res.Status, qt.Equals, job.TaskDone, qt.Commentf("%+v", res))
		second.Close()
		drain()
	})
}

// Guards against an answer of the former process that arrives after one of its successor and
// would end the runs there.
func TestLateAnswerOfTheFormerProcessChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRestartingWorker()
		s := NewSession(Options{Client: w})
		time.Sleep(time.Second)
		former, err := w.Renew(t.Context(), PollRequest{Epoch: 1 << 62})
		qt.Assert(t, err, qt.IsNil)
		w.restart()
		s.Restarted(w.startedAt)
		time.Sleep(100 * time.Millisecond)
		w.set(func() { w.runTime = 200 * time.Millisecond })
		done := make(chan target.Result, 1)
		go func() { done <- s.Start(t.Context(), taskOf("a", 1)) }()
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		qt.Check(t, s.observeIncarnation(&former), qt.IsFalse)
		s.mu.Unlock()
		res := <-done
		qt.Check(t, res.Status, qt.Equals, job.TaskDone, qt.Commentf("%+v", res))
		s.Close()
		drain()
	})
}
