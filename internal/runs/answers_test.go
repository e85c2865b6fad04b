package runs

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// A start gets lost on the way to a target that is well. The task must be free to go
// elsewhere while a frame of 200 ms can still be on the artist's screen in time.
func TestLostStartIsKnownInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.delay = time.Hour
		w.lose = func(order string) bool { return order == "start" }
		s := NewSession(Options{Orders: w})
		res := s.Start(t.Context(), taskOf("a", 1))
		qt.Assert(t, res.Status, qt.Equals, job.TaskNotStarted)
		qt.Assert(t, res.Refusal, qt.Equals, target.Unanswered)
		qt.Assert(t, res.Ran <= 180*time.Millisecond, qt.IsTrue, qt.Commentf("%v", res.Ran))
		s.Close()
		settle()
	})
}

// An entry that is short of processor time reads answers a tenth of a second late. It
// must not come to doubt each start: every doubt costs it another look.
func TestSlowAnswersAreWaitedFor(t *testing.T) {
	var a answerTimes
	qt.Assert(t, a.wait(), qt.Equals, leastStartWait)
	for range 20 {
		a.learn(3 * time.Millisecond)
	}
	qt.Assert(t, a.wait(), qt.Equals, leastStartWait)
	for i, took := range []time.Duration{40, 80, 110, 90, 115, 100} {
		a.learn(took * time.Millisecond)
		qt.Assert(t, i < 2 || a.wait() > 150*time.Millisecond, qt.IsTrue, qt.Commentf("%v", a.wait()))
	}
	for range 40 {
		a.learn(time.Second)
	}
	qt.Assert(t, a.wait(), qt.Equals, answerTime)
}
