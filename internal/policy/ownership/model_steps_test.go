package ownership

import "time"

// timePasses is the action of advancing time by a step.
const timePasses = "time passes"

// Next implements explore.Model.
func (s system) Next(w world, visit func(string, world)) {
	visitCanonical := func(action string, n world) { visit(action, s.canonical(n)) }
	if s.timeMayPass(w) {
		visitCanonical(timePasses, s.passTime(w))
	}
	s.pauseActions(w, visitCanonical)
	s.linkActions(w, visitCanonical)
	s.callerActions(w, visitCanonical)
	if !w.ownerPaused {
		s.ownerActions(w, visitCanonical)
	}
	if !w.holderPaused {
		s.holderActions(w, visitCanonical)
	}
	if !w.ownerPaused && !w.holderPaused && s.exchangeHeartbeats(&w) {
		visitCanonical("both entries receive heartbeats", w)
	}
}

// timeMayPass reports whether time may pass. It may not while an event has to happen in
// this step.
func (s system) timeMayPass(w world) bool {
	delivers := !w.partitioned && !w.holderPaused
	switch {
	case w.cancel == cancelInFlight && delivers:
		return false
	case w.offer >= 0 && w.partitions == s.partitions && delivers && !s.has(anyProofAge):
		return false
	case w.ownerPaused:
		return true
	case w.unread && w.ranUnread >= readSteps:
		return false
	case w.sinceLoss >= 0 && !w.ended && w.ranSinceLoss >= hangUpSteps:
		return false
	case w.cancel == cancelLost && !s.has(noCancelRetry) && w.linkUpFor >= cancelRetrySteps && w.sinceCancel >= offerRetrySteps:
		return false
	}
	return true
}

// sendsProofs reports whether the owner sends proofs to the holder.
func (s system) sendsProofs(w *world) bool {
	holderKnows := !w.ended || w.cancel == cancelConfirmed || w.cancel == cancelLost && s.has(proofBeforeConfirm)
	return s.hasReadBacklog(w) && holderKnows
}

// hasReadBacklog reports whether the owner has read the messages that arrived during its
// pause, so that it may send proofs.
func (s system) hasReadBacklog(w *world) bool {
	return !w.ownerPaused && (w.ranSinceResume > hangUpSteps || s.has(proofBeforeRead))
}

func aged(age int8) int8 {
	if age < 0 {
		return age
	}
	return min(age+1, maxAge)
}

func countDown(left int8) int8 { return max(left-1, none) }

// passTime advances time by a step, in which each running entry does its periodic work.
func (s system) passTime(w world) world {
	w.clockReading, w.toOwner, w.toHolder, w.offer = aged(w.clockReading), aged(w.toOwner), aged(w.toHolder), aged(w.offer)
	w.ownerLease.proof, w.ownerLease.firstProof, w.holderLease.proof, w.holderLease.firstProof = aged(w.ownerLease.proof), aged(w.ownerLease.firstProof), aged(w.holderLease.proof), aged(w.holderLease.firstProof)
	w.holderRunLeft, w.ownerRunLeft = countDown(w.holderRunLeft), countDown(w.ownerRunLeft)
	if w.sinceLoss >= 0 {
		w.sinceLoss = min(w.sinceLoss+1, resubmitSteps)
		w.runsElsewhere = w.sinceLoss == resubmitSteps
	}
	if w.ended && !w.ownerPaused {
		w.sinceCancel = min(w.sinceCancel+1, offerRetrySteps)
	}
	if w.cancel == cancelLost && !w.partitioned && !w.ownerPaused {
		w.linkUpFor = min(w.linkUpFor+1, cancelRetrySteps)
	}
	w.cancelledRunLeft = countDown(w.cancelledRunLeft)
	s.sendHeartbeats(&w)
	if !w.ownerPaused {
		w.ranSinceResume = min(w.ranSinceResume+1, hangUpSteps+1)
		s.ownerTick(&w)
	}
	if !w.holderPaused {
		s.holderTick(&w)
	}
	return w
}

// sendHeartbeats lets each running entry send a heartbeat to the other; heartbeats do not
// overtake a cancellation in flight.
func (s system) sendHeartbeats(w *world) {
	if w.partitioned {
		return
	}
	if !w.holderPaused {
		w.toOwner = 0
	}
	if s.sendsProofs(w) {
		w.toHolder = w.clockReading
	}
	if !w.ownerPaused && !w.holderPaused {
		s.exchangeHeartbeats(w)
	}
}

// exchangeHeartbeats lets both entries receive what the other one sends now, and reports
// whether the link allows it.
func (s system) exchangeHeartbeats(w *world) bool {
	if w.partitioned || w.cancel == cancelInFlight {
		return false
	}
	w.clockReading, w.toOwner = 0, none
	if s.sendsProofs(w) {
		w.toHolder = none
		s.receiveProof(w, 0)
	}
	return true
}

