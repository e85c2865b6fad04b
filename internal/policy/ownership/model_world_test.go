package ownership

import (
	"hash/maphash"
	"math"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/explore"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

// The model is one job of one task. Its owner offers the job to a holder, and may abandon
// the holder and run the task itself. Its caller may lose the owner at any moment and
// resubmits the job elsewhere later. Owner and holder pause and resume, and their link is
// partitioned and restored, as often as the bounds allow and at any step. The leases are
// those of the code.
//
// Time advances in steps and only ages count, so the states are finite and there is no
// last moment. Each time limit of the code is inclusive here, in whole steps: a minimum
// is rounded down, a maximum up, and a run that ends at the moment at which another
// begins counts as concurrent with it. So the model covers each order of events that is
// possible in real time.
//
// Events that can only help a run happen as early as possible, while time passes:
// receiving heartbeats, renewing a target's lease, starting a task that is not running,
// and the resubmission by the caller. Events that can only end a run happen as late as
// possible: noticing a hang-up. Events that can do either, and the order of events at the
// moment of a resume, are choices of the exploration. A holder that finds a lease expired
// stops nothing here: its run lasts as long as the target's lease.

const (
	// step is short enough for the times below to keep their order when rounded.
	step = 25 * time.Millisecond
	// driftPercent is how slow a clock may be, in percent.
	driftPercent = 2
	// targetLease is the longest lease of a target, stopBound the longest time that a run
	// continues after its stop was decided, both as in internal/runs.
	targetLease = time.Second
	stopBound   = 1100 * time.Millisecond
	// resubmitDelay is how long after the loss of its owner a caller resubmits the job.
	resubmitDelay = 1300 * time.Millisecond
	// holderTimeout is when an owner considers an unresponsive holder's work over, as in
	// internal/handover.
	holderTimeout = MaxWorkAfterProof + 100*time.Millisecond
	// hangUpDelay is how soon a running entry notices that a caller has hung up.
	hangUpDelay = 50 * time.Millisecond
	// offerRetryDelay and cancelRetryDelay are how soon a lost cancellation is sent
	// again. The first is the longest delay of internal/handover between two offers,
	// during which the cancellation may occur; the second is its delay between two
	// cancellations once the link is up.
	offerRetryDelay  = 500 * time.Millisecond
	cancelRetryDelay = 20 * time.Millisecond
	// readTime is how long an entry must run to read its unread messages: a VM with 0.2
	// of a core runs for 50 ms of LongPauseReadTime.
	readTime = 100 * time.Millisecond
	none     = -1
)

var (
	resubmitSteps      = atLeast(resubmitDelay)
	holderTimeoutSteps = atLeast(holderTimeout)
	stopBoundSteps     = atMost(stopBound)
	hangUpSteps        = int8(hangUpDelay / step)
	offerRetrySteps    = atMost(offerRetryDelay)
	cancelRetrySteps   = atMost(cancelRetryDelay)
	termSteps          = int8(Term * (100 + driftPercent) / 100 / step)
	readSteps          = atMost(readTime)
	// maxAge is an age beyond which nothing changes any more.
	maxAge = max(resubmitSteps, holderTimeoutSteps) + 1
)

// atLeast returns a minimum time in steps.
func atLeast(d time.Duration) int8 { return int8(d / step) }

// atMost returns a maximum time in steps, measured by a slow clock.
func atMost(d time.Duration) int8 {
	return int8(math.Ceil(float64(d) * (100 + driftPercent) / 100 / float64(step)))
}

// bounds limits the faults of one exploration.
type bounds struct {
	ownerPauses, holderPauses, partitions int8
	// lostStops allows the stop of a cancelled run to be lost.
	lostStops bool
	// unread starts with a request that lies in the socket of the owner, which then runs
	// the job itself: the owner may be the second one that the caller tries.
	unread bool
}

// mutation is a set of errors seeded into the rules, to check that the model finds them.
type mutation uint16

const (
	noMutation mutation = 0
	// noCheckAfterPause starts tasks by the result of the previous lease check, without
	// checking again.
	noCheckAfterPause mutation = 1 << (iota - 1)
	// proofByArrival counts a proof from when it is read.
	proofByArrival
	// leaseRevival lets a proof revive an expired lease.
	leaseRevival
	// unboundedTargetLease renews a target's lease without regard to the owner's lease.
	unboundedTargetLease
	// earlyHolderTimeout abandons a holder once its lease may have expired, although its
	// runs may not have ended.
	earlyHolderTimeout
	// unreadCountsAsNew accepts a request that lay unread during a pause as a new one.
	unreadCountsAsNew
	// anyProofAge accepts an offer with a proof of any age while a lease of its owner is
	// in effect.
	anyProofAge
	// noCancelRetry does not resend a cancellation that was lost with its link.
	noCancelRetry
	// offerAfterCancel repeats an offer although its job was cancelled.
	offerAfterCancel
	// proofBeforeRead lets an owner that resumes send proofs before it has read what
	// arrived meanwhile.
	proofBeforeRead
	// proofBeforeConfirm lets an owner send proofs to a holder that has not confirmed a
	// cancellation.
	proofBeforeConfirm
	// movingStopBound lets later proofs extend a cancelled run.
	movingStopBound
)

// lease is a Lease with its times as ages in steps.
type lease struct {
	proof, firstProof int8
	expired, resumed  bool
}

// cancellation is the state of the cancellation that the owner sends to the holder.
type cancellation uint8

const (
	notCancelled cancellation = iota
	cancelInFlight
	cancelLost
	cancelConfirmed
)

// world is a state of the model. Ages, and the time left of the runs' leases, are in
// steps; none marks what does not exist.
type world struct {
	ownerPauses, holderPauses, partitions  int8
	ownerPaused, holderPaused, partitioned bool

	clockReading      int8 // age of the owner's last reading of the holder's clock
	toOwner, toHolder int8 // ages of the clock readings in flight

	unread         bool  // the request lies unread in the owner's socket
	ranUnread      int8  // how long the owner ran while the request lay unread
	backlogLeft    int8  // time left of the owner's UnreadTracker
	ownerLease     lease // the owner's lease for its own work
	ranSinceLoss   int8  // how long the owner ran since it lost its caller
	ranSinceResume int8  // how long the owner ran since it resumed
	ended          bool  // the owner has cancelled the job or refused the request

	offer           int8 // age of the proof in the offer in flight
	refused         bool // the holder has refused the offer
	abandonedHolder bool // the owner has abandoned the holder
	cancel          cancellation
	// sinceCancel is how long ago the job was cancelled; linkUpFor is how long the link
	// has been up since a cancellation was lost.
	sinceCancel, linkUpFor int8

	holderLease lease // the holder's lease for the owner; once there is a batch, the batch's lease
	hasLease    bool  // whether holderLease exists
	hasBatch    bool

	cancelledRunLeft            int8 // time left of the longest continuation of a cancelled run
	holderRunLeft, ownerRunLeft int8 // time left of the target leases of the holder's and the owner's run
	sinceLoss                   int8 // time since the caller lost the owner
	runsElsewhere               bool
}

type system struct {
	bounds
	mutation mutation
}

// has reports whether an error is among the seeded ones.
func (s system) has(m mutation) bool { return s.mutation&m != 0 }

var modelSeed = maphash.MakeSeed()

// Initial implements explore.Model: there was no fault, and nothing was offered yet.
func (s system) Initial() []world {
	return []world{{
		ownerPauses: s.ownerPauses, holderPauses: s.holderPauses, partitions: s.partitions,
		toOwner: none, toHolder: none, offer: none, holderRunLeft: none, ownerRunLeft: none, sinceLoss: none, cancelledRunLeft: none, ranSinceResume: hangUpSteps + 1,
		hasLease: true, holderLease: lease{firstProof: maxAge}, unread: s.unread, abandonedHolder: s.unread,
	}}
}

// Key implements explore.Model.
func (system) Key(w world) explore.Key { return explore.Key(maphash.Comparable(modelSeed, w)) }

// Check implements explore.Model: no two runs of the task are alive at the same time.
func (system) Check(w world) error {
	alive := 0
	for _, run := range []bool{w.holderRunLeft >= 0, w.ownerRunLeft >= 0, w.runsElsewhere} {
		if run {
			alive++
		}
	}
	if alive > 1 {
		return errors.Errorf("two runs of the task are alive: at the holder for %d more steps, at the owner for %d, elsewhere %v", w.holderRunLeft, w.ownerRunLeft, w.runsElsewhere)
	}
	return nil
}

// canonical clears what no longer matters, so that states that differ only in it are
// merged.
func (s system) canonical(w world) world {
	s.forgetMessages(&w)
	s.forgetLeases(&w)
	if w.cancel == cancelConfirmed && w.holderRunLeft < 0 {
		w.hasBatch, w.hasLease, w.holderLease = false, false, lease{}
		w.forgetHolder()
	}
	if w.cancel == cancelConfirmed && w.holderRunLeft < 0 && w.ownerRunLeft < 0 {
		return world{cancel: cancelConfirmed, offer: none, toOwner: none, toHolder: none, holderRunLeft: none, ownerRunLeft: none, sinceLoss: none, cancelledRunLeft: none}
	}
	return w
}

// forgetHolder clears the holder's side once it can do nothing any more.
func (w *world) forgetHolder() {
	w.clockReading, w.toOwner, w.toHolder, w.sinceCancel, w.linkUpFor = 0, none, none, 0, 0
	w.partitioned, w.partitions, w.holderPauses, w.holderPaused = false, 0, 0, false
}

// forgetMessages clears messages that can change nothing any more.
func (s system) forgetMessages(w *world) {
	if w.hasBatch || w.cancel == cancelConfirmed {
		w.offer = none
	}
	w.offer, w.toHolder = min(w.offer, termSteps+1), min(w.toHolder, termSteps+1)
	if w.abandonedHolder || w.ended || w.hasBatch {
		w.refused = false
	}
	if w.abandonedHolder {
		w.clockReading = min(w.clockReading, termSteps+1)
	}
	if s.has(proofByArrival) || s.has(anyProofAge) {
		return
	}
	if w.offer > termSteps {
		w.offer = none
	}
	if w.toHolder > termSteps {
		w.toHolder = none
	}
}

// forgetLeases clears lease state that is not read any more.
func (s system) forgetLeases(w *world) {
	if w.hasBatch {
		w.holderLease.firstProof, w.holderLease.resumed = 0, false
	} else if w.offer <= w.holderLease.firstProof && w.clockReading <= w.holderLease.firstProof {
		w.holderLease.firstProof = maxAge // each possible offer is younger
	}
	if w.ended && w.ownerRunLeft < 0 {
		w.ownerLease = lease{}
	}
	if w.ended {
		w.ranSinceLoss, w.backlogLeft, w.ranUnread = 0, 0, 0
	}
	if !w.unread {
		w.backlogLeft, w.ranUnread, w.ownerLease.resumed = 0, 0, false
	}
	w.ownerLease.firstProof = 0 // the owner receives no offers
	if s.has(leaseRevival) || s.has(noCheckAfterPause) {
		return
	}
	if !w.unread && w.ownerRunLeft < 0 && (w.ownerLease.expired || w.ownerLease.proof > termSteps) {
		w.ownerLease = lease{expired: true}
	}
	if w.hasBatch && w.holderRunLeft < 0 && (w.holderLease.expired || w.holderLease.proof > termSteps) {
		w.holderLease, w.toHolder = lease{expired: true}, none
		if w.abandonedHolder && w.cancel == notCancelled {
			w.forgetHolder()
		}
	}
}

// now is the time of each decision.
var now = time.Unix(1_000_000, 0)

// ago returns the time that lies a number of steps back, by a clock that is as slow as
// allowed.
func ago(age int8) time.Time {
	return now.Add(-time.Duration(age) * step * 100 / (100 + driftPercent))
}

// ageOf returns the age of a time in steps.
func ageOf(at time.Time) int8 {
	return int8(math.Round(float64(now.Sub(at)) * (100 + driftPercent) / 100 / float64(step)))
}

// real returns the Lease that the model's lease stands for.
func (l lease) real() *Lease {
	return &Lease{firstProof: ago(l.firstProof), resumed: l.resumed, proof: ago(l.proof), expired: l.expired, lost: make(chan struct{})}
}

// fromLease returns the model's form of a Lease.
func fromLease(l *Lease) lease {
	return lease{proof: ageOf(l.proof), firstProof: ageOf(l.firstProof), expired: l.expired, resumed: l.resumed}
}

// holds checks a lease as the code does.
func (s system) holds(l *lease) bool {
	if s.has(noCheckAfterPause) {
		return !l.expired
	}
	return s.inEffect(l)
}

// inEffect reports whether a lease is in effect, and marks it expired if it is not.
func (system) inEffect(l *lease) bool {
	x := l.real()
	ok := x.Valid(now)
	l.expired = x.expired
	return ok
}

// renew applies a later proof to a lease.
func (s system) renew(l *lease, proof int8) {
	switch {
	case s.has(proofByArrival):
		proof = 0
	case s.has(leaseRevival):
		l.expired, l.proof = false, min(l.proof, proof)
		return
	}
	x := l.real()
	x.Renew(now, ago(proof))
	*l = fromLease(x)
}

// leaseLeft returns for how many steps a run lasts whose target's lease is renewed now
// under the given lease.
func (s system) leaseLeft(l lease) int8 {
	if s.has(unboundedTargetLease) {
		return atMost(targetLease)
	}
	return max(atMost(min(targetLease, l.real().WorkDeadline().Sub(now))), none)
}

// newTable returns a Table with at most one lease.
func newTable(l lease, known bool) *Table {
	t := &Table{leases: map[job.Owner]*Lease{}, expired: map[job.Owner]bool{}}
	if known {
		t.leases[owner] = l.real()
	}
	t.expired[owner] = l.resumed
	return t
}

// acceptProof applies a proof to the holder's table and reports whether a lease is in
// effect then.
func (s system) acceptProof(w *world, proof int8) bool {
	if s.has(proofByArrival) {
		proof = 0
	}
	if s.has(anyProofAge) && w.hasLease && s.inEffect(&w.holderLease) {
		s.renew(&w.holderLease, proof)
		return true
	}
	t := newTable(w.holderLease, w.hasLease)
	ok := t.Renew(now, owner, ago(proof)) != nil
	w.storeLease(t)
	return ok
}

// storeLease copies the lease in the table into the state.
func (w *world) storeLease(t *Table) {
	l := t.leases[owner]
	w.hasLease = l != nil
	w.holderLease = lease{resumed: t.expired[owner]}
	if l != nil {
		w.holderLease = fromLease(l)
	}
}
