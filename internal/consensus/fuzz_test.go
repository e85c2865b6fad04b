package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// A faulty peer, or one of another release, sends a message with inconsistent
// fields. A voter that crashed on such a message would crash again after each
// restart. It must keep running, and its chosen version must not decrease.
func FuzzStep(f *testing.F) {
	value := Value{Version: 1, Lineage: 1, Voters: []Voter{{"a", "a#0"}, {"b", "b#0"}, {"c", "c#0"}}}
	next := value.Apply(configure("x", 1, "x"))
	ballot := Ballot{Round: 1, Entry: "a", Incarnation: 1}
	proposal := &Proposal{Ballot: ballot, Command: *configure("x", 1, "x")}
	for kind := MsgPrepare; kind <= MsgLearned; kind++ {
		for _, m := range []Message{
			{Kind: kind, From: value.Voters[1], To: "a", Lineage: 1, Version: 2, Ballot: ballot, Accepted: proposal, Command: &proposal.Command, Value: &next},
			{Kind: kind, From: Voter{"b", "b#1"}, To: "a", Version: 1, Ballot: Ballot{Round: 9, Entry: "b"}},
			{Kind: kind, From: value.Voters[2], To: "a", Version: 7, Value: &Value{Version: 7}},
		} {
			b, err := cbor.Marshal(m)
			qt.Assert(f, err, qt.IsNil)
			f.Add(b)
		}
	}
	busy := Start(Record{Self: value.Voters[0], Chosen: value}, nil, 1)
	busy, _ = Step(busy, Submit{Token: 1, Command: *configure("y", 1, "y")})
	busy, _ = Step(busy, Submit{Token: 2, Command: Command{Kind: Replace, Old: "c", New: Voter{"d", "d#0"}}})
	blank := Start(Record{Self: Voter{"a", "a#9"}}, []job.EntryID{"a", "b", "c"}, 1)
	blank, _ = Step(blank, Finish{})
	stranger := Start(Record{Self: Voter{"x", "x#0"}}, nil, 1)
	f.Fuzz(func(t *testing.T, content []byte) {
		var m Message
		if cbor.Unmarshal(content, &m) != nil {
			return
		}
		for _, s := range []State{busy, blank, stranger} {
			version := s.Chosen.Version
			for _, in := range []Input{Received{m}, Retry{}, Received{m}, Synced{Seq: 9}, Finish{}, Abandon{Token: 1}} {
				s, _ = Step(s, in)
				if s.Chosen.Version < version {
					t.Fatalf("version went back from %d to %d", version, s.Chosen.Version)
				}
				version = s.Chosen.Version
			}
		}
	})
}
