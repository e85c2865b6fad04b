// Package quota bounds what one team may have admitted: a rate of tasks and a
// number of waiting tasks.
//
// Load pattern: one team's program sends far more than its agreed share, or
// resends in a loop. Without the bound it fills the bounded queues, and quiet
// teams are refused for want of room although fair queueing would serve them.
//
// Grounds for the figures: a bucket holds one second of the team's rate,
// since jobs come in bursts and the rate is agreed in tasks a second. A job
// larger than the bucket is let in when the bucket is full and leaves a debt,
// so the long-run rate holds and no job is refused for ever for its size.
package quota

import (
	"math"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

// BurstSeconds is how many seconds of its rate a team may use at once.
const BurstSeconds = 1.0

// queueRetry is the least wait told to a team whose queue is full and of which
// nothing is known to drain: the upper end of most tasks' run time.
const queueRetry = time.Second

// Verdict is the answer to one job: all of its tasks or none.
type Verdict struct {
	Allowed bool
	// Reason is OverQuota on a refusal, RetryAfter the time after which the
	// same job would pass if nothing else were sent.
	Reason     job.Reason
	Detail     string
	RetryAfter time.Duration
}

// bucket is the state of one team.
type bucket struct {
	tokens float64
	at     time.Time
	queued int
	// drained is an exponentially weighted rate of finished tasks a second.
	drained float64
	doneAt  time.Time
}

// Quotas holds the buckets of all teams at one owner. The caller locks.
type Quotas struct {
	file  *config.File
	share float64
	teams map[string]*bucket
}

// New returns quotas without any team.
func New() *Quotas { return &Quotas{share: 1, teams: map[string]*bucket{}} }

// Configure takes the accepted file into force. Buckets keep their level, so a
// change of configuration is no way to a second burst. share is the part of
// each team's quota that this owner gives out: 1 divided by the live owners.
func (q *Quotas) Configure(f *config.File, share float64) {
	q.file = f
	q.share = share
	for name := range q.teams {
		if _, known := f.Team(name); !known {
			delete(q.teams, name)
		}
	}
}

// Admit asks for n tasks of one job and takes them from the team's quota when
// it allows them. Each admitted task is given back by Done when it ended.
func (q *Quotas) Admit(now time.Time, team string, n int) Verdict {
	t, known := q.file.Team(team)
	if !known {
		return Verdict{Reason: job.UnknownTeam, Detail: "team " + team + " is not configured"}
	}
	rate := float64(t.TasksPerSecond) * q.share
	b := q.bucket(now, q.key(team), rate)
	if v, full := q.queueFull(now, t, b, n); full {
		return v
	}
	if rate > 0 {
		if wait := b.missing(now, rate, n); wait > 0 {
			return Verdict{Reason: job.OverQuota, Detail: "tasks_per_second of team " + team + " is used up", RetryAfter: wait}
		}
		b.tokens -= float64(n)
	}
	b.queued += n
	return Verdict{Allowed: true}
}

// key is the bucket of a team. Without teams in the file all callers share one,
// or each name that a caller makes up would bring its own bound and stay.
func (q *Quotas) key(team string) string {
	if q.file == nil || len(q.file.Teams) == 0 {
		return ""
	}
	return team
}

func (q *Quotas) bucket(now time.Time, team string, rate float64) *bucket {
	b := q.teams[team]
	if b == nil {
		b = &bucket{tokens: rate * BurstSeconds, at: now, doneAt: now}
		q.teams[team] = b
	}
	return b
}

func (q *Quotas) queueFull(now time.Time, t config.Team, b *bucket, n int) (Verdict, bool) {
	bound := t.MaxQueuedTasks
	if bound == 0 && q.file != nil {
		bound = q.file.Limits.MaxQueuedTasks
	}
	if bound == 0 || b.queued == 0 || b.queued+n <= bound {
		return Verdict{}, false
	}
	wait := queueRetry
	if b.drained > 0 {
		wait = seconds(float64(b.queued+n-bound) / b.drained)
	}
	return Verdict{Reason: job.OverQuota, Detail: "max_queued_tasks of team " + t.Name + " is reached", RetryAfter: wait}, true
}

// missing refills the bucket and returns how long it takes until n tasks pass.
func (b *bucket) missing(now time.Time, rate float64, n int) time.Duration {
	burst := rate * BurstSeconds
	if d := now.Sub(b.at); d > 0 {
		b.tokens = math.Min(burst, b.tokens+d.Seconds()*rate)
		b.at = now
	}
	need := math.Min(float64(n), burst)
	if b.tokens >= need {
		return 0
	}
	return seconds((need - b.tokens) / rate)
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Ceil(s * float64(time.Second)))
}

// drainMemory is how long the measured drain rate remembers, about the length
// of the longest tasks.
const drainMemory = 5 * time.Second

// Done gives back n admitted tasks that ended, whatever way they ended.
func (q *Quotas) Done(now time.Time, team string, n int) {
	b := q.teams[q.key(team)]
	if b == nil {
		return
	}
	b.queued = max(0, b.queued-n)
	elapsed := now.Sub(b.doneAt).Seconds()
	keep := math.Exp(-elapsed / drainMemory.Seconds())
	b.drained = b.drained*keep + float64(n)/drainMemory.Seconds()
	b.doneAt = now
}

// Queued returns the tasks of a team that were admitted and have not ended.
func (q *Quotas) Queued(team string) int {
	if b := q.teams[q.key(team)]; b != nil {
		return b.queued
	}
	return 0
}
