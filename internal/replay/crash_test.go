package replay

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// crashStats summarises runs in which a share of the jobs crashes targets.
type crashStats struct {
	// inTime is the fraction of the other jobs that completed within their objective.
	inTime float64
	// maxPerTask and meanPerTask count the targets that one task crashed.
	maxPerTask  int
	meanPerTask float64
	// blamed is the fraction of the other jobs that were failed as the suspected cause.
	blamed float64
}

func measureCrashes(t *testing.T, s site, share float64, seeds int) crashStats {
	var out crashStats
	s.resends = 4
	crashing, others, inTime, blamed := 0, 0, 0, 0
	for seed := range seeds {
		arrivals := traffic{seed: uint64(seed), kinds: bookingKinds(), until: 20 * time.Second, factor: constantFactor(0.8)}.arrivals()
		r := rand.New(rand.NewPCG(7, uint64(seed)))
		for i := range arrivals {
			arrivals[i].crashing = r.Float64() < share
		}
		f := simulate(t, s, bookingKinds(), arrivals)
		for _, n := range f.crashCounts {
			crashing++
			out.meanPerTask += float64(n)
			out.maxPerTask = max(out.maxPerTask, n)
		}
		for _, a := range f.answers {
			if a.arrival.crashing {
				continue
			}
			others++
			if a.Outcome == job.Complete && a.after <= a.arrival.objective() {
				inTime++
			}
			if a.Reason == job.TaskCrashes {
				blamed++
			}
		}
	}
	out.meanPerTask /= float64(max(1, crashing))
	out.inTime = float64(inTime) / float64(others)
	out.blamed = float64(blamed) / float64(others)
	return out
}

// A few jobs that crash their targets must not make the pool unavailable to all other jobs.
func TestCrashingTasksDoNotStarveOthers(t *testing.T) {
	noReports, counting := defaultSite(), defaultSite()
	noReports.noCrashReports = true
	counting.opts.NoSuspectIsolation = true
	for _, share := range []float64{0, 0.005, 0.02, 0.05} {
		seeds := 2
		current := measureCrashes(t, defaultSite(), share, seeds)
		t.Logf("%.1f%% of the jobs: suspects alone %+v", 100*share, current)
		if testing.Verbose() {
			t.Logf("  counting alone %+v", measureCrashes(t, counting, share, seeds))
			t.Logf("  no reports     %+v", measureCrashes(t, noReports, share, seeds))
		}
		qt.Check(t, current.maxPerTask <= 3, qt.IsTrue, qt.Commentf("%+v", current))
		qt.Check(t, current.blamed < 0.001, qt.IsTrue, qt.Commentf("%+v", current))
	}
}
