// Package runs starts tasks on targets that run them under a lease: a task is
// started by one order, its end is learned by another, and everything that runs
// on the target ends by itself when nobody renews the target's lease.
//
// Two rules rest on it. Exactly one entry renews a target's lease and gives it
// orders: each holder takes an epoch above all earlier ones, and the target
// does nothing for a lower one. And a task is called over only when its end was
// listed, when the target provably never took its start, or when the lease has
// provably run out; until then it may run, and must not run elsewhere.
package runs

import (
	"context"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Ref names one task.
type Ref struct {
	Submission job.ID
	Index      int
}

// Refusal is a target's own word that it did not carry out an order.
type Refusal uint8

// The refusals.
const (
	// Accepted is none: the order was carried out.
	Accepted Refusal = iota
	// Fenced says that the target has seen a higher epoch.
	Fenced
	// Outnumbered says that a run of this number or a higher one has been there.
	Outnumbered
	// Late says that the order's lease had run out when it arrived.
	Late
	// NoRoom says that the task does not fit beside what runs there.
	NoRoom
	// Unwell says that the target does not start anything at the moment.
	Unwell
	// Elsewhere says that another life of the target listens at its address.
	Elsewhere
	// Rejected says that the order itself is wrong.
	Rejected
)

// StartOrder starts one run of a task.
type StartOrder struct {
	Task  Ref
	Run   int
	Spec  []byte
	Epoch uint64
	// Until is the end of the lease in milliseconds of the target's clock.
	Until int64
}

// StopOrder stops one run of a task.
type StopOrder struct {
	Task  Ref
	Run   int
	Epoch uint64
}

// RenewOrder renews the lease and asks what runs and what has ended.
type RenewOrder struct {
	Epoch uint64
	// Until is the end of the lease in milliseconds of the target's clock; zero
	// leaves the lease as it is.
	Until int64
	// Acked is the number up to which the ends are known here.
	Acked uint64
	// WaitMillis is how long the target may wait for an end before it answers.
	WaitMillis int64
}

// Reply is the target's answer to an order.
type Reply struct {
	Refusal Refusal
	// Clock is the target's clock in milliseconds; zero when it wasn't said.
	Clock  int64
	Detail string
}

// Running is one task that runs on the target.
type Running struct {
	Task Ref
	Run  int
	// Percent is how much of its work is done.
	Percent int
}

// How is how a run ended.
type How uint8

// The ways in which a run ends.
const (
	Done How = iota + 1
	// Failed is by the task's own fault or by the target's.
	Failed
	Stopped
	// Lapsed is by the end of the lease.
	Lapsed
	// Broken is any other end without a result.
	Broken
)

// End is one end that the target lists until it is acknowledged.
type End struct {
	Number uint64
	Task   Ref
	Run    int
	How    How
}

// Look is the target's answer to a renewal.
type Look struct {
	Reply
	Running []Running
	Ended   []End
}

// Orders is the way to one target. An error says that the order may or may not
// be carried out, now or later.
type Orders interface {
	Start(ctx context.Context, o StartOrder) (Reply, error)
	Stop(ctx context.Context, o StopOrder) (Reply, error)
	Renew(ctx context.Context, o RenewOrder) (Look, error)
	Close()
}
