package reserve

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// offer records work that arrives evenly. short and long are the numbers of slots that
// each kind needs.
func offer(r *Reserve, seconds int, short, long float64) time.Time {
	now := start
	for i := range seconds * 10 {
		now = start.Add(time.Duration(i) * 100 * time.Millisecond)
		r.Offered(now, false, 1, time.Duration(short*float64(100*time.Millisecond)))
		r.Offered(now, true, 1, time.Duration(long*float64(100*time.Millisecond)))
	}
	return now
}

// Long tasks fill a pool in which short tasks need a known part of the slots. If the
// reserve is too small, short tasks wait for seconds. If it is too large, slots are
// idle. Long tasks must not starve.
func TestMaxLong(t *testing.T) {
	cases := []struct {
		name        string
		short, long float64
		low, high   int
	}{
		{"only long tasks", 0, 100, 400, 400},
		{"a third short", 140, 100, 400 - 140 - 30, 400 - 140 - 20},
		{"long tasks alone would fill the pool", 140, 400, 230, 300},
		{"only short tasks, more than the pool has slots", 800, 0, 25, 25},
		{"both kinds exceed their share", 400, 400, 200, 200},
		{"long tasks below their share", 400, 100, 98, 102},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			now := offer(r, 120, c.short, c.long)
			got := r.MaxLong(now, 400, int(min(400, c.short)), 0.5)
			qt.Assert(t, got >= c.low && got <= c.high, qt.IsTrue, qt.Commentf("%d", got))
		})
	}
}

// One large job of long tasks arrives. Averaged over a few seconds, it looks as if long
// tasks needed more than the pool has, and the reserve would disappear just when it is
// needed.
func TestOneLongJobIsNoOverload(t *testing.T) {
	r := New()
	now := offer(r, 20, 140, 0)
	r.Offered(now, true, 400, 400*5*time.Second)
	got := r.MaxLong(now.Add(time.Second), 400, 140, 0.5)
	qt.Assert(t, got < 400-140, qt.IsTrue, qt.Commentf("%d", got))
}
