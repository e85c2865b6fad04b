package consensus

import (
	"slices"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

func (t *step) onChosen(m *Message) {
	next := t.Chosen.Version + 1
	if m.Version < next {
		return
	}
	// The ballot identifies the value: a ballot carries one command, and this
	// node voted for it with the same preceding value.
	if m.Version == next && t.Accepted != nil && t.Accepted.Ballot == m.Ballot {
		t.install(t.Chosen.Apply(&t.Accepted.Command))
		t.acknowledge(m.From.Entry)
		return
	}
	t.send(t.message(MsgFetch, m.From.Entry))
}

func (t *step) onFetch(m *Message) {
	if m.Version < t.Chosen.Version {
		t.sendLearn(m.From)
	}
}

func (t *step) sendLearn(to Voter) {
	m := t.message(MsgLearn, to.Entry)
	value := t.Chosen
	m.Value = &value
	t.send(m)
}

func (t *step) onLearn(m *Message) {
	if m.Value == nil {
		return
	}
	if m.Value.Version > t.Chosen.Version {
		t.install(*m.Value)
	}
	t.acknowledge(m.From.Entry)
}

func (t *step) acknowledge(to job.EntryID) {
	t.sendSynced(t.message(MsgLearned, to))
}

// install makes v, which must be newer than the current value, the chosen value.
// It discards the promise and the accepted proposal of the version now decided.
func (t *step) install(v Value) {
	advanced := v.Version - t.Chosen.Version
	t.Chosen = v
	t.Promised, t.Accepted = Ballot{}, nil
	t.dirty = true
	t.endAttempt()
	queue := make([]Request, 0, len(t.Queue))
	for _, r := range t.Queue {
		if r.Command.Kind == Configure {
			if _, ok := v.changeByID(r.Command.Change.ID); ok {
				o, _ := v.Decide(&r.Command)
				t.answer(r.Token, o)
				continue
			}
		}
		// A proposal belongs to one version: once that version is decided with
		// another value, the proposal can no longer be chosen. If the node skipped
		// more versions than Recent covers, the outcome is not known.
		if advanced <= RecentLimit {
			r.Proposed = false
		}
		queue = append(queue, r)
	}
	t.Queue = queue
	if len(t.Queue) == 0 {
		t.Queue = nil
	}
	t.startAttempt(false)
}

func (t *step) onLearned(m *Message) {
	for i, r := range t.Queue {
		if r.Command.ChangesVoters() && r.Command.New == m.From && r.CaughtUp < m.Version {
			t.Queue = slices.Clone(t.Queue)
			t.Queue[i].CaughtUp = m.Version
		}
	}
	t.recordAck(m)
	if a := t.Attempt; a != nil && m.Version+1 == a.Version {
		t.resend(m.From.Entry)
		return
	}
	t.startAttempt(false)
}

// recordAck records which voters hold a membership change on disk. The change is
// answered only when the new voter and a majority of the new set of voters hold
// it: otherwise the loss of one more voter right after the repair could lose the
// change itself.
func (t *step) recordAck(m *Message) {
	var open []UnreplicatedChange
	for _, s := range t.Unreplicated {
		if m.Version >= s.Version && t.Chosen.Votes(m.From) && !slices.Contains(s.Acks, m.From) {
			s.Acks = append(slices.Clone(s.Acks), m.From)
		}
		if slices.Contains(s.Acks, s.New) && len(s.Acks) >= t.quorum() {
			t.answer(s.Token, Outcome{Kind: Accepted, Change: t.Chosen.Change})
			continue
		}
		open = append(open, s)
	}
	t.Unreplicated = open
}
