package ownership

import (
	"hash/maphash"
	"math"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/explore"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

// The model is one job of one task. Its owner offers it to a holder, may give the holder
// up and run the task by itself. Its caller may lose the owner at any moment and has the
// job run elsewhere later. Owner and holder stand still and go on, and their link is cut
// and mended, as often as the bounds say and at any step. The real leases decide.
//
// Time goes in steps and only ages count, so the states are finitely many and there is no
// last moment. Each bound of the code is a closed one here, in whole steps: a shortest
// time is rounded down, a longest one up, and a run that ends at the moment at which
// another begins counts as alive beside it. So each order of events in real time is one
// of the model.
//
// What can only help a run is done as soon as it may be, while time passes: hearing each
// other, renewing a target's lease, starting what is not running, and that the caller has
// the job run elsewhere. What can only end a run is done as late as may be: noticing a
// hang-up. What may go either way, and the order of events at the moment at which somebody
// goes on, is a choice. A holder that finds a right over stops nothing here: what runs
// lasts as long as the target's lease.

const (
	// step is short enough for the times below to keep their order when rounded.
	step = 25 * time.Millisecond
	// drift is by how much a clock may be slow, in percent.
	drift = 2
	// targetLease is the longest lease of a target, stopBound the longest life of a run
	// after its stop was decided; internal/runs has both.
	targetLease = time.Second
	stopBound   = 1100 * time.Millisecond
	// callersTurn is how long after the loss of its owner a caller sends the job again.
	callersTurn = 1300 * time.Millisecond
	// givesUp is when an owner counts a holder that it does not hear as over:
	// internal/handover has it.
	givesUp = Over + 100*time.Millisecond
	// wayOfHangUp is how soon an entry that runs notices that a caller is gone.
	wayOfHangUp = 50 * time.Millisecond
	// sentAgain and triesAgain are how soon a cancellation that was lost is sent again: the
	// longest pause of internal/handover between two offers, in which it may come, and that
	// between two cancellations once the link stands.
	sentAgain  = 500 * time.Millisecond
	triesAgain = 20 * time.Millisecond
	// readIn is how long an entry must run to read what lay unread: a VM of 0.2 of a core
	// runs for 50 ms of Backlog.
	readIn = 100 * time.Millisecond
	none   = -1
)

var (
	turnSteps   = atLeast(callersTurn)
	giveUpSteps = atLeast(givesUp)
	staySteps   = atMost(stopBound)
	waySteps    = int8(wayOfHangUp / step)
	againSteps  = atMost(sentAgain)
	triesSteps  = atMost(triesAgain)
	termSteps   = int8(Term * (100 + drift) / 100 / step)
	readSteps   = atMost(readIn)
	// old is an age at which nothing changes any more.
	old = max(turnSteps, giveUpSteps) + 1
)

// atLeast is a shortest time in steps.
func atLeast(d time.Duration) int8 { return int8(d / step) }

// atMost is a longest time in steps, by a clock that is slow.
func atMost(d time.Duration) int8 {
	return int8(math.Ceil(float64(d) * (100 + drift) / 100 / float64(step)))
}

// bounds are what one exploration may use up.
type bounds struct {
	ownerPauses, holderPauses, cuts int8
	// lostStops lets the stop of a run that was taken back get lost.
	lostStops bool
	// unread begins with a request that lies in the owner's socket, which then runs the
	// job by itself: the owner may be the second one that the caller tries.
	unread bool
}

// mutation is a set of errors seeded into the rules, to see that the model finds them.
type mutation uint16

const (
	sound mutation = 0
	// noCheckAfterPause starts by what the last look found, without asking again.
	noCheckAfterPause mutation = 1 << (iota - 1)
	// proofByArrival counts a proof from when it is read.
	proofByArrival
	// revived lets a proof bring a lease back that had run out.
	revived
	// unbounded lengthens a target's lease without regard to the right.
	unbounded
	// hasty gives a holder up once its right may have run out, and not its runs.
	hasty
	// unreadIsNew takes a request that lay unread in a pause for a new one.
	unreadIsNew
	// anyAge accepts an offer with a proof of any age while a lease of its owner stands.
	anyAge
	// cancelledOnce does not send a cancellation again that was lost with its link.
	cancelledOnce
	// offeredAgain sends an offer again though its job was taken back.
	offeredAgain
	// spokenAtOnce has an owner that goes on give proofs before it has read what came
	// meanwhile.
	spokenAtOnce
	// spokenBeside has an owner give proofs to a holder that has not confirmed a
	// cancellation.
	spokenBeside
	// movingBound lets later proofs lengthen a run that was taken back.
	movingBound
)

// lease is a Lease as ages in steps.
type lease struct {
	proof, first  int8
	over, resumed bool
}

// cancellation is how far the word that a job was taken back has come.
type cancellation uint8

const (
	notCancelled cancellation = iota
	underWay
	lostOnItsWay
	confirmed
)

// world is a state. Ages, and the steps left of the runs' leases, are in steps; none
// stands for what is not there.
type world struct {
	ownerPauses, holderPauses, cuts int8
	ownerStill, holderStill, cut    bool

	reading           int8 // age of the owner's last reading of the holder's clock
	toOwner, toHolder int8 // ages of the readings under way

	unread bool  // the request lies in the owner's socket
	ran    int8  // how long the owner ran while it lay there
	window int8  // what is left of the owner's Unread
	own    lease // the owner's right to act for itself
	aware  int8  // how long the owner ran since its caller was lost
	awake  int8  // how long the owner ran since it went on
	ended  bool  // it has noticed

	offer   int8 // age of the proof in the offer under way
	refused bool // the holder has refused it
	gaveUp  bool // the owner has given the holder up
	cancel  cancellation
	// lasts is how long ago the job was taken back, mended for how long the link stands
	// with a cancellation that was lost.
	lasts, mended int8

	heard    lease // the holder's lease for the owner; the batch's once there is one
	known    bool  // whether there is such a lease
	hasBatch bool

	stay        int8 // left of the longest life of a run that was taken back
	held, local int8 // left of the leases of the holder's run and of the owner's
	lost        int8 // since the caller lost the owner
	elsewhere   bool
}

type system struct {
	bounds
	mutation mutation
}

// has says whether an error is among those that are seeded.
func (s system) has(m mutation) bool { return s.mutation&m != 0 }

var modelSeed = maphash.MakeSeed()

// Initial implements explore.Model: all is calm, and nothing was offered yet.
func (s system) Initial() []world {
	return []world{{
		ownerPauses: s.ownerPauses, holderPauses: s.holderPauses, cuts: s.cuts,
		toOwner: none, toHolder: none, offer: none, held: none, local: none, lost: none, stay: none, awake: waySteps + 1,
		known: true, heard: lease{first: old}, unread: s.unread, gaveUp: s.unread,
	}}
}

// Key implements explore.Model.
func (system) Key(w world) explore.Key { return explore.Key(maphash.Comparable(modelSeed, w)) }

// Check implements explore.Model: no two runs of the task are alive together.
func (system) Check(w world) error {
	alive := 0
	for _, run := range []bool{w.held >= 0, w.local >= 0, w.elsewhere} {
		if run {
			alive++
		}
	}
	if alive > 1 {
		return errors.Errorf("two runs of the task are alive: the holder's for %d steps more, the owner's for %d, elsewhere %v", w.held, w.local, w.elsewhere)
	}
	return nil
}

// canonical forgets what does not matter any more, so that states that differ in it alone
// are one.
func (s system) canonical(w world) world {
	s.forgetMessages(&w)
	s.forgetLeases(&w)
	if w.cancel == confirmed && w.held < 0 {
		w.hasBatch, w.known, w.heard = false, false, lease{}
		w.forgetHolder()
	}
	if w.cancel == confirmed && w.held < 0 && w.local < 0 {
		return world{cancel: confirmed, offer: none, toOwner: none, toHolder: none, held: none, local: none, lost: none, stay: none}
	}
	return w
}

// forgetHolder drops the holder's side, which does nothing any more.
func (w *world) forgetHolder() {
	w.reading, w.toOwner, w.toHolder, w.lasts, w.mended = 0, none, none, 0, 0
	w.cut, w.cuts, w.holderPauses, w.holderStill = false, 0, 0, false
}

// forgetMessages drops messages that change nothing any more.
func (s system) forgetMessages(w *world) {
	if w.hasBatch || w.cancel == confirmed {
		w.offer = none
	}
	w.offer, w.toHolder = min(w.offer, termSteps+1), min(w.toHolder, termSteps+1)
	if w.gaveUp || w.ended || w.hasBatch {
		w.refused = false
	}
	if w.gaveUp {
		w.reading = min(w.reading, termSteps+1)
	}
	if s.has(proofByArrival) || s.has(anyAge) {
		return
	}
	if w.offer > termSteps {
		w.offer = none
	}
	if w.toHolder > termSteps {
		w.toHolder = none
	}
}

// forgetLeases drops what is known of leases and asked by nobody.
func (s system) forgetLeases(w *world) {
	if w.hasBatch {
		w.heard.first, w.heard.resumed = 0, false
	} else if w.offer <= w.heard.first && w.reading <= w.heard.first {
		w.heard.first = old // each offer that may come is younger
	}
	if w.ended && w.local < 0 {
		w.own = lease{}
	}
	if w.ended {
		w.aware, w.window, w.ran = 0, 0, 0
	}
	if !w.unread {
		w.window, w.ran, w.own.resumed = 0, 0, false
	}
	w.own.first = 0 // nobody offers to the owner
	if s.has(revived) || s.has(noCheckAfterPause) {
		return
	}
	if !w.unread && w.local < 0 && (w.own.over || w.own.proof > termSteps) {
		w.own = lease{over: true}
	}
	if w.hasBatch && w.held < 0 && (w.heard.over || w.heard.proof > termSteps) {
		w.heard, w.toHolder = lease{over: true}, none
		if w.gaveUp && w.cancel == notCancelled {
			w.forgetHolder()
		}
	}
}

// now is the moment of each decision.
var now = time.Unix(1_000_000, 0)

// ago is a moment that is some steps ago, by a clock that is as slow as may be.
func ago(age int8) time.Time {
	return now.Add(-time.Duration(age) * step * 100 / (100 + drift))
}

// ageOf is the age of a moment in steps.
func ageOf(at time.Time) int8 {
	return int8(math.Round(float64(now.Sub(at)) * (100 + drift) / 100 / float64(step)))
}

// real is the lease as the code has it.
func (l lease) real() *Lease {
	return &Lease{first: ago(l.first), resumed: l.resumed, proof: ago(l.proof), over: l.over, lost: make(chan struct{})}
}

// modelled is a lease of the code in the model.
func modelled(l *Lease) lease {
	return lease{proof: ageOf(l.proof), first: ageOf(l.first), over: l.over, resumed: l.resumed}
}

// holds asks a lease as the code does.
func (s system) holds(l *lease) bool {
	if s.has(noCheckAfterPause) {
		return !l.over
	}
	return s.look(l)
}

// look finds whether a lease has run out.
func (system) look(l *lease) bool {
	x := l.real()
	ok := x.Holds(now)
	l.over = x.over
	return ok
}

// renew gives a lease a later proof.
func (s system) renew(l *lease, proof int8) {
	switch {
	case s.has(proofByArrival):
		proof = 0
	case s.has(revived):
		l.over, l.proof = false, min(l.proof, proof)
		return
	}
	x := l.real()
	x.Renew(now, ago(proof))
	*l = modelled(x)
}

// left is for how many steps a run lasts whose target's lease begins now under a right.
func (s system) left(l lease) int8 {
	if s.has(unbounded) {
		return atMost(targetLease)
	}
	return max(atMost(min(targetLease, l.real().OverBy().Sub(now))), none)
}

// table is a Table that keeps at most one lease.
func table(l lease, known bool) *Table {
	t := &Table{leases: map[job.Owner]*Lease{}, lapsed: map[job.Owner]bool{}}
	if known {
		t.leases[owner] = l.real()
	}
	t.lapsed[owner] = l.resumed
	return t
}

// take gives the holder's table a proof, and says whether a lease stands then.
func (s system) take(w *world, proof int8) bool {
	if s.has(proofByArrival) {
		proof = 0
	}
	if s.has(anyAge) && w.known && s.look(&w.heard) {
		s.renew(&w.heard, proof)
		return true
	}
	t := table(w.heard, w.known)
	ok := t.Renew(now, owner, ago(proof)) != nil
	w.keep(t)
	return ok
}

// keep notes what a table has become.
func (w *world) keep(t *Table) {
	l := t.leases[owner]
	w.known = l != nil
	w.heard = lease{resumed: t.lapsed[owner]}
	if l != nil {
		w.heard = modelled(l)
	}
}
