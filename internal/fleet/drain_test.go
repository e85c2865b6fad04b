package fleet

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// An entry is stopped as planned while jobs wait in its queue, once with another
// entry in the zone that takes over the targets and once without. All accepted
// jobs must complete in both cases.
func TestPlannedStopFinishesQueuedJobs(t *testing.T) {
	for _, entries := range []int{1, 2} {
		t.Run(fmt.Sprintf("entries=%d", entries), func(t *testing.T) {
			f := startTest(t, Options{Zones: []job.Zone{"a"}, EntriesPerZone: entries, TargetsPerZone: 1})
			holder := f.entries[0]
			for _, m := range f.entries {
				if m.entry.Load(testPool).Slots > 0 {
					holder = m
				}
			}
			const jobs = 6
			var wg sync.WaitGroup
			for i := range jobs {
				wg.Go(func() {
					id := fmt.Sprintf("wait-%d", i)
					r, err := send(http.DefaultClient, holder.listen.Caller.Addr().String(), jobBody(id, "thumbs", 8, 150))
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, r.status, qt.Equals, http.StatusOK, qt.Commentf("%s: %+v", id, r.other))
					qt.Check(t, whole(r, id, 8), qt.IsTrue)
				})
			}
			f.waitRunning(jobs)
			for f.Starts.Starts() == 0 {
				time.Sleep(time.Millisecond)
			}
			qt.Assert(t, f.StopEntry(holder.name), qt.IsNil)
			wg.Wait()
			qt.Assert(t, f.Starts.Starts(), qt.Equals, uint64(8*jobs))
			qt.Assert(t, f.Starts.DoubledStarts(), qt.Equals, uint64(0))
			qt.Assert(t, f.Stop(), qt.IsNil)
		})
	}
}
