package health

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/estimate"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const run = 300 * time.Millisecond

type fleet struct {
	*Fleet
	targets []*Target
}

func newFleet(n int) fleet {
	f := fleet{Fleet: NewFleet()}
	for range n {
		t := &Target{}
		f.Add(t)
		f.targets = append(f.targets, t)
	}
	return f
}

func (f fleet) id(i int) job.TargetID { return job.TargetID(fmt.Sprint("w", i)) }

func (f fleet) done(now time.Time, i int, kind string, ran time.Duration, probe bool) {
	f.Done(now, f.targets[i], f.id(i), estimate.Kind{Name: kind}, ran, run, probe)
}

func (f fleet) fail(now time.Time, i int, kind string, probe bool) {
	f.Failed(now, f.targets[i], f.id(i), estimate.Kind{Name: kind}, probe)
}

// A target loses its disk, so every task on it fails while the others work. It is
// quarantined after a few failures, then probed with one task at a time at growing
// intervals, and released after two successful probes.
func TestFailingTargetIsQuarantinedAndProbed(t *testing.T) {
	f := newFleet(10)
	for i := range f.targets {
		f.done(start, i, "k", run, false)
	}
	failures := 0
	for failures < 50 && !f.targets[0].Held() {
		f.fail(start, 0, "k", false)
		failures++
	}
	qt.Assert(t, failures <= 5, qt.IsTrue, qt.Commentf("%d", failures))
	now, gap := start, time.Duration(0)
	for range 8 {
		at, waiting := f.targets[0].ProbeAt()
		qt.Assert(t, waiting, qt.IsTrue)
		qt.Assert(t, at.Sub(now) >= gap, qt.IsTrue)
		gap, now = at.Sub(now), at
		f.targets[0].Probed()
		_, waiting = f.targets[0].ProbeAt()
		qt.Assert(t, waiting, qt.IsFalse)
		f.fail(now, 0, "k", true)
	}
	qt.Assert(t, gap, qt.Equals, maxFailBackoff)
	f.done(now, 0, "k", run, true)
	qt.Assert(t, f.targets[0].Held(), qt.IsTrue)
	f.done(now, 0, "k", run, true)
	qt.Assert(t, f.targets[0].Held(), qt.IsFalse)
}

// One target fails tasks of a kind until it is quarantined, then a second one starts to
// fail. The many failures of the first count as one target's: counted singly, they would
// look like a kind that fails everywhere.
func TestOneTargetsFailuresCountOnce(t *testing.T) {
	f := newFleet(10)
	for i := range f.targets {
		f.done(start, i, "k", run, false)
	}
	for range 40 {
		f.fail(start, 0, "k", false)
	}
	for range 6 {
		f.fail(start, 1, "k", false)
	}
	qt.Assert(t, f.targets[1].Held(), qt.IsTrue)
}

// Three causes of failure that are no target's fault: a store that all targets depend on,
// a kind of task that fails everywhere, and tasks that fail occasionally. Quarantining
// targets for them would leave callers with none.
func TestTaskFaultsQuarantineNoTarget(t *testing.T) {
	cases := map[string]func(f fleet, i, round int){
		"all kinds fail everywhere": func(f fleet, i, round int) { f.fail(start, i, fmt.Sprint(round%40), false) },
		"one kind fails everywhere": func(f fleet, i, round int) {
			f.fail(start, i, "poison", false)
			f.done(start, i, "k", run, false)
		},
		"one task in five fails": func(f fleet, i, round int) {
			if (i+round)%5 == 0 {
				f.fail(start, i, "k", false)
				return
			}
			f.done(start, i, "k", run, false)
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(20)
			for round := range 200 {
				for i := range f.targets {
					play(f, i, round)
				}
			}
			for i, x := range f.targets {
				qt.Assert(t, x.Held(), qt.IsFalse, qt.Commentf("target %d, sum %v", i, x.failureSum))
			}
		})
	}
}

