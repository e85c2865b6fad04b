package fairqueue

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func push(q *Queue[string], team, name string, order int64) *Item[string] {
	i := &Item[string]{Value: name, Order: order}
	q.Push(team, i)
	return i
}

// serve assigns n slots and returns how many each team got.
func serve(q *Queue[string], n int) map[string]int {
	got := map[string]int{}
	for range n {
		team := q.Head().flow.name
		got[team]++
		q.AddHeldSlots(team, 1)
	}
	return got
}

// A quiet team's job arrives while a busy team's jobs hold every slot and fill the
// queue. The quiet team must get the very next slots until it holds its share.
func TestQuietTeamGoesNext(t *testing.T) {
	q := New[string]()
	push(q, "hot", "h", 0)
	serve(q, 10)
	push(q, "quiet", "q", 100)
	qt.Assert(t, serve(q, 10), qt.DeepEquals, map[string]int{"quiet": 10})
	qt.Assert(t, serve(q, 10), qt.DeepEquals, map[string]int{"quiet": 5, "hot": 5})
}

func TestWeightsAndShares(t *testing.T) {
	q := New[string]()
	q.SetWeights(map[string]int{"a": 3, "b": 1})
	push(q, "a", "a", 0)
	push(q, "b", "b", 0)
	qt.Assert(t, q.Share("a"), qt.Equals, 0.75)
	qt.Assert(t, q.Share("new"), qt.Equals, 0.2)
	qt.Assert(t, serve(q, 40), qt.DeepEquals, map[string]int{"a": 30, "b": 10})
	q.SetWeights(map[string]int{"a": 1, "b": 1})
	qt.Assert(t, serve(q, 20), qt.DeepEquals, map[string]int{"b": 20})
}

// Small jobs keep arriving after a large one of the same team. The large job must not
// starve: after a multiple of its own run time it is served first.
func TestOrder(t *testing.T) {
	large := Order(start, time.Second, time.Time{})
	for _, c := range []struct {
		name    string
		other   int64
		earlier bool
	}{
		{"small, at once", Order(start, 100*time.Millisecond, time.Time{}), true},
		{"small, just before the large job's turn", Order(start.Add(8*time.Second), 100*time.Millisecond, time.Time{}), true},
		{"small, after that", Order(start.Add(10*time.Second), 100*time.Millisecond, time.Time{}), false},
		{"same size, later", Order(start.Add(1), time.Second, time.Time{}), false},
		{"large with a near deadline", Order(start.Add(time.Second), time.Second, start.Add(3*time.Second)), true},
		{"resubmitted, with its original arrival", Order(start.Add(-time.Second), time.Second, time.Time{}), true},
	} {
		qt.Check(t, c.other < large, qt.Equals, c.earlier, qt.Commentf("%s", c.name))
	}
}

// Jobs are cancelled in the middle of the queue. The other jobs keep their order, and
// idle teams that callers made up are removed.
func TestRemove(t *testing.T) {
	q := New[string]()
	var items []*Item[string]
	for i := range 1000 {
		items = append(items, push(q, fmt.Sprint("t", i%500), fmt.Sprint(i), int64(i)))
	}
	for i, item := range items {
		if i != 42 {
			q.Remove(item)
			q.Remove(item)
		}
	}
	qt.Assert(t, q.Head().Value, qt.Equals, "42")
	q.Remove(items[42])
	qt.Assert(t, q.Head(), qt.IsNil)
	qt.Assert(t, len(q.flows) <= retainedFlows, qt.IsTrue)
}
