package consensus

import (
	"slices"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// step is one call of Step in progress.
type step struct {
	State
	out Output
	// dirty is set when the record changed.
	dirty bool
	// later are messages that rest on the record.
	later []Message
}

// Step carries out one input. It changes nothing that the given state refers to.
func Step(s State, in Input) (State, Output) {
	t := &step{State: s}
	switch in := in.(type) {
	case Received:
		t.receive(&in.Message)
	case Synced:
		t.synced(in.Seq)
	case Submit:
		t.submit(Request{Token: in.Token, Command: in.Command})
	case Abandon:
		t.abandon(in.Token)
	case Retry:
		t.retry()
	case Lagging:
		t.send(t.message(MsgFetch, in.Peer))
	case Founded:
		t.found(in.Genesis)
	case Finish:
		if t.Accepted != nil || t.Chosen.Version == 0 {
			t.begin(true)
		}
	}
	t.finish()
	return t.State, t.out
}

func (t *step) found(genesis []job.EntryID) {
	if len(t.Genesis) > 0 || t.Chosen.Version > 0 {
		return
	}
	names := slices.Clone(genesis)
	slices.Sort(names)
	t.Genesis = slices.Compact(names)
	t.begin(true)
}

// finish issues the write and holds back what rests on it.
func (t *step) finish() {
	if t.dirty {
		t.Issued++
		t.out.Writes = append(t.out.Writes, Write{Seq: t.Issued, Record: t.Record})
	}
	if len(t.later) == 0 {
		return
	}
	if t.Done == t.Issued {
		t.out.Messages = append(t.out.Messages, t.later...)
		return
	}
	// While a disk stalls, the same messages come again and again. Each reply
	// waits once, or the waiting replies would grow without bound.
	waits := func(m Message) bool { return t.waits(&m) }
	t.later = slices.DeleteFunc(t.later, waits)
	if len(t.later) > 0 {
		t.Held = append(slices.Clone(t.Held), held{Seq: t.Issued, Messages: t.later})
	}
}

// waits reports whether an equal message is held back already.
func (s *State) waits(m *Message) bool {
	for _, h := range s.Held {
		for i := range h.Messages {
			k := &h.Messages[i]
			if k.Kind == m.Kind && k.To == m.To && k.Version == m.Version && k.Ballot == m.Ballot && k.Accepted == m.Accepted {
				return true
			}
		}
	}
	return false
}

func (t *step) synced(seq uint64) {
	t.Done = max(t.Done, seq)
	rest := slices.Clone(t.Held)
	for len(rest) > 0 && rest[0].Seq <= t.Done {
		t.out.Messages = append(t.out.Messages, rest[0].Messages...)
		rest = rest[1:]
	}
	t.Held = slices.Clip(rest)
	if len(t.Held) == 0 {
		t.Held = nil
	}
}

func (t *step) receive(m *Message) {
	if m.Lineage != 0 && t.Chosen.Lineage != 0 && m.Lineage != t.Chosen.Lineage {
		return
	}
	switch m.Kind {
	case MsgPrepare:
		t.onPrepare(m)
	case MsgAccept:
		t.onAccept(m)
	case MsgPromise:
		t.onPromise(m)
	case MsgAccepted:
		t.onAccepted(m)
	case MsgReject:
		t.onReject(m)
	case MsgChosen:
		t.onChosen(m)
	case MsgFetch:
		t.onFetch(m)
	case MsgLearn:
		t.onLearn(m)
	case MsgLearned:
		t.onLearned(m)
	}
}

func (t *step) message(kind MessageKind, to job.EntryID) Message {
	return Message{Kind: kind, From: t.Self, To: to, Lineage: t.Chosen.Lineage, Version: t.Chosen.Version}
}

func (t *step) send(m Message) { t.out.Messages = append(t.out.Messages, m) }

// sendSynced sends m once the record as it stands now is on disk.
func (t *step) sendSynced(m Message) { t.later = append(t.later, m) }

func (t *step) answer(token Token, o Outcome) {
	t.out.Answers = append(t.out.Answers, Answer{Token: token, Outcome: o})
}
