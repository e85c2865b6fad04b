package explore

import (
	"fmt"
	"slices"

	"github.com/vanillagrade/vanillagrade/internal/consensus"
)

// effect computes the result of one input at one node.
func (m *Voters) effect(number uint32, input uint64) effect {
	n := m.nodes.values[number]
	before := n.State.Chosen.Version
	var in consensus.Input
	switch {
	case input < inputSync:
		in = consensus.Received{Message: m.messages.values[input]}
	case input == inputSync:
		last := n.Pending[len(n.Pending)-1]
		back := last.Record.Chosen.Version < n.Disk.Chosen.Version
		n.Disk, n.Pending = last.Record, nil
		e := m.finishEffect(n, before, consensus.Synced{Seq: last.Seq})
		e.wentBack = back
		return e
	case input == inputRetry:
		in = consensus.Retry{}
	case input == inputFinish:
		in = consensus.Finish{}
	case input < inputAbandon:
		o := input - inputSubmit
		in = consensus.Submit{Token: consensus.Token(o), Command: m.Operators[o].Command}
	default:
		in = consensus.Abandon{Token: consensus.Token(input - inputAbandon)}
	}
	return m.finishEffect(n, before, in)
}

func (m *Voters) finishEffect(n nodeState, before uint64, in consensus.Input) effect {
	var e effect
	inputs := []consensus.Input{in}
	for len(inputs) > 0 {
		var out consensus.Output
		n.State, out = m.step(n.State, inputs[0])
		inputs = inputs[1:]
		for _, msg := range out.Messages {
			if msg.To == n.State.Self.Entry {
				// As in production, a node receives its own messages at once.
				inputs = append(inputs, consensus.Received{Message: msg})
				continue
			}
			if m.isIrrelevant(&msg) {
				continue
			}
			number := m.messages.number(msg)
			if number > 0xffff {
				panic("explore: more than 65536 distinct messages")
			}
			e.sent = append(e.sent, uint16(number))
		}
		e.answers = append(e.answers, out.Answers...)
		for _, w := range out.Writes {
			switch {
			case m.EarlySend:
				n.Pending = append(slices.Clone(n.Pending), w)
				inputs = append(inputs, consensus.Synced{Seq: w.Seq})
			case m.SyncAtOnce:
				n.Disk = w.Record
				inputs = append(inputs, consensus.Synced{Seq: w.Seq})
			default:
				n.Pending = append(slices.Clone(n.Pending), w)
			}
		}
	}
	if n.State.Chosen.Version != before {
		v := n.State.Chosen
		e.chosen = &v
	}
	renumber(&n)
	e.node = m.nodes.number(n)
	return e
}

// renumber numbers writes relative to the last completed one, so that states that
// differ only in the number of earlier writes become equal.
func renumber(n *nodeState) {
	done := n.State.Done
	n.State.Issued -= done
	n.State.Done = 0
	n.State.Held = slices.Clone(n.State.Held)
	for i := range n.State.Held {
		n.State.Held[i].Seq -= done
	}
	n.Pending = slices.Clone(n.Pending)
	for i := range n.Pending {
		n.Pending[i].Seq -= done
	}
}

// isObsolete reports whether a message can never again have an effect on the node.
// Removing such messages from the network merges equivalent states.
func (m *Voters) isObsolete(n *nodeState, msg *consensus.Message, lossless bool) bool {
	durable := n.Disk.Chosen.Version
	switch msg.Kind {
	case consensus.MsgPromise, consensus.MsgAccepted:
		// A ballot is used for one attempt, and an attempt in its accept phase
		// ignores further promises.
		a := n.State.Attempt
		if a == nil || a.Ballot != msg.Ballot || a.Version != msg.Version {
			return true
		}
		if msg.Kind == consensus.MsgPromise {
			return a.Command.Kind != 0 || slices.ContainsFunc(a.Promises, func(p consensus.Promise) bool { return p.From == msg.From })
		}
		return slices.Contains(a.Accepts, msg.From)
	case consensus.MsgReject, consensus.MsgChosen:
		return lossless && msg.Version <= durable
	case consensus.MsgLearn:
		return lossless && msg.Value.Version <= durable && m.isIrrelevant(&consensus.Message{Kind: consensus.MsgLearned})
	}
	return false
}

