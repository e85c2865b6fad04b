package ownership

import "time"

// timePasses names the step of time.
const timePasses = "time passes"

// Next implements explore.Model.
func (s system) Next(w world, visit func(string, world)) {
	say := func(action string, n world) { visit(action, s.canonical(n)) }
	if s.mayPass(w) {
		say(timePasses, s.pass(w))
	}
	s.pauses(w, say)
	s.link(w, say)
	s.caller(w, say)
	if !w.ownerStill {
		s.owner(w, say)
	}
	if !w.holderStill {
		s.holder(w, say)
	}
	if !w.ownerStill && !w.holderStill && s.hear(&w) {
		say("they hear each other", w)
	}
}

// mayPass holds time back until what must happen in time has.
func (s system) mayPass(w world) bool {
	stands := !w.cut && !w.holderStill
	switch {
	case w.cancel == underWay && stands:
		return false
	case w.offer >= 0 && w.cuts == s.cuts && stands && !s.has(anyAge):
		return false
	case w.ownerStill:
		return true
	case w.unread && w.ran >= readSteps:
		return false
	case w.lost >= 0 && !w.ended && w.aware >= waySteps:
		return false
	case w.cancel == lostOnItsWay && !s.has(cancelledOnce) && w.mended >= triesSteps && w.lasts >= againSteps:
		return false
	}
	return true
}

// speaks says whether the owner gives proofs to the holder.
func (s system) speaks(w *world) bool {
	told := !w.ended || w.cancel == confirmed || w.cancel == lostOnItsWay && s.has(spokenBeside)
	return s.hasRead(w) && told
}

// hasRead says whether the owner has read what came while it stood still, so that it may
// say that it is alive.
func (s system) hasRead(w *world) bool {
	return !w.ownerStill && (w.awake > waySteps || s.has(spokenAtOnce))
}

func aged(age int8) int8 {
	if age < 0 {
		return age
	}
	return min(age+1, old)
}

func less(left int8) int8 { return max(left-1, none) }

// pass lets a step of time pass, in which whoever runs does what it always does.
func (s system) pass(w world) world {
	w.reading, w.toOwner, w.toHolder, w.offer = aged(w.reading), aged(w.toOwner), aged(w.toHolder), aged(w.offer)
	w.own.proof, w.own.first, w.heard.proof, w.heard.first = aged(w.own.proof), aged(w.own.first), aged(w.heard.proof), aged(w.heard.first)
	w.held, w.local = less(w.held), less(w.local)
	if w.lost >= 0 {
		w.lost = min(w.lost+1, turnSteps)
		w.elsewhere = w.lost == turnSteps
	}
	if w.ended && !w.ownerStill {
		w.lasts = min(w.lasts+1, againSteps)
	}
	if w.cancel == lostOnItsWay && !w.cut && !w.ownerStill {
		w.mended = min(w.mended+1, triesSteps)
	}
	w.stay = less(w.stay)
	s.sends(&w)
	if !w.ownerStill {
		w.awake = min(w.awake+1, waySteps+1)
		s.ownerRuns(&w)
	}
	if !w.holderStill {
		s.holderRuns(&w)
	}
	return w
}

// sends has whoever runs send a heartbeat to the other one; a cancellation that is under
// way is not overtaken.
func (s system) sends(w *world) {
	if w.cut {
		return
	}
	if !w.holderStill {
		w.toOwner = 0
	}
	if s.speaks(w) {
		w.toHolder = w.reading
	}
	if !w.ownerStill && !w.holderStill {
		s.hear(w)
	}
}

// hear has both read what the other one sends now, and says whether they can.
func (s system) hear(w *world) bool {
	if w.cut || w.cancel == underWay {
		return false
	}
	w.reading, w.toOwner = 0, none
	if s.speaks(w) {
		w.toHolder = none
		s.heartbeat(w, 0)
	}
	return true
}

// heartbeat gives the holder the proof of a heartbeat.
func (s system) heartbeat(w *world, proof int8) {
	if w.hasBatch {
		s.renew(&w.heard, proof)
		return
	}
	s.take(w, proof)
}

