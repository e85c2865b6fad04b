package pipeline

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// joinShards is the number of shards, each with its own lock, of the table of
// running submissions. At 16,000 submissions a second, an entry locks a shard
// twice for each; with 64 shards and a few cores, the probability that two of
// them contend for one lock stays below 5%.
const joinShards = 64

// Join runs each id once: callers that send an id to this entry while it runs
// receive the answer of the first. A submission whose caller hangs up goes on
// running if the caller can ask for the answer with the id.
type Join struct {
	Events timeline.Sink

	shards [joinShards]joinShard
}

type joinShard struct {
	mu      sync.Mutex
	running map[job.ID]*runningSubmission
}

// runningSubmission is a submission that this entry processes.
// outlivesCallers is set if it continues after all its callers have hung up.
type runningSubmission struct {
	digest          job.Digest
	outlivesCallers bool
	owned           bool
	waiters         int
	cancel          context.CancelCauseFunc
	done            chan struct{}
	answer          job.Answer
}

func (j *Join) shard(id job.ID) *joinShard {
	return &j.shards[xxhash.Sum64String(string(id))%joinShards]
}

// Process implements Stage.
func (j *Join) Process(ctx context.Context, f *Flow, next Next) job.Answer {
	s := f.Submission
	shard := j.shard(s.ID)
	shard.mu.Lock()
	if r := shard.running[s.ID]; r != nil {
		if r.digest != s.Digest {
			shard.mu.Unlock()
			return job.Refuse(s.ID, job.IDReused, "the id belongs to a submission with different content", 0)
		}
		r.waiters++
		shard.mu.Unlock()
		j.Events.Record(timeline.Event{Kind: timeline.SubmissionJoined, Submission: s.ID, Cause: "runs at this entry"})
		return j.wait(ctx, shard, s.ID, r)
	}
	work, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	r := &runningSubmission{digest: s.Digest, outlivesCallers: s.CallerID && !s.Transient, waiters: 1, cancel: cancel, done: make(chan struct{})}
	if shard.running == nil {
		shard.running = map[job.ID]*runningSubmission{}
	}
	shard.running[s.ID] = r
	shard.mu.Unlock()
	go func() {
		answer := next(work, f)
		shard.mu.Lock()
		r.answer = answer
		delete(shard.running, s.ID)
		shard.mu.Unlock()
		close(r.done)
		cancel(nil)
	}()
	return j.wait(ctx, shard, s.ID, r)
}

// wait returns the answer, or a failure once the caller hangs up. It cancels the
// submission when the last caller hangs up and none can ask for it again.
func (j *Join) wait(ctx context.Context, shard *joinShard, id job.ID, r *runningSubmission) job.Answer {
	select {
	case <-r.done:
		return r.answer
	case <-ctx.Done():
	}
	shard.mu.Lock()
	r.waiters--
	abandoned := r.waiters == 0 && !r.outlivesCallers
	shard.mu.Unlock()
	if abandoned {
		r.cancel(ErrCallerGone)
	}
	return job.Fail(id, job.CallerGone, "the caller hung up")
}

// CancelOwned cancels a submission that this entry owns and reports whether
// there is one.
func (j *Join) CancelOwned(id job.ID) bool {
	r := j.findOwned(id)
	if r == nil {
		return false
	}
	r.cancel(ErrCancelled)
	return true
}

// StopAll cancels every submission that runs at this entry.
func (j *Join) StopAll(cause error) {
	for i := range j.shards {
		shard := &j.shards[i]
		shard.mu.Lock()
		for _, r := range shard.running {
			r.cancel(cause)
		}
		shard.mu.Unlock()
	}
}

// Owned records that this entry owns the submission, so that other entries may
// wait for its answer.
func (j *Join) Owned(id job.ID) {
	shard := j.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if r := shard.running[id]; r != nil {
		r.owned = true
	}
}

// Wait returns the answer to a submission that this entry owns, for callers at
// other entries; ok is false if this entry does not own it. A submission whose
// owner is still being determined does not count: two entries with the same
// resubmission would wait for each other.
func (j *Join) Wait(ctx context.Context, id job.ID) (a job.Answer, ok bool) {
	r := j.findOwned(id)
	if r == nil {
		return job.Answer{}, false
	}
	select {
	case <-r.done:
		return r.answer, true
	case <-ctx.Done():
		return job.Fail(id, job.CallerGone, "the caller hung up"), true
	}
}

// HasOwned reports whether this entry owns the submission.
func (j *Join) HasOwned(id job.ID) bool { return j.findOwned(id) != nil }

func (j *Join) findOwned(id job.ID) *runningSubmission {
	shard := j.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if r := shard.running[id]; r != nil && r.owned {
		return r
	}
	return nil
}

// OwnedCount returns the number of submissions that this entry owns.
func (j *Join) OwnedCount() int {
	return j.count(func(r *runningSubmission) bool { return r.owned })
}

// RunningCount returns the number of submissions that run at this entry, including
// those that it does not own.
func (j *Join) RunningCount() int {
	return j.count(func(*runningSubmission) bool { return true })
}

func (j *Join) count(match func(*runningSubmission) bool) int {
	n := 0
	for i := range j.shards {
		shard := &j.shards[i]
		shard.mu.Lock()
		for _, r := range shard.running {
			if match(r) {
				n++
			}
		}
		shard.mu.Unlock()
	}
	return n
}
