package runs

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/policy/hedge"
)

// Load pattern: half of the requests get lost in transit or are carried out seconds later, while
// the target is healthy. A request that is sent once is known to be lost only after the longest
// answer timeout. By then a task of 60 ms has missed its objective, and a job of eight tasks meets
// it once in 256 times. But requests to a target are idempotent: a run that exists or has existed
// is not started again. So a request without an answer is sent again on another connection after a
// few usual answer times, and the first answer counts.
//
// Copies cost processor time that an entry may lack, and an entry that lacks it reads answers
// late, which looks like a loss. So the number of copies is bounded, and none is sent while this
// entry's own timers fire late.

const (
	// minResendDelay is the shortest time after which a request is sent again: several round trips
	// of 3 ms, so that a request still in transit is not repeated.
	minResendDelay = 15 * time.Millisecond
	// maxPromptCopies bounds the copies of a request that the target answers at once. Where half
	// of them get lost, one request in 64 is left in doubt, and the last copy still has a third of
	// the shortest timeout for its answer.
	maxPromptCopies = 6
	// maxLossyCopies and lossyResendDelay replace maxPromptCopies and the usual resend delay where
	// many requests get lost. The usual delay grows with late answers, but there an answer is
	// missing because its request is lost, so a longer wait gains nothing. With 10 ms the last
	// start of a job of eight tasks arrives after 30 to 40 ms.
	maxLossyCopies   = 12
	lossyResendDelay = 10 * time.Millisecond
	// Where many requests get lost, lossyPollWait is how long a poll waits at the target for an
	// end, and lossyPollInterval how long after one such poll the next is sent. While a poll waits,
	// it can't be told from a lost one, so further polls are sent and each costs a call. Three or
	// four polls wait at a time; in one of ten cases all of them are lost when a run ends.
	// maxLossyPollCopies bounds the number of polls: the session does not wait for them longer than
	// they all take.
	lossyPollWait      = 100 * time.Millisecond
	lossyPollInterval  = 30 * time.Millisecond
	maxLossyPollCopies = 6
	// hedgedPollInterval replaces lossyPollInterval where few requests get lost. The wait at the
	// target stays as it is. A lost poll then delays the report of an end by less than the slack of
	// the shortest tasks.
	hedgedPollInterval = 60 * time.Millisecond
	// lossyPeriod is how long a target counts as lossy after the last loss: several polls, at
	// least one of which shows whether the losses go on.
	lossyPeriod = time.Second
	// unresponsiveAfter is how long a target must leave every call unanswered before it counts as
	// unresponsive and not merely as lossy: the wait of several polls, and half of a lease.
	unresponsiveAfter = 500 * time.Millisecond
	// maxTimerDelay is how late a timer may fire before this entry counts as paused or short of
	// processor time: more than an answer takes, and half of the shortest resend delay.
	maxTimerDelay = 5 * time.Millisecond
	// brokenPollDelay is the delay before the poll that follows one whose connection broke.
	brokenPollDelay = 10 * time.Millisecond
)

// errNoAnswer is returned when no copy of a call was answered in time.
const errNoAnswer = errors.ConstError("no answer in time")

// callPolicy controls how a call is made: the maximum number of copies, the delay between two
// copies, and the timeout of the whole call.
type callPolicy struct {
	maxCopies            int
	resendDelay, timeout time.Duration
}

// callResult is the result of a call: the answer, the number of copies sent, how many of them were
// refused a connection, and whether a later copy was answered while an earlier one had no answer.
type callResult[T any] struct {
	value         T
	sent, refused int
	overtaken     bool
}

// unsent reports whether no copy has reached the target, because its machine refused every
// connection.
func (c *callResult[T]) unsent() bool { return c.sent == c.refused }

// repeated reports whether more than one copy may have reached the target.
func (c *callResult[T]) repeated() bool { return c.sent-c.refused > 1 }