// ownerRuns is what the owner does at each look.
func (s system) ownerRuns(w *world) {
	if w.toOwner >= 0 {
		w.reading, w.toOwner = min(w.reading, w.toOwner), none
	}
	if w.lost >= 0 {
		w.aware = min(w.aware+1, waySteps)
	}
	if s.hasRead(w) {
		s.ownLook(w)
	}
	if w.ended && w.local < 0 {
		return
	}
	if w.unread {
		w.ran = min(w.ran+1, readSteps)
		return
	}
	if w.gaveUp || w.ended {
		s.runsAlone(w)
	}
}

// ownLook has the owner prove to itself that it runs, as internal/entry does.
func (s system) ownLook(w *world) {
	if !w.unread {
		s.renew(&w.own, 0)
		return
	}
	gap := time.Duration(w.own.proof) * step
	t := table(w.own, true)
	before := t.leases[owner]
	t.Sweep(now)
	after := t.Renew(now, owner, now)
	w.own = modelled(after)
	u := Unread{left: time.Duration(w.window) * step}
	u.Ran(gap)
	if after.Resumed() && after != before {
		u.Paused()
	}
	w.window = int8(u.left / step)
}

// holderRuns is what the holder does at each look.
func (s system) holderRuns(w *world) {
	if w.toHolder >= 0 {
		s.heartbeat(w, w.toHolder)
		w.toHolder = none
	}
	if !w.hasBatch {
		return
	}
	s.look(&w.heard)
	s.starts(w)
	if w.heard.over {
		w.heard.proof = 0
	}
}

// starts has the holder run the task, or renew the lease of its run.
func (s system) starts(w *world) {
	w.held = s.goesOn(w.held, &w.heard, w.cancel == confirmed, w.stay)
}

// runsAlone is the same at the owner.
func (s system) runsAlone(w *world) {
	w.local = s.goesOn(w.local, &w.own, w.ended, w.stay)
}

// goesOn is what is left of a run that is renewed now, or started where there is none. A
// lease that ran out starts nothing; a run that is there goes on to its bound. One that
// was taken back, and whose stop was lost, has the bound of stops too.
func (s system) goesOn(run int8, l *lease, takenBack bool, stay int8) int8 {
	forgotten := l.over
	switch {
	case takenBack && (run < 0 || forgotten):
		return run
	case takenBack:
		return max(run, min(stay, s.left(*l)))
	case s.holds(l) || run >= 0 && !forgotten:
		return max(run, s.left(*l))
	}
	return run
}

// pauses are those of the entries.
func (s system) pauses(w world, visit func(string, world)) {
	if w.ownerStill {
		n := w
		n.ownerStill = false
		visit("the owner goes on", n)
	} else if w.ownerPauses > 0 {
		n := w
		n.ownerStill, n.aware, n.awake, n.ownerPauses = true, 0, 0, w.ownerPauses-1
		visit("the owner stands still", n)
	}
	if w.holderStill {
		n := w
		n.holderStill = false
		visit("the holder goes on", n)
	} else if w.holderPauses > 0 {
		n := w
		n.holderStill, n.holderPauses = true, w.holderPauses-1
		visit("the holder stands still", n)
	}
}

// link cuts and mends the link. What was under way arrives later, or never; a
// cancellation is lost, or held up.
func (s system) link(w world, visit func(string, world)) {
	switch {
	case w.cut:
		n := w
		n.cut, n.mended = false, 0
		visit("the link stands again", n)
	case w.cuts > 0:
		n := w
		n.cut, n.cuts = true, w.cuts-1
		visit("the link holds messages up", n)
		if n.cancel == underWay {
			n.cancel = lostOnItsWay
			visit("the link breaks", n)
		}
	}
}

func (s system) caller(w world, visit func(string, world)) {
	if w.lost == none {
		n := w
		n.lost, n.aware = 0, 0
		visit("the caller loses the owner", n)
	}
}

