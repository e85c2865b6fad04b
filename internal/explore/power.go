package explore

import (
	"fmt"
	"slices"

	"github.com/vanillagrade/vanillagrade/internal/consensus"
)

// losePower visits the worlds that may follow a power loss at all nodes: each node
// restarts from its last completed write or from one of its pending writes, and up
// to LostDisksPerPowerLoss nodes lose their disks.
func (m *Voters) losePower(w World, visit func(string, World)) {
	m.restartAll(w, 0, 0, "all lose power", func(action string, to World) {
		to.powerLosses++
		if wrong := m.checkRecovery(w, to); wrong != "" {
			h := m.histories.values[to.history]
			h.fail("%s", wrong)
			to.history = m.histories.number(h)
		}
		visit(action, to)
	})
}

// restartAll restarts the nodes from the given one on, in every possible
// combination of records and lost disks.
func (m *Voters) restartAll(w World, node, lostDisks int, action string, visit func(string, World)) {
	if node == len(m.Names) {
		visit(action, w)
		return
	}
	n := m.nodes.values[w.nodes[node]]
	m.restartAll(m.restarted(w, node, n.Disk, false), node+1, lostDisks, action, visit)
	for _, p := range n.Pending {
		kept := fmt.Sprintf("%s, %s keeps write %d", action, m.Names[node], p.Seq)
		m.restartAll(m.restarted(w, node, p.Record, false), node+1, lostDisks, kept, visit)
	}
	if lostDisks < m.LostDisksPerPowerLoss {
		lost := fmt.Sprintf("%s, %s loses its disk", action, m.Names[node])
		m.restartAll(m.restarted(w, node, m.emptyRecord(node, &n), true), node+1, lostDisks+1, lost, visit)
	}
}

// checkRecovery returns what is wrong with a world in which all nodes have just
// restarted, or an empty string. As long as no more disks are lost than the voters
// tolerate, each voting node must be able to read the newest acknowledged change
// from the nodes that remain.
func (m *Voters) checkRecovery(before, w World) string {
	h := &m.histories.values[w.history]
	if len(h.Chosen) == 0 || h.Wrong != "" || !m.withinTolerance(before, w, h) {
		return ""
	}
	newest, readers := &h.Chosen[len(h.Chosen)-1], 0
	for i := range m.Names {
		s := &m.nodes.values[w.nodes[i]].State
		if s.Chosen.Version == 0 || !s.Voting() || !newest.Votes(s.Self) {
			continue
		}
		found := m.readAfterPowerLoss(w, h, i, noNode)
		if found.violation != "" {
			return fmt.Sprintf("after all lost power, %s %s", m.Names[i], found.violation)
		}
		if found.voting && !found.answered {
			return fmt.Sprintf("after all lost power, %s can't read, though no more disks are lost than its voters tolerate", m.Names[i])
		}
		if found.answered {
			readers++
		}
		// Nodes restart one after the other. While one is still down, the read
		// need not succeed, but it must not return an older change.
		for down := range m.Names {
			if found := m.readAfterPowerLoss(w, h, i, down); down != i && found.violation != "" {
				return fmt.Sprintf("after all lost power, %s without %s %s", m.Names[i], m.Names[down], found.violation)
			}
		}
	}
	if readers == 0 {
		return "after all lost power, no node can read"
	}
	return ""
}

// withinTolerance reports whether the newest acknowledged set of voters, and each
// later one, has lost no more disks than it tolerates. A spare that is lost with
// them counts too: it may be about to become a voter.
func (m *Voters) withinTolerance(before, w World, h *history) bool {
	settled := 0
	for _, a := range h.Answers {
		c := &m.Operators[a.Operator].Command
		if !c.ChangesVoters() || a.Outcome.Kind != consensus.Accepted {
			continue
		}
		i := slices.IndexFunc(h.Chosen, func(v consensus.Value) bool { return v.Votes(c.New) })
		settled = max(settled, i)
	}
	for i := range h.Chosen[settled:] {
		voters := h.Chosen[settled+i].Voters
		if m.countLostDisks(before, w, voters) > (len(voters)-1)/2 {
			return false
		}
	}
	return true
}

