package entry

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
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
	"github.com/vanillagrade/vanillagrade/internal/storage"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// testZone is a zone with one entry that records reports and two that hold targets.
type testZone struct {
	t     *testing.T
	net   *peertest.Network
	store *storage.Store
	// ended are the targets that no longer answer.
	ended map[job.TargetID]bool
}

// start starts an incarnation of an entry.
func (z *testZone) start(name job.EntryID, life job.Incarnation) *targetInventory {
	mesh := z.net.Join(job.Owner{Entry: name, Incarnation: life, Zone: "z"})
	var peers []membership.Peer
	for _, other := range []job.EntryID{"a", "b", "keeper"} {
		if other != name {
			peers = append(peers, membership.Peer{Entry: other, Zone: "z", Reserve: other == "keeper"})
		}
	}
	h := holder.New(holder.Options{Self: mesh.Self(), Config: config.Fixed{}, Connect: func(job.Target) holder.Connection { return busyConn{} }})
	ts := &targets{
		self: mesh.Self(), mesh: mesh, exclusive: true, events: timeline.Discard{}, log: slog.New(slog.DiscardHandler),
		config:        config.Fixed{},
		registry:      target.NewRegistry("z", config.Fixed{}),
		holder:        h,
		members:       membership.New(membership.Options{Mesh: mesh, Peers: peers, Loads: h.Loads}),
		announcements: map[job.TargetID]announcement{}, transfers: map[job.TargetID]job.EntryID{}, yielded: map[job.TargetID]time.Time{},
		isListening: func(t job.Target) bool { return !z.ended[t.ID] },
		started:     time.Now(),
	}
	var store *storage.Store
	if name == "keeper" {
		store = z.store
	}
	ts.inventory = newTargetInventory(ts, store)
	return ts.inventory
}

func (z *testZone) hold(v *targetInventory, ids ...job.TargetID) {
	for i, id := range ids {
		_, err := localTargets{v.targets}.Announce(job.Target{ID: id, Pool: "p", Address: "10.0.0.1:" + string(rune('1'+i)), Zone: "z"})
		qt.Assert(z.t, err, qt.IsNil)
	}
}

func heldIDs(v *targetInventory) []job.TargetID {
	var ids []job.TargetID
	for _, t := range v.targets.registry.Held() {
		ids = append(ids, t.ID)
	}
	return ids
}

// save saves once, as the timer does.
func (z *testZone) save(v *targetInventory) {
	body, _ := v.unsaved()
	if body != nil {
		qt.Assert(z.t, z.store.Save(heldRecord, heldFormat, body), qt.IsNil)
	}
}

func withTestZone(t *testing.T, f func(*testing.T, *testZone)) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		store, err := storage.Open(dir, storage.OS{})
		qt.Assert(t, err, qt.IsNil)
		z := &testZone{t: t, net: &peertest.Network{Delay: time.Millisecond}, store: store, ended: map[job.TargetID]bool{}}
		f(t, z)
		for _, name := range []job.EntryID{"a", "b", "keeper"} {
			z.net.Crash(name)
		}
		time.Sleep(time.Second) // messages in transit are dropped
		qt.Assert(t, store.Close(), qt.IsNil)
	})
}

// All VMs lose power. The entries and callers return within half a second, but targets
// announce themselves only every second or two: until then all callers would be refused
// while all targets are idle. Targets that ended or withdrew must not be reclaimed.
func TestTargetsAreReclaimedAfterAPowerLoss(t *testing.T) {
	withTestZone(t, func(t *testing.T, z *testZone) {
		keeper, a := z.start("keeper", 1), z.start("a", 1)
		z.hold(a, "t1", "t2", "t3", "t4")
		a.report(t.Context())
		a.targets.remove(&job.Target{ID: "t4"}, a.targets.holder.RemoveStoppingTarget)
		qt.Assert(t, a.targets.removeStopping(&job.Target{ID: "t3", Pool: "p", Address: "10.0.0.1:3", Zone: "z"}), qt.IsNil)
		keeper.targets.removeEnded("t4")
		keeper.targets.removeEnded("t3")
		z.save(keeper)

		z.start("keeper", 2)
		a = z.start("a", 2)
		z.ended["t2"] = true
		begun := time.Now()
		a.recall(t.Context())
		qt.Assert(t, heldIDs(a), qt.DeepEquals, []job.TargetID{"t1"})
		qt.Assert(t, time.Since(begun) < 100*time.Millisecond, qt.IsTrue)
	})
}

// An entry is restarted after another one has taken one of its targets. Taking that target
// back would stop the tasks that run there.
func TestWhatAnotherEntryHoldsIsNotTakenBack(t *testing.T) {
	withTestZone(t, func(t *testing.T, z *testZone) {
		z.start("keeper", 1)
		a, b := z.start("a", 1), z.start("b", 1)
		z.hold(a, "t1", "t2")
		a.report(t.Context())
		z.hold(b, "t1")
		b.report(t.Context())
		a = z.start("a", 2)
		a.recall(t.Context())
		qt.Assert(t, heldIDs(a), qt.DeepEquals, []job.TargetID{"t2"})
	})
}