func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// isConnBroken reports whether a connection ended after it had been established.
func isConnBroken(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// copyResult is the result of one copy of a call.
type copyResult[T any] struct {
	value T
	copy  int
	err   error
}

// firedInTime reports whether a timer fired in time. If not, answers may have arrived that this
// entry has not had the processor time to read. Another copy would then be useless and would cost
// the entry more of the time that it lacks, which in turn causes further copies.
func firedInTime(armedAt, firedAt time.Time, delay time.Duration) bool {
	return firedAt.Sub(armedAt) <= delay+maxTimerDelay
}

// firstAnswer makes a call and returns the first answer to a copy of it. A copy that fails is
// followed by the next one at once, unless nobody listens at the address. While this entry's own
// timers fire late, no copy is sent, and the timeout of the call is extended by as much as they are
// late. Copies still in flight when firstAnswer returns end by their own timeouts: an answered call
// leaves its connection reusable, while a cancelled one would cost a new connection. A policy of one
// copy calls send directly, and that call ends with ctx.
func firstAnswer[T any](ctx context.Context, policy callPolicy, send func(context.Context) (T, error)) (got callResult[T], err error) {
	if policy.maxCopies == 1 {
		got.sent = 1
		got.value, err = send(ctx)
		if isConnRefused(err) {
			got.refused = 1
		}
		return got, err
	}
	detached := context.WithoutCancel(ctx)
	replies := make(chan copyResult[T], policy.maxCopies)
	pending, paused := 0, false
	sendCopy := func() {
		if got.sent == policy.maxCopies {
			return
		}
		got.sent++
		pending++
		number := got.sent
		go func() {
			v, err := send(detached)
			replies <- copyResult[T]{v, number, err}
		}()
	}
	resendTimer := time.NewTimer(policy.resendDelay)
	defer resendTimer.Stop()
	sendCopy()
	armedAt := time.Now()
	latestDeadline := armedAt.Add(policy.timeout + maxAnswerWait)
	for deadline := armedAt.Add(policy.timeout); ; {
		select {
		case r := <-replies:
			if r.err == nil {
				got.value, got.overtaken = r.value, r.copy > 1 && !paused
				return got, nil
			}
			pending--
			if isConnRefused(r.err) {
				got.refused++
			}
			if !got.unsent() {
				sendCopy()
			}
			if pending == 0 {
				return got, r.err
			}
		case <-resendTimer.C:
			now := time.Now()
			switch {
			case !firedInTime(armedAt, now, policy.resendDelay):
				paused = true
				if deadline = deadline.Add(now.Sub(armedAt) - policy.resendDelay); now.After(latestDeadline) {
					return got, errNoAnswer
				}
			case !now.Before(deadline):
				return got, errNoAnswer
			default:
				sendCopy()
			}
			armedAt = now
			resendTimer.Reset(min(policy.resendDelay, max(deadline.Sub(now), time.Millisecond)))
		case <-ctx.Done():
			return got, ctx.Err()
		}
	}
}

// recordCallOutcome records the outcome of a call that was made at begun with a timeout. A call
// that failed, although the target has answered another one since, was lost: the target is healthy
// and the link to it is not. A call whose timeout fired late says nothing: its answer may lie
// unread because this entry did not run.
func (s *Session) recordCallOutcome(begun time.Time, timeout time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err == nil {
		s.lastAnswer = now
		s.losses.Record(now, false)
		return
	}
	if s.ctx.Err() == nil && s.lastAnswer.After(begun) && firedInTime(begun, now, timeout) {
		s.losses.Record(now, true)
		s.noteLoss(now)
	}
}

// noteLoss notes that a request got lost. The caller holds the lock.
func (s *Session) noteLoss(now time.Time) {
	heavy := s.heavyLosses(now)
	s.lossyUntil = now.Add(lossyPeriod)
	if !heavy && s.heavyLosses(now) {
		s.pollNow() // the poll in flight waits too long for an answer that may get lost
	}
}

// promptPolicy returns the policy for calls that the target answers at once.
func (s *Session) promptPolicy() callPolicy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.promptPolicyLocked(time.Now())
}

// promptPolicyLocked is promptPolicy for a caller that holds the lock.
func (s *Session) promptPolicyLocked(now time.Time) callPolicy {
	policy := callPolicy{maxCopies: maxPromptCopies, resendDelay: s.answers.resendDelay(), timeout: s.answers.timeout()}
	if s.heavyLosses(now) {
		policy.maxCopies, policy.resendDelay = maxLossyCopies, lossyResendDelay
	}
	return policy
}

