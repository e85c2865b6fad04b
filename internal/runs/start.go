package runs

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// requestStart sends the start request, and sends it again with a newer epoch or a higher run
// number where the target requires it. The result of the run is delivered to r.done, here or by a
// poll.
func (s *Session) requestStart(ref Ref, r *run, t *target.Task) {
	renumbered, inDoubt := 0, false
	for refusals := 0; refusals < maxStartRefusals; {
		o, ok := s.newStartRequest(ref, r, t.Payload)
		if !ok {
			s.abandonStart(ref, r, inDoubt, notStarted(target.Busy, "a run that has to end is still on the target"))
			return
		}
		// Everything sent after this check, copies of the request included, is bounded by the
		// lease in the request.
		if t.Unwanted() {
			s.abandonStart(ref, r, inDoubt, target.CancelledBeforeSend())
			return
		}
		p := s.promptPolicy()
		begun := time.Now()
		got, err := firstAnswer(s.ctx, p, func(ctx context.Context) (Reply, error) { return s.sendStart(ctx, o) })
		switch {
		case err != nil && got.unsent():
			s.noteNotListening(err)
			s.abandonStart(ref, r, inDoubt, notStarted(target.Unreachable, "the target's machine refuses connections"))
			return
		case err != nil:
			s.doubtStart(ref, r, err)
			return
		}
		reply := got.value
		inDoubt = inDoubt || got.repeated()
		if got.overtaken {
			s.noteOvertaken()
		}
		s.updateClock(reply.Clock)
		switch reply.Refusal {
		case Accepted:
			s.opts.Events.Record(timeline.Event{Kind: timeline.RunAccepted, Target: s.opts.Target, Took: time.Since(begun)})
			s.confirmStart(ref, r)
			return
		case Fenced:
			refusals++
			if !s.outdated(o.Epoch) {
				s.abandonStart(ref, r, inDoubt, notStarted(target.Draining, "another entry holds the target"))
				return
			}
			continue
		case StaleRunNumber:
			if inDoubt {
				break // a copy of this request may have started the run
			}
			if s.isStopping(r) {
				s.endRun(ref, r, erred(job.CancelledByCall, "stopped before it started", true))
				return
			}
			if renumbered++; renumbered <= maxRenumbers {
				s.renumber(r)
				continue
			}
		case Late:
			refusals++ // the answer brought a new clock reading
			continue
		case NoCapacity:
			s.resync()
		case WrongIncarnation:
			s.abandonStart(ref, r, inDoubt, refusalResult(reply))
			s.endSession("another incarnation of the target listens at its address")
			return
		}
		s.abandonStart(ref, r, inDoubt, refusalResult(reply))
		return
	}
	s.abandonStart(ref, r, inDoubt, notStarted(target.Unreachable, "the target refused every epoch"))
}

// abandonStart ends a start that was refused. If copies of the request have no answer, one of them
// may have been carried out already or may be later. Then the task must not go elsewhere until a
// poll under a higher epoch has shown what became of it.
func (s *Session) abandonStart(ref Ref, r *run, inDoubt bool, refused target.Result) {
	if inDoubt {
		s.doubtStart(ref, r, errors.New("the start was refused while an earlier copy has no answer: "+refused.Detail))
		return
	}
	s.endRun(ref, r, refused)
}

// noteOvertaken notes that a start was answered while an earlier copy of it was not. A single case
// may be a late answer; a second one within lossyPeriod shows that requests get lost.
func (s *Session) noteOvertaken() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	again := now.Sub(s.overtakenAt) < lossyPeriod
	s.overtakenAt = now
	if again {
		s.noteLoss(now)
	}
}

func (s *Session) recordAnswerTime(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers.record(took)
}

func refusalResult(reply Reply) target.Result {
	switch reply.Refusal {
	case WrongIncarnation:
		return notStarted(target.Draining, "another incarnation of the target listens at its address")
	case NoCapacity:
		return notStarted(target.NoCapacity, "the target has no free capacity for the task: "+reply.Detail)
	case Unavailable:
		return notStarted(target.Busy, "the target accepts no starts at the moment: "+reply.Detail)
	}
	return notStarted(target.Busy, "the target refused the task: "+reply.Detail)
}

// newStartRequest returns a start request, or false if the target's lease can't be extended for it.
func (s *Session) newStartRequest(ref Ref, r *run, spec []byte) (StartRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := StartRequest{Task: ref, Run: r.number, Spec: spec, Epoch: s.epoch}
	now := time.Now()
	left := s.maxLease(now)
	// A run that was reported as over in the meantime may have been started elsewhere.
	if s.runs[ref] != r || left < minLease {
		return o, false
	}
	o.Until = s.extendLease(now, left)
	return o, true
}

// maxLease returns how long a lease that begins now may be. A lease extends every run on the
// target, so the run that has to end first bounds it. The caller holds the lock.
func (s *Session) maxLease(now time.Time) time.Duration {
	left := s.opts.Lease
	for _, r := range s.runs {
		left = min(left, r.remaining(now))
	}
	return left
}

