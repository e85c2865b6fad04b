package runs

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// ensurePolling starts the poll loop unless it runs already. The caller holds the lock.
func (s *Session) ensurePolling() {
	if s.polling && s.ackDelayed {
		s.wakeLoop()
	}
	if s.polling || s.replaced {
		return
	}
	s.polling = true
	go s.pollLoop()
}

// resync marks the target as not settled and polls it at once, before anything else is started
// there.
func (s *Session) resync() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resyncLocked()
}

func (s *Session) resyncLocked() {
	s.settled = false
	s.resetReady()
	s.pollNow()
}

// pollNow makes the poll loop poll at once. The caller holds the lock.
func (s *Session) pollNow() {
	s.ensurePolling()
	if s.cancelPoll != nil {
		s.pollCancelled = true
		s.cancelPoll()
	}
	s.wakeLoop()
}

// wakeLoop ends a delay of the poll loop.
func (s *Session) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// ackDelay is how long the acknowledgement of the last ends waits on a target that became idle:
// the next run may carry it.
const ackDelay = 250 * time.Millisecond

// pollLoop polls the target while runs are active there, and while the target is not settled or is
// unresponsive. An idle target gets no polls.
func (s *Session) pollLoop() {
	for s.ctx.Err() == nil {
		delay, more := s.pollOnce()
		if !more {
			return
		}
		if delay > 0 {
			s.sleep(delay)
		}
	}
	s.mu.Lock()
	s.polling = false
	s.mu.Unlock()
}

func (s *Session) sleep(delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.wake:
	case <-s.ctx.Done():
	}
}

