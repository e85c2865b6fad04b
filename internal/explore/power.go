package explore

import (
	"fmt"
	"slices"

	"github.com/vanillagrade/vanillagrade/internal/consensus"
)

// power visits what the loss of all power may leave: each node finds a record that
// was written or none of those under way, and up to Wiped disks are lost.
func (m *Voters) power(w World, visit func(string, World)) {
	m.fail(w, 0, 0, "all lose power", func(action string, to World) {
		to.blackouts++
		if wrong := m.resumes(w, to); wrong != "" {
			h := m.histories.things[to.history]
			h.fail("%s", wrong)
			to.history = m.histories.number(h)
		}
		visit(action, to)
	})
}

// fail restarts the nodes from the given one on, in each way.
func (m *Voters) fail(w World, node, wiped int, action string, visit func(string, World)) {
	if node == len(m.Names) {
		visit(action, w)
		return
	}
	n := m.nodes.things[w.nodes[node]]
	m.fail(m.restarted(w, node, n.Disk, false), node+1, wiped, action, visit)
	for _, p := range n.Pending {
		kept := fmt.Sprintf("%s, %s keeps write %d", action, m.Names[node], p.Seq)
		m.fail(m.restarted(w, node, p.Record, false), node+1, wiped, kept, visit)
	}
	if wiped < m.Wiped {
		lost := fmt.Sprintf("%s, %s loses its disk", action, m.Names[node])
		m.fail(m.restarted(w, node, m.emptied(node, &n), true), node+1, wiped+1, lost, visit)
	}
}

// resumes reports what is wrong with a world in which all nodes have just started: a
// node that votes must find the newest acknowledged change with those that are there,
// as long as no more disks are lost than the voters bear.
func (m *Voters) resumes(before, w World) string {
	h := &m.histories.things[w.history]
	if len(h.Chosen) == 0 || h.Wrong != "" || !m.bearable(before, w, h) {
		return ""
	}
	newest, readers := &h.Chosen[len(h.Chosen)-1], 0
	for i := range m.Names {
		s := &m.nodes.things[w.nodes[i]].State
		if s.Chosen.Version == 0 || !s.Voting() || !newest.Votes(s.Self) {
			continue
		}
		found := m.readsBack(w, h, i, nobody)
		if found.wrong != "" {
			return fmt.Sprintf("after all lost power, %s %s", m.Names[i], found.wrong)
		}
		if found.voting && !found.answered {
			return fmt.Sprintf("after all lost power, %s can't read, though no more disks are lost than its voters bear", m.Names[i])
		}
		if found.answered {
			readers++
		}
		// They come back one after the other: with one still away nothing need be
		// found, but nothing older may be.
		for away := range m.Names {
			if found := m.readsBack(w, h, i, away); away != i && found.wrong != "" {
				return fmt.Sprintf("after all lost power, %s without %s %s", m.Names[i], m.Names[away], found.wrong)
			}
		}
	}
	if readers == 0 {
		return "after all lost power, nobody is left who can read"
	}
	return ""
}

// bearable reports whether the newest voters that were answered, and all later ones,
// have lost no more disks than they bear. A spare that is lost with them counts too:
// it may be about to vote.
func (m *Voters) bearable(before, w World, h *history) bool {
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
		if m.lost(before, w, voters) > (len(voters)-1)/2 {
			return false
		}
	}
	return true
}

// lost counts the voters whose disk is gone, and the other disks that went just now.
func (m *Voters) lost(before, w World, voters []consensus.Voter) int {
	lost := 0
	for i, name := range m.Names {
		then, now := m.nodes.things[before.nodes[i]].Disk.Self, m.nodes.things[w.nodes[i]].Disk.Self
		v := slices.IndexFunc(voters, func(v consensus.Voter) bool { return v.Entry == name })
		if v >= 0 && voters[v] != now || v < 0 && then != now {
			lost++
		}
	}
	return lost
}

const (
	// readToken names the read in a run after a loss of power.
	readToken consensus.Token = 1 << 20
	// rounds bounds the ballots of such a run: the reader learns what is newer, then
	// finishes what others had accepted, then reads.
	rounds = 8
	// steps bounds the messages of such a run.
	steps = 10_000
)

// recovery is a run without faults: one node reads, the others answer.
type recovery struct {
	m       *Voters
	away    int
	states  []consensus.State
	mail    []consensus.Message
	history history
	answer  *consensus.Outcome
}

// nobody is the number of no node.
const nobody = -1

// found is what a read after a loss of power came to.
type found struct {
	wrong string
	// answered says that the read came to its end, voting that the reader still
	// votes: it may finish the very change that takes its place away, and then
	// others have to be asked.
	answered, voting bool
}

// readsBack has one node read while another one may be away.
func (m *Voters) readsBack(w World, h *history, reader, away int) found {
	r := recovery{m: m, history: *h, away: away}
	for i := range m.Names {
		r.states = append(r.states, m.nodes.things[w.nodes[i]].State)
	}
	r.give(reader, consensus.Finish{})
	r.give(reader, consensus.Submit{Token: readToken, Command: consensus.Command{Kind: consensus.Read}})
	for range rounds {
		r.deliver()
		if r.answer != nil {
			break
		}
		r.give(reader, consensus.Retry{})
	}
	f := found{voting: r.states[reader].Voting(), answered: r.answer != nil && r.answer.Kind == consensus.Accepted}
	number := h.acknowledged(m.Operators)
	switch {
	case r.history.Wrong != "":
		f.wrong = "finds " + r.history.Wrong
	case f.answered && r.answer.Change.Number < number:
		f.wrong = fmt.Sprintf("reads number %d, though %d was acknowledged", r.answer.Change.Number, number)
	}
	return f
}

// acknowledged returns the highest number that an operator was told is accepted.
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
	for n := 0; len(r.mail) > 0 && n < steps; n++ {
		msg := r.mail[0]
		r.mail = r.mail[1:]
		if to := slices.Index(r.m.Names, msg.To); to >= 0 && to != r.away {
			r.give(to, consensus.Received{Message: msg})
		}
	}
}

// give has a node take an input; its writes are complete at once.
func (r *recovery) give(node int, in consensus.Input) {
	inputs := []consensus.Input{in}
	for len(inputs) > 0 {
		before := r.states[node].Chosen.Version
		s, out := r.m.step(r.states[node], inputs[0])
		r.states[node], inputs = s, inputs[1:]
		if s.Chosen.Version != before {
			r.history.choose(s.Chosen, r.m.Operators)
		}
		for _, w := range out.Writes {
			inputs = append(inputs, consensus.Synced{Seq: w.Seq})
		}
		for _, msg := range out.Messages {
			if msg.To == s.Self.Entry {
				inputs = append(inputs, consensus.Received{Message: msg})
				continue
			}
			r.mail = append(r.mail, msg)
		}
		for _, a := range out.Answers {
			if a.Token == readToken {
				r.answer = &a.Outcome
			}
		}
	}
}
