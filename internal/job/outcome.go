package job

import (
	"encoding/json"
	"time"
)

// Outcome is how a submission ended.
type Outcome string

// The outcomes. The answer to a job is never partial: it is complete or has one of
// the other outcomes.
const (
	Complete  Outcome = "complete"
	Refused   Outcome = "refused"
	Failed    Outcome = "failed"
	Cancelled Outcome = "cancelled"
)

// Reason is the reason why a submission or task did not complete.
type Reason string

// The reasons. docs/OPERATIONS.md says what to do about each.
const (
	Malformed       Reason = "malformed"
	Unsupported     Reason = "unsupported"
	UnknownService  Reason = "unknown_service"
	UnknownTeam     Reason = "unknown_team"
	IDReused        Reason = "id_reused"
	TooLarge        Reason = "too_large"
	TooManyTasks    Reason = "too_many_tasks"
	Infeasible      Reason = "infeasible"
	OverQuota       Reason = "over_quota"
	Overloaded      Reason = "overloaded"
	QueueFull       Reason = "queue_full"
	NoTarget        Reason = "no_target"
	ZoneCordoned    Reason = "zone_cordoned"
	Draining        Reason = "draining"
	NotConfigured   Reason = "not_configured"
	NotDue          Reason = "not_due"
	DeadlinePassed  Reason = "deadline_passed"
	DeadlineTooNear Reason = "deadline_too_near"
	CallerGone      Reason = "caller_gone"
	CancelledByCall Reason = "cancelled_by_caller"
	TaskFailed      Reason = "task_failed"
	TaskCrashes     Reason = "task_crashes_targets"
	TargetLost      Reason = "target_lost"
	TargetRefused   Reason = "target_refused"
	HolderLost      Reason = "holder_lost"
	OwnerLost       Reason = "owner_lost"
	Paused          Reason = "paused"
	ZoneUnreachable Reason = "zone_unreachable"
	NoRegistrar     Reason = "no_registrar"
	NotKept         Reason = "not_kept"
	SiblingFailed   Reason = "sibling_failed"
	Internal        Reason = "internal_error"
	// Preempted is the reason of a run that was stopped for more urgent work. The task is
	// queued again, so no caller receives it.
	Preempted Reason = "preempted"
)

// Run states whether any task of a submission may have run.
type Run struct{ proven bool }

// MayHaveRun is the zero value: it is not proved that no task started.
var MayHaveRun = Run{}

// NotRun returns the statement that no task of the submission started. Only a
// stage that handed nothing to a target, or that has the target's own confirmation,
// may use it: a false statement would make a caller send an alert twice.
func NotRun() Run { return Run{proven: true} }

// Proven reports whether it is proved that no task ran.
func (r Run) Proven() bool { return r.proven }

// String returns the statement as it appears in answers to callers.
func (r Run) String() string {
	if r.proven {
		return "not run"
	}
	return "may have run"
}

// Header returns the statement as it appears in the Vanillagrade-Run header.
func (r Run) Header() string {
	if r.proven {
		return "not-run"
	}
	return "may-have-run"
}

// The CBOR simple values of a Run. Only the exact encoding of NotRun is decoded as
// such, so a damaged or newer message decodes as "may have run".
const (
	cborFalse = 0xf4
	cborTrue  = 0xf5
)

// MarshalCBOR implements cbor.Marshaler for messages between entries.
func (r Run) MarshalCBOR() ([]byte, error) {
	if r.proven {
		return []byte{cborTrue}, nil
	}
	return []byte{cborFalse}, nil
}

// UnmarshalCBOR implements cbor.Unmarshaler for messages between entries.
func (r *Run) UnmarshalCBOR(b []byte) error {
	r.proven = len(b) == 1 && b[0] == cborTrue
	return nil
}

// Answer is what a caller receives for its submission.
type Answer struct {
	ID      ID
	Outcome Outcome
	// Late is set on a complete answer after the deadline, for a service that
	// flags late answers.
	Late    bool
	Run     Run
	Reason  Reason
	Detail  string
	Results []json.RawMessage
	// RetryAfter is the delay after which a retry is useful; zero means unknown.
	RetryAfter time.Duration
}

