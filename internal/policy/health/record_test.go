package health

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/policy/speed"
)

// startRecorded returns a fleet whose targets start from records with the same factor.
func startRecorded(t *testing.T, factor float64) (*Fleet, []*Target) {
	f, list := NewFleet(), make([]*Target, 12)
	for i := range list {
		list[i] = &Target{}
		f.Add(list[i])
		qt.Assert(t, f.UseRecord(list[i], &speed.Estimate{Log: math.Log(factor), Samples: 20}), qt.IsTrue)
	}
	return f, list
}

// runTasks measures tasks on a target that takes factor times as long as expected.
func runTasks(f *Fleet, t *Target, r *rand.Rand, factor float64, tasks int) {
	for range tasks {
		ran := 0.1 * factor * math.Exp(0.3*r.NormFloat64())
		f.measure(time.Unix(0, 0), t, time.Duration(ran*float64(time.Second)), 100*time.Millisecond, false)
	}
}

// Guards against a target that has become slow or fast since its record, and is used by the
// record for longer than a few tasks.
func TestWrongRecordIsCorrected(t *testing.T) {
	for _, c := range []struct{ recorded, actual float64 }{{1, 1 / 0.6}, {1, 1 / 1.6}, {1 / 0.6, 1 / 1.6}, {1 / 1.6, 1 / 0.6}} {
		f, list := startRecorded(t, c.recorded)
		r := rand.New(rand.NewPCG(1, 2))
		for _, other := range list[1:] {
			runTasks(f, other, r, c.recorded, 6)
		}
		f.Uneven(list, 1.3)
		runTasks(f, list[0], r, c.actual, 10)
		f.Uneven(list, 1.3)
		got := f.RelativeRunTime(list[0])
		qt.Check(t, math.Abs(math.Log(got/c.actual)) < math.Abs(math.Log(got/c.recorded)), qt.IsTrue, qt.Commentf("%+v: %.2f", c, got))
		_, corrected := list[0].TakeCorrected()
		qt.Check(t, corrected || math.Abs(math.Log(c.actual/c.recorded)) < 0.9, qt.IsTrue, qt.Commentf("%+v", c))
		qt.Check(t, f.UseRecord(list[0], &speed.Estimate{Log: math.Log(c.recorded), Samples: 20}), qt.IsFalse)
	}
}

// Guards against records whose typical target changes with the holder: the targets of this one
// are all fast, and no slower one shows it.
func TestMedianRefersToTheRecords(t *testing.T) {
	f, list := startRecorded(t, 1/1.6)
	r := rand.New(rand.NewPCG(1, 2))
	for _, x := range list {
		runTasks(f, x, r, 1, 40)
	}
	qt.Assert(t, f.Uneven(list, 1.3), qt.IsTrue)
	for _, x := range list {
		qt.Check(t, math.Abs(f.Speed(x).Log-math.Log(1/1.6)) < 0.15, qt.IsTrue)
	}
}

// Guards against a median that follows the targets that run the most tasks, which are the fast
// ones, and against targets of nearly equal speed that are treated as different.
func TestMedianCountsTargetsNotTasks(t *testing.T) {
	f, r := NewFleet(), rand.New(rand.NewPCG(1, 2))
	var list []*Target
	for _, factor := range []float64{0.6, 0.6, 0.6, 1, 1, 1, 1, 1, 1, 1.7, 1.7, 1.7} {
		list = append(list, &Target{})
		runTasks(f, list[len(list)-1], r, factor, int(60/factor/factor))
	}
	qt.Assert(t, f.Uneven(list, 1.3), qt.IsTrue)
	qt.Check(t, math.Abs(f.median) < 0.1, qt.IsTrue, qt.Commentf("%.2f", f.median))
	qt.Check(t, f.Uneven(list[3:9], 1.3), qt.IsFalse)
	qt.Check(t, f.Uneven(append(list[2:9:9], list[3:9]...), 1.3), qt.IsFalse, qt.Commentf("one of 13 differs"))
}
