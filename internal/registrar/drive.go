package registrar

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/membership"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

const (
	// queryTimeout is the time after which the next registrar by rank is asked. It
	// is well above a round trip between zones and well below a delay that callers
	// notice.
	queryTimeout = 200 * time.Millisecond
	// retryInterval is the interval between rounds of queries.
	retryInterval = 50 * time.Millisecond
	// localZoneTimeout bounds how long a claim waits for its zone's registrars. It
	// covers the time until a dead entry is declared dead.
	localZoneTimeout = 4 * time.Second
	// remoteZoneTimeout bounds how long a claim waits for other zones once its own
	// has answered. It is short because a partition lasts longer than any caller
	// waits.
	remoteZoneTimeout = 500 * time.Millisecond
	// joinTimeout is the time after which the answer of a joined submission is
	// requested again, in case it was lost inside a process. Nearly all submissions
	// end sooner.
	joinTimeout = 10 * time.Second
)

// ErrOwnerLost is returned by Join when the owner of the submission is lost.
const ErrOwnerLost = errors.ConstError("the owner of the submission was lost")

// reply is the result of one query to a registrar or to a rival owner.
type reply struct {
	from  job.EntryID
	reply claimReply
	err   error
	// fromRival is set for a yield request: asked is the entry that was asked about
	// the claimant rival, and answer is its reply.
	fromRival bool
	rival     Claimant
	asked     job.Owner
	answer    yieldReply
}

// Claim claims a submission for this entry and must return before any of its tasks
// starts. It fails only with the error of ctx.
func (r *Registrar) Claim(ctx context.Context, sub *job.Submission) (Decision, error) {
	if !sub.CallerID {
		// This entry has just generated the id, so no caller can resend it.
		return Decision{Kind: Own, Owner: r.self}, nil
	}
	r.markClaimsActive(r.opts.Retain)
	for {
		s := r.shard(sub.ID)
		s.mu.Lock()
		owned, isNew := s.ownerTable.begin(sub.ID, sub.Digest)
		if isNew {
			s.mu.Unlock()
			return r.runClaim(ctx, sub, owned)
		}
		d, decided := r.decideKnown(owned, sub)
		pending := owned.decided
		s.mu.Unlock()
		if decided {
			return d, nil
		}
		select {
		case <-pending:
		case <-ctx.Done():
			return Decision{}, errors.Trace(ctx.Err())
		}
	}
}

// decideKnown decides the claim of a submission that is already in this entry's
// ownerTable; decided is false while an earlier claim is pending. The caller holds
// the shard's lock.
func (r *Registrar) decideKnown(owned *ownedSubmission, sub *job.Submission) (d Decision, decided bool) {
	switch {
	case owned.digest != sub.Digest:
		return Decision{Kind: Conflict, Owner: r.self, Reason: job.IDReused}, true
	case owned.state == ownerPending:
		return Decision{}, false
	case owned.state == ownerStarted:
		return Decision{Kind: Join, Owner: r.self}, true
	case owned.answer != nil:
		return Decision{Kind: Answered, Owner: r.self, Answer: *owned.answer}, true
	}
	const detail = "the submission ended, but its answer is no longer kept"
	return Decision{Kind: Answered, Owner: r.self, Answer: job.Fail(sub.ID, job.OwnerLost, detail)}, true
}

// runClaim asks registrars until the claim is decided, and withdraws the claim
// unless this entry becomes the owner.
func (r *Registrar) runClaim(ctx context.Context, sub *job.Submission, owned *ownedSubmission) (Decision, error) {
	c := newClaim(sub.ID, sub.Attempt, Claimant{r.self, owned.claimNumber})
	d, err := r.decide(ctx, sub, owned, c)
	if err != nil || d.Kind != Own {
		s := r.shard(sub.ID)
		s.mu.Lock()
		s.ownerTable.drop(owned)
		s.mu.Unlock()
		r.sendSettle(c.grantedBy(), settleMessage{ID: sub.ID, By: c.by})
	}
	return d, err
}

// decide sends queries to registrars and rival owners and evaluates their replies
// until the claim has a final decision or ctx ends.
func (r *Registrar) decide(ctx context.Context, sub *job.Submission, owned *ownedSubmission, c *claim) (Decision, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan reply, 2*replicas)
	start := time.Now()
	askingRival := false // a yield request is in flight
	for {
		r.mu.Lock()
		changed := r.changed
		r.mu.Unlock()
		view := r.opts.Members.View()
		for _, entry := range c.nextRegistrars(&view) {
			go r.askRegistrar(ctx, c.request(entry, sub.Digest), entry, replies)
		}
		result := r.evaluateAndStart(owned, c, &view, sub.Digest)
		if d, ok := r.toDecision(ctx, sub, result, time.Since(start)); ok {
			return d, nil
		}
		if result.kind == resultAskRival && !askingRival {
			askingRival = true
			go r.askRival(ctx, reply{fromRival: true, rival: result.by, asked: c.rival(result.by)}, sub, replies)
		}
		timer := time.NewTimer(retryInterval)
		select {
		case a := <-replies:
			// After a failed yield request, the rival is asked again only after
			// retryInterval.
			askingRival = askingRival && (!a.fromRival || a.err != nil)
			c.applyReply(a)
		case <-changed:
			askingRival = false
			c.retry()
		case <-timer.C:
			askingRival = false
			c.retry()
		case <-ctx.Done():
			timer.Stop()
			return Decision{}, errors.Trace(ctx.Err())
		}
		timer.Stop()
	}
}

