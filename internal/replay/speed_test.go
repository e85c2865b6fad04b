package replay

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/policy/speed"
)

// recordsOf makes each target start from a record that is the power of its actual factor.
func recordsOf(s site, power float64) site {
	s.record = func(factor float64) speed.Estimate {
		return speed.Estimate{Log: power * math.Log(factor), Samples: 20, Age: time.Hour}
	}
	return s
}

// Guards against records that cost callers more than they help: in the first second, when
// holders know nothing else about their targets, and if all records are wrong.
func TestSpeedRecordsInTheFirstSecond(t *testing.T) {
	const seeds = 12
	l := channelLoad(2.5)
	l.until = time.Second
	without, _, _ := meanCredit(t, deployment{"", channelSite(), l}, seeds)
	with, _, _ := meanCredit(t, deployment{"", recordsOf(channelSite(), 1), l}, seeds)
	wrong, _, _ := meanCredit(t, deployment{"", recordsOf(channelSite(), -1), l}, seeds)
	t.Logf("without records %.3f, with records %.3f, with wrong ones %.3f", without, with, wrong)
	qt.Check(t, with >= without-noiseMargin, qt.IsTrue)
	qt.Check(t, wrong >= without-2*noiseMargin, qt.IsTrue)
}
