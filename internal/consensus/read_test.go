package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Guards against a read that is answered by promises from before it arrived: while one of them was
// on its way, the other voters may have chosen and acknowledged a newer configuration.
func TestReadIsNotAnsweredByEarlierPromises(t *testing.T) {
	value := Value{Version: 4, Lineage: 1, Voters: []Voter{{"a", "a#0"}, {"b", "b#0"}, {"c", "c#0"}}, Change: Change{ID: "old", Number: 7}}
	nodes := map[job.EntryID]State{}
	for i, v := range value.Voters {
		nodes[v.Entry] = Start(Record{Self: v, Chosen: value}, nil, uint64(i+1))
	}
	var network []Message
	var answers []Answer
	var input func(to job.EntryID, in Input)
	input = func(to job.EntryID, in Input) {
		s, out := Step(nodes[to], in)
		nodes[to] = s
		answers = append(answers, out.Answers...)
		for _, w := range out.Writes {
			input(to, Synced{Seq: w.Seq})
		}
		for _, m := range out.Messages {
			if m.To == to {
				input(to, Received{Message: m})
				continue
			}
			network = append(network, m)
		}
	}
	// deliver delivers all messages between the entries, and leaves the others on their way.
	deliver := func(between ...job.EntryID) {
		for {
			var m *Message
			for i := range network {
				if has(between, network[i].From.Entry) && has(between, network[i].To) {
					taken := network[i]
					m = &taken
					network = append(network[:i:i], network[i+1:]...)
					break
				}
			}
			if m == nil {
				return
			}
			input(m.To, Received{Message: *m})
		}
	}
	input("a", Submit{Token: 1, Command: Command{Kind: Read}})
	input("c", Received{Message: take(&network, MsgPrepare, "c")})
	promise := take(&network, MsgPromise, "a")
	change := Change{ID: "new", Number: 8, Digest: DigestOf(nil)}
	input("b", Submit{Token: 2, Command: Command{Kind: Configure, Change: change}})
	for nodes["b"].Chosen.Change != change {
		deliver("b", "c")
		input("b", Retry{})
	}
	input("a", Submit{Token: 3, Command: Command{Kind: Read}})
	answers = nil
	input("a", Received{Message: promise})
	qt.Assert(t, answers, qt.DeepEquals, []Answer{{Token: 1, Outcome: Outcome{Kind: Accepted, Change: value.Change}}})
	for range 3 {
		deliver("a", "b", "c")
		input("a", Retry{})
	}
	qt.Assert(t, answers[1:], qt.DeepEquals, []Answer{{Token: 3, Outcome: Outcome{Kind: Accepted, Change: change}}})
}

func has(entries []job.EntryID, e job.EntryID) bool {
	for _, x := range entries {
		if x == e {
			return true
		}
	}
	return false
}

// take removes and returns the first message of a kind to an entry.
func take(network *[]Message, kind MessageKind, to job.EntryID) Message {
	for i, m := range *network {
		if m.Kind == kind && m.To == to {
			*network = append((*network)[:i:i], (*network)[i+1:]...)
			return m
		}
	}
	return Message{}
}
