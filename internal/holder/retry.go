package holder

import (
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// The retry budget answers a pool of which many targets fail at once. Without
// it each failing request would be sent again and again, and the load on the
// targets that still work would grow just when there are fewer of them.
const (
	// retryShare is how many retries each start earns: retries add at most a
	// tenth to the load.
	retryShare = 0.1
	// retryBurst lets a quiet pool retry at all: one target's slots, all of
	// which fail together when it dies.
	retryBurst = 8
	// maxRetries bounds the retries of one request. With a tenth of the
	// targets failing, two leave one request in a thousand without an answer.
	maxRetries = 2
)

// retryBudget is a pool's account of retries.
type retryBudget struct{ tokens float64 }

func newRetryBudget() retryBudget { return retryBudget{tokens: retryBurst} }

func (r *retryBudget) started() { r.tokens = min(r.tokens+retryShare, retryBurst) }

func (r *retryBudget) take() bool {
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// retry queues a repeatable single request again after a target failed it. A
// task of a job and a request that is not repeatable is never sent again after
// its first byte.
func (p *pool) retry(now time.Time, l launch, res target.Result) bool {
	b := l.batch
	if res.Status != job.TaskErred || !b.offered.Single || !b.service.Repeatable {
		return false
	}
	if p.holder.ctx.Err() != nil || b.again(l.start.Index) > maxRetries || !p.budget.take() {
		return false
	}
	next := *b.offered
	next.Waited += now.Sub(b.arrived)
	if next.Remaining > 0 {
		next.Remaining = max(b.offered.Remaining-now.Sub(b.arrived), time.Nanosecond)
	}
	if v := p.sched.Offer(now, &next); !v.Accepted {
		return false
	}
	p.holder.stats.retried.Add(1)
	p.record(timeline.Event{Kind: timeline.TaskRetried, Submission: b.key.id, Task: l.start.Index, Target: l.start.Target, Reason: res.Reason, Cause: "repeatable: " + res.Detail})
	return true
}
