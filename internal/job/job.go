// Package job defines the types that the stages of processing a submission
// exchange: the submission and its tasks, the batches that an owner sends to the
// holders of targets, and the outcomes that the holders report.
//
// The package only checks and constructs these values, so every other package can
// use it without importing a stage.
package job

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"reflect"
	"strings"
	"time"

	"github.com/juju/errors"
)

// ID identifies a submission. The caller chooses it, or the entry generates one.
type ID string

const (
	// MaxIDBytes bounds an ID. Registrars, events and logs keep ids, and bound their number.
	MaxIDBytes = 200
	// MaxKindBytes bounds the kind of a task. Run times are kept by kind, and the number of
	// kinds is bounded.
	MaxKindBytes = 200
)

// Truncated returns the id, or its first MaxIDBytes bytes, for the record of a submission
// that is refused because its id is too long.
func (id ID) Truncated() ID {
	if len(id) <= MaxIDBytes {
		return id
	}
	return ID(strings.Clone(string(id[:MaxIDBytes])))
}

// Check returns an error if the id is too long.
func (id ID) Check() error {
	if len(id) > MaxIDBytes {
		return errors.Errorf("the id is longer than %d bytes", MaxIDBytes)
	}
	return nil
}

// EntryID is the configured name of an entry.
type EntryID string

// Zone is the name of an availability zone.
type Zone string

// TargetID is the name under which a target announces itself.
type TargetID string

// Incarnation identifies one start of an entry; each start has a higher value than
// the one before. It is the start time in Unix nanoseconds, so that it increases
// without stored state.
type Incarnation uint64