// extendLease returns the end of a lease that begins now, and records when it has certainly
// expired. The caller holds the lock.
func (s *Session) extendLease(now time.Time, length time.Duration) int64 {
	expiry := now.Add(time.Duration(float64(length)*(1+clockDrift)) + leaseMargin)
	if expiry.After(s.leaseExpiry) {
		s.leaseExpiry = expiry
	}
	return s.clock.lowerBound(now) + length.Milliseconds()
}

func (s *Session) renumber(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.number += renumberStep
}

func (s *Session) isStopping(r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.stopping
}

// confirmStart notes that the target has accepted the start.
func (s *Session) confirmStart(ref Ref, r *run) {
	s.mu.Lock()
	r.confirmedAt = time.Now()
	s.ensurePolling()
	s.watchPace(ref, r)
	stopping := r.stopping && s.runs[ref] == r
	s.mu.Unlock()
	if stopping {
		s.sendStop(ref, r)
	}
}

// doubtStart handles a start without an answer, which may be carried out now or seconds later. A
// higher epoch prevents it from being carried out from now on, and the next poll under that epoch
// shows whether it was carried out before.
func (s *Session) doubtStart(ref Ref, r *run, err error) {
	s.mu.Lock()
	s.opts.Log.Warn("a start got no answer", "target", s.opts.Target, "submission", ref.Submission, "task", ref.Index, "run", r.number, "epoch", s.epoch, "error", err)
	if s.deposed {
		// Another entry holds the target, and a poll with a higher epoch would take it back. The
		// run is over when its lease has certainly expired.
		s.scheduleExpiry()
		s.mu.Unlock()
		return
	}
	s.raiseEpoch()
	r.doubtEpoch = s.epoch
	r.connBroken = isConnBroken(err)
	s.pollNow()
	s.mu.Unlock()
}

// scheduleExpiry ends the remaining runs on a target that another entry has taken, once the last
// lease has certainly expired. A poll can't decide this earlier: one that the target still obeyed
// would not list a start that is in transit. The caller holds the lock.
func (s *Session) scheduleExpiry() {
	time.AfterFunc(time.Until(s.leaseExpiry)+time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expireRuns(time.Now())
		if len(s.runs) > 0 {
			s.scheduleExpiry() // a start in transit has extended the lease
		}
	})
}

// Stop implements holder.Connection. It asks the target to stop a task. The end of the run is
// delivered to its Start.
func (s *Session) Stop(_ context.Context, submission job.ID, index int) error {
	ref := Ref{submission, index}
	s.mu.Lock()
	r := s.runs[ref]
	if r == nil {
		s.mu.Unlock()
		return nil
	}
	r.markStopping(time.Now())
	s.mu.Unlock()
	s.sendStop(ref, r)
	return nil
}

// Preempt implements holder.Preempter. It asks the target to stop a task whose capacity another
// task needs. Unlike Stop, it sets no time by which the run has to be over: the run may go on if
// the target does not stop it, and the lease of the target's other runs must not end for it.
func (s *Session) Preempt(_ context.Context, submission job.ID, index int) error {
	ref := Ref{submission, index}
	s.mu.Lock()
	r := s.runs[ref]
	if r == nil {
		s.mu.Unlock()
		return nil
	}
	r.stopping = true
	s.mu.Unlock()
	s.sendStop(ref, r)
	return nil
}

// NotifyStop notes that a task has to end. The stop request follows.
func (s *Session) NotifyStop(submission job.ID, index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runs[Ref{submission, index}]; r != nil {
		r.setDeadline(time.Now())
	}
}

// markStopping notes that the run has to end.
func (r *run) markStopping(now time.Time) {
	r.stopping = true
	r.setDeadline(now)
}

// setDeadline sets the time by which the run must be over, from the time that it has left when its
// stop is decided.
func (r *run) setDeadline(now time.Time) {
	if r.deadline.IsZero() {
		r.deadline = now.Add(min(stopTimeout, r.remaining(now)))
	}
}

// remaining returns how long the run may go on.
func (r *run) remaining(now time.Time) time.Duration {
	switch {
	case !r.deadline.IsZero():
		return r.deadline.Sub(now)
	case r.timeLeft != nil:
		return r.timeLeft()
	}
	return DefaultLease + stopTimeout // no bound
}

// sendStop sends a stop request until the target has accepted it. A later poll that still finds
// the run sends it again.
func (s *Session) sendStop(ref Ref, r *run) {
	for range maxStopAttempts {
		s.mu.Lock()
		over := s.runs[ref] != r
		o := StopRequest{Task: ref, Run: r.number, Epoch: s.epoch}
		s.mu.Unlock()
		if over {
			return
		}
		reply, err := s.requestStop(o)
		if err != nil {
			continue
		}
		s.updateClock(reply.Clock)
		if reply.Refusal != Fenced || !s.outdated(o.Epoch) {
			return
		}
	}
}
