package entry

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/membership"
)

// Guards against stopping the work of a live owner in a large fleet, where a holder and an owner
// that seldom share work exchange heartbeats only once a second.
func TestWorkOfASeldomOwnerRunsToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPausableEntryWatched(t, membership.AcrossZones)
		defer p.close()
		time.Sleep(5 * time.Second)
		var done, other atomic.Int64
		const offers = 40
		for i := range offers {
			b := p.batch(job.ID(string(rune('A'+i))), job.Owner{})
			b.Tasks = b.Tasks[:1]
			p.owner.Offer(p.ctx, "h", 1, b, func(outcomes []job.TaskOutcome) {
				if outcomes[0].Status == job.TaskDone {
					done.Add(1)
					return
				}
				t.Log(outcomes[0].Reason, outcomes[0].Detail)
				other.Add(1)
			})
			// The batches arrive in all phases of the exchange of heartbeats.
			time.Sleep(900 * time.Millisecond)
			select {
			case p.conn.ends <- doneResult:
			case <-time.After(time.Second):
			}
			time.Sleep(time.Duration(137+i) * time.Millisecond)
		}
		qt.Check(t, p.conn.stops.Load(), qt.Equals, int64(0))
		qt.Check(t, done.Load(), qt.Equals, int64(offers), qt.Commentf("%d not done", other.Load()))
	})
}

// Guards against a lease that is renewed although the owner may not prove that it still acts for
// its callers.
func TestOwnerThatProvesNothingLosesItsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPausableEntryWatched(t, membership.AcrossZones)
		defer p.close()
		p.owner.Offer(p.ctx, "h", 1, p.batch("a", job.Owner{}), func([]job.TaskOutcome) {})
		time.Sleep(10 * time.Millisecond)
		qt.Assert(t, p.conn.starts.Load(), qt.Equals, int64(1))
		p.mute.Store(true)
		p.net.SetDelay(2 * time.Second)
		time.Sleep(1100 * time.Millisecond)
		p.endRun(doneResult)
		time.Sleep(50 * time.Millisecond)
		qt.Assert(t, p.conn.starts.Load(), qt.Equals, int64(1))
		p.net.SetDelay(time.Millisecond)
	})
}