// Six of ten targets get a broken image at once. They are the majority, but the other
// four show that the tasks are not the cause.
func TestBrokenMajority(t *testing.T) {
	f := newFleet(10)
	for range 100 {
		for i, x := range f.targets {
			switch {
			case x.Held():
			case i < 6:
				f.fail(start, i, "k", false)
			default:
				f.done(start, i, "k", run, false)
			}
		}
	}
	for i, x := range f.targets {
		qt.Assert(t, x.Held(), qt.Equals, i < 6, qt.Commentf("target %d, sum %v", i, x.failureSum))
	}
}

// The only target fails. If it were quarantined, callers would wait in vain instead of
// getting an error.
func TestLastTargetStaysInService(t *testing.T) {
	f := newFleet(1)
	for range 50 {
		f.fail(start, 0, "k", false)
	}
	qt.Assert(t, f.targets[0].Held(), qt.IsFalse)
}

// A target becomes four times slower, then recovers. It counts as slow within a few tasks
// and as healthy again after a few probes. Random variation, or a slowdown of all
// targets, makes none of them slow.
func TestSlowTarget(t *testing.T) {
	f := newFleet(10)
	jitter := func(i, round int) time.Duration { return run * time.Duration(70+(i*7+round*13)%60) / 100 }
	round := 0
	play := func(rounds int, slow float64) {
		for range rounds {
			round++
			for i := range f.targets {
				ran := jitter(i, round)
				if i == 0 {
					ran = time.Duration(slow * float64(ran))
				}
				f.done(start, i, "k", ran, i == 0 && f.Slowness(f.targets[0]) > 1)
			}
		}
	}
	play(50, 1)
	for _, x := range f.targets {
		qt.Assert(t, f.Slowness(x), qt.Equals, 1.0)
	}
	play(8, 4)
	qt.Assert(t, f.Slowness(f.targets[0]) > 1.5, qt.IsTrue, qt.Commentf("%v", f.Slowness(f.targets[0])))
	qt.Assert(t, f.Slowness(f.targets[1]), qt.Equals, 1.0)
	play(6, 1)
	qt.Assert(t, f.Slowness(f.targets[0]), qt.Equals, 1.0)
	for i := range f.targets {
		for range 60 {
			f.done(start, i, "k", 3*run, false)
		}
	}
	for range 40 {
		for i := range f.targets {
			f.done(start, i, "k", 3*run, false)
		}
	}
	for _, x := range f.targets {
		qt.Assert(t, f.Slowness(x), qt.Equals, 1.0)
	}
}

// All tasks run equally long, so chance explains no difference, and one target is slower
// by less than the resolution of the estimates. If it counted as slow, it would
// needlessly receive single probes only.
func TestSmallDifferenceIsNotSlow(t *testing.T) {
	f := newFleet(5)
	for range 200 {
		for i := range f.targets {
			f.done(start, i, "k", run, false)
		}
	}
	for range 30 {
		f.done(start, 0, "k", run*115/100, false)
		for i := range 4 {
			f.done(start, i+1, "k", run, false)
		}
	}
	qt.Assert(t, f.Slowness(f.targets[0]), qt.Equals, 1.0)
}

// A target answers "busy" to several tasks at the same moment. That counts as one
// refusal: counted as eight, it would cause the longest backoff at once.
func TestSimultaneousRefusalsCountOnce(t *testing.T) {
	f := newFleet(2)
	for range 8 {
		f.Refused(start, f.targets[0], false)
	}
	at, _ := f.targets[0].ProbeAt()
	qt.Assert(t, at.Sub(start), qt.Equals, minRefuseBackoff)
	f.Refused(at, f.targets[0], true)
	again, _ := f.targets[0].ProbeAt()
	qt.Assert(t, again.Sub(at), qt.Equals, 2*minRefuseBackoff)
	f.done(again, 0, "k", run, true)
	qt.Assert(t, f.targets[0].Held(), qt.IsFalse)
}