// applyReply applies the result of a query to the claim.
func (c *claim) applyReply(a reply) {
	switch {
	case a.fromRival && a.err != nil:
	case a.fromRival:
		c.yielded(a.rival, a.asked, &a.answer)
	case a.err != nil:
		c.recordFailure(a.from)
	default:
		c.recordReply(a.from, &a.reply)
	}
}

func (r *Registrar) askRegistrar(ctx context.Context, req *claimRequest, to job.EntryID, replies chan<- reply) {
	if to == r.self.Entry {
		deliver(ctx, replies, reply{from: to, reply: *r.answerClaim(req)})
		return
	}
	call, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	a := reply{from: to}
	a.err = r.opts.Mesh.Call(call, to, peer.RegistrarClaim, req, &a.reply)
	deliver(ctx, replies, a)
}

// deliver passes a reply to the claim, unless the claim has already ended.
func deliver(ctx context.Context, replies chan<- reply, a reply) {
	select {
	case replies <- a:
	case <-ctx.Done():
	}
}

func (r *Registrar) askRival(ctx context.Context, a reply, sub *job.Submission, replies chan<- reply) {
	call, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	a.err = r.opts.Mesh.Call(call, a.asked.Entry, peer.RegistrarYield, yieldRequest{ID: sub.ID, Digest: sub.Digest, Of: a.asked}, &a.answer)
	deliver(ctx, replies, a)
}

// evaluateAndStart evaluates the replies so far and, if the result is resultStart,
// marks the submission as started under the same lock, so that the claim can't be
// yielded in between.
func (r *Registrar) evaluateAndStart(owned *ownedSubmission, c *claim, view *membership.Members, digest job.Digest) claimResult {
	s := r.shard(c.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	result := c.evaluate(view, digest, owned.yielded)
	if result.kind == resultStart {
		s.ownerTable.start(owned, c.grantedBy())
	}
	return result
}

// toDecision converts a claim's result to a Decision; final is false while the
// claim must wait.
func (r *Registrar) toDecision(ctx context.Context, sub *job.Submission, result claimResult, waited time.Duration) (d Decision, final bool) {
	switch result.kind {
	case resultStart:
		return Decision{Kind: Own, Owner: r.self}, true
	case resultJoin:
		r.opts.Events.Record(timeline.Event{Kind: timeline.SubmissionJoined, Submission: sub.ID, Peer: result.owner.Entry, Cause: "the submission runs at another entry"})
		return Decision{Kind: Join, Owner: result.owner}, true
	case resultAnswered:
		return Decision{Kind: Answered, Owner: result.owner, Answer: *result.answer}, true
	case resultTakeOver:
		return r.takeOver(ctx, sub, result.owner), true
	case resultConflict:
		return Decision{Kind: Conflict, Owner: result.owner, Reason: job.IDReused}, true
	case resultUnknown:
		return r.unknownDecision(sub, result.reason), true
	}
	if waited > localZoneTimeout || result.reason == job.ZoneUnreachable && waited > remoteZoneTimeout {
		return r.unknownDecision(sub, result.reason), true
	}
	return Decision{}, false
}

// takeOver returns the decision for a lost owner's submission. All its tasks may
// have been handed out.
func (r *Registrar) takeOver(ctx context.Context, sub *job.Submission, lost job.Owner) Decision {
	d := Decision{Kind: TakeOver, Owner: lost, Reason: job.OwnerLost}
	for i := range sub.Tasks {
		d.Started = append(d.Started, i)
	}
	if r.opts.Fetch != nil {
		d.Held = r.opts.Fetch(ctx, lost, sub.ID)
	}
	r.opts.Events.Record(timeline.Event{
		Kind: timeline.SubmissionTakenOver, Submission: sub.ID, Peer: lost.Entry, Count: len(d.Held),
		Reason: job.OwnerLost, Cause: "its owner is lost; no task is started again",
	})
	return d
}

// unknownDecision returns the decision for a claim where no reachable entry knows
// whether the submission was started.
func (r *Registrar) unknownDecision(sub *job.Submission, reason job.Reason) Decision {
	d := Decision{Kind: Unknown, Reason: reason, NotRun: sub.Attempt == 1 && reason == job.NoRegistrar}
	switch reason {
	case job.ZoneUnreachable:
		d.Detail = "another availability zone, to which the id may have been sent before, is unreachable; set attempt to 1 for a submission that was never sent before"
	case job.OwnerLost:
		d.Detail = "the entry recorded as the owner of the submission is unreachable"
	default:
		d.Detail = "no reachable registrar can tell whether the submission was started"
	}
	return d
}

// Join waits for the answer of a submission that owner has.
func (r *Registrar) Join(ctx context.Context, owner job.Owner, id job.ID) (job.Answer, error) {
	if owner == r.self {
		return r.localAnswer(ctx, id)
	}
	for {
		var answer joinReply
		call, cancel := context.WithTimeout(ctx, joinTimeout)
		err := r.opts.Mesh.Call(call, owner.Entry, peer.SubmissionJoin, joinRequest{ID: id}, &answer)
		cancel()
		switch {
		case err == nil:
			return answer.Answer, nil
		case ctx.Err() != nil:
			return job.Answer{}, errors.Trace(ctx.Err())
		case errors.Is(err, peer.ErrRejected):
			return job.Answer{}, errors.Annotatef(ErrOwnerLost, "%v", err)
		}
		view := r.opts.Members.View()
		if view.Gone(owner.Entry, owner.Incarnation) {
			return job.Answer{}, errors.Annotatef(ErrOwnerLost, "%s", owner.Entry)
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
		}
	}
}
