package consensus

import (
	"slices"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// step is one call of Step in progress.
type step struct {
	State
	out Output
	// dirty is set when the record has changed.
	dirty bool
	// afterSync are messages that may be sent only once the record is on disk.
	afterSync []Message
}

// Step applies one input and returns the new state. It does not modify anything
// that s refers to.
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
	case PeerAhead:
		t.send(t.message(MsgFetch, in.Peer))
	case GenesisKnown:
		t.setGenesis(in.Genesis)
	case Finish:
		if t.Accepted != nil || t.Chosen.Version == 0 {
			t.startAttempt(true)
		}
	}
	t.flush()
	return t.State, t.out
}

func (t *step) setGenesis(genesis []job.EntryID) {
	if len(t.Genesis) > 0 || t.Chosen.Version > 0 {
		return
	}
	names := slices.Clone(genesis)
	slices.Sort(names)
	t.Genesis = slices.Compact(names)
	t.startAttempt(true)
}

// flush issues a write if the record has changed, and holds back the messages
// that depend on it until it is complete.
func (t *step) flush() {
	if t.dirty {
		t.Issued++
		t.out.Writes = append(t.out.Writes, Write{Seq: t.Issued, Record: t.Record})
	}
	if len(t.afterSync) == 0 {
		return
	}
	if t.Done == t.Issued {
		t.out.Messages = append(t.out.Messages, t.afterSync...)
		return
	}
	// While a disk stalls, peers resend the same messages. Each reply is held
	// only once; otherwise the held replies would grow without bound.
	isHeld := func(m Message) bool { return t.alreadyHeld(&m) }
	t.afterSync = slices.DeleteFunc(t.afterSync, isHeld)
	if len(t.afterSync) > 0 {
		t.Held = append(slices.Clone(t.Held), heldMessages{Seq: t.Issued, Messages: t.afterSync})
	}
}

// alreadyHeld reports whether an equal message is held back already.
func (s *State) alreadyHeld(m *Message) bool {
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

// sendSynced sends m once the current record is on disk.
func (t *step) sendSynced(m Message) { t.afterSync = append(t.afterSync, m) }

func (t *step) answer(token Token, o Outcome) {
	t.out.Answers = append(t.out.Answers, Answer{Token: token, Outcome: o})
}
