package replay

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var preemption = flag.Bool("replay.preemption", false, "print what stopping runs for urgent jobs changes")

// preemptionStats is the credit by kind and what was stopped for it.
type preemptionStats struct {
	credit              map[string]float64
	overall             float64
	stops, lost, busy   float64
	abandoned, sent     int
	refused, mayHaveRun int
}

func measurePreemption(t *testing.T, s site, l traffic, seeds int) preemptionStats {
	out := preemptionStats{credit: map[string]float64{}}
	for seed := range uint64(seeds) {
		l.seed = 10 + seed
		f := simulate(t, s, l.kinds, l.arrivals())
		m := f.metrics()
		for k, v := range m.kinds {
			out.credit[k] += v / float64(seeds)
		}
		out.overall += m.credit / float64(seeds)
		for _, h := range f.holders {
			out.stops += float64(h.Stats().Preempted) / float64(seeds)
			out.lost += float64(h.Stats().PreemptedMillis) / 1000
		}
		out.busy += f.busy.Seconds()
		out.abandoned, out.sent, out.refused, out.mayHaveRun = out.abandoned+m.abandoned, out.sent+m.sent, out.refused+m.refused, out.mayHaveRun+m.uncertain
	}
	return out
}

func (s preemptionStats) String() string {
	return fmt.Sprintf("%.3f: check %.3f hold %.3f permit %.3f; %.0f stops, %.2f%% lost; of %d refused %d, abandoned %d, may have run %d",
		s.overall, s.credit["check"], s.credit["hold"], s.credit["permit"], s.stops, 100*s.lost/s.busy, s.sent, s.refused, s.abandoned, s.mayHaveRun)
}

// go test ./internal/replay -v -run TestPreemptionTable -replay.preemption prints the credit
// by kind with and without stops.
func TestPreemptionTable(t *testing.T) {
	if !*preemption {
		return
	}
	const seeds = 3
	for _, x := range []float64{1, 1.5, 2.5} {
		l := hiveLoad(x)
		l.until = 8 * time.Second
		off := hiveSite()
		off.opts.NoPreemption = true
		t.Logf("%.1f with    %v", x, measurePreemption(t, hiveSite(), l, seeds))
		t.Logf("%.1f without %v", x, measurePreemption(t, off, l, seeds))
	}
}