func (s system) owner(w world, visit func(string, world)) {
	if w.toOwner >= 0 {
		n := w
		n.reading, n.toOwner = min(w.reading, w.toOwner), none
		visit("the owner reads a heartbeat", n)
	}
	if w.lost >= 0 && !w.ended && w.aware >= waySteps {
		visit("the owner notices the hang-up and takes the job back", s.takenBack(w))
	}
	if w.cancel == lostOnItsWay && !w.cut && !s.has(cancelledOnce) {
		n := w
		n.cancel = underWay
		visit("the owner sends the cancellation again", n)
	}
	s.offers(w, visit)
	if w.ended {
		return
	}
	if w.unread {
		s.reads(w, visit)
		return
	}
	s.gotBack(w, visit)
	if !w.gaveUp && w.reading >= s.giveUpAfter() {
		n := w
		n.gaveUp = true
		visit("the owner gives the holder up", n)
	}
	if w.gaveUp {
		n := w
		s.runsAlone(&n)
		visit("the owner runs the task itself", n)
	}
}

// gotBack has the owner read that the holder refused the offer, or has given the task back
// since its right is over and so is the run.
func (s system) gotBack(w world, visit func(string, world)) {
	over := w.hasBatch && w.heard.over && w.held < 0
	if w.gaveUp || w.cut || w.holderStill || !over && !w.refused {
		return
	}
	n := w
	n.gaveUp = true
	visit("the owner gets the task back", n)
}

func (s system) giveUpAfter() int8 {
	if s.has(hasty) {
		return atLeast(Term)
	}
	return giveUpSteps
}

// takenBack ends the owner's part for a caller that hung up.
func (s system) takenBack(w world) world {
	w.ended, w.unread = true, false
	s.stopped(&w.local, &w, w.own)
	switch {
	case s.unread:
		w.cancel = confirmed
	case w.cut:
		w.cancel = lostOnItsWay
	default:
		w.cancel = underWay
	}
	return w
}

// stopped decides the stop of a run, which may get lost.
func (s system) stopped(run *int8, w *world, l lease) {
	if *run >= 0 && s.lostStops {
		w.stay = s.longest(*run, l)
		return
	}
	*run = none
}

// longest is for how long a run may go on that is taken back now: its right counts as it
// stands now.
func (s system) longest(run int8, l lease) int8 {
	switch {
	case s.has(movingBound):
		return staySteps
	case l.over:
		return run
	}
	return max(run, min(staySteps, atMost(l.real().OverBy().Sub(now))))
}

// offers has the owner offer the job, also again with a fresher proof.
func (s system) offers(w world, visit func(string, world)) {
	ended := w.ended && !s.has(offeredAgain)
	if !s.hasRead(&w) || ended || w.unread || w.gaveUp || w.hasBatch || w.cut || w.offer >= 0 && w.offer <= w.reading {
		return
	}
	n := w
	if w.ended || s.holds(&n.own) {
		n.offer, n.refused = w.reading, false
	}
	visit("the owner offers the job", n)
}

// reads has the owner read the request that lay in its socket.
func (s system) reads(w world, visit func(string, world)) {
	if !s.hasRead(&w) {
		return
	}
	n := w
	n.unread = false
	u := Unread{left: time.Duration(w.window) * step}
	fresh := table(w.own, true).Of(now, owner) != nil && !u.Old()
	if !fresh && !s.has(unreadIsNew) {
		n.ended, n.cancel = true, confirmed
		visit("the owner refuses the request", n)
		return
	}
	visit("the owner takes the request for a new one", n)
}

func (s system) holder(w world, visit func(string, world)) {
	if w.toHolder >= 0 {
		n := w
		s.heartbeat(&n, w.toHolder)
		n.toHolder = none
		visit("the holder reads a heartbeat", n)
	}
	if w.cancel == underWay {
		n := w
		n.cancel = confirmed
		s.stopped(&n.held, &n, n.heard)
		visit("the holder reads the cancellation", n)
	}
	if w.offer >= 0 {
		n := w
		n.offer = none
		n.hasBatch = s.take(&n, w.offer)
		n.refused = !n.hasBatch
		visit("the holder takes the offer", n)
	}
	if w.hasBatch && w.cancel != confirmed {
		n := w
		s.starts(&n)
		visit("the holder starts the task", n)
	}
}
