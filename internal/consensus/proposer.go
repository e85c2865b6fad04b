package consensus

import (
	"slices"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

func (t *step) submit(r Request) {
	// Before the register is formed there are no voters to change, and a disk that was emptied
	// can't know that it is formed.
	if t.Chosen.Version > 0 && !t.Voting() || t.Chosen.Version == 0 && r.Command.ChangesVoters() {
		t.answer(r.Token, Outcome{Kind: Unavailable})
		return
	}
	// A change that was already accepted needs no round: its outcome is final.
	if r.Command.Kind == Configure {
		if _, ok := t.Chosen.changeByID(r.Command.Change.ID); ok {
			o, _ := t.Chosen.Decide(&r.Command)
			t.answer(r.Token, o)
			return
		}
	}
	r.MissedPrepare = t.Attempt != nil
	if !r.Command.ChangesVoters() {
		t.Queue = append(slices.Clone(t.Queue), r)
	} else {
		r.CatchUpTo = t.Chosen.Version
		t.Queue = insertVoterChange(t.Queue, r)
	}
	t.startAttempt(false)
}

// insertVoterChange returns the queue with a membership change added, before all other
// requests: the set tolerates one loss less until it is chosen, and a queue of configurations
// can take seconds.
func insertVoterChange(queue []Request, r Request) []Request {
	i := slices.IndexFunc(queue, func(q Request) bool { return !q.Command.ChangesVoters() })
	if i < 0 {
		i = len(queue)
	}
	return slices.Insert(slices.Clone(queue), i, r)
}

func (t *step) abandon(token Token) {
	for i, r := range t.Queue {
		if r.Token != token {
			continue
		}
		t.Queue = slices.Delete(slices.Clone(t.Queue), i, i+1)
		kind := Unavailable
		if r.Proposed {
			kind = Unknown
		}
		t.answer(token, Outcome{Kind: kind})
		return
	}
	for i, s := range t.Unreplicated {
		if s.Token == token {
			t.Unreplicated = slices.Delete(slices.Clone(t.Unreplicated), i, i+1)
			t.answer(token, Outcome{Kind: Unknown})
			return
		}
	}
}

// startAttempt starts an attempt if there is a request to propose or if forced is
// set. It does nothing if an attempt is in progress or this node is no voter.
func (t *step) startAttempt(forced bool) {
	if t.Attempt != nil || !t.Voting() {
		return
	}
	if !forced && !t.hasEligibleRequest() {
		return
	}
	if t.Chosen.Version == 0 && t.Genesis[0] != t.Self.Entry {
		return
	}
	t.Round++
	t.Attempt = &Attempt{
		Version: t.Chosen.Version + 1,
		Ballot:  Ballot{Round: t.Round, Entry: t.Self.Entry, Incarnation: t.Incarnation},
		Phase:   preparing,
	}
	t.resend("")
}

// hasEligibleRequest reports whether any request can be proposed. It sends the
// chosen value to each new voter that must catch up first: if an empty disk
// became a voter at once, the fleet would have one copy fewer than it relies on.
func (t *step) hasEligibleRequest() bool {
	found := false
	for _, r := range t.Queue {
		if !t.mustCatchUp(&r) {
			found = true
			continue
		}
		t.sendLearn(r.Command.New)
	}
	return found
}

// mustCatchUp reports whether the new voter of a membership change must still confirm a
// version. Later versions than the one at its submission may be missing: a disk that is slower
// than the changes would never hold the latest one, and it votes on a version only once it
// holds the version before.
func (t *step) mustCatchUp(r *Request) bool {
	return r.Command.ChangesVoters() && r.CaughtUp < r.CatchUpTo && !t.Chosen.Votes(r.Command.New)
}

// resend sends the message of the current phase to all voters that have not
// answered it, or to only, if that is set and has not answered.
func (t *step) resend(only job.EntryID) {
	a := t.Attempt
	for _, to := range t.peers() {
		if only != "" && to != only {
			continue
		}
		var m Message
		if a.Phase == preparing {
			if slices.ContainsFunc(a.Promises, func(p Promise) bool { return p.From.Entry == to }) {
				continue
			}
			m = t.message(MsgPrepare, to)
		} else {
			if slices.ContainsFunc(a.Accepts, func(v Voter) bool { return v.Entry == to }) {
				continue
			}
			m = t.message(MsgAccept, to)
			command := a.Command
			m.Command = &command
		}
		m.Version, m.Ballot = a.Version, a.Ballot
		t.send(m)
	}
}

func (t *step) retry() {
	for _, s := range t.Unreplicated {
		for _, v := range t.Chosen.Voters {
			if !slices.Contains(s.Acks, v) {
				t.sendLearn(v)
			}
		}
	}
	if t.Attempt != nil {
		t.resend("")
		return
	}
	t.startAttempt(false)
}

// currentAttempt returns the attempt that m answers, or nil.
func (t *step) currentAttempt(m *Message, phase attemptPhase) *Attempt {
	a := t.Attempt
	if a == nil || a.Phase != phase || a.Version != m.Version || a.Ballot != m.Ballot || !t.countsVote(m.From) {
		return nil
	}
	return a
}

func (t *step) onPromise(m *Message) {
	old := t.currentAttempt(m, preparing)
	if old == nil || slices.ContainsFunc(old.Promises, func(p Promise) bool { return p.From.Entry == m.From.Entry }) {
		return
	}
	a := *old
	a.Promises = append(slices.Clone(a.Promises), Promise{From: m.From, Accepted: m.Accepted})
	t.Attempt = &a
	if len(a.Promises) < t.quorum() {
		return
	}
	command, ok := t.chooseCommand(&a)
	if !ok {
		if t.endAttempt() {
			t.startAttempt(false)
		}
		return
	}
	a.Phase, a.Command = accepting, command
	t.resend("")
}

// chooseCommand returns the command to propose. A proposal that any voter of the
// quorum has accepted may already be chosen, so the one with the highest ballot
// takes precedence.
func (t *step) chooseCommand(a *Attempt) (Command, bool) {
	var latest *Proposal
	for _, p := range a.Promises {
		if p.Accepted != nil && (latest == nil || latest.Ballot.Less(p.Accepted.Ballot)) {
			latest = p.Accepted
		}
	}
	if latest != nil {
		return latest.Command, true
	}
	if t.Chosen.Version == 0 {
		voters := make([]Voter, 0, len(a.Promises))
		for _, name := range t.Genesis {
			i := slices.IndexFunc(a.Promises, func(p Promise) bool { return p.From.Entry == name })
			voters = append(voters, a.Promises[i].From)
		}
		return Command{Kind: Form, Lineage: t.Incarnation, Voters: voters}, true
	}
	return t.nextCommand()
}

// nextCommand answers the requests that need no new value and returns the command
// of the first request that does. The promises of the attempt prove that no value
// newer than Chosen existed when the attempt began, and no more: a voter may have
// promised, then accepted and chosen a newer value with another proposer, before its
// promise arrived here. A request that arrived after the attempt began could get an
// answer that was outdated before it was sent, so it waits for the next attempt unless
// it needs a new value, which only the voters' acceptance can make chosen.
func (t *step) nextCommand() (Command, bool) {
	var rest []Request
	var command Command
	found := false
	for _, r := range t.Queue {
		if found || t.mustCatchUp(&r) {
			rest = append(rest, r)
			continue
		}
		o, propose := t.Chosen.Decide(&r.Command)
		switch {
		case propose:
			found, command, r.Proposed = true, r.Command, true
			rest = append(rest, r)
		case r.MissedPrepare:
			rest = append(rest, r)
		case r.Command.ChangesVoters() && o.Kind == Accepted:
			t.awaitReplication(r)
		default:
			t.answer(r.Token, o)
		}
	}
	t.Queue = rest
	return command, found
}

func (t *step) awaitReplication(r Request) {
	s := UnreplicatedChange{Token: r.Token, Version: t.Chosen.Version, New: r.Command.New}
	t.Unreplicated = append(slices.Clone(t.Unreplicated), s)
	for _, v := range t.Chosen.Voters {
		t.sendLearn(v)
	}
}

func (t *step) onAccepted(m *Message) {
	old := t.currentAttempt(m, accepting)
	if old == nil || slices.ContainsFunc(old.Accepts, func(v Voter) bool { return v.Entry == m.From.Entry }) {
		return
	}
	a := *old
	a.Accepts = append(slices.Clone(a.Accepts), m.From)
	t.Attempt = &a
	if len(a.Accepts) < t.quorum() {
		return
	}
	for _, to := range t.peers() {
		if to == t.Self.Entry {
			continue
		}
		m := t.message(MsgChosen, to)
		m.Version, m.Ballot = a.Version, a.Ballot
		t.send(m)
	}
	t.install(t.Chosen.Apply(&a.Command))
}

// onReject abandons the ballot. The caller's next Retry starts a higher one, after
// a random delay, so that two proposers do not preempt each other forever.
func (t *step) onReject(m *Message) {
	a := t.Attempt
	if a == nil || a.Version != m.Version || !a.Ballot.Less(m.Ballot) {
		return
	}
	t.Round = max(t.Round, m.Ballot.Round)
	t.endAttempt()
}

// endAttempt ends the attempt in progress. It reports whether requests have arrived too
// late for its promises.
func (t *step) endAttempt() (missed bool) {
	t.Attempt = nil
	queue := slices.Clone(t.Queue)
	for i := range queue {
		missed = missed || queue[i].MissedPrepare
		queue[i].MissedPrepare = false
	}
	if missed {
		t.Queue = queue
	}
	return missed
}
