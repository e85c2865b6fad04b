package pipeline

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

var startTime = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

func refusal(r job.Reason) []job.TaskOutcome {
	return []job.TaskOutcome{{Status: job.TaskNotStarted, Reason: r, Detail: "by its holder", RetryAfter: time.Minute}}
}

// Every holder is full and no task of a job was accepted. The caller must
// receive the holder's refusal at once instead of waiting in vain.
func TestPlacementFailsAtOnceWhenNothingWasAccepted(t *testing.T) {
	p := newPlacement()
	for _, h := range []job.EntryID{"a", "b", "c"} {
		p.offered(time.Now(), []Part{{Holder: h}})
		p.reported(h, refusal(job.Overloaded))
	}
	end, wait := p.unplaced(startTime, job.NoTarget, 0)
	qt.Assert(t, wait, qt.IsFalse)
	qt.Assert(t, end.Reason, qt.Equals, job.Overloaded)
	qt.Assert(t, end.RetryAfter, qt.Equals, time.Minute)

	p = newPlacement()
	end, wait = p.unplaced(startTime, job.NoTarget, 0)
	qt.Assert(t, wait, qt.IsFalse)
	qt.Assert(t, end.Reason, qt.Equals, job.NoTarget)

	p = newPlacement()
	p.offered(time.Now(), []Part{{Holder: "a"}})
	p.reported("a", refusal(job.Overloaded))
	_, wait = p.unplaced(startTime, job.NoTarget, 0)
	qt.Assert(t, wait, qt.IsFalse)
}

// A holder stops and returns queued tasks before the owner knows the next holder
// of its targets. The job must wait some heartbeats for that holder instead of
// failing, although none of its tasks was accepted elsewhere.
func TestPlacementWaitsWhileTargetsChangeHolder(t *testing.T) {
	p := newPlacement()
	p.offered(time.Now(), []Part{{Holder: "a"}})
	p.reported("a", refusal(job.NoTarget))
	for i := range 3 {
		_, wait := p.unplaced(startTime.Add(time.Duration(i)*placeRetryDelay), job.NoTarget, 0)
		qt.Assert(t, wait, qt.IsTrue)
	}
	_, wait := p.unplaced(startTime.Add(placeTimeout), job.NoTarget, 0)
	qt.Assert(t, wait, qt.IsFalse)
}

// A holder stops, and the other entries of its zone all return the tasks of a
// waiting job, since none holds the targets yet. The job must not be refused for
// that: the targets have a holder again some hundred milliseconds later. A job
// that is refused for load ends after the same number of refusals.
func TestPlacementWaitsWhileHoldersHandTargetsOver(t *testing.T) {
	refusedBy := func(p *placement, reasons ...job.Reason) {
		for i, r := range reasons {
			h := []job.EntryID{"a", "b"}[i%2]
			p.offered(time.Now(), []Part{{Holder: h}})
			p.reported(h, refusal(r))
		}
	}
	p := newPlacement()
	for at := time.Duration(0); at < placeTimeout; at += placeRetryDelay {
		refusedBy(&p, job.Draining, job.NoTarget, job.NoTarget)
		qt.Assert(t, p.exhausted(0), qt.IsTrue)
		_, wait := p.unplaced(startTime.Add(at), job.NoTarget, 0)
		qt.Assert(t, wait, qt.IsTrue, qt.Commentf("after %s", at))
		qt.Assert(t, p.exhausted(0), qt.IsFalse)
	}
	refusedBy(&p, job.NoTarget, job.NoTarget)
	_, wait := p.unplaced(startTime.Add(placeTimeout), job.NoTarget, 0)
	qt.Assert(t, wait, qt.IsFalse)

	p = newPlacement()
	refusedBy(&p, job.Draining, job.NoTarget, job.Overloaded)
	qt.Assert(t, p.exhausted(0), qt.IsTrue)
	_, wait = p.unplaced(startTime, job.Overloaded, 0)
	qt.Assert(t, wait, qt.IsFalse)
}

// One of two holders refuses its part while the other runs the rest. The refused
// tasks must wait and be offered to neither holder meanwhile: a holder accepts
// one batch of a job at a time, and a job with running tasks must not fail
// because a holder is briefly full.
func TestPlacementWaitsWhileTheJobRunsElsewhere(t *testing.T) {
	p := newPlacement()
	p.offered(time.Now(), []Part{{Holder: "a"}, {Holder: "b"}})
	p.reported("b", refusal(job.Overloaded))
	qt.Assert(t, p.committed(0), qt.IsTrue)
	qt.Assert(t, p.openHolders(), qt.DeepEquals, []job.EntryID{"a"})
	qt.Assert(t, p.excluded(), qt.ContentEquals, []job.EntryID{"a", "b"})
	for i := range 3 {
		_, wait := p.unplaced(startTime.Add(time.Duration(i)*time.Hour), job.NoTarget, 0)
		qt.Assert(t, wait, qt.IsTrue)
	}
	p.reported("a", []job.TaskOutcome{{Status: job.TaskDone}})
	qt.Assert(t, p.excluded(), qt.HasLen, 0)
}

// All targets of a pool are gone while a job already has results. The job waits
// for the duration of one lease for targets to return, and then fails.
func TestPlacementWaitsOneLeaseForTargets(t *testing.T) {
	p := newPlacement()
	p.offered(time.Now(), []Part{{Holder: "a"}})
	p.reported("a", refusal(job.NoTarget))
	_, wait := p.unplaced(startTime, job.NoTarget, 1)
	qt.Assert(t, wait, qt.IsTrue)
	_, wait = p.unplaced(startTime.Add(placeTimeout-time.Millisecond), job.NoTarget, 1)
	qt.Assert(t, wait, qt.IsTrue)
	_, wait = p.unplaced(startTime.Add(placeTimeout), job.NoTarget, 1)
	qt.Assert(t, wait, qt.IsFalse)
}
