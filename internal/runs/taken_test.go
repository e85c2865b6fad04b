package runs

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// A start is carried out and its answer gets lost. Another entry takes the target before the
// request is sent again, so that the second copy is refused. That copy did nothing, which proves
// nothing about the first one: if the run were reported as not started, the task would go
// elsewhere while the run is active, until the other entry stops it as a stray. The run is over
// only when its lease has certainly expired, since this entry can no longer poll the target.
func TestAStartWithoutAnswerOnATakenTargetIsInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.runTime = time.Hour
		first := NewSession(Options{Client: w, Salt: 1})
		time.Sleep(time.Second)
		w.set(func() { w.lose = loseFirst("start", 1) })
		var alive bool
		ended := make(chan target.Result, 1)
		go func() {
			res := first.Start(t.Context(), taskOf("a", 1))
			w.set(func() { alive = w.running[Ref{"a", 0}] != nil })
			ended <- res
		}()
		time.Sleep(5 * time.Millisecond)
		w.set(func() { w.epoch += 1 << 40 }) // the epoch of another entry, which has not polled yet
		res := <-ended
		qt.Check(t, alive, qt.IsFalse)
		qt.Check(t, res.Status, qt.Equals, job.TaskErred)
		qt.Check(t, res.Over, qt.IsTrue)
		w.set(func() { qt.Check(t, w.starts, qt.Equals, 1) })
		first.Close()
		drain()
	})
}
