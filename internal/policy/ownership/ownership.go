// Package ownership decides how long an entry may act for the owner of a transient job.
//
// Load pattern: VMs stand still for seconds and go on with all that they knew; links hold
// messages up; a share of a processor is used up for a tenth of a second at a time. A
// transient job has no record outside its owner, and its caller sends it again through
// another entry once it has had no answer for some time. Whoever then still acts for the
// earlier owner runs the job beside its second run.
//
// So the right to act is a lease, and what renews it is a proof that says when the owner
// was alive, not when that was read. The proof is the acting entry's own clock reading
// that the owner sent back, so one clock that has not stopped judges both ends, however
// long a message was under way or lay unread. An entry is its own owner too: its proof is
// that it ran. A lease that has once run out stays over, also when proofs come again:
// meanwhile the owner, or its caller, may have turned elsewhere.
package ownership

import (
	"sync"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const (
	// Term is for how long a proof of life lets an entry act for an owner. Proofs are
	// half a second old at the most in calm times: a heartbeat each way, 250 ms apart. A
	// tenth of a second more each way is the pause of a VM whose share of a processor is
	// used up. Above, healthy work would be given up; below is the time after which a
	// caller sends its job again, with the time in between to stop what runs.
	Term = 950 * time.Millisecond
	// Over is how long after a proof of life nothing runs for its owner any more: the end
	// of the term and a stop, or the end of the target's lease, which is not renewed
	// beyond this. Callers send a job again 1.3 s after they have lost their owner; the
	// rest is for clocks that differ by 2%, and for the way of an order.
	Over = 1200 * time.Millisecond
)

// Lease is the right to act for one life of an owner, from its first proof on until
// proofs have failed to come for a term. It is safe for concurrent use.
type Lease struct {
	// first is the proof on which the lease began.
	first   time.Time
	resumed bool
	lost    chan struct{}

	mu    sync.Mutex
	proof time.Time
	over  bool
}

// Begin returns a lease that rests on a proof of life. resumed says that an earlier one of
// the same owner had run out.
func Begin(proof time.Time, resumed bool) *Lease {
	return &Lease{first: proof, resumed: resumed, proof: proof, lost: make(chan struct{})}
}

// Resumed reports whether an earlier lease of the same owner had run out before.
func (l *Lease) Resumed() bool { return l.resumed }

// Holds reports whether the right to act stands now. What it is asked for must be done at
// once: each start asks by itself, since the order of events after a pause is not ours and
// a timer that fires late proves nothing.
func (l *Lease) Holds(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holds(now)
}

func (l *Lease) holds(now time.Time) bool {
	if !l.over && now.Sub(l.proof) > Term {
		l.over = true
		close(l.lost)
	}
	return !l.over
}

// Renew takes a later proof of life. It reports false where the lease had run out before:
// a proof that comes then doesn't bring it back.
func (l *Lease) Renew(now, proof time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.holds(now) {
		return false
	}
	if proof.After(l.proof) {
		l.proof = proof
	}
	return true
}

// Lost is closed once somebody has found that the lease has run out.
func (l *Lease) Lost() <-chan struct{} { return l.lost }

// Proof returns when the owner was last proved alive.
func (l *Lease) Proof() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proof
}

// OverBy returns the moment from which on nothing may run under the lease. It moves on
// with each proof.
func (l *Lease) OverBy() time.Time { return l.Proof().Add(Over) }

// Table keeps the leases of all owners at one entry. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	leases map[job.Owner]*Lease
	// lapsed are the owners of leases that ran out, so that the next one is known to
	// follow a gap.
	lapsed map[job.Owner]bool
}

// maxLapsed bounds the owners that are remembered as lapsed: lives of entries that have
// ended never come back, and a fleet of some hundreds restarts a few of them a minute.
const maxLapsed = 4096

// Renew takes a proof of an owner's life and returns the lease that stands then; nil where
// the proof itself is too old.
func (t *Table) Renew(now time.Time, owner job.Owner, proof time.Time) *Lease {
	if proof.After(now) {
		return nil // no reading of this clock
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.leases[owner]
	if l != nil && !l.Holds(now) {
		t.forget(owner)
		l = nil
	}
	// That the owner is heard again makes nothing new that it sent before.
	if now.Sub(proof) > Term || l != nil && proof.Before(l.first) {
		return nil
	}
	if l != nil && l.Renew(now, proof) {
		return l
	}
	if t.leases == nil {
		t.leases, t.lapsed = map[job.Owner]*Lease{}, map[job.Owner]bool{}
	}
	l = Begin(proof, t.lapsed[owner])
	t.leases[owner] = l
	return l
}

// forget drops a lease that has run out; the caller holds the lock.
func (t *Table) forget(owner job.Owner) {
	delete(t.leases, owner)
	if len(t.lapsed) >= maxLapsed {
		clear(t.lapsed)
	}
	t.lapsed[owner] = true
}

// Of returns the lease of an owner that stands now, or nil.
func (t *Table) Of(now time.Time, owner job.Owner) *Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.leases[owner]
	if l == nil || !l.Holds(now) {
		return nil
	}
	return l
}

// Sweep finds leases that have run out, forgets them and returns their owners with the
// age of the last proof.
func (t *Table) Sweep(now time.Time) map[job.Owner]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out map[job.Owner]time.Duration
	for owner, l := range t.leases {
		if l.Holds(now) {
			continue
		}
		if out == nil {
			out = map[job.Owner]time.Duration{}
		}
		out[owner] = now.Sub(l.Proof())
		t.forget(owner)
	}
	return out
}
