package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/awake"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/ownership"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

const (
	// awakeEvery is how often the entry proves to itself that it runs, and looks for
	// owners that it has no proof of: well below the term of a proof.
	awakeEvery = 50 * time.Millisecond
)

// rights are this entry's rights to act for the owners of transient work, itself included.
type rights struct {
	self    job.Owner
	clock   *awake.Clock
	table   ownership.Table
	proofOf func(life job.Incarnation, at awake.Reading) (time.Time, bool)
	reading func() awake.Reading

	mu     sync.Mutex
	unread ownership.Unread
	// looked is when the entry last looked, last the lease of its right to act for itself
	// then.
	looked time.Time
	last   *ownership.Lease
}

func newRights(e *Entry) *rights {
	return &rights{
		self: e.self, clock: &e.awake,
		proofOf: func(life job.Incarnation, at awake.Reading) (time.Time, bool) { return e.members.Proof(life, at) },
		reading: func() awake.Reading { return e.members.Reading() },
	}
}

// right is a lease by this entry's clock, for one job. It ends with the job's deadline too:
// the timers that end the job then don't count suspension, and its caller does.
type right struct {
	lease *ownership.Lease
	clock *awake.Clock
	// until is the deadline; zero for none.
	until time.Time
}

func (r *rights) right(lease *ownership.Lease, remaining time.Duration) right {
	out := right{lease: lease, clock: r.clock}
	if remaining > 0 {
		out.until = r.clock.Now().Add(remaining)
	}
	return out
}

// Holds implements job.Right.
func (r right) Holds() bool {
	now := r.clock.Now()
	return r.lease.Holds(now) && (r.until.IsZero() || now.Before(r.until))
}

// Left implements job.Right.
func (r right) Left() time.Duration {
	now := r.clock.Now()
	left := r.lease.OverBy().Sub(now)
	if r.until.IsZero() {
		return left
	}
	return min(left, r.until.Sub(now)+ownership.Over-ownership.Term)
}

// Lost implements job.Right.
func (r right) Lost() <-chan struct{} { return r.lease.Lost() }

// Right implements handover.Rights.
func (r *rights) Right(owner job.Owner, proof awake.Reading, remaining time.Duration) job.Right {
	at, ok := r.proofOf(r.self.Incarnation, proof)
	if !ok {
		return nil
	}
	lease := r.table.Renew(r.clock.Now(), owner, at)
	if lease == nil {
		return nil
	}
	return r.right(lease, remaining)
}

// Reading implements handover.Rights.
func (r *rights) Reading() awake.Reading { return r.reading() }

// proved takes the word that an owner was alive.
func (r *rights) proved(owner job.Owner, at time.Time) { r.table.Renew(r.clock.Now(), owner, at) }

// own returns this entry's right to go on for its own callers, for a request that was read
// now. It reports false where the request may be as old as a pause.
func (r *rights) own(remaining time.Duration) (job.Right, bool) {
	lease := r.table.Of(r.clock.Now(), r.self)
	if lease == nil || r.reads() {
		return nil, false
	}
	return r.right(lease, remaining), true
}

// ran notes that the entry ran until now, after a gap. While it may have old things to read
// it proves nothing, to itself and to others: the hang-up of its caller may be among them.
func (r *rights) ran(now time.Time, gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.looked = now
	r.unread.Ran(gap)
	if r.last != nil && r.table.Of(now, r.self) == nil {
		r.last = nil
		r.unread.Paused()
	}
	if !r.unread.Old() {
		r.last = r.table.Renew(now, r.self, now)
	}
}

// reads reports whether the entry may still have to read what is as old as a pause, also
// before its next look.
func (r *rights) reads() bool {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unread.Old() || now.Sub(r.looked) >= ownership.BrokenOff
}

// speaks reports whether this entry may prove to a holder that it goes on: it has read what
// came while it stood still, and the holder knows of all jobs that were taken back.
func (e *Entry) speaks(to job.EntryID) bool {
	return !e.rights.reads() && !e.remote.TakingBack(to)
}

// proofFor returns the reading of a holder's clock that proves to it that this entry goes
// on; zero while it may not say so.
func (e *Entry) proofFor(to job.EntryID, life job.Incarnation) awake.Reading {
	if e.rights != nil && !e.speaks(to) {
		return 0
	}
	return e.members.Last(to, life)
}

// watchOwners renews this entry's right to act for itself, tells when it stood still, and
// stops the work of owners that it has no proof of any more, until ctx ends. Each start
// asks for itself as well; this ends what waits and what runs.
func (e *Entry) watchOwners(ctx context.Context) error {
	last := e.awake.Now()
	e.rights.ran(last, 0)
	return every(ctx, awakeEvery, func(time.Time) {
		now := e.awake.Now()
		gap := now.Sub(last)
		last = now
		e.tellPause(gap)
		silent := e.rights.table.Sweep(now)
		for owner, age := range silent {
			e.tellSilent(owner, age)
		}
		e.rights.ran(now, gap)
		if len(silent) > 0 {
			e.holder.DropLapsed()
		}
	})
}

// tellPause records a pause that is worth a line. Whoever asks why work was given up, or
// why an entry answered nothing, finds the cause here: nothing else in the log shows a
// pause but the lines that are missing.
func (e *Entry) tellPause(gap time.Duration) {
	if gap < ownership.BrokenOff {
		return
	}
	cause := fmt.Sprintf("nothing of it ran for %d ms", gap.Milliseconds())
	e.events.Record(timeline.Event{Kind: timeline.EntryPaused, Peer: e.self.Entry, Took: gap, Cause: cause})
}

// tellSilent records that the work of an owner is given up, and how old the last proof of
// its life is.
func (e *Entry) tellSilent(owner job.Owner, age time.Duration) {
	cause := fmt.Sprintf("no proof of its life %d for %d ms; its transient work here is stopped", owner.Incarnation, age.Milliseconds())
	e.events.Record(timeline.Event{Kind: timeline.OwnerSilent, Peer: owner.Entry, Took: age, Reason: job.OwnerLost, Cause: cause})
}
