package runs

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// A start is carried out and its answer gets lost. Before the order is sent again another
// entry takes the target, so that the copy is refused. That the copy did nothing says
// nothing of the first one: called not started, the task would go elsewhere while its run
// is alive, until the other entry stops it as a stray. It is over only when its lease has
// run out for certain, since this entry can't ask for it any more.
func TestAStartWithoutAnswerOnATakenTargetIsInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.takes = time.Hour
		first := NewSession(Options{Orders: w, Salt: 1})
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
		w.set(func() { w.epoch += 1 << 40 }) // another entry's, which has not looked yet
		res := <-ended
		qt.Check(t, alive, qt.IsFalse)
		qt.Check(t, res.Status, qt.Equals, job.TaskErred)
		qt.Check(t, res.Over, qt.IsTrue)
		w.set(func() { qt.Check(t, w.starts, qt.Equals, 1) })
		first.Close()
		settle()
	})
}