// Refuse returns the answer to a submission of which no task was handed out.
func Refuse(id ID, reason Reason, detail string, retryAfter time.Duration) Answer {
	return Answer{ID: id, Outcome: Refused, Run: NotRun(), Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

// Fail returns the answer to a submission of which a task may have run.
func Fail(id ID, reason Reason, detail string) Answer {
	return Answer{ID: id, Outcome: Failed, Run: MayHaveRun, Reason: reason, Detail: detail}
}

// TaskStatus is how one task ended.
type TaskStatus uint8

// The task statuses.
const (
	// TaskDone means that the task has a result.
	TaskDone TaskStatus = iota + 1
	// TaskErred means that the task may have run and has no result.
	TaskErred
	// TaskNotStarted means that the task provably never started.
	TaskNotStarted
)

// TaskOutcome is the outcome of one task, as reported by its holder to the owner.
type TaskOutcome struct {
	Index   int             `cbor:"1,keyasint"`
	Status  TaskStatus      `cbor:"2,keyasint"`
	Payload json.RawMessage `cbor:"3,keyasint,omitempty"`
	Reason  Reason          `cbor:"4,keyasint,omitempty"`
	Detail  string          `cbor:"5,keyasint,omitempty"`
	Target  TargetID        `cbor:"6,keyasint,omitempty"`
	// Queued is the time that the task waited at the holder, and Ran the time
	// that its target took.
	Queued time.Duration `cbor:"7,keyasint,omitempty"`
	Ran    time.Duration `cbor:"8,keyasint,omitempty"`
	// RetryAfter is the delay after which another offer of a refused task is useful.
	RetryAfter time.Duration `cbor:"9,keyasint,omitempty"`
	// Over is set with TaskErred if every run of the task has ended, so that another
	// run cannot overlap with an earlier one.
	Over bool `cbor:"10,keyasint,omitempty"`
	// Crashed lists the targets that ended while the task ran on them.
	Crashed []TargetID `cbor:"11,keyasint,omitempty"`
}

// BatchTask is one task of a batch with its index in the submission. In messages the
// specification is nested under a key of its own, since Index would hide the field of
// TaskSpec with the same key.
type BatchTask struct {
	Index    int `cbor:"1,keyasint"`
	TaskSpec `cbor:"2,keyasint,omitzero"`
	// Crashed lists the targets that ended while an earlier run of the task was on them.
	Crashed []TargetID `cbor:"3,keyasint,omitempty"`
}

// Batch is the part of a submission that one holder runs. It is sent in one
// message, whatever the number of tasks.
type Batch struct {
	Owner      Owner  `cbor:"1,keyasint"`
	Submission ID     `cbor:"2,keyasint"`
	Team       string `cbor:"3,keyasint,omitempty"`
	Service    string `cbor:"4,keyasint"`
	// Waited is the time that the submission has already waited at its owner. With
	// it, ageing continues at the holder without a comparison of clocks.
	Waited time.Duration `cbor:"5,keyasint,omitempty"`
	// Remaining is the time until the deadline; zero means no deadline.
	Remaining time.Duration `cbor:"6,keyasint,omitempty"`
	Tasks     []BatchTask   `cbor:"7,keyasint"`
	Single    bool          `cbor:"8,keyasint,omitempty"`
	// Committed is set if other holders have already accepted other tasks of the
	// submission: refusing these tasks for load would waste that work.
	Committed bool `cbor:"9,keyasint,omitempty"`
	// Pool is the pool of the service in the owner's configuration; the holder's
	// configuration may be some seconds older.
	Pool string `cbor:"10,keyasint,omitempty"`
	// Attempts is the number of runs of a task that may fail; with zero or one, the
	// first failure ends the job.
	Attempts int `cbor:"11,keyasint,omitempty"`
	// Transient is as in Submission: the work does not outlive its owner.
	Transient bool `cbor:"12,keyasint,omitempty"`
	// Stretch and Slack define the latency objective, as in config.Service.
	Stretch float64       `cbor:"13,keyasint,omitempty"`
	Slack   time.Duration `cbor:"14,keyasint,omitempty"`
	// Reoffered is set if another holder has refused the tasks before. They count as
	// requested only once, where they were offered first.
	Reoffered bool `cbor:"15,keyasint,omitempty"`
	// MaxPerTarget is as in Submission.
	MaxPerTarget int `cbor:"16,keyasint,omitempty"`
	// Right is the right of the entry that has the batch to act for the owner; nil
	// for work that needs none.
	Right Right `cbor:"-"`
}