// receiveProof applies the proof of a heartbeat at the holder.
func (s system) receiveProof(w *world, proof int8) {
	if w.hasBatch {
		s.renew(&w.holderLease, proof)
		return
	}
	s.acceptProof(w, proof)
}

// ownerTick is the owner's periodic work.
func (s system) ownerTick(w *world) {
	if w.toOwner >= 0 {
		w.clockReading, w.toOwner = min(w.clockReading, w.toOwner), none
	}
	if w.sinceLoss >= 0 {
		w.ranSinceLoss = min(w.ranSinceLoss+1, hangUpSteps)
	}
	if s.hasReadBacklog(w) {
		s.renewOwnerLease(w)
	}
	if w.ended && w.ownerRunLeft < 0 {
		return
	}
	if w.unread {
		w.ranUnread = min(w.ranUnread+1, readSteps)
		return
	}
	if w.abandonedHolder || w.ended {
		s.runAtOwner(w)
	}
}

// renewOwnerLease lets the owner prove to itself that it runs, as internal/entry does.
func (s system) renewOwnerLease(w *world) {
	if !w.unread {
		s.renew(&w.ownerLease, 0)
		return
	}
	gap := time.Duration(w.ownerLease.proof) * step
	t := newTable(w.ownerLease, true)
	before := t.leases[owner]
	t.Sweep(now)
	after := t.Renew(now, owner, now)
	w.ownerLease = fromLease(after)
	u := UnreadTracker{left: time.Duration(w.backlogLeft) * step}
	u.Advance(gap)
	if after.Resumed() && after != before {
		u.Paused()
	}
	w.backlogLeft = int8(u.left / step)
}

// holderTick is the holder's periodic work.
func (s system) holderTick(w *world) {
	if w.toHolder >= 0 {
		s.receiveProof(w, w.toHolder)
		w.toHolder = none
	}
	if !w.hasBatch {
		return
	}
	s.inEffect(&w.holderLease)
	s.runAtHolder(w)
	if w.holderLease.expired {
		w.holderLease.proof = 0
	}
}

// runAtHolder lets the holder run the task, or renew the target's lease of its run.
func (s system) runAtHolder(w *world) {
	w.holderRunLeft = s.renewedRun(w.holderRunLeft, &w.holderLease, w.cancel == cancelConfirmed, w.cancelledRunLeft)
}

// runAtOwner lets the owner run the task, or renew the target's lease of its run.
func (s system) runAtOwner(w *world) {
	w.ownerRunLeft = s.renewedRun(w.ownerRunLeft, &w.ownerLease, w.ended, w.cancelledRunLeft)
}

// renewedRun returns the time left of a run that is renewed now, or started if there is
// none. An expired lease starts nothing; an existing run continues up to its bound. A
// cancelled run whose stop was lost is limited by the stop bound too.
func (s system) renewedRun(run int8, l *lease, cancelled bool, cancelledRunLeft int8) int8 {
	dropped := l.expired
	switch {
	case cancelled && (run < 0 || dropped):
		return run
	case cancelled:
		return max(run, min(cancelledRunLeft, s.leaseLeft(*l)))
	case s.holds(l) || run >= 0 && !dropped:
		return max(run, s.leaseLeft(*l))
	}
	return run
}

// pauseActions are the pauses and resumes of both entries.
func (s system) pauseActions(w world, visit func(string, world)) {
	if w.ownerPaused {
		n := w
		n.ownerPaused = false
		visit("the owner resumes", n)
	} else if w.ownerPauses > 0 {
		n := w
		n.ownerPaused, n.ranSinceLoss, n.ranSinceResume, n.ownerPauses = true, 0, 0, w.ownerPauses-1
		visit("the owner pauses", n)
	}
	if w.holderPaused {
		n := w
		n.holderPaused = false
		visit("the holder resumes", n)
	} else if w.holderPauses > 0 {
		n := w
		n.holderPaused, n.holderPauses = true, w.holderPauses-1
		visit("the holder pauses", n)
	}
}

// linkActions partitions and restores the link. Messages in flight arrive later or never;
// a cancellation is lost or delayed.
func (s system) linkActions(w world, visit func(string, world)) {
	switch {
	case w.partitioned:
		n := w
		n.partitioned, n.linkUpFor = false, 0
		visit("the link is restored", n)
	case w.partitions > 0:
		n := w
		n.partitioned, n.partitions = true, w.partitions-1
		visit("the link delays messages", n)
		if n.cancel == cancelInFlight {
			n.cancel = cancelLost
			visit("the link breaks", n)
		}
	}
}

func (s system) callerActions(w world, visit func(string, world)) {
	if w.sinceLoss == none {
		n := w
		n.sinceLoss, n.ranSinceLoss = 0, 0
		visit("the caller loses the owner", n)
	}
}

