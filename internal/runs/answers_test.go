package runs

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// A start request gets lost on the way to a healthy target. The loss must be known early enough
// for the task to run elsewhere and a frame of 200 ms still to reach the artist in time.
func TestLostStartIsKnownInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.delay = time.Hour
		w.lose = func(request string) bool { return request == "start" }
		s := NewSession(Options{Client: w})
		res := s.Start(t.Context(), taskOf("a", 1))
		qt.Assert(t, res.Status, qt.Equals, job.TaskNotStarted)
		qt.Assert(t, res.Refusal, qt.Equals, target.Unanswered)
		qt.Assert(t, res.Ran <= 180*time.Millisecond, qt.IsTrue, qt.Commentf("%v", res.Ran))
		s.Close()
		drain()
	})
}

// An entry that is short of processor time reads answers 100 ms late. It must not doubt each
// start, since every doubt costs it another poll.
func TestSlowAnswersAreWaitedFor(t *testing.T) {
	var a answerTimes
	qt.Assert(t, a.timeout(), qt.Equals, minStartWait)
	for range 20 {
		a.record(3 * time.Millisecond)
	}
	qt.Assert(t, a.timeout(), qt.Equals, minStartWait)
	for i, took := range []time.Duration{40, 80, 110, 90, 115, 100} {
		a.record(took * time.Millisecond)
		qt.Assert(t, i < 2 || a.timeout() > 150*time.Millisecond, qt.IsTrue, qt.Commentf("%v", a.timeout()))
	}
	for range 40 {
		a.record(time.Second)
	}
	qt.Assert(t, a.timeout(), qt.Equals, maxAnswerWait)
}
