package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/runs"
)

// emptyTargetClient is a program that answers each call with 200 and an empty body. An entry
// reads this as an answer without a refusal and without a clock.
type emptyTargetClient struct{ runs.TargetClient }

func (emptyTargetClient) Renew(context.Context, runs.PollRequest) (runs.PollReply, error) {
	return runs.PollReply{}, nil
}
func (emptyTargetClient) Close() {}

// An announcement names a working target at an address where another program listens, which
// answers each call with 200 and is not a target. If the entry mistook that program for the
// target, it would drop the working target and the tasks that run there.
func TestAnotherProgramIsNoTarget(t *testing.T) {
	listens := newListenCheck(func(job.Target) runs.TargetClient { return emptyTargetClient{} })
	qt.Check(t, listens(testTarget("t1", "p", "10.0.0.9:80")), qt.IsFalse)
}

// Ten concurrent announcements name an address that accepts connections and answers nothing.
// Each waits only for probeTimeout, and a valid announcement in between is accepted at once.
func TestAStuckAddressHoldsUpNoTrueAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestTargets(t, nil)
		ts.isListening = func(job.Target) bool { time.Sleep(probeTimeout); return false }
		for range 10 {
			go func() { _, _, _ = ts.announce(t.Context(), testTarget("t1", "p", "10.0.0.9:80")) }()
		}
		time.Sleep(20 * time.Millisecond)
		begun := time.Now()
		_, _, err := ts.announce(t.Context(), testTarget("t1", "p", "10.0.0.1:80"))
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, time.Since(begun) < 100*time.Millisecond, qt.IsTrue)
		time.Sleep(time.Second)
	})
}
