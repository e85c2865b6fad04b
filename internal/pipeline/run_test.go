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

// twoHolders gives each of two tasks to a holder of its own, and lets the
// first one fail when failAt is offered its task.
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

// The first holder fails its part while the second one's batch is still on its
// way. The job can't be complete any more, so the second must not get its
// tasks, or must be told to drop them after it got them: otherwise they run
// for nobody.
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

// silentHolder is a pair of holders of which the second never reports.
type silentHolder struct{ twoHolders }

func (h *silentHolder) Offer(to job.EntryID, _ string, b *job.Batch, report func([]job.TaskOutcome)) {
	if to == "h1" {
		report([]job.TaskOutcome{{Index: b.Tasks[0].Index, Status: job.TaskDone}})
	}
}

// keptEvents keeps what the stages record.
type keptEvents struct {
	mu  sync.Mutex
	all []timeline.Event
}

func (k *keptEvents) Record(ev timeline.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.all = append(k.all, ev)
}

// A holder is cut off with a part of a job. The caller waits two seconds and hangs up,
// and the holder's own records can't be had. The engineer on call, who has the
// request's id, must learn from the owner which entry the answer waited for.
func TestWhomAnUnansweredSubmissionWaitedForIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := &keptEvents{}
		r := &Run{Holders: &silentHolder{}, Events: events}
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
