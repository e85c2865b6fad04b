package assign

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// After a power loss, all 117 targets of a zone announce themselves within a second
// through one entry. Holders report four times a second. No holder may get many more
// targets than it can carry: it would run out of processor time, and callers of the zone
// would be refused.
func TestBurstOfAnnouncementsIsSpread(t *testing.T) {
	epoch := time.Unix(0, 0)
	entries := make([]Holder, 15)
	for i := range entries {
		entries[i] = Holder{Entry: job.EntryID(fmt.Sprintf("e%02d", i)), Serving: true, Carries: 20}
	}
	spread := func(counted bool) (most int) {
		held := map[job.EntryID]int{}
		var reported []HolderReport
		var passed []SentTarget
		for i := range 117 {
			now := epoch.Add(time.Duration(i) * 8 * time.Millisecond)
			if i%31 == 0 {
				reported = reported[:0]
				for _, e := range entries {
					reported = append(reported, HolderReport{e.Entry, held[e.Entry], now})
				}
			}
			known := CountTargets(now, reported, nil)
			if counted {
				known = CountTargets(now, reported, passed)
			}
			seen := make([]Holder, len(entries))
			for i, e := range entries {
				e.Targets = known[e.Entry]
				seen[i] = e
			}
			next := Candidates(seen)[0]
			held[next.Entry]++
			passed = append(DropExpired(now, passed), SentTarget{next.Entry, now.Add(time.Millisecond)})
		}
		for _, n := range held {
			most = max(most, n)
		}
		return most
	}
	qt.Assert(t, spread(true) <= MaxTargetsPerHolder, qt.IsTrue, qt.Commentf("%d", spread(true)))
	qt.Assert(t, spread(false) > 30, qt.IsTrue, qt.Commentf("%d", spread(false)))
}

func TestHeldCountsTargetsInTransit(t *testing.T) {
	now := time.Unix(10, 0)
	ago := func(ms int) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	held := CountTargets(now,
		[]HolderReport{{"a", 3, ago(200)}},
		[]SentTarget{{"a", ago(300)}, {"a", ago(100)}, {"b", ago(500)}, {"b", ago(1500)}})
	qt.Assert(t, held, qt.DeepEquals, map[job.EntryID]int{"a": 4, "b": 1})
}

// A full holder is left out in favour of the next one. If all holders are full, targets
// must still get a holder.
func TestTakingLeavesOutFullHolders(t *testing.T) {
	qt.Assert(t, names(Candidates(holders(20, 0, 0))), qt.Equals, "b")
	qt.Assert(t, names(Candidates(holders(20, 7, 0))), qt.Equals, "b")
	qt.Assert(t, names(Candidates(holders(3, 0, 0))), qt.Equals, "a")
	qt.Assert(t, names(Candidates(holders(20, 20, 20))), qt.Equals, "abc")
}

// VMs with a slow link or little processor hold fewer targets each, so more VMs hold
// some. With as many targets as others, start requests would queue before the link until
// they are considered lost.
func TestCarriesFollowsTheVM(t *testing.T) {
	qt.Assert(t, TargetCapacity(0, 0), qt.Equals, MaxTargetsPerHolder)
	qt.Assert(t, TargetCapacity(0.4, 1000), qt.Equals, MaxTargetsPerHolder)
	qt.Assert(t, TargetCapacity(0.192, 25), qt.Equals, MaxTargetsPerHolder)
	qt.Assert(t, TargetCapacity(0.12, 25) < MaxTargetsPerHolder, qt.IsTrue)
	qt.Assert(t, TargetCapacity(0.4, 2) <= MaxTargetsPerHolder/2, qt.IsTrue)
	qt.Assert(t, TargetCapacity(0.001, 0.001), qt.Equals, 1)
	thin := holders(10, 10, 10, 8, 0)
	for i := range thin {
		thin[i].Carries = 10
	}
	qt.Assert(t, names(Active(thin)), qt.Equals, "abcd")
	qt.Assert(t, names(Candidates(thin)), qt.Equals, "d")
}

// Guards against an old report that replaces a newer one, and against reports of entries that are
// long gone.
func TestMergeReportsKeepsTheLatest(t *testing.T) {
	now := time.Unix(1000, 0)
	known := []HolderReport{{Entry: "a", Targets: 5, At: now.Add(-time.Second)}, {Entry: "b", Targets: 7, At: now.Add(-LearnedFor)}}
	further := []HolderReport{{Entry: "a", Targets: 20, At: now.Add(-2 * time.Second)}, {Entry: "c", Targets: 3, At: now}}
	got := map[job.EntryID]int{}
	for _, r := range MergeReports(now, known, further) {
		got[r.Entry] = r.Targets
	}
	qt.Assert(t, got, qt.DeepEquals, map[job.EntryID]int{"a": 5, "c": 3})
}
