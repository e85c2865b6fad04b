package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Every request fails for a while. Retries must stay at a tenth of the load. With more,
// they would keep overloading the failing targets.
func TestBudget(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var b Budget
	retries := 0
	for i := range 10000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		b.Request(now)
		if b.Allow(now, 0, time.Second) {
			retries++
		}
	}
	qt.Assert(t, retries > 900 && retries < 1100, qt.IsTrue, qt.Commentf("%d", retries))
	later := start.Add(time.Hour)
	qt.Assert(t, b.Allow(later, 100*time.Millisecond, time.Second), qt.IsFalse)
	qt.Assert(t, b.Allow(later, 0, time.Second), qt.IsTrue)
}
