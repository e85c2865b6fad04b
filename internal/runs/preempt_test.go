package runs

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// No stop request reaches the target. Neither the run nor the others on the target may be lost
// for it, as they would be if their lease ended with the run. If the holder dies then, the lease
// must end the runs, and the next holder must be able to start the task again.
func TestStopWithoutEffect(t *testing.T) {
	for name, dies := range map[string]bool{"the holder lives": false, "the holder dies": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorker()
				w.runTime, w.delay = 4*DefaultLease, time.Hour
				w.lose = func(request string) bool { return request == "stop" }
				s, ends := NewSession(Options{Client: w}), make(chan target.Result, 2)
				for _, id := range []string{"a", "b"} {
					go func() { ends <- s.Start(t.Context(), taskOf(id, 1)) }()
				}
				time.Sleep(100 * time.Millisecond)
				qt.Assert(t, s.Preempt(t.Context(), "a", 0), qt.IsNil)
				want := job.TaskDone
				if dies {
					s.stop()
					time.Sleep(DefaultLease + 100*time.Millisecond)
					w.set(func() { qt.Check(t, w.running, qt.HasLen, 0) })
					next := NewSession(Options{Client: w, Salt: 2})
					qt.Check(t, next.Start(t.Context(), taskOf("a", 1)).Status, qt.Equals, job.TaskDone)
					next.Close()
					s.endSession("the holder is dead")
					want = job.TaskErred
				}
				qt.Check(t, (<-ends).Status, qt.Equals, want)
				qt.Check(t, (<-ends).Status, qt.Equals, want)
				s.Close()
				drain()
			})
		})
	}
}
