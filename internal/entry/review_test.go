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

// empty is a program that answers each call with 200 and an empty body, as the platform
// reads it: nothing refused, and no clock.
type emptyOrders struct{ runs.Orders }

func (emptyOrders) Renew(context.Context, runs.RenewOrder) (runs.Look, error) {
	return runs.Look{}, nil
}
func (emptyOrders) Close() {}

// An announcement names a working target at an address at which another program listens:
// one that answers each call with 200 and knows of no targets. It is not the target, and
// must not be taken for it, or the target that works is dropped and what runs there with it.
func TestAnotherProgramIsNoTarget(t *testing.T) {
	listens := newListenCheck(func(job.Target) runs.Orders { return emptyOrders{} })
	qt.Check(t, listens(testTarget("t1", "p", "10.0.0.9:80")), qt.IsFalse)
}

// An address takes connections and answers nothing, and ten announcements in turn name it.
// Each is refused within a moment, and a true one in between is taken at once.
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
