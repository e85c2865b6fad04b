package register

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
)

func TestApplyFromAnyEntryIsInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 4)
		defer f.stopAll()
		time.Sleep(3 * time.Second)
		var seen []uint64
		f.nodes["l1"].OnChange(func(_, updated *config.File) { seen = append(seen, updated.Number) })
		for number := 1; number <= 7; number++ {
			f.mustApply(f.entries[number-1], number)
		}
		f.inForce(7, time.Second, f.entries...)
		qt.Assert(t, seen[len(seen)-1], qt.Equals, uint64(7))
		for i := range seen[1:] {
			qt.Assert(t, seen[i] < seen[i+1], qt.IsTrue)
		}
		state := f.nodes["v2"].State()
		qt.Assert(t, state.Voter, qt.IsTrue)
		qt.Assert(t, state.Stale, qt.IsFalse)
		body, accepted := f.nodes["l2"].Body()
		qt.Assert(t, string(body), qt.Equals, fileOf(7, "a"))
		qt.Assert(t, accepted, qt.Equals, Accepted{Number: 7, Digest: config.Digest(body), ChangeID: "change-7"})
		qt.Assert(t, f.nodes["l4"].Current().Services[0].Name, qt.Equals, "a")
	})
}

func TestFleetsOfAnySize(t *testing.T) {
	for _, size := range []struct{ voters, learners int }{{1, 0}, {1, 2}, {2, 1}, {5, 2}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, size.voters, size.learners)
			defer f.stopAll()
			time.Sleep(3 * time.Second)
			f.mustApply(f.entries[len(f.entries)-1], 1)
			f.mustApply("v1", 2)
			f.inForce(2, time.Second, f.entries...)
			if size.voters == 5 {
				f.cut(true, "v1", "v2")
				f.mustApply("l1", 3)
				f.cut(false, "v1", "v2")
				f.inForce(3, 4*time.Second, f.entries...)
			}
		})
	}
}

// The one message that a voter needed is lost in a short cut, just after it had
// heard from everybody. It must find out at its next probe, two seconds at most.
func TestLostMessageIsMadeUpFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, 0)
		defer f.stopAll()
		time.Sleep(3 * time.Second)
		for number := 1; number <= 20; number++ {
			f.cut(true, "v1")
			f.mustApply("v2", number)
			f.cut(false, "v1")
			f.inForce(uint64(number), probeInterval+50*time.Millisecond, f.entries...)
		}
	})
}
