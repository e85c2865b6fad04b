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

// eventKinds is a sink that keeps the kinds of events.
type eventKinds struct {
	mu    sync.Mutex
	kinds []timeline.Kind
}

func (k *eventKinds) Record(ev timeline.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.kinds = append(k.kinds, ev.Kind)
}

func (k *eventKinds) all() []timeline.Kind {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.kinds)
}

// A target passes to another holder and later becomes unresponsive with a run on it. The time line
// must show which entry was the holder at which time, and that the lease had expired before the
// task went elsewhere.
func TestHolderChangesAndLeasesAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.runTime = time.Hour
		var former, later eventKinds
		first := NewSession(Options{Client: w, Salt: 1, Events: &former})
		time.Sleep(time.Second)
		second := NewSession(Options{Client: w, Salt: 2, Events: &later})
		time.Sleep(time.Second)
		first.Start(t.Context(), taskOf("a", 1))
		qt.Assert(t, former.all(), qt.DeepEquals, []timeline.Kind{timeline.TargetTaken, timeline.TargetYielded})
		qt.Assert(t, later.all(), qt.DeepEquals, []timeline.Kind{timeline.TargetTaken})

		lost := make(chan target.Result, 1)
		go func() { lost <- second.Start(t.Context(), taskOf("b", 1)) }()
		time.Sleep(time.Second)
		w.set(func() { w.unresponsive = true })
		qt.Assert(t, (<-lost).Reason, qt.Equals, job.TargetLost)
		// Between the takeover and the expiry are one accepted start and the renewals of one
		// second. Both are only counted.
		qt.Assert(t, later.all(), qt.DeepEquals, []timeline.Kind{
			timeline.TargetTaken, timeline.RunAccepted,
			timeline.LeaseRenewed, timeline.LeaseRenewed, timeline.LeaseRenewed, timeline.LeaseExpired,
		})
		w.set(func() { w.unresponsive = false })
		first.Close()
		second.Close()
		drain()
	})
}
