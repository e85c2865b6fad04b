// Package runs starts tasks on targets that run them under a lease. One request starts a task,
// polls report its end, and everything on the target ends by itself when nobody renews the
// target's lease.
//
// Two rules hold. First, exactly one entry renews a target's lease and sends it requests: each
// holder claims an epoch above all earlier ones, and the target refuses requests with a lower one.
// Second, a task counts as over only when the target has listed its end, when the target provably
// never accepted its start, or when the lease has provably expired. Until then the task may be
// running and must not run elsewhere.
package runs

import (
	"context"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Ref identifies one task.
type Ref struct {
	Submission job.ID
	Index      int
}

// Refusal is the reason for which a target did not carry out a request.
type Refusal uint8

// Reasons for a refusal.
const (
	// Accepted means no refusal: the request was carried out.
	Accepted Refusal = iota
	// Fenced means that the target has seen a higher epoch.
	Fenced
	// StaleRunNumber means that the target has had a run of the task with this number or a higher
	// one.
	StaleRunNumber
	// Late means that the lease in the request had expired when the request arrived.
	Late
	// NoCapacity means that the target has no free capacity for the task.
	NoCapacity
	// Unavailable means that the target accepts no starts at the moment.
	Unavailable
	// WrongIncarnation means that another incarnation of the target listens at its address.
	WrongIncarnation
	// Rejected means that the request itself is invalid.
	Rejected
)

// StartRequest is a request to start one run of a task.
type StartRequest struct {
	Task  Ref
	Run   int
	Spec  []byte
	Epoch uint64
	// Until is the end of the lease in milliseconds of the target's clock.
	Until int64
}

// StopRequest is a request to stop one run of a task.
type StopRequest struct {
	Task  Ref
	Run   int
	Epoch uint64
}

// PollRequest is a poll: it renews the lease and asks which runs exist and which have ended.
type PollRequest struct {
	Epoch uint64
	// Until is the end of the lease in milliseconds of the target's clock; zero leaves the lease
	// unchanged.
	Until int64
	// Acked acknowledges all ends up to this number.
	Acked uint64
	// WaitMillis is how long the target may wait for an end before it answers.
	WaitMillis int64
}

// Reply is the target's answer to a request.
type Reply struct {
	Refusal Refusal
	// Clock is the target's clock in milliseconds; zero when the answer has none.
	Clock  int64
	Detail string
}

// Running is one task that runs on the target.
type Running struct {
	Task Ref
	Run  int
	// Percent is the share of its work that is done.
	Percent int
}

// EndState is the way in which a run ended.
type EndState uint8

// Ways in which a run ends.
const (
	Done EndState = iota + 1
	// Failed means that the task or the target failed.
	Failed
	Stopped
	// LeaseExpired means that the lease expired.
	LeaseExpired
	// Broken is any other end without a result.
	Broken
)

// End is the end of one run, which the target lists until it is acknowledged.
type End struct {
	Number uint64
	Task   Ref
	Run    int
	How    EndState
}

// PollReply is the target's answer to a poll.
type PollReply struct {
	Reply
	// StartedAt is when the target's process started, in Unix milliseconds; zero if the target does
	// not report it.
	StartedAt int64
	Running   []Running
	Ended     []End
}

// TargetClient sends requests to one target. After an error the request may be carried out or
// not, now or later.
type TargetClient interface {
	Start(ctx context.Context, o StartRequest) (Reply, error)
	Stop(ctx context.Context, o StopRequest) (Reply, error)
	Renew(ctx context.Context, o PollRequest) (PollReply, error)
	Close()
}
