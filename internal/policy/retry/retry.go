// Package retry limits how many repeatable requests are sent a second time.
//
// Load pattern: targets fail or are overloaded, and each failed request is sent again.
// Without a limit, the retries double the load just when the targets can bear it least,
// and keep the targets overloaded after the cause has gone.
//
// A tenth of the recent requests may be retried. One failing target of fifty fails 2% of
// the requests before requests are withheld from it, and a failing rack of eight targets
// fails 16% for a moment. A tenth therefore covers ordinary failures and adds at most
// 10% of load in the worst case.
package retry

import (
	"math"
	"time"
)

const (
	// Share is the fraction of recent requests that may be retried.
	Share = 0.1
	// window is the time constant with which requests and retries decay.
	window = 10 * time.Second
	// minRetries is the number of retries allowed in the window even to a service with
	// few requests.
	minRetries = 3
)

// Budget is the retry budget of one service at one owner. The caller must hold a lock.
type Budget struct {
	requests  float64
	retries   float64
	updatedAt time.Time
}

func (b *Budget) decay(now time.Time) {
	if dt := now.Sub(b.updatedAt); dt > 0 {
		keep := math.Exp(-dt.Seconds() / window.Seconds())
		b.requests *= keep
		b.retries *= keep
		b.updatedAt = now
	}
}

// Request records a first attempt.
func (b *Budget) Request(now time.Time) {
	b.decay(now)
	b.requests++
}

// Allow reports whether a request may be retried and charges the retry to the budget. It
// refuses if the budget is used up, or if the remaining time (zero: no deadline) is
// shorter than the expected run time, since the answer would come too late.
func (b *Budget) Allow(now time.Time, remaining, expected time.Duration) bool {
	b.decay(now)
	if remaining != 0 && remaining < expected {
		return false
	}
	if b.retries+1 > math.Max(minRetries, Share*b.requests) {
		return false
	}
	b.retries++
	return true
}
