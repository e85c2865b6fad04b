package pipeline

import (
	"slices"
	"testing"
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
