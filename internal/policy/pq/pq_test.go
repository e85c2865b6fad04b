package pq

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

type item struct {
	rank int
	node Node
}

// The test runs the same cases each time, unless the command line sets another seed.
func init() { _ = flag.Set("rapid.seed", "1") }

// After any sequence of pushes, removals and rank changes, items come out in order and
// none is lost.
func TestOrderUnderChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := New(func(a, b *item) bool { return a.rank < b.rank }, func(x *item) *Node { return &x.node })
		in := map[*item]bool{}
		var all []*item
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			rank := rapid.IntRange(0, 20).Draw(t, "rank")
			switch op := rapid.IntRange(0, 3).Draw(t, "op"); {
			case op < 2 || len(all) == 0:
				x := &item{rank: rank}
				all = append(all, x)
				in[x] = true
				h.Push(x)
			case op == 2:
				x := all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
				h.Remove(x)
				delete(in, x)
			default:
				x := all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
				if in[x] {
					x.rank = rank
					h.Fix(x)
				}
			}
		}
		if h.Len() != len(in) {
			t.Fatalf("%d items, want %d", h.Len(), len(in))
		}
		last := -1
		for h.Len() > 0 {
			x := h.Min()
			if !in[x] || !x.node.Queued() || x.rank < last {
				t.Fatalf("rank %d after %d, known %v", x.rank, last, in[x])
			}
			last = x.rank
			h.Remove(x)
			delete(in, x)
		}
	})
}
