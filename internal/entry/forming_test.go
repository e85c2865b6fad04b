package entry

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/handover"
	"github.com/vanillagrade/vanillagrade/internal/holder"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/membership"
	"github.com/vanillagrade/vanillagrade/internal/peer/peertest"
	"github.com/vanillagrade/vanillagrade/internal/policy/assign"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// newZoneEntry returns the targets of one entry of a fleet whose entries receive no reports of
// each other's loads.
func newZoneEntry(net *peertest.Network, self job.Owner, fleet []job.Owner) *targets {
	mesh := net.Join(self)
	var peers []membership.Peer
	for _, other := range fleet {
		if other.Entry != self.Entry {
			peers = append(peers, membership.Peer{Entry: other.Entry, Zone: other.Zone})
		}
	}
	h := holder.New(holder.Options{Self: self, Config: config.Fixed{}, Connect: func(job.Target) holder.Connection { return busyConn{} }})
	ts := &targets{
		self: self, mesh: mesh, exclusive: true, events: timeline.Discard{}, log: slog.New(slog.DiscardHandler),
		config: config.Fixed{}, registry: target.NewRegistry(self.Zone, config.Fixed{}), holder: h,
		members:       membership.New(membership.Options{Mesh: mesh, Peers: peers, Loads: h.Loads}),
		announcements: map[job.TargetID]announcement{}, transfers: map[job.TargetID]job.EntryID{}, yielded: map[job.TargetID]time.Time{},
		isListening: func(job.Target) bool { return true },
		started:     time.Now(),
	}
	ts.connectForwarding(handover.NewTargets(mesh, ts.holderOf, localTargets{ts}))
	return ts
}

// Guards against a fleet that refuses the first announcements of its targets: entries that know
// little of the loads of a zone pass each announcement on from one full holder to the next.
func TestAllTargetsOfALargeZoneFindAHolderAtOnce(t *testing.T) {
	const entries, pool = 40, 600
	synctest.Test(t, func(t *testing.T) {
		net := &peertest.Network{Delay: time.Millisecond}
		fleet := []job.Owner{{Entry: "core-1", Incarnation: 1, Zone: "y"}, {Entry: "core-2", Incarnation: 1, Zone: "x"}}
		for i := range entries {
			fleet = append(fleet, job.Owner{Entry: job.EntryID(fmt.Sprintf("edge-%d", i)), Incarnation: 1, Zone: "z"})
		}
		all := make([]*targets, len(fleet))
		for i, self := range fleet {
			all[i] = newZoneEntry(net, self, fleet)
		}
		time.Sleep(2 * holderDiscoveryTime)
		refused := 0
		for i := range pool {
			announced := job.Target{ID: job.TargetID(fmt.Sprintf("t%d", i)), Pool: "p", Address: fmt.Sprintf("10.0.0.1:%d", 1000+i), Zone: "z", Slots: 8}
			if _, _, err := all[i%2].announce(t.Context(), announced); err != nil {
				refused++
			}
			time.Sleep(20 * time.Millisecond)
		}
		held, most := 0, 0
		for _, ts := range all {
			n := len(ts.registry.Held())
			held, most = held+n, max(most, n)
		}
		qt.Check(t, refused, qt.Equals, 0)
		qt.Check(t, held, qt.Equals, pool)
		qt.Check(t, most <= assign.MaxTargetsPerHolder+assign.MaxTargetsPerHolder/4, qt.IsTrue, qt.Commentf("one holds %d", most))
		for _, self := range fleet {
			net.Crash(self.Entry)
		}
		time.Sleep(time.Second)
	})
}

// Guards against a zone with VMs of different sizes whose targets find no holder, or too many of
// them one holder, by the capacities that discovery reports.
func TestTargetsFollowTheCapacitiesOfTheirZone(t *testing.T) {
	const entries, pool = 15, 117
	synctest.Test(t, func(t *testing.T) {
		net := &peertest.Network{Delay: time.Millisecond}
		var fleet []job.Owner
		var peers []membership.Peer
		for i := range entries {
			capacity := 15 + i/12*25
			fleet = append(fleet, job.Owner{Entry: job.EntryID(fmt.Sprintf("edge-%d", i)), Incarnation: 1, Zone: "z"})
			peers = append(peers, membership.Peer{Entry: fleet[i].Entry, Zone: "z", Carries: min(20, capacity), Capacity: capacity})
		}
		all := make([]*targets, entries)
		for i, self := range fleet {
			all[i] = newZoneEntry(net, self, fleet)
			all[i].members.Add(peers...)
		}
		time.Sleep(2 * holderDiscoveryTime)
		for i := range pool {
			announced := job.Target{ID: job.TargetID(fmt.Sprintf("t%d", i)), Pool: "p", Address: fmt.Sprintf("10.0.0.1:%d", 1000+i), Zone: "z", Slots: 8}
			_, _, err := all[i%entries].announce(t.Context(), announced)
			qt.Check(t, err, qt.IsNil)
			time.Sleep(20 * time.Millisecond)
		}
		total, onLarge := 0, 0
		for i, ts := range all {
			held := len(ts.registry.Held())
			qt.Check(t, held <= peers[i].Capacity && held <= 30, qt.IsTrue, qt.Commentf("%s holds %d", fleet[i].Entry, held))
			total += held
			if i >= 12 {
				onLarge += held
			}
		}
		qt.Check(t, total, qt.Equals, pool)
		qt.Check(t, onLarge >= 60, qt.IsTrue, qt.Commentf("%d on large VMs", onLarge))
		checkPaceOfTransfers(t, all[0])
		for _, self := range fleet {
			net.Crash(self.Entry)
		}
		time.Sleep(time.Second)
	})
}

// checkPaceOfTransfers guards against targets that move back and forth while the entries don't
// know yet what an entry has passed on: one that goes on serving waits before it does so again.
func checkPaceOfTransfers(t *testing.T, ts *targets) {
	overload := func(name string) {
		for i := range 30 {
			announced := job.Target{ID: job.TargetID(fmt.Sprint(name, i)), Pool: "p", Address: fmt.Sprintf("10.0.0.%s:%d", name, i+1), Zone: "z", Slots: 8}
			_, err := localTargets{ts}.Announce(announced)
			qt.Assert(t, err, qt.IsNil)
		}
		ts.rebalance()
	}
	overload("2")
	qt.Check(t, len(ts.registry.Held()) <= 15, qt.IsTrue)
	time.Sleep(time.Second)
	overload("3")
	qt.Check(t, len(ts.registry.Held()) >= 30, qt.IsTrue)
	time.Sleep(2 * time.Second)
	ts.rebalance()
	qt.Check(t, len(ts.registry.Held()) <= 15, qt.IsTrue)
}
