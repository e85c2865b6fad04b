package replay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// If two simulations with the same seed differ, the effect of a code change is hidden, and
// tests fail at random.
func TestSimulationIsDeterministic(t *testing.T) {
	l := traffic{seed: 7, kinds: bookingKinds(), until: 3 * time.Second, factor: constantFactor(2)}
	first := simulate(t, defaultSite(), l.kinds, l.arrivals()).metrics()
	for range 3 {
		again := simulate(t, defaultSite(), l.kinds, l.arrivals()).metrics()
		qt.Check(t, again.String(), qt.Equals, first.String())
	}
}
