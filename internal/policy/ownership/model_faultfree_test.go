package ownership

import (
	"hash/maphash"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/explore"
)

// Rules that forbid everything run no job twice either. So fault-free operation is
// explored as well: heartbeats are sent at their interval, each message takes up to as
// long as on a VM whose CPU quota is used up, and the job is offered at any step.

const (
	// heartbeatInterval is the interval of heartbeats, maxLatency the longest time that a
	// message takes.
	heartbeatInterval = 250 * time.Millisecond
	maxLatency        = 100 * time.Millisecond
	// maxRefusals is how often an offer is refused for its proof before the owner
	// abandons the holder, as in internal/handover.
	maxRefusals = 3
)

// message is a heartbeat or an offer in flight. clockReading and age are in steps.
type message struct {
	clockReading, age int8
}

var noMessage = message{none, none}

// faultFreeWorld is a state of the fault-free model.
type faultFreeWorld struct {
	world
	sinceOwnerBeat, sinceHolderBeat  int8 // since the last heartbeats were sent
	toOwner, toHolder, offerInFlight message
	refusals                         int8
}

type faultFreeSystem struct {
	system
	beatInterval time.Duration
}

// Initial implements explore.Model: neither entry has received anything from the other.
func (s faultFreeSystem) Initial() []faultFreeWorld {
	w := faultFreeWorld{toOwner: noMessage, toHolder: noMessage, offerInFlight: noMessage}
	w.clockReading, w.holderRunLeft, w.cancelledRunLeft = none, none, none
	return []faultFreeWorld{w}
}

// Key implements explore.Model.
func (faultFreeSystem) Key(w faultFreeWorld) explore.Key {
	return explore.Key(maphash.Comparable(modelSeed, w))
}

// Check implements explore.Model: the job is started and keeps running.
func (s faultFreeSystem) Check(w faultFreeWorld) error {
	switch {
	case w.refusals >= maxRefusals:
		return errors.New("the offer is refused repeatedly")
	case w.hasBatch && w.holderLease.expired:
		return errors.New("the lease expires without a fault")
	case w.hasBatch && w.holderRunLeft < 0:
		return errors.New("the job is not started, or its run ends too early")
	}
	return nil
}

// Next implements explore.Model.
func (s faultFreeSystem) Next(w faultFreeWorld, visit func(string, faultFreeWorld)) {
	s.deliveries(w, visit)
	if !w.hasBatch && w.offerInFlight == noMessage {
		n := w
		n.offerInFlight = message{w.clockReading, 0}
		visit("the owner offers the job", n)
	}
	if !mustArrive(w.toOwner) && !mustArrive(w.toHolder) && !mustArrive(w.offerInFlight) {
		visit(timePasses, s.passTime(w))
	}
}

// mustArrive reports whether a message has reached its longest latency.
func mustArrive(m message) bool { return m.age >= int8(maxLatency/step) }

func (s faultFreeSystem) deliveries(w faultFreeWorld, visit func(string, faultFreeWorld)) {
	if w.toOwner != noMessage {
		n := w
		n.clockReading, n.toOwner = w.toOwner.clockReading, noMessage
		visit("the owner reads a heartbeat", n)
	}
	if w.toHolder != noMessage {
		n := w
		s.receiveProof(&n.world, w.toHolder.clockReading)
		n.toHolder = noMessage
		visit("the holder reads a heartbeat", n)
	}
	if w.offerInFlight != noMessage {
		visit("the holder reads the offer", s.receiveOffer(w))
	}
}

// receiveOffer lets the holder accept the offer and start the job, or refuse it and
// return a clock reading.
func (s faultFreeSystem) receiveOffer(w faultFreeWorld) faultFreeWorld {
	proof := w.offerInFlight.clockReading
	w.offerInFlight = noMessage
	if proof < 0 || !s.acceptProof(&w.world, proof) {
		w.refusals++
		w.clockReading = 0
		return w
	}
	w.hasBatch, w.refusals, w.holderLease.firstProof, w.holderLease.resumed = true, 0, 0, false
	s.runAtHolder(&w.world)
	return w
}

// passTime advances time by a step: heartbeats are sent at their interval, and the holder
// renews its target's lease.
func (s faultFreeSystem) passTime(w faultFreeWorld) faultFreeWorld {
	w.clockReading, w.holderLease.proof, w.holderLease.firstProof, w.holderRunLeft = aged(w.clockReading), aged(w.holderLease.proof), aged(w.holderLease.firstProof), countDown(w.holderRunLeft)
	for _, m := range []*message{&w.toOwner, &w.toHolder, &w.offerInFlight} {
		m.clockReading = aged(m.clockReading)
		if *m != noMessage && m.age >= 0 {
			m.age++
		}
	}
	w.sinceOwnerBeat, w.sinceHolderBeat = w.sinceOwnerBeat+1, w.sinceHolderBeat+1
	if w.sinceOwnerBeat >= int8(s.beatInterval/step) && w.clockReading >= 0 {
		w.sinceOwnerBeat, w.toHolder = 0, message{w.clockReading, 0}
	}
	w.sinceOwnerBeat = min(w.sinceOwnerBeat, int8(s.beatInterval/step))
	if w.sinceHolderBeat >= int8(s.beatInterval/step) {
		w.sinceHolderBeat, w.toOwner = 0, message{0, 0}
	}
	if w.hasBatch {
		s.runAtHolder(&w.world)
	}
	return w
}

// Without faults each job that is offered is started, and nothing ends it.
func TestJobsRunWithoutFaults(t *testing.T) {
	r := explore.Run[faultFreeWorld](faultFreeSystem{beatInterval: heartbeatInterval}, *modelStates/raceDivisor)
	t.Log(r.String())
	qt.Assert(t, r.Violation, qt.IsNil, qt.Commentf("%s", summarize(r)))
	qt.Assert(t, r.Complete || raceDivisor > 1, qt.IsTrue)
}

// Heartbeats at twice their interval do not keep the lease: the fault-free model would
// find a term that is too short.
func TestFaultFreeModelFindsTooShortTerm(t *testing.T) {
	r := explore.Run[faultFreeWorld](faultFreeSystem{beatInterval: 2 * heartbeatInterval}, *modelStates/raceDivisor)
	t.Log(summarize(r))
	qt.Assert(t, r.Violation, qt.IsNotNil)
}
