package scheduler

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/speed"
)

// Guards against a restarted target that is measured anew although it is the same machine, and
// against one that keeps the speed of another kind of target or of another machine.
func TestRestartedTargetStartsFromItsSpeed(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*job.Target)
		factor float64
	}{
		"same":            {func(*job.Target) {}, 1.6},
		"another kind":    {func(x *job.Target) { x.Processors = 8 }, 1},
		"another machine": {func(x *job.Target) { x.Address = "10.0.0.2:1" }, 1},
	} {
		now := time.Unix(1_800_000_000, 0)
		p := New("p", 1)
		spec := job.Target{ID: "t", Pool: "p", Address: "10.0.0.1:1", Processors: 32, StartedAt: 1}
		p.SetTarget(now, spec)
		qt.Assert(t, p.UseSpeed(now, "t", speed.Estimate{Log: math.Log(1.6), Samples: 20}), qt.IsTrue)
		spec.StartedAt = 2
		c.change(&spec)
		p.SetTarget(now, spec)
		got := p.Stats(now).Targets[0].Speed
		qt.Check(t, math.Abs(got.Factor()-c.factor) < 0.01, qt.IsTrue, qt.Commentf("%s: %+v", name, got))
		qt.Check(t, p.UseSpeed(now, "t", speed.Estimate{Log: 1, Samples: 20}), qt.Equals, c.factor == 1, qt.Commentf("%s", name))
	}
}