// lossy reports whether requests to the target get lost. The caller holds the lock.
func (s *Session) lossy(now time.Time) bool { return now.Before(s.lossyUntil) }

// heavyLosses reports whether many requests to the target get lost. The caller holds the lock.
func (s *Session) heavyLosses(now time.Time) bool {
	return s.lossy(now) && hedge.Heavy(s.losses.Share(now))
}

// pollPolicy returns the policy for a poll. It shortens the poll's wait at the target where
// requests get lost, and removes it while a start is in doubt. The caller holds the lock.
func (s *Session) pollPolicy(now time.Time, o *PollRequest) callPolicy {
	if s.anyStartInDoubt() {
		o.WaitMillis = 0
	}
	switch {
	case s.unresponsive:
		return callPolicy{maxCopies: 1, resendDelay: maxAnswerWait, timeout: maxAnswerWait}
	case o.WaitMillis == 0:
		return s.promptPolicyLocked(now)
	case s.heavyLosses(now):
		o.WaitMillis = min(o.WaitMillis, lossyPollWait.Milliseconds())
		return callPolicy{maxCopies: maxLossyPollCopies, resendDelay: lossyPollInterval, timeout: lossyPollWait + s.answers.timeout()}
	}
	timeout := time.Duration(o.WaitMillis)*time.Millisecond + maxAnswerWait
	if copies := hedge.Copies(s.losses.Share(now), maxLossyPollCopies); copies > 1 {
		return callPolicy{maxCopies: copies, resendDelay: hedgedPollInterval, timeout: timeout}
	}
	return callPolicy{maxCopies: 1, resendDelay: timeout, timeout: timeout}
}

// anyStartInDoubt reports whether a poll is needed to learn what became of a start. The caller
// holds the lock.
func (s *Session) anyStartInDoubt() bool {
	for _, r := range s.runs {
		if r.doubtEpoch != 0 && r.confirmedAt.IsZero() {
			return true
		}
	}
	return false
}

// sendStart sends one copy of a start request. The copy outlives the time for which its caller
// waits: when the link to a target suddenly becomes slow, only the answers that come too late show
// how long to wait for the next ones. If copies ended with the caller's wait, their answer times
// would never be recorded, and each start would be sent as often as one that gets lost.
func (s *Session) sendStart(ctx context.Context, o StartRequest) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, maxAnswerWait)
	defer cancel()
	begun := time.Now()
	s.opts.Calls.Starts.Add(1)
	reply, err := s.opts.Client.Start(ctx, o)
	s.recordCallOutcome(begun, maxAnswerWait, err)
	if err == nil {
		s.recordAnswerTime(time.Since(begun))
	}
	return reply, err
}

// sendPoll sends one copy of a poll.
func (s *Session) sendPoll(ctx context.Context, o PollRequest, timeout time.Duration) (PollReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	begun := time.Now()
	s.opts.Calls.Polls.Add(1)
	l, err := s.opts.Client.Renew(ctx, o)
	s.recordCallOutcome(begun, timeout, err)
	if err == nil && l.Refusal == Accepted {
		// The loop processes the first answer only. A later answer may report an end that would
		// otherwise wait for the next poll.
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.observeIncarnation(&l) {
			return l, errOtherProcess
		}
		s.deliverEnds(l.Ended)
	}
	return l, err
}

// requestStop sends a stop request until a copy of it is answered.
func (s *Session) requestStop(o StopRequest) (Reply, error) {
	p := s.promptPolicy()
	got, err := firstAnswer(s.ctx, p, func(ctx context.Context) (Reply, error) {
		ctx, cancel := context.WithTimeout(ctx, p.timeout)
		defer cancel()
		begun := time.Now()
		s.opts.Calls.Stops.Add(1)
		reply, err := s.opts.Client.Stop(ctx, o)
		s.recordCallOutcome(begun, p.timeout, err)
		return reply, err
	})
	return got.value, err
}
