// Package hedge decides how many copies of a request are sent to a target, and when, depending on
// the share of requests to it that get lost.
//
// Load pattern: a few percent of the requests get no answer while the target is healthy, or half
// of them do. Without copies, each lost poll delays the ends of runs by its whole wait, and a job
// of eight tasks is hit by one loss in twelve as often as not. But each copy uses a connection of
// its own and processor time of a small VM. If a few percent were answered as half are, the copies
// would cost more than the work: the entry reads answers late, takes them for lost and sends
// further copies. The number of copies therefore follows the measured share.
package hedge

import (
	"math"
	"time"
)

const (
	// period is half of the time over which the share of losses is measured. A busy target gets
	// some thirty requests in it, so that a share of a few percent is seen nearly always.
	period = 2 * time.Second
	// heavyShare is the share of losses from which copies are sent without waiting for the usual
	// answer time: one copy in four is lost too.
	heavyShare = 0.25
	// maxUndelivered is the accepted probability that all copies of a request get lost.
	maxUndelivered = 0.02
	// minShare is the share below which a target counts as not lossy. It bounds the number of
	// copies that a single loss among many requests causes.
	minShare = 0.01
)

// Losses measures the share of requests that get lost. The zero value has measured nothing.
type Losses struct {
	// since is the start of the current period; index 0 of the counts belongs to it, index 1 to
	// the one before.
	since          time.Time
	answered, lost [2]int
}

// Record records the outcome of one request.
func (l *Losses) Record(now time.Time, lost bool) {
	l.advance(now)
	if lost {
		l.lost[0]++
	} else {
		l.answered[0]++
	}
}

// Share returns the share of losses in the current and the previous period, zero without any
// request.
func (l *Losses) Share(now time.Time) float64 {
	l.advance(now)
	lost := l.lost[0] + l.lost[1]
	if lost == 0 {
		return 0
	}
	return float64(lost) / float64(lost+l.answered[0]+l.answered[1])
}

func (l *Losses) advance(now time.Time) {
	switch elapsed := now.Sub(l.since); {
	case elapsed < period:
		return
	case elapsed < 2*period:
		l.answered[1], l.lost[1] = l.answered[0], l.lost[0]
		l.since = l.since.Add(period)
	default:
		l.answered[1], l.lost[1] = 0, 0
		l.since = now
	}
	l.answered[0], l.lost[0] = 0, 0
}

// Heavy reports whether so many requests get lost that a missing answer means a loss.
func Heavy(share float64) bool { return share >= heavyShare }

// Copies returns how many copies of a request leave at most maxUndelivered of the requests
// undelivered, at most limit.
func Copies(share float64, limit int) int {
	switch {
	case share < minShare:
		return 1
	case share >= 1:
		return limit
	}
	return min(limit, max(1, int(math.Ceil(math.Log(maxUndelivered)/math.Log(share)))))
}
