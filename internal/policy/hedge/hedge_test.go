package hedge

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against light losses that are answered with as many copies as heavy ones.
func TestCopiesFollowTheShareOfLosses(t *testing.T) {
	for _, c := range []struct {
		share  float64
		copies int
		heavy  bool
	}{{0, 1, false}, {0.005, 1, false}, {0.06, 2, false}, {0.12, 2, false}, {0.25, 3, true}, {0.5, 6, true}, {1, 8, true}} {
		qt.Assert(t, Copies(c.share, 8), qt.Equals, c.copies, qt.Commentf("%v", c.share))
		qt.Assert(t, Heavy(c.share), qt.Equals, c.heavy, qt.Commentf("%v", c.share))
	}
	qt.Assert(t, Copies(0.9, 6), qt.Equals, 6)
}

// Guards against losses that count long after they have ended, and against a share that is
// measured over too few requests when a period begins.
func TestShareCoversTwoPeriods(t *testing.T) {
	var l Losses
	now := time.Now()
	qt.Assert(t, l.Share(now), qt.Equals, 0.0)
	for i := range 20 {
		l.Record(now, i%2 == 0)
	}
	qt.Assert(t, l.Share(now), qt.Equals, 0.5)
	now = now.Add(period)
	for range 20 {
		l.Record(now, false)
	}
	qt.Assert(t, l.Share(now), qt.Equals, 0.25)
	qt.Assert(t, l.Share(now.Add(period)), qt.Equals, 0.0)
	qt.Assert(t, l.Share(now.Add(time.Hour)), qt.Equals, 0.0)
}
