package trial

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/load"
)

// Policies are only comparable if each receives the same jobs and answers all of
// them, so each report must be complete and pass its checks.
func TestRunSendsEachPolicyTheSame(t *testing.T) {
	spec, err := load.Read("../../examples/patterns/failing-targets.yaml")
	qt.Assert(t, err, qt.IsNil)
	spec.Duration, spec.Warmup = 400*time.Millisecond, 0
	spec.Fleet.Zones, spec.Fleet.Entries = []string{"a", "b"}, 2
	reports, err := Run(t.Context(), spec, []Policy{FullPolicy(), Baselines()[0]})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reports, qt.HasLen, 2)
	for _, r := range reports {
		qt.Assert(t, r.Checks.Passed(), qt.IsTrue, qt.Commentf("%+v", r.Checks))
		qt.Assert(t, r.Checks.TargetsCounted, qt.IsTrue)
		qt.Assert(t, r.Messages.Counted, qt.IsTrue)
		qt.Assert(t, r.Checks.Jobs, qt.Equals, reports[0].Checks.Jobs)
		qt.Assert(t, r.Checks.Unanswered, qt.Equals, 0)
	}
	qt.Assert(t, reports[0].Checks.Jobs > 10, qt.IsTrue)
}