// pollOnce sends one poll, which renews the lease, and processes the answer. It returns the delay
// before the next poll, and whether there is one.
func (s *Session) pollOnce() (delay time.Duration, more bool) {
	s.mu.Lock()
	if s.nothingToPoll() {
		s.polling = false
		s.mu.Unlock()
		return 0, false
	}
	if len(s.runs) == 0 && s.settled && !s.unresponsive && !s.ackDelayed {
		s.ackDelayed = true
		s.mu.Unlock()
		return ackDelay, true
	}
	s.ackDelayed = false
	sent := time.Now()
	o := s.nextPoll(sent)
	p := s.pollPolicy(sent, &o)
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	s.cancelPoll, s.pollCancelled = nil, false
	if o.WaitMillis > 0 {
		s.cancelPoll = cancel
	}
	s.mu.Unlock()
	got, err := firstAnswer(ctx, p, func(ctx context.Context) (PollReply, error) { return s.sendPoll(ctx, o, p.timeout) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelPoll = nil
	if err != nil {
		return s.handlePollFailure(err), true
	}
	l := got.value
	if l.Clock != 0 {
		s.clock.update(time.Now(), l.Clock)
	}
	return s.handlePollAnswer(o, sent, &l), true
}

// nothingToPoll reports whether the target needs no further poll. The caller holds the lock.
func (s *Session) nothingToPoll() bool {
	if s.replaced || s.deposed && len(s.runs) == 0 {
		return true
	}
	return len(s.runs) == 0 && s.settled && !s.unresponsive && s.lastSeenEnd == s.lastAckedEnd
}

// nextPoll returns the next poll request. It renews the lease only while a run of this entry is
// confirmed, so that no stray run is kept alive, and never while the target is unresponsive. The
// caller holds the lock.
func (s *Session) nextPoll(now time.Time) PollRequest {
	o := PollRequest{Epoch: s.epoch, Acked: s.lastSeenEnd}
	left := s.maxLease(now)
	if s.settled && !s.unresponsive && len(s.runs) > 0 {
		o.WaitMillis = int64(pollWaitShare * float64(max(left, minLease).Milliseconds()))
	}
	if left > 0 && !s.unresponsive && !s.deposed && s.epoch > 0 && s.anyConfirmed() {
		o.Until = s.extendLease(now, left)
	}
	return o
}

func (s *Session) anyConfirmed() bool {
	for _, r := range s.runs {
		if !r.confirmedAt.IsZero() {
			return true
		}
	}
	return false
}

// handlePollFailure handles a poll that got no answer and returns the delay before the next one.
// The caller holds the lock.
func (s *Session) handlePollFailure(err error) (delay time.Duration) {
	if s.pollCancelled || s.ctx.Err() != nil || errors.Is(err, errOtherProcess) {
		return 0
	}
	s.missedPolls++
	s.noteConnRefused(err)
	if delay, lost := s.pollMaybeLost(time.Now(), err); lost {
		return delay
	}
	s.markUnresponsive(err)
	s.expireRuns(time.Now())
	return unresponsivePollInterval
}

// markUnresponsive makes starts fail at once until the target answers a poll again. The caller
// holds the lock.
func (s *Session) markUnresponsive(err error) {
	if s.unresponsive {
		return
	}
	s.unresponsive = true
	s.opts.Log.Warn("target silent", "target", s.opts.Target, "runs", len(s.runs), "epoch", s.epoch, "error", err)
}

// noteNotListening notes that the target's machine refused the connection for a start.
func (s *Session) noteNotListening(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteConnRefused(err)
	s.markUnresponsive(err)
	s.pollNow()
}

// noteConnRefused notes that the target's machine refuses connections, which means that the
// target's process has ended, and calls Options.Ended if runs of this session are there. The runs
// still count as over only when the lease has expired. The caller holds the lock.
func (s *Session) noteConnRefused(err error) {
	if s.connRefused || !isConnRefused(err) {
		return
	}
	s.connRefused = true
	if len(s.runs) > 0 && s.opts.Ended != nil {
		go s.opts.Ended()
	}
}

// pollMaybeLost reports whether an unanswered poll may merely have been lost, and returns the
// delay before the next poll in that case. If the target were marked as unresponsive instead,
// tasks could not start there and its lease would not be renewed. The caller holds the lock.
func (s *Session) pollMaybeLost(now time.Time, err error) (delay time.Duration, lost bool) {
	switch {
	case s.unresponsive || now.Sub(s.lastAnswer) >= unresponsiveAfter:
		return 0, false
	case errors.Is(err, errNoAnswer), errors.Is(err, context.DeadlineExceeded):
		return 0, true
	}
	s.lossyUntil = now.Add(lossyPeriod)
	return brokenPollDelay, s.missedPolls == 1
}

// expireRuns ends the runs of a target whose lease has certainly expired. The caller holds the
// lock.
func (s *Session) expireRuns(now time.Time) {
	if now.Before(s.leaseExpiry) || len(s.runs) == 0 {
		return
	}
	s.record(timeline.LeaseExpired, "the target is silent, and its last lease of epoch %d has ended by any clock; %d runs", s.epoch, len(s.runs))
	for ref, r := range s.runs {
		s.endRunLocked(ref, r, r.lostWithTarget("the target was silent until its lease had run out", s.connRefused))
	}
}

// handlePollAnswer processes the answer to a poll and returns the delay before the next one. The
// caller holds the lock.
func (s *Session) handlePollAnswer(o PollRequest, sent time.Time, l *PollReply) (delay time.Duration) {
	s.missedPolls, s.connRefused = 0, false
	if s.unresponsive {
		s.unresponsive = false
		s.opts.Log.Info("target answers again", "target", s.opts.Target, "epoch", s.epoch)
	}
	switch {
	case l.Refusal == WrongIncarnation:
		s.endSessionLocked("another incarnation of the target listens at its address")
		return 0
	case o.Epoch < s.restartEpoch:
		return 0 // the target's process was replaced after this poll was sent
	case o.Epoch == 0:
		// The first poll only fetches the target's clock.
		s.claimEpoch()
		return 0
	case l.Refusal == Fenced:
		return s.handleFenced(o)
	case l.Refusal != Accepted:
		return unresponsivePollInterval
	}
	s.epochAccepted = true
	if o.Until > 0 {
		s.opts.Events.Record(timeline.Event{Kind: timeline.LeaseRenewed, Target: s.opts.Target})
	}
	s.lastAckedEnd = max(s.lastAckedEnd, o.Acked)
	s.deliverEnds(l.Ended)
	if s.lastSeenEnd > lastKnownEnd(o, l) {
		return 0 // overtaken by a later answer: the runs that it lists may have ended
	}
	strays := s.reconcileRunning(o, sent, l.Running)
	if o.Epoch != s.epoch {
		return 0 // a newer epoch must be settled first
	}
	if strays > 0 {
		return strayPollInterval
	}
	if !s.settled {
		s.settled = true
		close(s.ready)
		s.record(timeline.TargetTaken, "the target accepted epoch %d; %d runs", s.epoch, len(s.runs))
	}
	return 0
}

// maxRefusedEpochs bounds the epochs that a session tries when it claims a target.
const maxRefusedEpochs = 3

// handleFenced handles the refusal of a poll because the target has seen a higher epoch. A session
// that was just opened claims a higher epoch, since it acts on the latest information about the
// target; any other session has lost the target to another entry.
func (s *Session) handleFenced(o PollRequest) (delay time.Duration) {
	if s.epoch != o.Epoch {
		return 0
	}
	if s.refusedEpochs++; !s.epochAccepted && !s.closing && s.refusedEpochs <= maxRefusedEpochs {
		s.claimEpoch()
		return 0
	}
	s.yield()
	s.expireRuns(time.Now())
	if len(s.runs) > 0 {
		return strayPollInterval
	}
	return 0
}

// deliverEnds delivers the ends that have not been seen before.
func (s *Session) deliverEnds(ends []End) {
	for i := range ends {
		e := &ends[i]
		if e.Number <= s.lastSeenEnd {
			continue
		}
		s.lastSeenEnd = e.Number
		if r := s.runs[e.Task]; r != nil && r.number == e.Run {
			s.endRunLocked(e.Task, r, s.resultOf(e, r))
		}
	}
}

// lastKnownEnd returns the number of the latest end that the answer to a poll accounts for.
func lastKnownEnd(o PollRequest, l *PollReply) uint64 {
	last := o.Acked
	for i := range l.Ended {
		last = max(last, l.Ended[i].Number)
	}
	return last
}

func (s *Session) resultOf(e *End, r *run) target.Result {
	switch e.How {
	case Done:
		return target.Result{Status: job.TaskDone}
	case Failed:
		return erred(job.TaskFailed, "the run failed", true)
	case Stopped:
		if r.tooSlow {
			return erred(job.TargetLost, "the run made no progress or was too slow, and was stopped", true)
		}
		return erred(job.CancelledByCall, "the run was stopped", true)
	case LeaseExpired:
		return erred(job.TargetLost, "the target's lease expired", true)
	}
	return erred(job.TargetLost, "the run ended without a result", true)
}

// reconcileRunning compares the runs on the target with the expected ones, and returns the number
// of stray runs.
func (s *Session) reconcileRunning(o PollRequest, sent time.Time, running []Running) (strays int) {
	listed := make(map[Ref]int, len(running))
	for _, x := range running {
		listed[x.Task] = x.Run
		r := s.runs[x.Task]
		if r == nil || r.number != x.Run {
			strays++
			go s.stopStray(x)
			continue
		}
		r.percent = x.Percent
		if r.stopping {
			go s.sendStop(x.Task, r)
		}
		if r.confirmedAt.IsZero() {
			r.confirmedAt = time.Now()
		}
	}
	for ref, r := range s.runs {
		if listed[ref] == r.number {
			continue
		}
		switch {
		case r.restarted && r.confirmedAt.IsZero():
			s.endRunLocked(ref, r, r.lostWithTarget("the target restarted", true))
		case !r.confirmedAt.IsZero() && r.confirmedAt.Before(sent):
			s.endRunLocked(ref, r, erred(job.TargetLost, "the target no longer lists the run", true))
		case r.doubtEpoch != 0 && o.Epoch >= r.doubtEpoch && r.confirmedAt.IsZero():
			s.endRunLocked(ref, r, notStarted(target.Unanswered, "the target never accepted the start"))
		}
	}
	return strays
}

// stopStray stops a run that an earlier holder left behind, or whose start was carried out after
// this session had abandoned it.
func (s *Session) stopStray(x Running) {
	s.mu.Lock()
	o := StopRequest{Task: x.Task, Run: x.Run, Epoch: s.epoch}
	s.mu.Unlock()
	s.opts.Log.Info("stopping a stray run", "target", s.opts.Target, "submission", x.Task.Submission, "task", x.Task.Index, "run", x.Run)
	if _, err := s.requestStop(o); err != nil {
		s.opts.Log.Warn("the stop of a stray run got no answer", "target", s.opts.Target, "submission", x.Task.Submission, "error", err)
	}
}

// endSession ends the session because this incarnation of the target is gone.
func (s *Session) endSession(why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endSessionLocked(why)
}

func (s *Session) endSessionLocked(why string) {
	if s.replaced {
		return
	}
	s.replaced = true
	s.opts.Log.Info("target gone", "target", s.opts.Target, "cause", why, "runs", len(s.runs))
	for ref, r := range s.runs {
		s.endRunLocked(ref, r, r.lostWithTarget(why, true))
	}
	if s.opts.Gone != nil {
		go s.opts.Gone()
	}
}
