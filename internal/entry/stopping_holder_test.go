package entry

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer/peertest"
)

// Guards against entries that give the targets of a stopping holder to another one, which stops
// the tasks that still run there.
func TestStoppingHolderPassesItsTargetsOnItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := &peertest.Network{Delay: time.Millisecond}
		fleet := []job.Owner{{Entry: "core", Incarnation: 1, Zone: "y"}, {Entry: "edge-0", Incarnation: 1, Zone: "z"}, {Entry: "edge-1", Incarnation: 1, Zone: "z"}}
		all := map[job.EntryID]*targets{}
		for _, self := range fleet {
			all[self.Entry] = newZoneEntry(net, self, fleet)
		}
		time.Sleep(2 * holderDiscoveryTime)
		announced := job.Target{ID: "t1", Pool: "p", Address: "10.0.0.1:80", Zone: "z", Slots: 8}
		_, holder, err := all["core"].announce(t.Context(), announced)
		qt.Assert(t, err, qt.IsNil)
		other := job.EntryID("edge-0")
		if holder == other {
			other = "edge-1"
		}
		all[holder].members.Drain()
		time.Sleep(100 * time.Millisecond)
		all["core"].setView(all["core"].members.View())
		_, _, err = all["core"].announce(t.Context(), announced)
		qt.Check(t, err, qt.IsNil)
		time.Sleep(time.Second)
		qt.Check(t, all[holder].registry.Holds("t1"), qt.IsTrue)
		qt.Check(t, all[other].registry.Holds("t1"), qt.IsFalse)

		all[holder].members.Leave(t.Context())
		time.Sleep(100 * time.Millisecond)
		all["core"].setView(all["core"].members.View())
		time.Sleep(time.Second)
		qt.Check(t, all[other].registry.Holds("t1"), qt.IsTrue)
		for _, self := range fleet {
			net.Crash(self.Entry)
		}
		time.Sleep(time.Second)
	})
}
