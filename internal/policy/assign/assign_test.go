package assign

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

func holders(targets ...int) []Holder {
	out := make([]Holder, len(targets))
	for i, n := range targets {
		out[i] = Holder{Entry: job.EntryID(rune('a' + i)), Serving: true, Targets: n}
	}
	return out
}

func names(hs []Holder) string {
	s := ""
	for _, h := range hs {
		s += string(h.Entry)
	}
	return s
}

// Pools of a dozen to several hundred targets start, grow and shrink on entries that
// come and go. Too many holders lose slots to outdated reports, too few are slow, and a
// target that moves needlessly is idle meanwhile.
func TestActive(t *testing.T) {
	down := holders(16, 0, 0)
	down[0].Serving = false
	reserve := holders(0, 0)
	reserve[0].Reserve = true
	alone := []Holder{{Entry: "r", Serving: true, Reserve: true}}
	cases := []struct {
		name    string
		holders []Holder
		want    string
	}{
		{"an empty pool is assigned to the first entry", holders(0, 0, 0), "a"},
		{"a small pool stays with its holder even if it is not the first", holders(0, 16, 0), "b"},
		{"more targets than one holder can carry need a second one", holders(MaxTargetsPerHolder+8, 0, 0), "ab"},
		{"the pool of a holder that is down goes to the next entry", down, "b"},
		{"two halves of a pool are merged after a partition", holders(10, 6, 0), "a"},
		{"the number of holders does not oscillate at its bound", holders(20, 13, 0), "ab"},
		{"a reserve entry holds nothing while others can", reserve, "b"},
		{"a reserve entry that is alone holds all targets", alone, "r"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { qt.Assert(t, names(Active(c.holders)), qt.Equals, c.want) })
	}
	qt.Assert(t, Active(nil), qt.IsNil)
}

// A holder stops or holds more than its share. The targets that it passes on must find
// another entry, and a fair distribution must not change.
func TestSurplus(t *testing.T) {
	qt.Assert(t, Surplus(holders(20, 20), "a", 20), qt.IsNil)
	qt.Assert(t, Surplus(holders(24, 18), "a", 24), qt.IsNil)
	qt.Assert(t, Surplus(holders(40, 0), "a", 40), qt.DeepEquals, []Move{{"b", 20}})
	qt.Assert(t, Surplus(holders(16), "x", 8), qt.DeepEquals, []Move{{"a", 8}})
	qt.Assert(t, Surplus(holders(16), "a", 16), qt.IsNil)
	qt.Assert(t, Surplus(nil, "a", 16), qt.IsNil)
}
