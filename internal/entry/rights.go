package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/policy/ownership"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
	"github.com/vanillagrade/vanillagrade/internal/vmclock"
)

const (
	// ownerCheckInterval is how often the entry renews its own right and checks for owners
	// without a current proof of life: well below the term of a proof.
	ownerCheckInterval = 50 * time.Millisecond
)

// rights are this entry's rights to act for the owners of transient work, itself included.
type rights struct {
	self    job.Owner
	clock   *vmclock.Clock
	table   ownership.Table
	proofOf func(life job.Incarnation, at vmclock.Timestamp) (time.Time, bool)
	reading func() vmclock.Timestamp
	// mesh carries the requests for proofs of owners.
	mesh peer.Mesh

	mu     sync.Mutex
	unread ownership.UnreadTracker
	// lastRun is the time of the last owner check, selfLease this entry's right to act for
	// itself as of then.
	lastRun   time.Time
	selfLease *ownership.Lease
}

func newRights(e *Entry) *rights {
	return &rights{
		self: e.self, clock: &e.vmClock,
		proofOf: func(life job.Incarnation, at vmclock.Timestamp) (time.Time, bool) { return e.members.Proof(life, at) },
		reading: func() vmclock.Timestamp { return e.members.Reading() },
		mesh:    e.links,
	}
}

// right is a lease by this entry's clock, for one job. It also ends at the job's deadline:
// the timers that end the job at the deadline don't count the time for which the VM is
// suspended, but the caller does.
type right struct {
	lease *ownership.Lease
	clock *vmclock.Clock
	// deadline is zero for a job without one.
	deadline time.Time
}

func (r *rights) newRight(lease *ownership.Lease, remaining time.Duration) right {
	out := right{lease: lease, clock: r.clock}
	if remaining > 0 {
		out.deadline = r.clock.Now().Add(remaining)
	}
	return out
}

// Valid implements job.Right.
func (r right) Valid() bool {
	now := r.clock.Now()
	return r.lease.Valid(now) && (r.deadline.IsZero() || now.Before(r.deadline))
}

// Remaining implements job.Right.
func (r right) Remaining() time.Duration {
	now := r.clock.Now()
	left := r.lease.WorkDeadline().Sub(now)
	if r.deadline.IsZero() {
		return left
	}
	return min(left, r.deadline.Sub(now)+ownership.MaxWorkAfterProof-ownership.Term)
}

// Lost implements job.Right.
func (r right) Lost() <-chan struct{} { return r.lease.Lost() }

// Right implements handover.Rights.
func (r *rights) Right(owner job.Owner, proof vmclock.Timestamp, remaining time.Duration) job.Right {
	at, ok := r.proofOf(r.self.Incarnation, proof)
	if !ok {
		return nil
	}
	now := r.clock.Now()
	lease := r.table.Renew(now, owner, at)
	if lease == nil || now.Sub(lease.Proof()) > ownership.MaxOfferAge {
		return nil
	}
	r.refresh(now, owner)
	return r.newRight(lease, remaining)
}

// Reading implements handover.Rights.
func (r *rights) Reading() vmclock.Timestamp { return r.reading() }

// recordProof records that an owner was alive at the given time.
func (r *rights) recordProof(owner job.Owner, at time.Time) { r.table.Renew(r.clock.Now(), owner, at) }

// ownRight returns this entry's right to act for its own callers, for a request that was
// read now. It reports false if the request may have been waiting since before a pause.
func (r *rights) ownRight(remaining time.Duration) (job.Right, bool) {
	lease := r.table.Lookup(r.clock.Now(), r.self)
	if lease == nil || r.mayReadStale() {
		return nil, false
	}
	return r.newRight(lease, remaining), true
}

// recordRun records that the entry ran until now, after a gap. While messages from before
// a pause may still be unread, the entry renews no right and proves nothing to others: one
// of those messages may be a caller's disconnect.
func (r *rights) recordRun(now time.Time, gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRun = now
	r.unread.Advance(gap)
	if r.selfLease != nil && r.table.Lookup(now, r.self) == nil {
		r.selfLease = nil
		r.unread.Paused()
	}
	if !r.unread.Pending() {
		r.selfLease = r.table.Renew(now, r.self, now)
	}
}

// mayReadStale reports whether messages from before a pause may still be unread. It also
// detects a pause since the last owner check.
func (r *rights) mayReadStale() bool {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unread.Pending() || now.Sub(r.lastRun) >= ownership.MinPause
}

// mayProve reports whether this entry may prove to a holder that it is alive: it has read
// all messages that arrived while it was paused, and the holder has confirmed all
// cancellations.
func (e *Entry) mayProve(to job.EntryID) bool {
	return !e.rights.mayReadStale() && !e.remote.CancelUnconfirmed(to)
}

// proofFor returns the last reading of a holder's clock that this entry has received. It
// proves to the holder that this entry is alive. It is zero while this entry may not prove
// that.
func (e *Entry) proofFor(to job.EntryID, incarnation job.Incarnation) vmclock.Timestamp {
	if e.rights != nil && !e.mayProve(to) {
		return 0
	}
	return e.members.LastReading(to, incarnation)
}

// watchOwners renews this entry's right to act for itself, records its pauses, and stops
// the work of owners whose last proof of life has expired, until ctx ends. Each start
// checks the owner's right too; this loop ends tasks that are queued or running.
func (e *Entry) watchOwners(ctx context.Context) error {
	last := e.vmClock.Now()
	e.rights.recordRun(last, 0)
	return every(ctx, ownerCheckInterval, func(time.Time) {
		now := e.vmClock.Now()
		gap := now.Sub(last)
		last = now
		e.recordPause(gap)
		busy := e.holder.Owners()
		for _, owner := range busy {
			e.rights.refresh(now, owner)
		}
		expired := e.rights.table.Sweep(now)
		for owner, age := range expired {
			if slices.Contains(busy, owner) {
				e.recordOwnerLost(owner, age)
			}
		}
		e.rights.recordRun(now, gap)
		if len(expired) > 0 {
			e.holder.DropUnauthorized()
		}
	})
}

// recordPause records a pause if it is long enough to matter. The event explains why work
// was abandoned or why an entry did not answer; otherwise only missing log lines would show
// a pause.
func (e *Entry) recordPause(gap time.Duration) {
	if gap < ownership.MinPause {
		return
	}
	cause := fmt.Sprintf("the process did not run for %d ms", gap.Milliseconds())
	e.events.Record(timeline.Event{Kind: timeline.EntryPaused, Peer: e.self.Entry, Took: gap, Cause: cause})
}

// recordOwnerLost records that the work of an owner is abandoned, and the age of the last
// proof that the owner was alive.
func (e *Entry) recordOwnerLost(owner job.Owner, age time.Duration) {
	cause := fmt.Sprintf("no proof of its life %d for %d ms; its transient work here is stopped", owner.Incarnation, age.Milliseconds())
	e.events.Record(timeline.Event{Kind: timeline.OwnerUnresponsive, Peer: owner.Entry, Took: age, Reason: job.OwnerLost, Cause: cause})
}