// The keeper was down itself while a target changed holders. The record on its disk is
// outdated until the holders have reported again.
func TestOutdatedRecordIsNotTrusted(t *testing.T) {
	withTestZone(t, func(t *testing.T, z *testZone) {
		keeper := z.start("keeper", 1)
		a, b := z.start("a", 1), z.start("b", 1)
		z.hold(a, "t1")
		a.report(t.Context())
		b.report(t.Context())
		z.save(keeper)
		keeper = z.start("keeper", 2)
		touch(keeper, b.self)
		z.hold(b, "t1")

		a = z.start("a", 2)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		a.recall(ctx)
		qt.Assert(t, heldIDs(a), qt.HasLen, 0)
		b.report(t.Context())
		a.recall(t.Context())
		qt.Assert(t, heldIDs(a), qt.HasLen, 0)
		qt.Assert(t, heldIDs(b), qt.DeepEquals, []job.TargetID{"t1"})
	})
}

// newForwarder returns the forwarding of announcements of an entry.
func newForwarder(v *targetInventory) *handover.Targets {
	out := handover.NewTargets(v.mesh, v.targets.holderOf, localTargets{v.targets})
	if v.store != nil {
		out.Remembers = v.knowsHolder
	}
	return out
}

// touch makes an entry notice another entry's incarnation.
func touch(v *targetInventory, other job.Owner) { v.members.Touch(other) }

// The holders of a zone reclaim their targets, some later than others. Rebalancing by their
// current numbers of targets would move targets to holders that are about to reclaim their own.
func TestReclaimedTargetsAreNotRebalanced(t *testing.T) {
	withTestZone(t, func(t *testing.T, z *testZone) {
		z.start("keeper", 1)
		a := z.start("a", 1)
		for i := range 23 {
			name := strconv.Itoa(i)
			_, err := localTargets{a.targets}.Announce(job.Target{ID: job.TargetID(name), Pool: "p", Address: "10.0.0.1:1" + name, Zone: "z"})
			qt.Assert(t, err, qt.IsNil)
		}
		a.report(t.Context())
		z.start("b", 2)
		a = z.start("a", 2)
		a.recall(t.Context())
		a.targets.rebalance()
		qt.Assert(t, a.targets.transfers, qt.HasLen, 0)
		qt.Assert(t, a.targets.registry.Held(), qt.HasLen, 23)
	})
}

// Targets announce themselves through any entry while their holder has just started. Each
// announcement must reach the holder that has or reclaims the target. With a newly chosen
// holder the target would change holders twice, and the tasks that run there would be stopped.
func TestAnnouncementsReachTheRecordedHolder(t *testing.T) {
	withTestZone(t, func(t *testing.T, z *testZone) {
		keeper, a := z.start("keeper", 1), z.start("a", 1)
		ids := []job.TargetID{"t1", "t2", "t3", "t4", "t5", "t6"}
		z.hold(a, ids...)
		a.report(t.Context())
		z.save(keeper)

		keeper, a = z.start("keeper", 2), z.start("a", 2)
		b := z.start("b", 2)
		for _, x := range []*targetInventory{keeper, a, b} {
			x.targets.forward = newForwarder(x)
		}
		for _, from := range []*targetInventory{keeper, b} {
			for _, id := range ids {
				announced := job.Target{ID: id, Pool: "p", Address: "10.0.0.1:" + string(rune('1'+slices.Index(ids, id))), Zone: "z"}
				_, at, err := from.targets.forward.ForwardTarget(t.Context(), announced)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, at, qt.Equals, job.EntryID("a"), qt.Commentf("%s through %s", id, from.self.Entry))
			}
		}
		qt.Assert(t, heldIDs(a), qt.DeepEquals, ids)
		qt.Assert(t, heldIDs(b), qt.HasLen, 0)
	})
}

// Another entry has taken a target, and the target's next announcement arrives at the entry
// that lost it. That entry must not take the target back: the two would keep doing so, and
// each would stop the tasks that the other started.
func TestALostTargetIsNotTakenBack(t *testing.T) {
	withTestZone(t, func(t *testing.T, z *testZone) {
		keeper, a, b := z.start("keeper", 1), z.start("a", 1), z.start("b", 1)
		for _, x := range []*targetInventory{keeper, a, b} {
			x.targets.forward = newForwarder(x)
		}
		time.Sleep(2 * holderDiscoveryTime)
		for _, loser := range []*targetInventory{a, b} {
			winner := map[*targetInventory]*targetInventory{a: b, b: a}[loser]
			id := job.TargetID("of-" + string(loser.self.Entry))
			z.hold(loser, id)
			loser.report(t.Context())
			z.hold(winner, id)
			loser.targets.yield(id)
			winner.report(t.Context())
			_, at, err := loser.targets.forward.ForwardTarget(t.Context(), job.Target{ID: id, Pool: "p", Address: "10.0.0.1:1", Zone: "z"})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, at, qt.Equals, winner.self.Entry)
			winner.targets.removeEnded(id)
		}
	})
}
