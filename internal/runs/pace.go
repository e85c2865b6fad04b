package runs

import (
	"context"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/policy/pace"
)

// watchPace schedules the first pace check of a run, which takes place when the run is overdue.
// The caller holds the lock.
func (s *Session) watchPace(ref Ref, r *run) {
	if r.expected <= 0 || r.paceTimer != nil || s.runs[ref] != r {
		return
	}
	r.paceTimer = time.AfterFunc(pace.FirstPoll(r.expected), func() { s.checkPace(ref, r) })
}

// checkPace asks the target for the progress of an overdue run, and stops the run if it would
// finish sooner elsewhere.
func (s *Session) checkPace(ref Ref, r *run) {
	s.mu.Lock()
	if s.runs[ref] != r || r.stopping || s.unresponsive || s.deposed {
		s.mu.Unlock()
		return
	}
	o := PollRequest{Epoch: s.epoch, Acked: s.lastAckedEnd}
	s.mu.Unlock()
	p := s.promptPolicy()
	got, err := firstAnswer(s.ctx, p, func(ctx context.Context) (PollReply, error) { return s.sendPoll(ctx, o, p.timeout) })
	if err != nil || got.value.Refusal != Accepted {
		s.rescheduleCheck(ref, r)
		return // the poll loop handles failures of the target
	}
	for _, x := range got.value.Running {
		if x.Task == ref && x.Run == r.number {
			s.assessPace(ref, r, x.Percent)
			return
		}
	}
}

// rescheduleCheck schedules the next check of a run after a check that failed.
func (s *Session) rescheduleCheck(ref Ref, r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[ref] == r {
		r.paceTimer.Reset(pace.NextPoll(r.expected))
	}
}

func (s *Session) assessPace(ref Ref, r *run, percent int) {
	s.mu.Lock()
	if s.runs[ref] != r || r.stopping {
		s.mu.Unlock()
		return
	}
	elapsed := time.Since(r.confirmedAt)
	if !pace.Move(r.expected, elapsed, percent) {
		r.paceTimer.Reset(pace.NextPoll(r.expected))
		s.mu.Unlock()
		return
	}
	r.markStopping(time.Now())
	r.tooSlow = true
	s.opts.Log.Warn("stopping a run that is too slow", "target", s.opts.Target, "submission", ref.Submission, "task", ref.Index, "run", r.number,
		"percent", percent, "elapsed_ms", elapsed.Milliseconds(), "expected_ms", r.expected.Milliseconds())
	s.mu.Unlock()
	s.sendStop(ref, r)
}
