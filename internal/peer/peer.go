// Package peer exchanges typed messages between entries. Each pair of entries
// shares one WebSocket link. Bodies are CBOR, messages and bytes are counted by
// kind, and every frame carries a hybrid logical clock timestamp.
package peer

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Kind is the type of a message between entries.
type Kind uint16

// The kinds of messages. Numbers are on the wire and are never reused.
const (
	Heartbeat        Kind = 1
	TargetForward    Kind = 2
	TargetWithdraw   Kind = 3
	TargetsHeld      Kind = 4
	TargetsRecall    Kind = 5
	RegistrarClaim   Kind = 10
	RegistrarSettle  Kind = 11
	RegistrarSync    Kind = 12
	RegistrarYield   Kind = 13
	SubmissionJoin   Kind = 14
	SubmissionPoll   Kind = 15
	SubmissionCancel Kind = 16
	BatchOffer       Kind = 20
	BatchCancel      Kind = 21
	BatchFetch       Kind = 22
	SubmissionKeep   Kind = 23
	TaskCrashed      Kind = 24
	ProofRequest     Kind = 25
	ConsensusMessage Kind = 30
	ConfigPull       Kind = 31
	ConfigApply      Kind = 32
	TimelineRead     Kind = 40
	MemberNews       Kind = 50
	MemberUpdates    Kind = 51
	MemberAsk        Kind = 52
)

// Errors of a call. The at-most-once guarantee relies on telling them apart.
const (
	// ErrNotSent proves that the peer received no part of the request.
	ErrNotSent = errors.ConstError("peer: not sent")
	// ErrNoAnswer means that the request may have arrived and taken effect.
	ErrNoAnswer = errors.ConstError("peer: no answer")
	// ErrRejected means that the peer's handler refused the request; the error
	// text carries its message.
	ErrRejected = errors.ConstError("peer: rejected")
)

// Handler handles one message. body is CBOR. The returned value is encoded as
// the answer to a Call and ignored for a Send.
type Handler func(ctx context.Context, from job.Owner, body cbor.RawMessage) (any, error)

// Mesh is one entry's set of links to the other entries.
type Mesh interface {
	// Self returns this entry's identity, including its incarnation.
	Self() job.Owner
	// Call sends req, waits for the answer and decodes it into resp; a nil
	// resp ignores the answer. A returned error is or wraps ErrNotSent,
	// ErrNoAnswer or ErrRejected.
	Call(ctx context.Context, to job.EntryID, kind Kind, req, resp any) error
	// Send sends msg and expects no answer. It never blocks on the network: if
	// the queue is full or the link is down, the message is dropped.
	Send(to job.EntryID, kind Kind, msg any) error
	// Handle sets the handler of a kind. It is called before the links start.
	// Each message is handled in its own goroutine, so the handler may block.
	Handle(kind Kind, h Handler)
	// HandleInOrder sets a handler that receives the messages of each peer one
	// at a time, in the order in which they were sent. It must not block.
	HandleInOrder(kind Kind, h Handler)
}
