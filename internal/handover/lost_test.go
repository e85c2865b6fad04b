package handover

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// flapping is a mesh whose link to the holder breaks again and again: each call
// takes a while and ends without an answer, until the holder reports.
type flapping struct {
	breaks int
	takes  time.Duration
	down   bool

	mu    sync.Mutex
	calls int
}

func (f *flapping) Self() job.Owner { return job.Owner{Entry: "o", Incarnation: 1} }

func (f *flapping) Call(ctx context.Context, _ job.EntryID, _ peer.Kind, req, resp any) error {
	f.mu.Lock()
	f.calls++
	n := f.calls
	f.mu.Unlock()
	if f.down && n > 1 {
		return peer.ErrNotSent
	}
	time.Sleep(f.takes)
	if n <= f.breaks {
		return peer.ErrNoAnswer
	}
	o := req.(offer)
	raw, err := cbor.Marshal(report{Verdict: verdictReported, Outcomes: whole(&o.Batch, job.TaskDone, "", "")})
	if err != nil {
		return err
	}
	return cbor.Unmarshal(raw, resp)
}

func (f *flapping) Send(job.EntryID, peer.Kind, any) error       { return nil }
func (f *flapping) Handle(peer.Kind, peer.Handler)               {}
func (f *flapping) HandleInOrder(kind peer.Kind, h peer.Handler) {}
func transientBatch() *job.Batch {
	return &job.Batch{Submission: "j", Transient: true, Tasks: []job.BatchTask{{Index: 0}}}
}

func deliverOver(t *testing.T, f *flapping, silent func(job.EntryID, job.Incarnation) time.Duration) (job.TaskOutcome, time.Duration) {
	t.Helper()
	r := NewRemote(RemoteOptions{Mesh: f, Silent: silent})
	got := make(chan []job.TaskOutcome, 1)
	begun := time.Now()
	r.Offer(context.Background(), "h", 1, transientBatch(), func(o []job.TaskOutcome) { got <- o })
	outcomes := <-got
	qt.Assert(t, outcomes, qt.HasLen, 1)
	return outcomes[0], time.Since(begun)
}

// The link between an owner and a holder breaks every second and comes back at
// once. The holder hears the owner all the while and goes on with its tasks: called
// lost, they would run twice at a time.
func TestFlappingLinkLosesNoHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		heard := func(job.EntryID, job.Incarnation) time.Duration { return 200 * time.Millisecond }
		o, _ := deliverOver(t, &flapping{breaks: 4, takes: time.Second}, heard)
		qt.Assert(t, o.Status, qt.Equals, job.TaskDone)
	})
}

// lossesKept counts the batches that were recorded as lost.
type lossesKept struct{ lost []timeline.Event }

func (k *lossesKept) Record(ev timeline.Event) {
	if ev.Kind == timeline.BatchLost {
		k.lost = append(k.lost, ev)
	}
}

// A holder is gone for good, and its tasks run a second time elsewhere. Who wonders why
// a job took two seconds finds which holder was lost and by what its owner judged.
func TestLostHolderIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kept := &lossesKept{}
		gone := func(job.EntryID, job.Incarnation) time.Duration { return time.Hour }
		r := NewRemote(RemoteOptions{Mesh: &flapping{breaks: 1, takes: 100 * time.Millisecond, down: true}, Silent: gone, Events: kept})
		got := make(chan []job.TaskOutcome, 1)
		r.Offer(context.Background(), "h", 1, transientBatch(), func(o []job.TaskOutcome) { got <- o })
		<-got
		qt.Assert(t, kept.lost, qt.HasLen, 1)
		qt.Assert(t, kept.lost[0].Peer, qt.Equals, job.EntryID("h"))
		qt.Assert(t, kept.lost[0].Submission, qt.Equals, job.ID("j"))
		qt.Assert(t, kept.lost[0].Cause, qt.Matches, "no link for .+, unheard for 1h0m0s")
	})
}

// A holder is gone for good. Its owner may place the tasks anew, but not before
// the holder, if it lives, has stopped them, or the leases of its targets have run
// out.
func TestLostHolderGivesTasksBackWhenTheyAreOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gone := func(job.EntryID, job.Incarnation) time.Duration { return time.Hour }
		o, took := deliverOver(t, &flapping{breaks: 1, takes: 100 * time.Millisecond, down: true}, gone)
		qt.Assert(t, o.Reason, qt.Equals, job.HolderLost)
		qt.Assert(t, o.Over, qt.IsTrue)
		qt.Assert(t, took > lostAfter, qt.IsTrue)
		qt.Assert(t, took < 2*lostAfter+maxRetryPause, qt.IsTrue, qt.Commentf("%v", took))
	})
}
