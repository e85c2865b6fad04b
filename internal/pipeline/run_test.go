package pipeline

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// twoHolders places each of two tasks on its own holder. The first holder reports
// a failure when the holder failAt is offered its task.
type twoHolders struct {
	failAt job.EntryID
	first  func([]job.TaskOutcome)
	log    []string
}

func (h *twoHolders) Place(_ time.Time, _ *Flow, tasks []int, _ []job.EntryID) ([]Part, job.Reason) {
	return []Part{{Holder: "h1", Tasks: tasks[:1]}, {Holder: "h2", Tasks: tasks[1:]}}, ""
}

func (h *twoHolders) Offer(to job.EntryID, _ string, _ *job.Batch, report func([]job.TaskOutcome)) {
	if to == "h1" {
		h.first = report
	}
	if to == h.failAt {
		h.first([]job.TaskOutcome{{Index: 0, Status: job.TaskErred, Reason: job.TaskFailed}})
	}
	h.log = append(h.log, "offered to "+string(to))
}

func (h *twoHolders) Cancel(to job.EntryID, _ job.Owner, _ job.ID) {
	h.log = append(h.log, "cancelled at "+string(to))
}

// The first holder reports a failure while the batch of the second is still being
// sent. The job can no longer be complete, so the second holder must either not
// receive its tasks or receive a cancellation afterwards. Otherwise the tasks run
// in vain.
func TestFailureWhileBatchesAreHandedOut(t *testing.T) {
	cases := map[job.EntryID]struct {
		never, last string
	}{
		"h1": {never: "offered to h2"},
		"h2": {last: "cancelled at h2"},
	}
	for failAt, want := range cases {
		h := &twoHolders{failAt: failAt}
		r := &Run{Holders: h, Events: timeline.Discard{}}
		a := r.Process(t.Context(), &Flow{Submission: &job.Submission{ID: "j", Tasks: make([]job.TaskSpec, 2)}}, nil)
		qt.Assert(t, a.Outcome, qt.Equals, job.Failed)
		qt.Assert(t, slices.Contains(h.log, want.never), qt.IsFalse, qt.Commentf("%q", h.log))
		if want.last != "" {
			qt.Assert(t, h.log[len(h.log)-1], qt.Equals, want.last)
		}
	}
}

// unresponsiveHolder is a pair of holders of which the second never reports.
type unresponsiveHolder struct{ twoHolders }

func (h *unresponsiveHolder) Offer(to job.EntryID, _ string, b *job.Batch, report func([]job.TaskOutcome)) {
	if to == "h1" {
		report([]job.TaskOutcome{{Index: b.Tasks[0].Index, Status: job.TaskDone}})
	}
}

// recordedEvents stores the events that the stages record.
type recordedEvents struct {
	mu  sync.Mutex
	all []timeline.Event
}

func (k *recordedEvents) Record(ev timeline.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.all = append(k.all, ev)
}

// A holder with a part of a job is partitioned. The caller hangs up after two seconds,
// and the holder's own records are unavailable. The engineer on call, who has the
// request's id, must learn from the owner's records which entry the job waited for.
func TestHoldersOfAnUnansweredSubmissionAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := &recordedEvents{}
		r := &Run{Holders: &unresponsiveHolder{}, Events: events}
		ctx, hangUp := context.WithCancelCause(t.Context())
		time.AfterFunc(2*time.Second, func() { hangUp(ErrCallerGone) })
		r.Process(ctx, &Flow{Submission: &job.Submission{ID: "j", Tasks: make([]job.TaskSpec, 2)}}, nil)
		awaited := slices.DeleteFunc(events.all, func(ev timeline.Event) bool { return ev.Kind != timeline.BatchAwaited })
		qt.Assert(t, awaited, qt.DeepEquals, []timeline.Event{{
			Kind: timeline.BatchAwaited, Submission: "j", Peer: "h2", Count: 1,
			Took: 2 * time.Second, Reason: job.CallerGone,
		}})
	})
}