// isIrrelevant reports whether a message can't have an effect in this model: a
// MsgLearned counts only for a membership change.
func (m *Voters) isIrrelevant(msg *consensus.Message) bool {
	return msg.Kind == consensus.MsgLearned && !slices.ContainsFunc(m.Operators, func(o Operator) bool {
		return o.Command.ChangesVoters()
	})
}

func (m *Voters) step(s consensus.State, in consensus.Input) (consensus.State, consensus.Output) {
	if m.OnStep != nil {
		return m.OnStep(consensus.Step, s, in)
	}
	return consensus.Step(s, in)
}

// crash visits the worlds that may follow a crash of the node or the loss of its
// disk.
func (m *Voters) crash(w World, node int, visit func(string, World)) {
	n := m.nodes.values[w.nodes[node]]
	if int(w.crashes) < m.Crashes {
		to := m.restarted(w, node, n.Disk, false)
		to.crashes++
		visit(fmt.Sprintf("%s crashes and loses what was not synced", m.Names[node]), to)
		for _, p := range n.Pending {
			to := m.restarted(w, node, p.Record, false)
			to.crashes++
			visit(fmt.Sprintf("%s crashes and keeps write %d", m.Names[node], p.Seq), to)
		}
	}
	if int(w.losses) < m.Losses {
		to := m.restarted(w, node, m.emptyRecord(node, &n), true)
		to.losses++
		visit(fmt.Sprintf("%s loses its disk", m.Names[node]), to)
	}
}

// emptyRecord returns the record of a node whose disk was lost.
func (m *Voters) emptyRecord(node int, n *nodeState) consensus.Record {
	return consensus.Record{Self: consensus.Voter{Entry: m.Names[node], Identity: diskName(m.Names[node], n.Disks+1)}}
}

// restarted returns the world in which a node has restarted from a record.
func (m *Voters) restarted(w World, node int, r consensus.Record, lost bool) World {
	n := m.nodes.values[w.nodes[node]]
	if m.OnRestart != nil {
		r = m.OnRestart(r, n.State, lost)
	}
	n.Incarnation++
	if lost {
		n.Disks++
	}
	n.Disk, n.Pending = r, nil
	n.State = consensus.Start(r, m.Names[:m.Genesis], m.incarnationOf(node, n.Incarnation))
	w.nodes[node] = m.nodes.number(n)
	return w
}

// observe returns the number of the history of w with an effect added.
func (m *Voters) observe(w World, e effect, input uint64) uint32 {
	h := m.histories.values[w.history]
	h.Answers = slices.Clone(h.Answers)
	if input >= inputSubmit && input < inputAbandon {
		o := input - inputSubmit
		h.Submitted[o]++
		if n := len(h.Chosen); n > 0 && m.Operators[o].Command.Kind == consensus.Read {
			h.NewestAtRead[o] = h.Chosen[n-1].Change.Number
		}
	}
	if e.wentBack {
		h.fail("a disk reverted to an older version")
	}
	if e.chosen != nil {
		h.recordChosen(*e.chosen, m.Operators)
	}
	for _, a := range e.answers {
		m.recordAnswer(w, &h, int(a.Token), a.Outcome)
	}
	return m.histories.number(h)
}

// fail records a violation, unless an earlier one is recorded.
func (h *history) fail(format string, args ...any) {
	if h.Wrong == "" {
		h.Wrong = fmt.Sprintf(format, args...)
	}
}

// recordChosen records that a node considers v chosen, and checks v against the
// values chosen before.
func (h *history) recordChosen(v consensus.Value, operators []Operator) {
	for i := range h.Chosen {
		if h.Chosen[i].Version != v.Version {
			continue
		}
		if !sameValue(&h.Chosen[i], &v) {
			h.fail("two values of version %d: number %d of %q with voters %v, and number %d of %q with voters %v", v.Version,
				h.Chosen[i].Change.Number, h.Chosen[i].Change.ID, h.Chosen[i].Voters, v.Change.Number, v.Change.ID, v.Voters)
		}
		return
	}
	if n := len(h.Chosen); n > 0 {
		last := &h.Chosen[n-1]
		if v.Version != last.Version+1 {
			h.fail("version %d chosen after version %d", v.Version, last.Version)
		}
		if v.Change != last.Change && v.Change.Number <= last.Change.Number {
			h.fail("number %d chosen after number %d", v.Change.Number, last.Change.Number)
		}
		h.checkCordons(last, &v, operators)
	}
	h.Chosen = append(slices.Clone(h.Chosen), v)
	for _, a := range h.Answers {
		h.checkAnswer(a, operators)
	}
}

