package load

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Twice as much work arrives as the targets can serve. The plan must come close to the
// capacity of the targets without exceeding it: without this reference, a run that serves
// half of the work can't be rated.
func TestHindsightOfAnOverload(t *testing.T) {
	spec, err := Parse([]byte(`
name: over
seed: 3
fleet: {zones: [one], entries: 1, targets: 2, slots: 5, pool: p}
duration: 6s
warmup: 1s
streams:
  - {name: s, service: s, share: 2, tasks: {min: 1, max: 4}, run: {median: 100ms, sigma: 0.3, min: 10ms, max: 1s}, deadline: 1s}
`))
	qt.Assert(t, err, qt.IsNil)
	h := hindsight(&spec)
	qt.Assert(t, h.Known, qt.IsTrue)
	qt.Assert(t, h.Plan > 8 && h.Plan <= h.UpperBound, qt.IsTrue, qt.Commentf("%+v", h))
	qt.Assert(t, h.UpperBound <= 10.1, qt.IsTrue, qt.Commentf("%+v", h))
	spec.Fleet = Fleet{}
	qt.Assert(t, hindsight(&spec).Known, qt.IsFalse)
}
