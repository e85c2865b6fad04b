// Package retry bounds how many repeatable requests are sent a second time.
//
// Load pattern: targets fail or overload, and each failed request is sent
// again. Without a bound the retries double the load just when the targets can
// bear it least, and keep them down after the cause has gone.
//
// A tenth of the recent requests may be retried. Grounds: one failing target
// of fifty fails 2% of the requests before it is held back, a failing rack of
// eight targets 16% for a moment, so a tenth covers the ordinary day and adds
// at most a tenth of load on the worst.
package retry

import (
	"math"
	"time"
)

const (
	// Share is the part of recent requests that may be retried.
	Share = 0.1
	// memory is how long a request counts as recent.
	memory = 10 * time.Second
	// floor is what a quiet service may retry in that time.
	floor = 3
)

// Budget is the retry budget of one service at one owner. The caller locks.
type Budget struct {
	requests float64
	retries  float64
	at       time.Time
}

func (b *Budget) decay(now time.Time) {
	if dt := now.Sub(b.at); dt > 0 {
		keep := math.Exp(-dt.Seconds() / memory.Seconds())
		b.requests *= keep
		b.retries *= keep
		b.at = now
	}
}

// Request counts a first attempt.
func (b *Budget) Request(now time.Time) {
	b.decay(now)
	b.requests++
}

// Allow takes one retry from the budget. It refuses when the budget is used
// up, or when the time left (zero: no deadline) is under the expected run
// time, since the answer would be of no use.
func (b *Budget) Allow(now time.Time, remaining, expected time.Duration) bool {
	b.decay(now)
	if remaining != 0 && remaining < expected {
		return false
	}
	if b.retries+1 > math.Max(floor, Share*b.requests) {
		return false
	}
	b.retries++
	return true
}
