// Package quota limits the tasks that one team may have admitted: by a rate of tasks and
// by a number of queued tasks.
//
// Load pattern: one team's program sends far more than its agreed share, or resends in a
// loop. Without this limit it fills the bounded queues, and quiet teams are refused for
// lack of queue capacity although fair queueing would serve them.
//
// Reasons for the limits: a bucket holds one second of the team's rate, since jobs come
// in bursts and the rate is agreed in tasks per second. A job larger than the bucket is
// admitted when the bucket is full and leaves a debt, so the long-run rate holds and no
// job is refused permanently because of its size.
package quota

import (
	"math"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

// BurstSeconds is the size of a team's bucket, in seconds of its rate.
const BurstSeconds = 1.0

// fullQueueRetry is the retry delay for a team whose queue is full and whose drain rate
// is unknown. It is the upper end of the run time of most tasks.
const fullQueueRetry = time.Second

// Decision is the decision on a job. Either all tasks of the job are admitted or none.
type Decision struct {
	Allowed bool
	// Reason is OverQuota if the team's quota is exhausted, UnknownTeam if the team is
	// not configured. RetryAfter is the time after which the same job would be admitted
	// if nothing else were sent.
	Reason     job.Reason
	Detail     string
	RetryAfter time.Duration
}

// bucket is the state of one team.
type bucket struct {
	tokens     float64
	refilledAt time.Time
	queued     int
	// drainRate is an exponentially weighted rate of finished tasks per second.
	drainRate float64
	lastDone  time.Time
}

// Quotas holds the buckets of all teams at one owner. The caller must hold a lock.
type Quotas struct {
	file  *config.File
	share float64
	teams map[string]*bucket
}

// New returns Quotas without any team.
func New() *Quotas { return &Quotas{share: 1, teams: map[string]*bucket{}} }

// Configure puts the accepted configuration file into effect. Buckets keep their level,
// so a change of configuration does not allow a second burst. share is the part of each
// team's quota that this owner admits: 1 divided by the number of live owners.
func (q *Quotas) Configure(f *config.File, share float64) {
	q.file = f
	q.share = share
	for name := range q.teams {
		if _, known := f.Team(name); !known {
			delete(q.teams, name)
		}
	}
}

// Admit decides on n tasks of one job and charges them to the team's quota if it admits
// them. Call Done once the admitted tasks have ended.
func (q *Quotas) Admit(now time.Time, team string, n int) Decision {
	t, known := q.file.Team(team)
	if !known {
		return Decision{Reason: job.UnknownTeam, Detail: "team " + team + " is not configured"}
	}
	rate := float64(t.TasksPerSecond) * q.share
	b := q.bucket(now, q.bucketKey(team), rate)
	if v, full := q.queueFull(now, t, b, n); full {
		return v
	}
	if rate > 0 {
		if wait := b.waitFor(now, rate, n); wait > 0 {
			return Decision{Reason: job.OverQuota, Detail: "tasks_per_second of team " + team + " is used up", RetryAfter: wait}
		}
		b.tokens -= float64(n)
	}
	b.queued += n
	return Decision{Allowed: true}
}

// bucketKey returns the key of a team's bucket. If the file configures no teams, all
// callers share one bucket. With separate buckets, each name that a caller makes up
// would get its own limit and stay in memory.
func (q *Quotas) bucketKey(team string) string {
	if q.file == nil || len(q.file.Teams) == 0 {
		return ""
	}
	return team
}

func (q *Quotas) bucket(now time.Time, team string, rate float64) *bucket {
	b := q.teams[team]
	if b == nil {
		b = &bucket{tokens: rate * BurstSeconds, refilledAt: now, lastDone: now}
		q.teams[team] = b
	}
	return b
}

func (q *Quotas) queueFull(now time.Time, t config.Team, b *bucket, n int) (Decision, bool) {
	bound := t.MaxQueuedTasks
	if bound == 0 && q.file != nil {
		bound = q.file.Limits.MaxQueuedTasks
	}
	if bound == 0 || b.queued == 0 || b.queued+n <= bound {
		return Decision{}, false
	}
	wait := fullQueueRetry
	if b.drainRate > 0 {
		wait = seconds(float64(b.queued+n-bound) / b.drainRate)
	}
	return Decision{Reason: job.OverQuota, Detail: "max_queued_tasks of team " + t.Name + " is reached", RetryAfter: wait}, true
}

// waitFor refills the bucket and returns the time until n tasks can be admitted.
func (b *bucket) waitFor(now time.Time, rate float64, n int) time.Duration {
	burst := rate * BurstSeconds
	if d := now.Sub(b.refilledAt); d > 0 {
		b.tokens = math.Min(burst, b.tokens+d.Seconds()*rate)
		b.refilledAt = now
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

// drainWindow is the time constant of the measured drain rate, about the run time of the
// longest tasks.
const drainWindow = 5 * time.Second

// Done records that n admitted tasks have ended, whatever their outcome.
func (q *Quotas) Done(now time.Time, team string, n int) {
	b := q.teams[q.bucketKey(team)]
	if b == nil {
		return
	}
	b.queued = max(0, b.queued-n)
	elapsed := now.Sub(b.lastDone).Seconds()
	keep := math.Exp(-elapsed / drainWindow.Seconds())
	b.drainRate = b.drainRate*keep + float64(n)/drainWindow.Seconds()
	b.lastDone = now
}

// Queued returns the number of tasks of a team that were admitted and have not ended.
func (q *Quotas) Queued(team string) int {
	if b := q.teams[q.bucketKey(team)]; b != nil {
		return b.queued
	}
	return 0
}
