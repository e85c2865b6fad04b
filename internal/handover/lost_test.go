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

// flappingMesh is a mesh whose link to the holder breaks repeatedly: each call
// takes callTime and ends without an answer, until the holder reports.
type flappingMesh struct {
	failingCalls int
	callTime     time.Duration
	down         bool

	mu    sync.Mutex
	calls int
}

func (f *flappingMesh) Self() job.Owner { return job.Owner{Entry: "o", Incarnation: 1} }

func (f *flappingMesh) Call(ctx context.Context, _ job.EntryID, _ peer.Kind, req, resp any) error {
	f.mu.Lock()
	f.calls++
	n := f.calls
	f.mu.Unlock()
	if f.down && n > 1 {
		return peer.ErrNotSent
	}
	time.Sleep(f.callTime)
	if n <= f.failingCalls {
		return peer.ErrNoAnswer
	}
	o := req.(offer)
	raw, err := cbor.Marshal(report{Result: resultReported, Outcomes: uniformOutcomes(&o.Batch, job.TaskDone, "", "")})
	if err != nil {
		return err
	}
	return cbor.Unmarshal(raw, resp)
}

func (f *flappingMesh) Send(job.EntryID, peer.Kind, any) error       { return nil }
func (f *flappingMesh) Handle(peer.Kind, peer.Handler)               {}
func (f *flappingMesh) HandleInOrder(kind peer.Kind, h peer.Handler) {}
func transientBatch() *job.Batch {
	return &job.Batch{Submission: "j", Transient: true, Tasks: []job.BatchTask{{Index: 0}}}
}

func deliverOver(t *testing.T, f *flappingMesh, sinceLastMessage func(job.EntryID, job.Incarnation) time.Duration) (job.TaskOutcome, time.Duration) {
	t.Helper()
	r := NewRemote(RemoteOptions{Mesh: f, SinceLastMessage: sinceLastMessage})
	got := make(chan []job.TaskOutcome, 1)
	begun := time.Now()
	r.Offer(context.Background(), "h", 1, transientBatch(), func(o []job.TaskOutcome) { got <- o })
	outcomes := <-got
	qt.Assert(t, outcomes, qt.HasLen, 1)
	return outcomes[0], time.Since(begun)
}

// The link between an owner and a holder breaks every second and comes back
// immediately. The holder keeps receiving messages from the owner and continues its
// tasks. If the owner considered them lost, they would run twice at the same time.
func TestFlappingLinkLosesNoHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sinceLastMessage := func(job.EntryID, job.Incarnation) time.Duration { return 200 * time.Millisecond }
		o, _ := deliverOver(t, &flappingMesh{failingCalls: 4, callTime: time.Second}, sinceLastMessage)
		qt.Assert(t, o.Status, qt.Equals, job.TaskDone)
	})
}

// lossRecorder keeps the events of lost batches.
type lossRecorder struct{ lost []timeline.Event }

func (k *lossRecorder) Record(ev timeline.Event) {
	if ev.Kind == timeline.BatchLost {
		k.lost = append(k.lost, ev)
	}
}

// A holder is permanently lost, and its tasks run a second time elsewhere. The events must
// show which holder was lost and on what grounds its owner decided so: they explain why the
// job took two seconds.
func TestLostHolderIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kept := &lossRecorder{}
		sinceLastMessage := func(job.EntryID, job.Incarnation) time.Duration { return time.Hour }
		r := NewRemote(RemoteOptions{Mesh: &flappingMesh{failingCalls: 1, callTime: 100 * time.Millisecond, down: true}, SinceLastMessage: sinceLastMessage, Events: kept})
		got := make(chan []job.TaskOutcome, 1)
		r.Offer(context.Background(), "h", 1, transientBatch(), func(o []job.TaskOutcome) { got <- o })
		<-got
		qt.Assert(t, kept.lost, qt.HasLen, 1)
		qt.Assert(t, kept.lost[0].Peer, qt.Equals, job.EntryID("h"))
		qt.Assert(t, kept.lost[0].Submission, qt.Equals, job.ID("j"))
		qt.Assert(t, kept.lost[0].Cause, qt.Matches, "no link for .+, unheard for 1h0m0s")
	})
}

// A holder is permanently lost. Its owner may place the tasks again, but only after
// the holder, if it is alive, has stopped them, or the leases of its targets have
// expired.
func TestLostHolderReturnsTasksWhenTheirRunsHaveEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sinceLastMessage := func(job.EntryID, job.Incarnation) time.Duration { return time.Hour }
		o, took := deliverOver(t, &flappingMesh{failingCalls: 1, callTime: 100 * time.Millisecond, down: true}, sinceLastMessage)
		qt.Assert(t, o.Reason, qt.Equals, job.HolderLost)
		qt.Assert(t, o.Over, qt.IsTrue)
		qt.Assert(t, took > holderLostAfter, qt.IsTrue)
		qt.Assert(t, took < 2*holderLostAfter+maxRetryDelay, qt.IsTrue, qt.Commentf("%v", took))
	})
}