// checkCordons checks that each cordon that differs from the last value was changed by an
// operator who knew the last value's revision of it.
func (h *history) checkCordons(last, v *consensus.Value, operators []Operator) {
	for _, c := range v.Cordons {
		before := last.Cordon(c.Zone)
		if c == before {
			continue
		}
		wanted := consensus.Cordon{Zone: c.Zone, Active: c.Active, Revision: before.Revision}
		if !slices.ContainsFunc(operators, func(o Operator) bool { return o.Command.Cordon == wanted }) {
			h.fail("the cordon of %s at revision %d was changed by a request for another revision", c.Zone, before.Revision)
		}
	}
	for _, c := range last.Cordons {
		if v.Cordon(c.Zone).Revision < c.Revision {
			h.fail("the cordon of %s at revision %d is lost", c.Zone, c.Revision)
		}
	}
}

func sameValue(a, b *consensus.Value) bool {
	return a.Lineage == b.Lineage && a.Change == b.Change && slices.Equal(a.Voters, b.Voters) && slices.Equal(a.Recent, b.Recent) && slices.Equal(a.Cordons, b.Cordons)
}

// recordAnswer records an answer and checks it against the history so far.
func (m *Voters) recordAnswer(w World, h *history, operator int, o consensus.Outcome) {
	a := answerRecord{Operator: operator, Outcome: o, Submitted: h.Submitted[operator], NewestAtRead: h.NewestAtRead[operator]}
	if !slices.Contains(h.Answers, a) {
		h.Answers = append(h.Answers, a)
		slices.SortFunc(h.Answers, func(a, b answerRecord) int { return a.Operator - b.Operator })
	}
	h.checkAnswer(a, m.Operators)
	c := &m.Operators[operator].Command
	if c.ChangesVoters() && o.Kind == consensus.Accepted {
		m.checkReplicated(w, h, c.New)
	}
}

// checkAnswer compares one answer with the chosen values.
func (h *history) checkAnswer(a answerRecord, operators []Operator) {
	c := &operators[a.Operator].Command
	if c.Kind == consensus.Read && a.Outcome.Kind == consensus.Accepted && a.Outcome.Change.Number < a.NewestAtRead {
		h.fail("a read was answered with number %d, though %d had been chosen before it was submitted", a.Outcome.Change.Number, a.NewestAtRead)
	}
	if c.Kind != consensus.Configure {
		return
	}
	chosen := slices.ContainsFunc(h.Chosen, func(v consensus.Value) bool { return v.Change == c.Change })
	switch a.Outcome.Kind {
	case consensus.Accepted:
		if !chosen {
			h.fail("operator %d was answered accepted, but %q is not chosen", a.Operator, c.Change.ID)
		}
	case consensus.Conflicted, consensus.Reused:
		if chosen {
			h.fail("operator %d was answered conflict, but %q is chosen", a.Operator, c.Change.ID)
		}
	case consensus.Unavailable:
		if chosen && a.Submitted == 1 && h.Submitted[a.Operator] == 1 {
			h.fail("operator %d was answered unavailable, but %q is chosen", a.Operator, c.Change.ID)
		}
	}
}

// checkReplicated checks that a membership change that was answered is on the disk
// of the new voter and of a majority, so that the next loss can't undo it.
func (m *Voters) checkReplicated(w World, h *history, updated consensus.Voter) {
	i := slices.IndexFunc(h.Chosen, func(v consensus.Value) bool { return v.Votes(updated) })
	if i < 0 {
		h.fail("a membership change was answered but is not chosen")
		return
	}
	value := &h.Chosen[i]
	holders, newVoterHolds := 0, false
	for _, voter := range value.Voters {
		n := slices.Index(m.Names, voter.Entry)
		disk := &m.nodes.values[w.nodes[n]].Disk
		// A disk that was lost since then may have held the change when it
		// confirmed it.
		if disk.Self == voter && disk.Chosen.Version < value.Version {
			continue
		}
		holders++
		newVoterHolds = newVoterHolds || voter == updated
	}
	if !newVoterHolds || holders < len(value.Voters)/2+1 {
		h.fail("a membership change was answered with only %d disks holding it (new voter among them: %v)", holders, newVoterHolds)
	}
}
