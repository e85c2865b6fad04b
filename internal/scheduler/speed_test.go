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
	same, otherKind, otherMachine := job.Target{Address: "10.0.0.1:1", Processors: 32}, job.Target{Address: "10.0.0.1:1", Processors: 8}, job.Target{Address: "10.0.0.2:1", Processors: 32}
	for i, restarted := range []job.Target{same, otherKind, otherMachine} {
		now := time.Unix(1_800_000_000, 0)
		p := New("p", 1)
		spec := same
		spec.ID, spec.Pool, spec.StartedAt = "t", "p", 1
		p.SetTarget(now, spec)
		qt.Assert(t, p.UseSpeed(now, "t", speed.Estimate{Log: math.Log(1.6), Samples: 20}), qt.IsTrue)
		spec.StartedAt, spec.Address, spec.Processors = 2, restarted.Address, restarted.Processors
		p.SetTarget(now, spec)
		got := p.Stats(now).Targets[0].Speed
		qt.Check(t, got.Log > 0, qt.Equals, i == 0, qt.Commentf("%+v: %+v", restarted, got))
		qt.Check(t, p.UseSpeed(now, "t", speed.Estimate{Log: 1, Samples: 20}), qt.Equals, i > 0)
	}
}
