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

// Pools of a dozen to some hundred targets start, grow and shrink on entries that
// come and go. Too many holders lose places to old news, too few are slow; and a
// target that moves for nothing stands idle meanwhile.
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
		{"an empty pool has the first entry", holders(0, 0, 0), "a"},
		{"a small pool stays with one, also if it is not the first", holders(0, 16, 0), "b"},
		{"more targets than one carries take another", holders(PerHolder+8, 0, 0), "ab"},
		{"a holder that is down passes its pool on", down, "b"},
		{"two halves that met again come together", holders(10, 6, 0), "a"},
		{"the number does not go to and fro at its bound", holders(20, 13, 0), "ab"},
		{"the reserve holds nothing while others can", reserve, "b"},
		{"and all when it is alone", alone, "r"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { qt.Assert(t, names(Active(c.holders)), qt.Equals, c.want) })
	}
	qt.Assert(t, Active(nil), qt.IsNil)
}

// A holder ends, or holds more than its part. What it gives away must find an
// entry, and a fair spread must be left alone.
func TestSurplus(t *testing.T) {
	qt.Assert(t, Surplus(holders(20, 20), "a", 20), qt.IsNil)
	qt.Assert(t, Surplus(holders(24, 18), "a", 24), qt.IsNil)
	qt.Assert(t, Surplus(holders(40, 0), "a", 40), qt.DeepEquals, []Move{{"b", 20}})
	qt.Assert(t, Surplus(holders(16), "x", 8), qt.DeepEquals, []Move{{"a", 8}})
	qt.Assert(t, Surplus(holders(16), "a", 16), qt.IsNil)
	qt.Assert(t, Surplus(nil, "a", 16), qt.IsNil)
}
