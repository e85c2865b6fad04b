package pipeline

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

var noon = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

func refusal(r job.Reason) []job.TaskOutcome {
	return []job.TaskOutcome{{Status: job.TaskNotStarted, Reason: r, Detail: "by its holder", RetryAfter: time.Minute}}
}

// Every holder is full and nothing of a job was accepted. Its caller must be
// told so at once, in the holder's words, and not be kept waiting for a turn
// that it will not get.
func TestPlacingGivesUpAtOnceWhenNothingWasAccepted(t *testing.T) {
	p := newPlacing()
	for _, h := range []job.EntryID{"a", "b", "c"} {
		p.offered(time.Now(), []Part{{Holder: h}})
		p.reported(h, refusal(job.Overloaded))
	}
	end, wait := p.unplaced(noon, job.NoTarget, 0)
	qt.Assert(t, wait, qt.IsFalse)
	qt.Assert(t, end.Reason, qt.Equals, job.Overloaded)
	qt.Assert(t, end.RetryAfter, qt.Equals, time.Minute)

	p = newPlacing()
	end, wait = p.unplaced(noon, job.NoTarget, 0)
	qt.Assert(t, wait, qt.IsFalse)
	qt.Assert(t, end.Reason, qt.Equals, job.NoTarget)

	p = newPlacing()
	p.offered(time.Now(), []Part{{Holder: "a"}})
	p.reported("a", refusal(job.Overloaded))
	_, wait = p.unplaced(noon, job.NoTarget, 0)
	qt.Assert(t, wait, qt.IsFalse)
}

// A holder stops and gives queued tasks back before anybody has heard of the
// next holder of its targets. The job waits some heartbeats for it in place of
// failing, though nothing of it was accepted elsewhere.
func TestPlacingWaitsWhileTargetsChangeHands(t *testing.T) {
	p := newPlacing()
	p.offered(time.Now(), []Part{{Holder: "a"}})
	p.reported("a", refusal(job.NoTarget))
	for i := range 3 {
		_, wait := p.unplaced(noon.Add(time.Duration(i)*placeAgainAfter), job.NoTarget, 0)
		qt.Assert(t, wait, qt.IsTrue)
	}
	_, wait := p.unplaced(noon.Add(placeBound), job.NoTarget, 0)
	qt.Assert(t, wait, qt.IsFalse)
}

// A holder stops, and its zone's entries give the tasks of a waiting job back to
// one another, since none holds the targets yet. The job must not be refused for
// that: the targets are held again some hundred milliseconds later. A job that
// holders are too full for is refused after as many words.
func TestPlacingPausesWhileHoldersPassTargetsOn(t *testing.T) {
	refusedBy := func(p *placing, reasons ...job.Reason) {
		for i, r := range reasons {
			h := []job.EntryID{"a", "b"}[i%2]
			p.offered(time.Now(), []Part{{Holder: h}})
			p.reported(h, refusal(r))
		}
	}
	p := newPlacing()
	for at := time.Duration(0); at < placeBound; at += placeAgainAfter {
		refusedBy(&p, job.Draining, job.NoTarget, job.NoTarget)
		qt.Assert(t, p.exhausted(0), qt.IsTrue)
		_, wait := p.unplaced(noon.Add(at), job.NoTarget, 0)
		qt.Assert(t, wait, qt.IsTrue, qt.Commentf("after %s", at))
		qt.Assert(t, p.exhausted(0), qt.IsFalse)
	}
	refusedBy(&p, job.NoTarget, job.NoTarget)
	_, wait := p.unplaced(noon.Add(placeBound), job.NoTarget, 0)
	qt.Assert(t, wait, qt.IsFalse)

	p = newPlacing()
	refusedBy(&p, job.Draining, job.NoTarget, job.Overloaded)
	qt.Assert(t, p.exhausted(0), qt.IsTrue)
	_, wait = p.unplaced(noon, job.Overloaded, 0)
	qt.Assert(t, wait, qt.IsFalse)
}

// One of two holders refuses its share while the other works on the rest. The
// refused tasks must wait, and go to neither of the two meanwhile: a holder
// takes one batch of a job at a time, and a job whose tasks run must not fail
// for a moment's fullness.
func TestPlacingWaitsWhileTheJobRunsElsewhere(t *testing.T) {
	p := newPlacing()
	p.offered(time.Now(), []Part{{Holder: "a"}, {Holder: "b"}})
	p.reported("b", refusal(job.Overloaded))
	qt.Assert(t, p.committed(0), qt.IsTrue)
	qt.Assert(t, p.working(), qt.DeepEquals, []job.EntryID{"a"})
	qt.Assert(t, p.without(), qt.ContentEquals, []job.EntryID{"a", "b"})
	for i := range 3 {
		_, wait := p.unplaced(noon.Add(time.Duration(i)*time.Hour), job.NoTarget, 0)
		qt.Assert(t, wait, qt.IsTrue)
	}
	p.reported("a", []job.TaskOutcome{{Status: job.TaskDone}})
	qt.Assert(t, p.without(), qt.HasLen, 0)
}

// All targets of a pool are gone while a job has results already. It waits for
// them to come back for as long as a lease, and then fails.
func TestPlacingWaitsOneLeaseForTargets(t *testing.T) {
	p := newPlacing()
	p.offered(time.Now(), []Part{{Holder: "a"}})
	p.reported("a", refusal(job.NoTarget))
	_, wait := p.unplaced(noon, job.NoTarget, 1)
	qt.Assert(t, wait, qt.IsTrue)
	_, wait = p.unplaced(noon.Add(placeBound-time.Millisecond), job.NoTarget, 1)
	qt.Assert(t, wait, qt.IsTrue)
	_, wait = p.unplaced(noon.Add(placeBound), job.NoTarget, 1)
	qt.Assert(t, wait, qt.IsFalse)
}
