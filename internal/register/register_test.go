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
