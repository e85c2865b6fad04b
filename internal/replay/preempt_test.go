package replay

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/policy/preempt"
)

var preemption = flag.Bool("replay.preemption", false, "print what stopping runs for urgent jobs changes")

// preemptionStats is the mean credit, and what was stopped for it.
type preemptionStats struct {
	metrics
	stops, lost, busy float64
}

func measurePreemption(t *testing.T, s site, l traffic) (out preemptionStats) {
	const seeds = 6
	for seed := range uint64(seeds) {
		l.seed = 10 + seed
		f := simulate(t, s, l.kinds, l.arrivals())
		m := f.metrics()
		out.add(&m, seeds)
		for _, h := range f.holders {
			out.stops += float64(h.Stats().Preempted) / seeds
			out.lost += float64(h.Stats().PreemptedMillis) / 1000
		}
		out.busy += f.busy.Seconds()
	}
	return out
}

func (s preemptionStats) String() string {
	return fmt.Sprintf("%.3f: check %.3f hold %.3f permit %.3f; %.0f stops, %.2f%% lost; of %d refused %d, abandoned %d, may have run %d",
		s.credit, s.kinds["check"], s.kinds["hold"], s.kinds["permit"], s.stops, 100*s.lost/s.busy, s.sent, s.refused, s.abandoned, s.uncertain)
}

// longKinds is a mix in which long tasks of the least urgent kind hold most of the capacity
// when a wide job of the most urgent kind arrives.
func longKinds() []kind {
	return []kind{
		{"check", 40, 8, 60 * time.Millisecond, usualStretch, usualDeclaredError, 0},
		{"permit", 32, 4, 900 * time.Millisecond, usualStretch, usualDeclaredError, 2},
		{"hold", 20, 2, 200 * time.Millisecond, usualStretch, usualDeclaredError, 1},
	}
}

func longLoad(x float64) traffic {
	l := hiveLoad(x)
	l.kinds = longKinds()
	return l
}

// go test ./internal/replay -v -run TestPreemptionTable -replay.preemption prints the credit
// by kind with and without stops.
func TestPreemptionTable(t *testing.T) {
	if !*preemption {
		return
	}
	for _, d := range []deployment{
		{"usual mix, 1", hiveSite(), hiveLoad(1)},
		{"usual mix, 1.5", hiveSite(), hiveLoad(1.5)},
		{"usual mix, 2.5", hiveSite(), hiveLoad(2.5)},
		{"long tasks, 0.9", hiveSite(), longLoad(0.9)},
		{"long tasks, 1.2", hiveSite(), longLoad(1.2)},
		{"three speeds, 1", channelSite(), channelLoad(1)},
		{"three speeds, 1.5", channelSite(), channelLoad(1.5)},
	} {
		off := d.site
		off.opts.NoPreemption = true
		t.Logf("%-18s with    %v", d.name, measurePreemption(t, d.site, d.traffic))
		t.Logf("%-18s without %v", d.name, measurePreemption(t, off, d.traffic))
	}
}

// A wide job of the most urgent kind arrives while long tasks hold most of the capacity. Without
// stops it is the kind that is served worst. Stops must serve it measurably better, at the cost
// of no more than their share of the work, and no callers may wait in vain for it.
func TestUrgentJobsGetTheCapacityOfLongTasks(t *testing.T) {
	off := hiveSite()
	off.opts.NoPreemption = true
	with, without := measurePreemption(t, hiveSite(), longLoad(0.9)), measurePreemption(t, off, longLoad(0.9))
	t.Logf("with    %v", with)
	t.Logf("without %v", without)
	qt.Check(t, with.kinds["check"] > without.kinds["check"]+0.04, qt.IsTrue)
	qt.Check(t, with.credit > without.credit-noiseMargin, qt.IsTrue)
	qt.Check(t, with.lost < preempt.MaxShare*with.busy, qt.IsTrue)
	qt.Check(t, with.uncertain < 2*without.uncertain+10, qt.IsTrue)
}
