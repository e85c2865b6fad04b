// Package ownership decides how long an entry may act on behalf of the owner of a
// transient job.
//
// Load pattern: VMs pause for seconds and resume with their old state; links delay
// messages; a CPU quota is used up for a tenth of a second at a time. A transient job has
// no record outside its owner, and its caller resubmits it through another entry after
// some time without an answer. An entry that still acts for the earlier owner then runs
// the job concurrently with its second run.
//
// So the right to act is a lease, and it is renewed by proofs of liveness, which state
// when the owner was alive, not when the proof was read. A proof is a clock reading of
// the acting entry that the owner sent back, so a single clock, which does not stop
// during pauses, measures both ends, however long a message was in flight or lay unread.
// An entry also owns jobs itself: its proof is that it ran. An expired lease stays
// expired even if proofs arrive again, because the owner or its caller may have turned to
// another entry in the meantime.
package ownership

import (
	"sync"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const (
	// Term is how long a proof of liveness lets an entry act for an owner. In normal
	// operation proofs are at most half a second old: one heartbeat each way, 250 ms
	// apart. Another tenth of a second each way is the pause of a VM whose CPU quota is
	// used up. A shorter term would end healthy work. The upper limit is the time after
	// which a caller resubmits its job, minus the time needed to stop running work.
	Term = 950 * time.Millisecond
	// MaxWorkAfterProof is how long after a proof of liveness work may still run for its
	// owner: until the end of the term plus the time of a stop, or until the end of the
	// target's lease, which is not renewed beyond MaxWorkAfterProof. Callers resubmit a job
	// 1.3 s after they have lost its owner; the difference allows for clocks that differ by 2%
	// and for the network delay of a start request.
	MaxWorkAfterProof = 1200 * time.Millisecond
)

// Load pattern: in a large fleet an owner and a holder seldom share work and exchange heartbeats
// once a second or less. The proof in an offer is then up to a term old, and the lease would
// expire before the next heartbeat while the work of a live owner runs. So a holder asks for a
// proof of its own when one gets old while work depends on it.
const (
	// RefreshAge is the age of a proof from which a newer one is requested. Proofs from
	// heartbeats at their regular interval don't reach it while the fleet is small.
	RefreshAge = 550 * time.Millisecond
	// refreshInterval is the shortest time between two requests to one owner: several round
	// trips.
	refreshInterval = 100 * time.Millisecond
	// MaxOfferAge is the age of the proof up to which work is accepted. What is left of the term
	// covers the request of a newer proof and the pause of a VM whose CPU quota is used up.
	MaxOfferAge = Term - 200*time.Millisecond
)

// Lease is the right to act for one incarnation of an owner. It begins with the first
// proof and expires once no proof has renewed it for a term. It is safe for concurrent
// use.
type Lease struct {
	// firstProof is the proof with which the lease began.
	firstProof time.Time
	resumed    bool
	lost       chan struct{}

	mu      sync.Mutex
	proof   time.Time
	expired bool
	// requested is when a newer proof was last requested.
	requested time.Time
}

// NewLease returns a lease that begins with a proof of liveness. resumed says that an
// earlier lease of the same owner had expired.
func NewLease(proof time.Time, resumed bool) *Lease {
	return &Lease{firstProof: proof, resumed: resumed, proof: proof, lost: make(chan struct{})}
}

// Resumed reports whether an earlier lease of the same owner had expired.
func (l *Lease) Resumed() bool { return l.resumed }

// Valid reports whether the lease is in effect now. The caller must act on the result
// immediately and check before each start: after a pause the order of events is
// undefined, and a timer that fires late proves nothing.
func (l *Lease) Valid(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holdsLocked(now)
}

// holdsLocked is Valid for callers that hold the lock.
func (l *Lease) holdsLocked(now time.Time) bool {
	if !l.expired && now.Sub(l.proof) > Term {
		l.expired = true
		close(l.lost)
	}
	return !l.expired
}

// Renew applies a later proof of liveness. It reports false if the lease had already
// expired: a late proof does not revive it.
func (l *Lease) Renew(now, proof time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.holdsLocked(now) {
		return false
	}
	if proof.After(l.proof) {
		l.proof = proof
	}
	return true
}

// RequestDue reports whether a newer proof has to be requested now, and records that it is.
func (l *Lease) RequestDue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.expired || now.Sub(l.proof) < RefreshAge || now.Sub(l.requested) < refreshInterval {
		return false
	}
	l.requested = now
	return true
}

// Lost returns a channel that is closed once a check has found the lease expired.
func (l *Lease) Lost() <-chan struct{} { return l.lost }

// Proof returns the time at which the owner was last proved alive.
func (l *Lease) Proof() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proof
}

// WorkDeadline returns the time from which nothing may run under the lease. Each proof extends
// it.
func (l *Lease) WorkDeadline() time.Time { return l.Proof().Add(MaxWorkAfterProof) }

// Table holds the leases of all owners at one entry. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	leases map[job.Owner]*Lease
	// expired are the owners whose leases expired, so that their next lease is known to
	// follow a gap.
	expired map[job.Owner]bool
}

// maxExpired bounds the number of owners that are remembered as expired: incarnations
// that have ended never return, and a fleet of some hundreds of entries restarts a few of
// them a minute.
const maxExpired = 4096

// Renew applies a proof that an owner was alive and returns the lease that is in effect
// then; nil if the proof itself is too old.
func (t *Table) Renew(now time.Time, owner job.Owner, proof time.Time) *Lease {
	if proof.After(now) {
		return nil // not a reading of this clock
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.leases[owner]
	if l != nil && !l.Valid(now) {
		t.forget(owner)
		l = nil
	}
	// A proof from before the lease began stays outdated although the owner responds
	// again.
	if now.Sub(proof) > Term || l != nil && proof.Before(l.firstProof) {
		return nil
	}
	if l != nil && l.Renew(now, proof) {
		return l
	}
	if t.leases == nil {
		t.leases, t.expired = map[job.Owner]*Lease{}, map[job.Owner]bool{}
	}
	l = NewLease(proof, t.expired[owner])
	t.leases[owner] = l
	return l
}

// forget removes an expired lease; the caller holds the lock.
func (t *Table) forget(owner job.Owner) {
	delete(t.leases, owner)
	if len(t.expired) >= maxExpired {
		clear(t.expired)
	}
	t.expired[owner] = true
}

// Lookup returns the owner's lease that is in effect now, or nil.
func (t *Table) Lookup(now time.Time, owner job.Owner) *Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.leases[owner]
	if l == nil || !l.Valid(now) {
		return nil
	}
	return l
}

// Sweep removes expired leases and returns their owners with the age of the last proof.
func (t *Table) Sweep(now time.Time) map[job.Owner]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out map[job.Owner]time.Duration
	for owner, l := range t.leases {
		if l.Valid(now) {
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