func (s system) ownerActions(w world, visit func(string, world)) {
	if w.toOwner >= 0 {
		n := w
		n.clockReading, n.toOwner = min(w.clockReading, w.toOwner), none
		visit("the owner reads a heartbeat", n)
	}
	if w.sinceLoss >= 0 && !w.ended && w.ranSinceLoss >= hangUpSteps {
		visit("the owner notices the hang-up and cancels the job", s.cancelJob(w))
	}
	if w.cancel == cancelLost && !w.partitioned && !s.has(noCancelRetry) {
		n := w
		n.cancel = cancelInFlight
		visit("the owner resends the cancellation", n)
	}
	s.offerJob(w, visit)
	if w.ended {
		return
	}
	if w.unread {
		s.readRequest(w, visit)
		return
	}
	s.taskReturned(w, visit)
	if !w.abandonedHolder && w.clockReading >= s.holderTimeout() {
		n := w
		n.abandonedHolder = true
		visit("the owner abandons the holder", n)
	}
	if w.abandonedHolder {
		n := w
		s.runAtOwner(&n)
		visit("the owner runs the task itself", n)
	}
}

// taskReturned lets the owner learn that the holder refused the offer, or returned the
// task because its lease expired and its run ended.
func (s system) taskReturned(w world, visit func(string, world)) {
	expired := w.hasBatch && w.holderLease.expired && w.holderRunLeft < 0
	if w.abandonedHolder || w.partitioned || w.holderPaused || !expired && !w.refused {
		return
	}
	n := w
	n.abandonedHolder = true
	visit("the owner gets the task back", n)
}

func (s system) holderTimeout() int8 {
	if s.has(earlyHolderTimeout) {
		return atLeast(Term)
	}
	return holderTimeoutSteps
}

// cancelJob ends the owner's part because the caller hung up.
func (s system) cancelJob(w world) world {
	w.ended, w.unread = true, false
	s.stopRun(&w.ownerRunLeft, &w, w.ownerLease)
	switch {
	case s.unread:
		w.cancel = cancelConfirmed
	case w.partitioned:
		w.cancel = cancelLost
	default:
		w.cancel = cancelInFlight
	}
	return w
}

// stopRun decides to stop a run; the stop may get lost.
func (s system) stopRun(run *int8, w *world, l lease) {
	if *run >= 0 && s.lostStops {
		w.cancelledRunLeft = s.cancelledRunBound(*run, l)
		return
	}
	*run = none
}

// cancelledRunBound returns how long a run that is cancelled now may continue; the lease
// counts as it is now.
func (s system) cancelledRunBound(run int8, l lease) int8 {
	switch {
	case s.has(movingStopBound):
		return stopBoundSteps
	case l.expired:
		return run
	}
	return max(run, min(stopBoundSteps, atMost(l.real().WorkDeadline().Sub(now))))
}

// offerJob lets the owner offer the job, also repeatedly with a more recent proof.
func (s system) offerJob(w world, visit func(string, world)) {
	ended := w.ended && !s.has(offerAfterCancel)
	if !s.hasReadBacklog(&w) || ended || w.unread || w.abandonedHolder || w.hasBatch || w.partitioned || w.offer >= 0 && w.offer <= w.clockReading {
		return
	}
	n := w
	if w.ended || s.holds(&n.ownerLease) {
		n.offer, n.refused = w.clockReading, false
	}
	visit("the owner offers the job", n)
}

// readRequest lets the owner read the request that lay in its socket.
func (s system) readRequest(w world, visit func(string, world)) {
	if !s.hasReadBacklog(&w) {
		return
	}
	n := w
	n.unread = false
	u := UnreadTracker{left: time.Duration(w.backlogLeft) * step}
	fresh := newTable(w.ownerLease, true).Lookup(now, owner) != nil && !u.Pending()
	if !fresh && !s.has(unreadCountsAsNew) {
		n.ended, n.cancel = true, cancelConfirmed
		visit("the owner refuses the request", n)
		return
	}
	visit("the owner accepts the request as new", n)
}

func (s system) holderActions(w world, visit func(string, world)) {
	if w.toHolder >= 0 {
		n := w
		s.receiveProof(&n, w.toHolder)
		n.toHolder = none
		visit("the holder reads a heartbeat", n)
	}
	if w.cancel == cancelInFlight {
		n := w
		n.cancel = cancelConfirmed
		s.stopRun(&n.holderRunLeft, &n, n.holderLease)
		visit("the holder reads the cancellation", n)
	}
	if w.offer >= 0 {
		n := w
		n.offer = none
		n.hasBatch = s.acceptProof(&n, w.offer)
		n.refused = !n.hasBatch
		visit("the holder accepts or refuses the offer", n)
	}
	if w.hasBatch && w.cancel != cancelConfirmed {
		n := w
		s.runAtHolder(&n)
		visit("the holder starts the task", n)
	}
}
