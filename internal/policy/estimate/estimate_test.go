package estimate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	kind  = Kind{"thumb", "pose"}
)

const ms = time.Millisecond

// near reports whether an estimate differs from the true value by less than a share of
// it.
func near(got, want time.Duration, share float64) bool {
	d := float64(got-want) / float64(want)
	return d < share && d > -share
}

// A caller declares a run time ten times too long or too short. After a few tasks the
// measured run time must dominate, and the estimate must follow a lasting change.
func TestDeclaredIsOutweighed(t *testing.T) {
	for _, declared := range []time.Duration{30 * ms, 3 * time.Second} {
		b := New()
		qt.Assert(t, b.Mean(start, kind, declared), qt.Equals, declared)
		for range 40 {
			b.Record(start, kind, 300*ms)
		}
		qt.Assert(t, near(b.Mean(start, kind, declared), 300*ms, 0.45), qt.IsTrue)
		for range 300 {
			b.Record(start, kind, 300*ms)
		}
		qt.Assert(t, near(b.Mean(start, kind, declared), 300*ms, 0.1), qt.IsTrue)
		for range 600 {
			b.Record(start, kind, 900*ms)
		}
		qt.Assert(t, near(b.Mean(start, kind, 0), 900*ms, 0.1), qt.IsTrue)
	}
}

// The tasks of a new kind run for seconds. Until the first one ends, the time that they
// have been running is the only sign that the kind is long.
func TestRunningTasksCountBeforeTheFirstEnds(t *testing.T) {
	b := New()
	for range 10 {
		b.Started(start, kind)
	}
	qt.Assert(t, b.Mean(start.Add(2*time.Second), kind, 0) >= 2*time.Second, qt.IsTrue)
	for range 10 {
		b.Ended(kind, start)
		b.Record(start.Add(3*time.Second), kind, 3*time.Second)
	}
	b.Started(start, kind)
	qt.Assert(t, near(b.Mean(start.Add(time.Minute), kind, 0), 3*time.Second, 0.01), qt.IsTrue)
}

func TestQuantiles(t *testing.T) {
	var s Sketch
	for i := range 200 {
		s.Add(time.Duration(i+1) * 10 * ms)
	}
	for _, q := range []float64{0.1, 0.25, 0.5, 0.9, 0.99} {
		want := time.Duration(q * float64(2*time.Second))
		qt.Assert(t, near(s.Quantile(q), want, 0.13), qt.IsTrue, qt.Commentf("%v: %v", q, s.Quantile(q)))
	}
	qt.Assert(t, s.Quantile(0) > 0 && s.Mean() > 0, qt.IsTrue)
}

// Callers choose the names of kinds. A caller that uses a new name for each task must
// not fill the memory; its tasks are measured as part of the service.
func TestKindsAreBounded(t *testing.T) {
	b := New()
	for i := range 2 * maxKinds {
		b.Record(start, Kind{"thumb", time.Duration(i).String()}, 100*ms)
	}
	qt.Assert(t, len(b.kinds) <= maxKinds, qt.IsTrue)
	qt.Assert(t, near(b.Mean(start, Kind{"thumb", "another"}, 0), 100*ms, 0.01), qt.IsTrue)
}
