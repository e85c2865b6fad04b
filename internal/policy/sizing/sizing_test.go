package sizing

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

func distribution(mean, spread float64) *Distribution {
	d := &Distribution{}
	r := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		d.Add(Demand{MilliProcessors: mean * math.Exp(spread*r.NormFloat64()), MemoryMB: 64})
	}
	return d
}

var target = Demand{MilliProcessors: 32000, MemoryMB: 65536}

// With equal sizes the number of tasks that fit is certain; an estimate between two whole
// numbers would admit work that finds no room, or refuse work beside free room.
func TestEqualSizesAreExact(t *testing.T) {
	d := distribution(16000, 0)
	qt.Check(t, d.Fit(target, 8), qt.Equals, 2.0)
	qt.Check(t, d.Fit(Demand{MilliProcessors: 15900, MemoryMB: 65536}, 8) < 1, qt.IsTrue)
	qt.Check(t, distribution(4000, 0).Fit(target, 5), qt.Equals, 5.0)
	qt.Check(t, distribution(4000, 0).Fit(Demand{MilliProcessors: 32000, MemoryMB: 130}, 8), qt.Equals, 2.0)
	qt.Check(t, (&Distribution{}).Fit(target, 8), qt.Equals, 8.0)
}

// If the estimate jumped where the mean crosses half of a target, the noise of the mean
// would double and halve the capacity of the pool.
func TestFitIsSmoothInTheMean(t *testing.T) {
	last := math.Inf(1)
	for mean := 14000.0; mean <= 18000; mean += 320 {
		n := distribution(mean, 0.2).Fit(target, 8)
		qt.Check(t, n <= last && (math.IsInf(last, 1) || last-n < 0.1), qt.IsTrue, qt.Commentf("mean %.0f: %.3f after %.3f", mean, n, last))
		last = n
	}
}

// A wrong estimate in either direction costs callers: too high admits what then waits, too
// low refuses beside free room.
func TestFitAgreesWithRandomDraws(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	for _, mean := range []float64{6800, 14000, 16000, 18000} {
		drawn := 0
		const rounds = 4000
		for range rounds {
			for free := 32000.0; ; drawn++ {
				if free -= mean * math.Exp(0.2*r.NormFloat64()); free < 0 {
					break
				}
			}
		}
		got := distribution(mean, 0.2).Fit(target, 8)
		qt.Check(t, math.Abs(got-float64(drawn)/rounds) < 0.1, qt.IsTrue, qt.Commentf("mean %.0f: %.3f, drawn %.3f", mean, got, float64(drawn)/rounds))
	}
}

// A gap of nearly one task is worse than none and than one in which a task fits for sure.
func TestWasteIsLargestBeforeATaskFits(t *testing.T) {
	d := distribution(16000, 0.2)
	waste := func(millis float64) float64 {
		return d.Waste(Demand{MilliProcessors: millis, MemoryMB: 65536}, 8)
	}
	qt.Check(t, waste(0), qt.Equals, 0.0)
	qt.Check(t, waste(12000) > 0.5, qt.IsTrue)
	qt.Check(t, waste(22000) < waste(12000), qt.IsTrue)
}

func BenchmarkFit(b *testing.B) {
	d := distribution(16000, 0.2)
	for b.Loop() {
		d.Fit(target, 8)
	}
}
