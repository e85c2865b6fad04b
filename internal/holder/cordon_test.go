package holder

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a cordoned zone in which work still starts or waits: running tasks end, queued
// and offered ones go back to their owner at once, and work starts again after the cordon.
func TestCordonedHolderStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		h := newHolder(f, "1")
		var before, during, after reports
		h.Offer(batchOf("before", 12), before.add)
		synctest.Wait()
		h.SetCordoned(true)
		h.Offer(batchOf("during", 2), during.add)
		h.SetTarget(announced("2"))
		synctest.Wait()
		qt.Assert(t, during.tally(), qt.DeepEquals, tally{"not started zone_cordoned": 2})
		load := h.Loads()[0]
		qt.Assert(t, load.Cordoned, qt.IsTrue)
		qt.Assert(t, []int{load.Targets, load.Slots, load.Free}, qt.DeepEquals, []int{2, 0, 0})
		time.Sleep(taskTime + 1)
		qt.Assert(t, before.tally(), qt.DeepEquals, tally{"done": 8, "not started zone_cordoned": 4})
		f.check(t, 8)

		h.SetCordoned(false)
		h.Offer(batchOf("after", 2), after.add)
		time.Sleep(taskTime + 1)
		qt.Assert(t, after.tally(), qt.DeepEquals, tally{"done": 2})
		qt.Assert(t, h.Loads()[0].Cordoned, qt.IsFalse)
	})
}

// Guards against a pool that is created while the zone is cordoned and does not know it.
func TestPoolCreatedUnderACordonStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		h := newHolder(f)
		h.SetCordoned(true)
		h.SetTarget(announced("1"))
		var r reports
		h.Offer(batchOf("j", 1), r.add)
		synctest.Wait()
		qt.Assert(t, r.tally(), qt.DeepEquals, tally{"not started zone_cordoned": 1})
		f.check(t, 0)
	})
}
