package ownership

import (
	"hash/maphash"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/explore"
)

// Rules that forbid everything run no job twice either. So the calm day is explored as
// well: heartbeats leave in their pace, each message takes as long as a VM needs whose
// share of its processor is used up, and the job is offered at any step.

const (
	// beatEvery is the pace of heartbeats, lag the longest time that a message takes.
	beatEvery = 250 * time.Millisecond
	lag       = 100 * time.Millisecond
	// tries is how often an offer is refused for its proof before the owner gives up:
	// internal/handover has it.
	tries = 3
)

// message is a heartbeat or an offer under way.
type message struct {
	reading, flying int8
}

var nothing = message{none, none}

// calmWorld is a state of the calm day.
type calmWorld struct {
	world
	ownerBeat, holderBeat       int8 // since the last heartbeats left
	toOwner, toHolder, offering message
	refused                     int8
}

type calmSystem struct {
	system
	every time.Duration
}

// Initial implements explore.Model: nobody has heard of the other one.
func (s calmSystem) Initial() []calmWorld {
	w := calmWorld{toOwner: nothing, toHolder: nothing, offering: nothing}
	w.reading, w.held, w.stay = none, none, none
	return []calmWorld{w}
}

// Key implements explore.Model.
func (calmSystem) Key(w calmWorld) explore.Key {
	return explore.Key(maphash.Comparable(modelSeed, w))
}

// Check implements explore.Model: the job is started and goes on.
func (s calmSystem) Check(w calmWorld) error {
	switch {
	case w.refused >= tries:
		return errors.New("the offer is refused again and again")
	case w.hasBatch && w.heard.over:
		return errors.New("the right runs out on a calm day")
	case w.hasBatch && w.held < 0:
		return errors.New("the job is not started, or its run ends before its time")
	}
	return nil
}

// Next implements explore.Model.
func (s calmSystem) Next(w calmWorld, visit func(string, calmWorld)) {
	s.arrivals(w, visit)
	if !w.hasBatch && w.offering == nothing {
		n := w
		n.offering = message{w.reading, 0}
		visit("the owner offers the job", n)
	}
	if !late(w.toOwner) && !late(w.toHolder) && !late(w.offering) {
		visit(timePasses, s.passes(w))
	}
}

// late says that a message arrives now at the latest.
func late(m message) bool { return m.flying >= int8(lag/step) }

func (s calmSystem) arrivals(w calmWorld, visit func(string, calmWorld)) {
	if w.toOwner != nothing {
		n := w
		n.reading, n.toOwner = w.toOwner.reading, nothing
		visit("the owner reads a heartbeat", n)
	}
	if w.toHolder != nothing {
		n := w
		s.heartbeat(&n.world, w.toHolder.reading)
		n.toHolder = nothing
		visit("the holder reads a heartbeat", n)
	}
	if w.offering != nothing {
		visit("the holder reads the offer", s.offered(w))
	}
}

// offered has the holder take the offer and start the job, or refuse it with a reading.
func (s calmSystem) offered(w calmWorld) calmWorld {
	proof := w.offering.reading
	w.offering = nothing
	if proof < 0 || !s.take(&w.world, proof) {
		w.refused++
		w.reading = 0
		return w
	}
	w.hasBatch, w.refused, w.heard.first, w.heard.resumed = true, 0, 0, false
	s.starts(&w.world)
	return w
}

// passes lets a step of time pass: heartbeats leave in their pace, and the holder renews
// its target's lease.
func (s calmSystem) passes(w calmWorld) calmWorld {
	w.reading, w.heard.proof, w.heard.first, w.held = aged(w.reading), aged(w.heard.proof), aged(w.heard.first), less(w.held)
	for _, m := range []*message{&w.toOwner, &w.toHolder, &w.offering} {
		m.reading = aged(m.reading)
		if *m != nothing && m.flying >= 0 {
			m.flying++
		}
	}
	w.ownerBeat, w.holderBeat = w.ownerBeat+1, w.holderBeat+1
	if w.ownerBeat >= int8(s.every/step) && w.reading >= 0 {
		w.ownerBeat, w.toHolder = 0, message{w.reading, 0}
	}
	w.ownerBeat = min(w.ownerBeat, int8(s.every/step))
	if w.holderBeat >= int8(s.every/step) {
		w.holderBeat, w.toOwner = 0, message{0, 0}
	}
	if w.hasBatch {
		s.starts(&w.world)
	}
	return w
}

// A day without a fault: each job that is offered is started, and nothing ends it.
func TestJobsRunOnACalmDay(t *testing.T) {
	r := explore.Run[calmWorld](calmSystem{every: beatEvery}, *modelStates/raceDivisor)
	t.Log(r.String())
	qt.Assert(t, r.Violation, qt.IsNil, qt.Commentf("%s", inShort(r)))
	qt.Assert(t, r.Complete || raceDivisor > 1, qt.IsTrue)
}

// Heartbeats at half their pace do not carry the right on: the model of the calm day would
// find a term that is too short.
func TestTheCalmDayFindsATermThatIsTooShort(t *testing.T) {
	r := explore.Run[calmWorld](calmSystem{every: 2 * beatEvery}, *modelStates/raceDivisor)
	t.Log(inShort(r))
	qt.Assert(t, r.Violation, qt.IsNotNil)
}
