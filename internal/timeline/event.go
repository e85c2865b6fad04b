// Package timeline records the typed events of a process in a bounded ring, orders
// them across processes by a hybrid logical clock, and merges the rings of all
// entries into one time line.
package timeline

import (
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Stamp is a timestamp of a hybrid logical clock. The high 48 bits are Unix
// milliseconds, the low 16 bits count events within one millisecond.
type Stamp uint64

// Kind is the type of an event.
type Kind string

// The kinds of events.
const (
	SubmissionReceived    Kind = "submission_received"
	SubmissionJoined      Kind = "submission_joined"
	SubmissionTakenOver   Kind = "submission_taken_over"
	SubmissionAdmitted    Kind = "submission_admitted"
	SubmissionRefused     Kind = "submission_refused"
	SubmissionAnswered    Kind = "submission_answered"
	BatchOffered          Kind = "batch_offered"
	BatchReceived         Kind = "batch_received"
	BatchReported         Kind = "batch_reported"
	BatchLost             Kind = "batch_lost"
	BatchAwaited          Kind = "batch_awaited"
	TaskQueued            Kind = "task_queued"
	TaskStarted           Kind = "task_started"
	TaskEnded             Kind = "task_ended"
	TaskRetried           Kind = "task_retried"
	TaskPreempted         Kind = "task_preempted"
	TaskDropped           Kind = "task_dropped"
	TaskSuspect           Kind = "task_suspect"
	TargetAnnounced       Kind = "target_announced"
	TargetStopping        Kind = "target_leaving"
	TargetExpired         Kind = "target_lapsed"
	TargetSuspect         Kind = "target_suspect"
	TargetHealthy         Kind = "target_healthy"
	TargetSpeedUsed       Kind = "target_speed_used"
	TargetSpeedCorrected  Kind = "target_speed_corrected"
	TargetTaken           Kind = "target_taken"
	TargetYielded         Kind = "target_yielded"
	LeaseExpired          Kind = "lease_run_out"
	HolderChanged         Kind = "holder_changed"
	VotersChanged         Kind = "voters_changed"
	EntryAlive            Kind = "entry_alive"
	EntrySuspect          Kind = "entry_suspect"
	EntryDead             Kind = "entry_dead"
	ConfigurationInEffect Kind = "configuration_in_force"
	ConfigurationProposed Kind = "configuration_proposed"
	ConfigurationStale    Kind = "configuration_stale"
	ZoneCordoned          Kind = "zone_cordoned"
	ZoneUncordoned        Kind = "zone_uncordoned"
	EntryStarted          Kind = "entry_started"
	EntryDraining         Kind = "entry_draining"
	EntryStopped          Kind = "entry_stopped"
	EntryPaused           Kind = "entry_paused"
	OwnerUnresponsive     Kind = "owner_silent"
	// RunAccepted means that a target confirmed a start request, LeaseRenewed that the
	// lease of a target's runs was renewed. Both are only counted.
	RunAccepted  Kind = "run_accepted"
	LeaseRenewed Kind = "lease_renewed"
)

// OnlyCounted reports whether events of the kind are counted but neither kept in the
// ring nor logged. There are several of them for each task, and they add nothing to
// the task's other events.
func (k Kind) OnlyCounted() bool { return k == RunAccepted || k == LeaseRenewed }

// Late is the reason of a complete answer, or of a batch with all its results, that
// took clearly longer than the latency objective of its service allows. A late answer
// has not failed, but investigating it takes the same recorded events as investigating
// a failure.
const Late job.Reason = "late"

// Event is something that a process did or learned, with its cause.
type Event struct {
	Stamp      Stamp         `json:"stamp" cbor:"1,keyasint"`
	Entry      job.EntryID   `json:"entry" cbor:"2,keyasint"`
	Kind       Kind          `json:"kind" cbor:"3,keyasint"`
	Submission job.ID        `json:"submission,omitempty" cbor:"4,keyasint,omitempty"`
	Task       int           `json:"task,omitempty" cbor:"5,keyasint,omitempty"`
	Target     job.TargetID  `json:"target,omitempty" cbor:"6,keyasint,omitempty"`
	Peer       job.EntryID   `json:"peer,omitempty" cbor:"7,keyasint,omitempty"`
	Reason     job.Reason    `json:"reason,omitempty" cbor:"8,keyasint,omitempty"`
	Cause      string        `json:"cause,omitempty" cbor:"9,keyasint,omitempty"`
	Count      int           `json:"count,omitempty" cbor:"10,keyasint,omitempty"`
	Took       time.Duration `json:"took,omitempty" cbor:"11,keyasint,omitempty"`
	// Ideal is the declared duration of the work itself. It is set on answers.
	Ideal time.Duration `json:"ideal,omitempty" cbor:"12,keyasint,omitempty"`
}

// Sink receives events. Record sets Stamp and Entry, never blocks and never fails:
// a full ring drops its oldest event.
type Sink interface {
	Record(Event)
}

// Discard is a Sink that ignores all events.
type Discard struct{}

// Record does nothing.
func (Discard) Record(Event) {}
