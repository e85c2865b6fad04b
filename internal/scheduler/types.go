// Package scheduler decides, for one holder and one pool of targets, which
// queued task starts next and on which target. It combines the policies of
// internal/policy and tracks slots, connections and sizes.
//
// The load is typical of a shared pool: bursts, a caller that sends more than
// its share, targets that slow down or fail, a mix of long and short tasks, and
// demand above capacity. Without one component that sees the exact occupancy of
// each target, slots would be idle while tasks wait elsewhere, and targets would
// receive more tasks than they announced capacity for.
//
// The package starts no goroutines, reads no clock and uses no network; the time
// is an argument. The caller holds one lock around each call.
package scheduler

import (
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/precedence"
	"github.com/vanillagrade/vanillagrade/internal/policy/speed"
)

// Key identifies one task of one owner's submission.
type Key struct {
	Owner      job.Owner
	Submission job.ID
	Index      int
}

// Start is the decision to start one task on one target.
type Start struct {
	Key
	Target  job.TargetID
	Task    job.BatchTask
	Team    string
	Service string
	Single  bool
	// Deadline is zero if the submission has none, or if its service flags late
	// answers.
	Deadline time.Time
	// Waited is the time since the submission was received.
	Waited time.Duration
	// Probe marks the single task that tests whether a target works again.
	Probe bool
	// Running is the number of tasks on the target, including this one.
	Running int
	// Attempt numbers the starts of the task from 1.
	Attempt int
	// Expected is the expected run time.
	Expected time.Duration
}

// Dropped is a task that was removed from the queue without being started.
type Dropped struct {
	Key
	Reason job.Reason
	Waited time.Duration
	// Detail and RetryAfter are set if the task was abandoned before its deadline.
	Detail     string
	RetryAfter time.Duration
}

// Decisions is the result of one call of Next.
type Decisions struct {
	Starts  []Start
	Expired []Dropped
	Stops   []Stop
	// Wake is when to call Next again if no event occurs earlier; zero means
	// that only an event can lead to another decision.
	Wake time.Time
}

// Admission is the admission decision for a batch: all of its tasks or none.
type Admission struct {
	Accepted bool
	// Reason, Detail and RetryAfter are set if the batch is refused.
	Reason     job.Reason
	Detail     string
	RetryAfter time.Duration
}

// Result describes how a started task ended on its target.
type Result struct {
	// Ran is the time from the start to the target's answer.
	Ran    time.Duration
	Status job.TaskStatus
	Reason job.Reason
	// TargetRefused is set if the target reported that it did not start the task.
	TargetRefused bool
	// Unanswered is set if a start request was lost on the way to a target that
	// otherwise answers.
	Unanswered bool
	// Lost is set if the connection broke or no answer arrived.
	Lost bool
	// Suspect is set if the task may have crashed its target. The task runs alone
	// on a target from then on.
	Suspect bool
	// NoCapacity is set if the target reported less free capacity than it announced.
	NoCapacity bool
}

// Running is one started task of a cancelled submission.
type Running struct {
	Index  int
	Target job.TargetID
}

// TargetStats is the state of one target.
type TargetStats struct {
	Target   job.Target
	Running  int
	Used     job.Size
	Slowness float64
	// Speed is the estimated run time relative to the median target.
	Speed speed.Estimate
	// State is "ready", "slow", "quarantined" or "leaving".
	State string
}

// Stats is the state of a pool for operators.
type Stats struct {
	Pool    string
	Slots   int
	Running int
	Queued  [job.UrgencyUrgent + 1]int
	// Levels has the priorities of each urgency class that has several, the most urgent
	// first.
	Levels  []LevelStats
	Teams   map[string]int
	Targets []TargetStats
}

// LevelStats is the state of one priority level of an urgency class.
type LevelStats struct {
	Urgency  job.Urgency
	Priority int
	Queued   int
	Running  int
	// Wait is the expected wait of a task that arrives now.
	Wait  time.Duration
	Share precedence.Share
	LevelCounts
}

// LevelCounts counts the jobs of one priority that have an objective.
type LevelCounts struct {
	Admitted  uint64 `json:"admitted"`
	Refused   uint64 `json:"refused"`
	Abandoned uint64 `json:"abandoned"`
}
