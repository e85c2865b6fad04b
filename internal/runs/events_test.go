package runs

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// kept is a sink that keeps the kinds of events.
type kept struct {
	mu    sync.Mutex
	kinds []timeline.Kind
}

func (k *kept) Record(ev timeline.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.kinds = append(k.kinds, ev.Kind)
}

func (k *kept) all() []timeline.Kind {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.kinds)
}

// A target changes hands, and later falls silent with a run on it. Whoever looks for
// the cause of the lost run finds in the time line who gave the orders when, and that
// the lease had run out before the task went elsewhere.
func TestChangesOfOrdersAndLeasesAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.takes = time.Hour
		var former, later kept
		first := NewSession(Options{Orders: w, Salt: 1, Events: &former})
		time.Sleep(time.Second)
		second := NewSession(Options{Orders: w, Salt: 2, Events: &later})
		time.Sleep(time.Second)
		first.Start(t.Context(), taskOf("a", 1))
		qt.Assert(t, former.all(), qt.DeepEquals, []timeline.Kind{timeline.TargetTaken, timeline.TargetYielded})
		qt.Assert(t, later.all(), qt.DeepEquals, []timeline.Kind{timeline.TargetTaken})

		lost := make(chan target.Result, 1)
		go func() { lost <- second.Start(t.Context(), taskOf("b", 1)) }()
		time.Sleep(time.Second)
		w.set(func() { w.silent = true })
		qt.Assert(t, (<-lost).Reason, qt.Equals, job.TargetLost)
		// A start and the renewals of a second, which are only counted, stand between.
		qt.Assert(t, later.all(), qt.DeepEquals, []timeline.Kind{
			timeline.TargetTaken, timeline.RunAccepted,
			timeline.LeaseRenewed, timeline.LeaseRenewed, timeline.LeaseRenewed, timeline.LeaseRunOut,
		})
		w.set(func() { w.silent = false })
		first.Close()
		second.Close()
		settle()
	})
}
