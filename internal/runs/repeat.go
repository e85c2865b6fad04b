package runs

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Load pattern: half of the orders get lost on the way, or are carried out seconds
// later, while the target is well. Sent once, an order is known to be lost only after
// the longest wait for its answer; in that time a task of 60 ms has missed its
// objective, and a job of eight tasks meets it once in 256 times. But a target takes
// each of our orders any number of times: a run that is there or was there is not
// begun again. So an order without an answer is sent again, on another connection,
// some usual answer times later, and the first answer counts.

const (
	// leastGap is the shortest time after which an order is sent again: some round
	// trips of 3 ms, so that an order which is only under way is not.
	leastGap = 15 * time.Millisecond
	// startCopies bounds how often one start is sent, and lookCopies how often a look
	// that the target answers at once: where half get lost, one in 64 is left in
	// doubt, and the last copy still has half of the shortest wait for its answer.
	startCopies = 6
	lookCopies  = 6
	// lossyWait is how long a look waits at the target for an end where orders get
	// lost, and lossyGap how long after one such look the next one follows. They have
	// no answer either way, so that each costs a call; three or four of them wait at
	// a time, of which an end finds none that is not lost in one of ten cases.
	lossyWait = 100 * time.Millisecond
	lossyGap  = 30 * time.Millisecond
	// lossMemory is for how long a target counts as one of which orders get lost after
	// the last one that was: some looks, of which one at least tells whether it goes on.
	lossMemory = time.Second
	// silentAfter is for how long a target has to leave every call unanswered until it
	// is taken for silent and not merely for one of which orders get lost: the wait of
	// several looks, and half of a lease.
	silentAfter = 500 * time.Millisecond
	// brokenPause is the wait before the look that follows on one that broke off.
	brokenPause = 10 * time.Millisecond
)

// errNoAnswer says that no copy of a call was answered in time.
const errNoAnswer = errors.ConstError("no answer in time")

// patience says how a call is made: how often it may be sent, how long after one
// copy the next follows, and how long to wait for an answer in all.
type patience struct {
	copies    int
	gap, wait time.Duration
}

// answer is what became of one copy.
type answer[T any] struct {
	value T
	err   error
}

// firstAnswer makes a call and returns the first answer to a copy of it, and how many
// copies it took. A copy that breaks off is followed by the next one at once. Copies
// that are still out afterwards are left to their own bounds: an answered call leaves
// its connection in order, a cancelled one would cost a new one.
func firstAnswer[T any](ctx context.Context, p patience, send func() (T, error)) (value T, sent int, err error) {
	answers := make(chan answer[T], p.copies)
	launch := func() {
		sent++
		go func() {
			v, err := send()
			answers <- answer[T]{v, err}
		}()
	}
	over := time.NewTimer(p.wait)
	defer over.Stop()
	again := time.NewTimer(p.gap)
	defer again.Stop()
	launch()
	for open := 1; ; {
		select {
		case a := <-answers:
			if a.err == nil {
				return a.value, sent, nil
			}
			if open--; sent < p.copies {
				launch()
				open++
			}
			if open == 0 {
				return value, sent, a.err
			}
		case <-again.C:
			if sent < p.copies {
				launch()
				open++
				again.Reset(p.gap)
			}
		case <-over.C:
			return value, sent, errNoAnswer
		case <-ctx.Done():
			return value, sent, ctx.Err()
		}
	}
}

// heardOf notes what became of a call that was made at a moment. One that got no
// answer, while the target answered another one since, was lost: the target is well
// and the way to it is not.
func (s *Session) heardOf(begun time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err == nil {
		s.heard = now
		return
	}
	if s.ctx.Err() != nil || !s.heard.After(begun) {
		return
	}
	lossy := now.Before(s.lossyUntil)
	s.lossyUntil = now.Add(lossMemory)
	if !lossy {
		s.lookAgain() // the look that is out waits too long for what may get lost
	}
}

// startPatience is how a start, a stop or a look without a wait is made.
func (s *Session) startPatience() patience {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.promptly(startCopies)
}

// promptly is how a call is made that the target answers at once; the caller holds
// the lock.
func (s *Session) promptly(copies int) patience {
	return patience{copies: copies, gap: s.answers.gap(), wait: s.answers.wait()}
}

// lookPatience is how a look is made; the caller holds the lock. It shortens the wait
// of the look where orders get lost, and leaves it out while a start is in doubt.
func (s *Session) lookPatience(now time.Time, o *RenewOrder) patience {
	if s.doubting() {
		o.WaitMillis = 0
	}
	lossy := now.Before(s.lossyUntil)
	switch {
	case s.silent:
		return patience{copies: 1, gap: answerTime, wait: answerTime}
	case o.WaitMillis == 0:
		return s.promptly(lookCopies)
	case lossy:
		o.WaitMillis = min(o.WaitMillis, lossyWait.Milliseconds())
		gap := max(lossyGap, s.answers.gap())
		return patience{copies: lookCopies, gap: gap, wait: lossyWait + s.answers.wait()}
	}
	wait := time.Duration(o.WaitMillis)*time.Millisecond + answerTime
	return patience{copies: 1, gap: wait, wait: wait}
}

// doubting reports whether a look has to tell what became of a start; the caller
// holds the lock.
func (s *Session) doubting() bool {
	for _, r := range s.runs {
		if r.doubted != 0 && r.confirmed.IsZero() {
			return true
		}
	}
	return false
}

// sendStart sends one copy of a start.
func (s *Session) sendStart(o StartOrder, wait time.Duration) (Reply, error) {
	ctx, cancel := context.WithTimeout(s.ctx, wait)
	defer cancel()
	begun := time.Now()
	reply, err := s.opts.Orders.Start(ctx, o)
	s.heardOf(begun, err)
	if err == nil {
		s.answered(time.Since(begun))
	}
	return reply, err
}

// sendLook sends one copy of a look.
func (s *Session) sendLook(o RenewOrder, wait time.Duration) (Look, error) {
	ctx, cancel := context.WithTimeout(s.ctx, wait)
	defer cancel()
	begun := time.Now()
	l, err := s.opts.Orders.Renew(ctx, o)
	s.heardOf(begun, err)
	if err == nil && l.Refusal == Accepted {
		// The loop takes in the first answer only; a later one may know of an end
		// that would otherwise wait for the next look.
		s.mu.Lock()
		s.takeEnds(l.Ended)
		s.mu.Unlock()
	}
	return l, err
}

// orderStop sends a stop until a copy of it is answered.
func (s *Session) orderStop(o StopOrder) (Reply, error) {
	p := s.startPatience()
	reply, _, err := firstAnswer(s.ctx, p, func() (Reply, error) {
		ctx, cancel := context.WithTimeout(s.ctx, p.wait)
		defer cancel()
		begun := time.Now()
		reply, err := s.opts.Orders.Stop(ctx, o)
		s.heardOf(begun, err)
		return reply, err
	})
	return reply, err
}
