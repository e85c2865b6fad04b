package holder

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// eventRecorder keeps the events of the given kinds.
type eventRecorder struct {
	mu    sync.Mutex
	kinds map[timeline.Kind]bool
	all   []timeline.Event
}

func (k *eventRecorder) Record(ev timeline.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.kinds[ev.Kind] {
		k.all = append(k.all, ev)
	}
}

// A target fails all of its tasks and recovers later. The events must show when and why it
// was quarantined and when it got work again, each once, however many tasks fail: they
// explain why the pool was short of slots.
func TestQuarantineIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		broken := true
		f.answer = func(id job.TargetID, _ target.Task) target.Result {
			f.mu.Lock()
			fails := broken && id == "bad"
			f.mu.Unlock()
			if fails {
				time.Sleep(time.Millisecond)
				return target.Result{Status: job.TaskErred, Reason: job.TaskFailed, Detail: "no licence"}
			}
			return done()
		}
		events := &eventRecorder{kinds: map[timeline.Kind]bool{timeline.TargetSuspect: true, timeline.TargetHealthy: true}}
		h := New(Options{Self: owner, Config: config.Fixed{File: file}, Connect: f.connect, Events: events})
		for _, id := range []job.TargetID{"1", "2", "3", "bad"} {
			h.SetTarget(announced(id))
		}
		for i := range 600 {
			h.Offer(batchOf(job.ID(fmt.Sprint("j", i)), 30), func([]job.TaskOutcome) {})
			time.Sleep(200 * time.Millisecond)
			if i == 100 {
				f.mu.Lock()
				broken = false
				f.mu.Unlock()
			}
		}
		qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
		qt.Assert(t, events.all, qt.HasLen, 2)
		qt.Assert(t, events.all[0].Kind, qt.Equals, timeline.TargetSuspect)
		qt.Assert(t, events.all[0].Target, qt.Equals, job.TargetID("bad"))
		qt.Assert(t, events.all[0].Cause, qt.Matches, ".*no licence")
		qt.Assert(t, events.all[1].Kind, qt.Equals, timeline.TargetHealthy)
		h.Close()
	})
}