// Owner identifies the process that owns a submission, as one incarnation of one
// entry. Only the owner decides whether a task of the submission starts.
type Owner struct {
	Entry       EntryID     `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Zone        Zone        `cbor:"3,keyasint"`
}

// IsZero reports whether o identifies no owner.
func (o Owner) IsZero() bool { return o == Owner{} }

// AttemptUnknown is the attempt number of a submission whose caller did not state
// whether it has sent the same id before.
const AttemptUnknown = 0

// TaskSpec is one task as described by the caller. The declared run time and sizes
// are hints and often far off.
type TaskSpec struct {
	Kind         string          `json:"kind,omitempty" cbor:"1,keyasint,omitempty"`
	Payload      json.RawMessage `json:"payload,omitempty" cbor:"2,keyasint,omitempty"`
	RunMillis    int64           `json:"run_ms,omitempty" cbor:"3,keyasint,omitempty"`
	Processors   int             `json:"processors,omitempty" cbor:"4,keyasint,omitempty"`
	MemoryMB     int             `json:"memory_mb,omitempty" cbor:"5,keyasint,omitempty"`
	Accelerators int             `json:"accelerators,omitempty" cbor:"6,keyasint,omitempty"`
	// MilliProcessors is a fraction of a processor, in thousandths, in addition to
	// Processors.
	MilliProcessors int `json:"milli_processors,omitempty" cbor:"7,keyasint,omitempty"`
}

// CheckKind returns an error if the kind is too long.
func (t *TaskSpec) CheckKind() error {
	if len(t.Kind) > MaxKindBytes {
		return errors.Errorf("the kind is longer than %d bytes", MaxKindBytes)
	}
	return nil
}

// maxTaskProcessors bounds the processors of a task, and separately their thousandths, so that
// the sum in thousandths does not overflow.
const maxTaskProcessors = 1 << 40

// CheckSizes returns an error if a size or the run time is negative, or beyond counting. Such a
// size would add to what is free on a target.
func (t *TaskSpec) CheckSizes() error {
	for _, v := range []struct {
		name  string
		value int64
	}{
		{"run_ms", t.RunMillis},
		{"processors", int64(t.Processors)},
		{"milli_processors", int64(t.MilliProcessors)},
		{"memory_mb", int64(t.MemoryMB)},
		{"accelerators", int64(t.Accelerators)},
	} {
		if v.value < 0 {
			return errors.NotValidf("%s %d", v.name, v.value)
		}
	}
	if t.Processors > maxTaskProcessors || t.MilliProcessors > maxTaskProcessors {
		return errors.NotValidf("processors %d and milli_processors %d (at most %d each)", t.Processors, t.MilliProcessors, int64(maxTaskProcessors))
	}
	return nil
}

// Equal reports whether two specifications are equal.
func (t *TaskSpec) Equal(other *TaskSpec) bool {
	if !bytes.Equal(t.Payload, other.Payload) {
		return false
	}
	a, b := *t, *other
	a.Payload, b.Payload = nil, nil
	return reflect.DeepEqual(a, b)
}

// Urgency is the urgency class of a service. Higher values are served first.
type Urgency int

// The urgency classes, least urgent first.
const (
	UrgencyBatch Urgency = iota
	UrgencyInteractive
	UrgencyUrgent
)

// String returns the class as written in the configuration file.
func (u Urgency) String() string {
	switch u {
	case UrgencyBatch:
		return "batch"
	case UrgencyInteractive:
		return "interactive"
	case UrgencyUrgent:
		return "urgent"
	}
	return "unknown"
}

// ParseUrgency parses a class as written in the configuration file.
func ParseUrgency(s string) (Urgency, error) {
	for u := UrgencyBatch; u <= UrgencyUrgent; u++ {
		if u.String() == s {
			return u, nil
		}
	}
	return UrgencyBatch, errors.NotValidf("urgency %q (urgent, interactive or batch)", s)
}

// Keep is a keep mode: where a submission is stored before it is accepted.
type Keep int

// The keep modes.
const (
	// KeepMemory stores a record of the submission in the registrars' memory.
	KeepMemory Keep = iota
	// KeepReplicated stores the whole submission in the memory of a second entry.
	KeepReplicated
	// KeepSynced stores the whole submission on a disk with a synced write.
	KeepSynced
)

// String returns the keep mode as written in the configuration file.
func (k Keep) String() string {
	switch k {
	case KeepMemory:
		return "memory"
	case KeepReplicated:
		return "replicated"
	case KeepSynced:
		return "synced"
	}
	return "unknown"
}

// ParseKeep parses a keep mode as written in the configuration file.
func ParseKeep(s string) (Keep, error) {
	for k := KeepMemory; k <= KeepSynced; k++ {
		if k.String() == s {
			return k, nil
		}
	}
	return KeepMemory, errors.NotValidf("keep %q (memory, replicated or synced)", s)
}

// Submission is one job of a caller, checked and timestamped on arrival.
type Submission struct {
	ID ID
	// CallerID is set if the caller chose the id and may send it again.
	CallerID bool
	Team     string
	Service  string
	// Attempt is the number of the caller's attempt with this id, or
	// AttemptUnknown if the caller did not state it.
	Attempt int
	Tasks   []TaskSpec
	// ExcessTasks is the number of tasks if they are more than the configuration allows
	// and were therefore not created; Tasks is empty then. It is zero otherwise.
	ExcessTasks int
	Received    time.Time
	// NotBefore is the earliest time at which a task may start; zero means at once.
	NotBefore time.Time
	// Deadline is the time after which the answer is useless; zero means none.
	Deadline time.Time
	// Single marks an opaque request of the /v1/services path: one task whose
	// result is returned byte for byte.
	Single bool
	// Transient marks a submission whose answer nobody asks for once its callers
	// have hung up, and which may run again from the start if it is sent again.
	// Its work stops when its last caller hangs up, and no registrar records it.
	Transient bool
	// MaxPerTarget is the largest number of tasks of the submission that may run on one target
	// at the same time; zero means no limit.
	MaxPerTarget int
	// Digest covers the service, the team and the tasks. An id that is used again
	// with a different digest belongs to a different submission and is refused.
	Digest Digest
}

// Digest identifies the content of a submission.
type Digest [sha256.Size]byte

// ContentDigest returns the digest of the parts of s that a resubmission must
// repeat exactly.
func (s *Submission) ContentDigest() Digest {
	h := sha256.New()
	var n [8]byte
	put := func(b []byte) {
		binary.LittleEndian.PutUint64(n[:], uint64(len(b)))
		h.Write(n[:])
		h.Write(b)
	}
	put([]byte(s.Service))
	put([]byte(s.Team))
	for i := range s.Tasks {
		t := &s.Tasks[i]
		put([]byte(t.Kind))
		put(t.Payload)
	}
	var d Digest
	h.Sum(d[:0])
	return d
}

// TaskCount returns how many tasks the caller sent.
func (s *Submission) TaskCount() int { return max(len(s.Tasks), s.ExcessTasks) }

// Bytes returns the payload bytes of the submission.
func (s *Submission) Bytes() int {
	n := 0
	for i := range s.Tasks {
		n += len(s.Tasks[i].Payload)
	}
	return n
}

// lateFactor times the latency objective, computed from the declared run time, is the
// time after which an answer counts as late. Declared run times are often too short, and
// the real ones are unknown for a task that was paused.
const lateFactor = 1.25

// LateThreshold returns the response time after which an answer counts as late, for a job
// of a service with this latency objective. The objective is stretch times the run time
// of the longest task, plus slack. Zero means that no answer counts as late.
func LateThreshold(stretch float64, slack, longestTask time.Duration) time.Duration {
	if stretch <= 0 {
		return 0
	}
	objective := stretch*float64(longestTask) + float64(slack)
	return time.Duration(lateFactor * objective)
}

// UsefulFactor is the multiple of the latency objective up to which an answer is still useful
// to callers, according to them.
const UsefulFactor = 3

// Declared returns the declared run time of the task.
func (t *TaskSpec) Declared() time.Duration { return time.Duration(t.RunMillis) * time.Millisecond }
