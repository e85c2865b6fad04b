package precedence

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The capacity must reach the levels by priority without starving the least urgent ones, and
// nothing may be kept from a level that could use it.
func TestEntitlements(t *testing.T) {
	cases := []struct {
		name     string
		capacity float64
		demand   []float64
		want     []float64
	}{
		{"calm: each level gets its demand", 100, []float64{20, 30, 40}, []float64{20, 30, 40}},
		{"shortage: the first level in full, each other at least 0.8 of its share", 100, []float64{20, 80, 100}, []float64{20, 40, 40}},
		{"the rest goes by priority", 100, []float64{10, 50, 65}, []float64{10, 48.4, 41.6}},
		{"the first level alone exceeds the capacity", 100, []float64{300, 50, 50}, []float64{80, 10, 10}},
		{"one level", 100, []float64{300}, []float64{100}},
		{"no demand", 100, []float64{0, 0}, []float64{0, 0}},
		{"no target", 0, []float64{10, 10}, []float64{0, 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Entitlements(c.capacity, c.demand)
			for l := range got {
				qt.Check(t, got[l] > c.want[l]-0.1 && got[l] < c.want[l]+0.1, qt.IsTrue, qt.Commentf("%v", got))
			}
		})
	}
}

// Strict precedence would starve a less urgent level; without any, the urgent one waits.
func TestNextPrefersTheUrgentUnlessAnotherIsOwed(t *testing.T) {
	all := func(int) bool { return true }
	even := []Share{{Entitled: 10, Received: 10}, {Entitled: 10, Received: 5}}
	level, _ := Next(even, all)
	qt.Check(t, level, qt.Equals, 0)
	owed := []Share{{Entitled: 10, Received: 12}, {Entitled: 10, Received: 5}}
	level, _ = Next(owed, all)
	qt.Check(t, level, qt.Equals, 1)
	_, found := Next(owed, func(int) bool { return false })
	qt.Check(t, found, qt.IsFalse)
}

// A change of the priorities must not forget what was measured, or each accepted file would
// reset the entitlements under load.
func TestPrioritiesChange(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var tr Tracker
	qt.Assert(t, tr.Level(3), qt.Equals, 0)
	tr.SetPriorities([]int{0, 5})
	for i := range 2000 {
		tr.Offered(now.Add(time.Duration(i)*time.Millisecond), 1, 0.010)
	}
	now = now.Add(2 * time.Second)
	qt.Assert(t, tr.SetPriorities([]int{0, 3, 5}), qt.IsTrue)
	s := tr.Shares(now, 100)
	qt.Check(t, s[2].Demand > 9.5 && s[2].Demand < 10.5, qt.IsTrue, qt.Commentf("%+v", s))
	qt.Check(t, s[1].Demand, qt.Equals, 0.0)
	qt.Check(t, []int{tr.Level(0), tr.Level(2), tr.Level(5), tr.Level(9)}, qt.DeepEquals, []int{0, 1, 2, 2})
	qt.Check(t, tr.SetPriorities([]int{0, 3, 5}), qt.IsFalse)
}