// countLostDisks counts the voters whose disk is lost, and the other nodes whose
// disk was lost between before and w.
func (m *Voters) countLostDisks(before, w World, voters []consensus.Voter) int {
	lost := 0
	for i, name := range m.Names {
		then, now := m.nodes.values[before.nodes[i]].Disk.Self, m.nodes.values[w.nodes[i]].Disk.Self
		v := slices.IndexFunc(voters, func(v consensus.Voter) bool { return v.Entry == name })
		if v >= 0 && voters[v] != now || v < 0 && then != now {
			lost++
		}
	}
	return lost
}

const (
	// readToken is the token of the read after a power loss.
	readToken consensus.Token = 1 << 20
	// maxRounds bounds the attempts of such a read: the reader first learns the
	// newer values, then finishes the proposals that others accepted, then reads.
	maxRounds = 8
	// maxDeliveries bounds the messages delivered in one round.
	maxDeliveries = 10_000
)

// recovery is a run without faults after a power loss: one node reads, the others
// answer.
type recovery struct {
	m       *Voters
	down    int
	states  []consensus.State
	queue   []consensus.Message
	history history
	answer  *consensus.Outcome
}

// noNode is an index that belongs to no node.
const noNode = -1

// readResult is the result of a read after a power loss.
type readResult struct {
	violation string
	// answered is set if the read succeeded. voting is set if the reader is still
	// a voter: it may itself complete the change that replaces it, and then the
	// other nodes have to be asked.
	answered, voting bool
}

// readAfterPowerLoss lets one node read while the node down, unless it is noNode,
// receives no messages.
func (m *Voters) readAfterPowerLoss(w World, h *history, reader, down int) readResult {
	r := recovery{m: m, history: *h, down: down}
	for i := range m.Names {
		r.states = append(r.states, m.nodes.values[w.nodes[i]].State)
	}
	r.apply(reader, consensus.Finish{})
	r.apply(reader, consensus.Submit{Token: readToken, Command: consensus.Command{Kind: consensus.Read}})
	for range maxRounds {
		r.deliver()
		if r.answer != nil {
			break
		}
		r.apply(reader, consensus.Retry{})
	}
	f := readResult{voting: r.states[reader].Voting(), answered: r.answer != nil && r.answer.Kind == consensus.Accepted}
	number := h.acknowledged(m.Operators)
	switch {
	case r.history.Wrong != "":
		f.violation = "finds " + r.history.Wrong
	case f.answered && r.answer.Change.Number < number:
		f.violation = fmt.Sprintf("reads number %d, though %d was acknowledged", r.answer.Change.Number, number)
	}
	return f
}

// acknowledged returns the highest configuration number that was reported to an
// operator as accepted.
func (h *history) acknowledged(operators []Operator) uint64 {
	var number uint64
	for _, a := range h.Answers {
		c := &operators[a.Operator].Command
		if c.Kind == consensus.Configure && a.Outcome.Kind == consensus.Accepted {
			number = max(number, c.Change.Number)
		}
	}
	return number
}

func (r *recovery) deliver() {
	for n := 0; len(r.queue) > 0 && n < maxDeliveries; n++ {
		msg := r.queue[0]
		r.queue = r.queue[1:]
		if to := slices.Index(r.m.Names, msg.To); to >= 0 && to != r.down {
			r.apply(to, consensus.Received{Message: msg})
		}
	}
}

// apply applies an input to a node and completes its writes at once.
func (r *recovery) apply(node int, in consensus.Input) {
	inputs := []consensus.Input{in}
	for len(inputs) > 0 {
		before := r.states[node].Chosen.Version
		s, out := r.m.step(r.states[node], inputs[0])
		r.states[node], inputs = s, inputs[1:]
		if s.Chosen.Version != before {
			r.history.recordChosen(s.Chosen, r.m.Operators)
		}
		for _, w := range out.Writes {
			inputs = append(inputs, consensus.Synced{Seq: w.Seq})
		}
		for _, msg := range out.Messages {
			if msg.To == s.Self.Entry {
				inputs = append(inputs, consensus.Received{Message: msg})
				continue
			}
			r.queue = append(r.queue, msg)
		}
		for _, a := range out.Answers {
			if a.Token == readToken {
				r.answer = &a.Outcome
			}
		}
	}
}
