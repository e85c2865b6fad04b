package runs

import (
	"context"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/policy/pace"
)

// watchPace has a run looked at when it is overdue; the caller holds the lock.
func (s *Session) watchPace(ref Ref, r *run) {
	if r.expected <= 0 || r.watch != nil || s.runs[ref] != r {
		return
	}
	r.watch = time.AfterFunc(pace.FirstLook(r.expected), func() { s.checkPace(ref, r) })
}

// checkPace asks how far an overdue run has come, and stops it where it is sooner
// done elsewhere.
func (s *Session) checkPace(ref Ref, r *run) {
	s.mu.Lock()
	if s.runs[ref] != r || r.stopping || s.silent || s.deposed {
		s.mu.Unlock()
		return
	}
	o := RenewOrder{Epoch: s.epoch, Acked: s.told}
	s.mu.Unlock()
	p := s.promptPatience()
	got, err := firstAnswer(s.ctx, p, func(ctx context.Context) (Look, error) { return s.sendLook(ctx, o, p.wait) })
	if err != nil || got.value.Refusal != Accepted {
		s.checkPaceAgain(ref, r)
		return // the loop of looks meets what is wrong with the target
	}
	for _, x := range got.value.Running {
		if x.Task == ref && x.Run == r.number {
			s.judgePace(ref, r, x.Percent)
			return
		}
	}
}

// checkPaceAgain sets the next look at a run that could not be looked at.
func (s *Session) checkPaceAgain(ref Ref, r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[ref] == r {
		r.watch.Reset(pace.NextLook(r.expected))
	}
}

func (s *Session) judgePace(ref Ref, r *run, percent int) {
	s.mu.Lock()
	if s.runs[ref] != r || r.stopping {
		s.mu.Unlock()
		return
	}
	elapsed := time.Since(r.confirmed)
	if !pace.Move(r.expected, elapsed, percent) {
		r.watch.Reset(pace.NextLook(r.expected))
		s.mu.Unlock()
		return
	}
	r.stop(time.Now())
	r.moved = true
	s.opts.Log.Warn("a run is too slow and is moved", "target", s.opts.Target, "submission", ref.Submission, "task", ref.Index, "run", r.number,
		"percent", percent, "elapsed_ms", elapsed.Milliseconds(), "expected_ms", r.expected.Milliseconds())
	s.mu.Unlock()
	s.sendStop(ref, r)
}
