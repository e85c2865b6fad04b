package inventory

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

func targets(ids ...job.TargetID) []job.Target {
	out := make([]job.Target, len(ids))
	for i, id := range ids {
		out[i] = job.Target{ID: id, Pool: "p", Address: string(id) + ":1", Zone: "z"}
	}
	return out
}

func heldIDs(b *Table, entry job.EntryID) []job.TargetID {
	h, _ := b.Get(entry)
	out := []job.TargetID{}
	for i := range h.Targets {
		out = append(out, h.Targets[i].ID)
	}
	return out
}

// Reports overtake each other, and are repeated after a lost answer. An older report must
// not bring back targets that have left.
func TestLatestReportCounts(t *testing.T) {
	b := &Table{}
	qt.Assert(t, b.Apply("a", Report{Life: 1, Number: 2, Targets: targets("t1", "t2")}), qt.IsTrue)
	qt.Assert(t, b.Apply("a", Report{Life: 1, Number: 1, Targets: targets("t3")}), qt.IsFalse)
	qt.Assert(t, heldIDs(b, "a"), qt.DeepEquals, []job.TargetID{"t1", "t2"})
	qt.Assert(t, b.Apply("a", Report{Life: 2, Number: 1, Targets: targets("t1", "t2")}), qt.IsFalse)
	qt.Assert(t, b.Apply("a", Report{Life: 1, Number: 9, Targets: nil}), qt.IsFalse)
	qt.Assert(t, b.Apply("a", Report{Life: 2, Number: 2, Targets: targets("t2")}), qt.IsTrue)
	qt.Assert(t, heldIDs(b, "a"), qt.DeepEquals, []job.TargetID{"t2"})
	qt.Assert(t, b.HolderOf("t1"), qt.Equals, job.EntryID(""))
}

// A target moves from one holder to another while the first is restarted. The first must
// not reclaim the target: it would stop what runs there.
func TestTargetHasOneHolder(t *testing.T) {
	b := &Table{}
	b.Apply("a", Report{Life: 1, Number: 1, Targets: targets("t1", "t2")})
	b.Apply("b", Report{Life: 1, Number: 1, Targets: targets("t2", "t3")})
	qt.Assert(t, heldIDs(b, "a"), qt.DeepEquals, []job.TargetID{"t1"})
	qt.Assert(t, b.HolderOf("t2"), qt.Equals, job.EntryID("b"))
	qt.Assert(t, b.Moved(targets("t1")[0], "b"), qt.IsTrue)
	qt.Assert(t, b.Moved(targets("t1")[0], "b"), qt.IsFalse)
	qt.Assert(t, heldIDs(b, "a"), qt.DeepEquals, []job.TargetID{})
	qt.Assert(t, heldIDs(b, "b"), qt.DeepEquals, []job.TargetID{"t2", "t3", "t1"})
	// The entry's own next report takes precedence over a recorded move.
	b.Apply("b", Report{Life: 1, Number: 2, Targets: targets("t2")})
	qt.Assert(t, b.HolderOf("t1"), qt.Equals, job.EntryID(""))
}

// A target announces that it leaves, and all VMs lose power right after. The target must
// not be used again.
func TestLeavingTargetIsForgotten(t *testing.T) {
	b := &Table{}
	b.Apply("a", Report{Life: 1, Number: 1, Targets: targets("t1", "t2")})
	qt.Assert(t, b.Drop("t1"), qt.IsTrue)
	qt.Assert(t, b.Drop("t1"), qt.IsFalse)
	again := Load(b.All())
	qt.Assert(t, heldIDs(again, "a"), qt.DeepEquals, []job.TargetID{"t2"})
	qt.Assert(t, again.Targets(), qt.Equals, 1)
}

func TestGoneEntriesAreForgotten(t *testing.T) {
	b := &Table{}
	b.Apply("a", Report{Life: 1, Number: 1, Targets: targets("t1")})
	b.Apply("b", Report{Life: 1, Number: 1, Targets: targets("t2")})
	qt.Assert(t, b.Keep(func(e job.EntryID) bool { return e == "b" }), qt.IsTrue)
	qt.Assert(t, b.Keep(func(e job.EntryID) bool { return e == "b" }), qt.IsFalse)
	qt.Assert(t, b.HolderOf("t1"), qt.Equals, job.EntryID(""))
	qt.Assert(t, b.Targets(), qt.Equals, 1)
}
