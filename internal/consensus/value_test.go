package consensus

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

func configure(id string, number uint64, body string) *Command {
	return &Command{Kind: Configure, Change: Change{ID: id, Number: number, Digest: DigestOf([]byte(body))}, Body: []byte(body)}
}

func TestDecide(t *testing.T) {
	v := Value{Version: 1, Voters: []Voter{{"a", "a#0"}, {"b", "b#0"}, {"c", "c#0"}}}
	for _, c := range []*Command{configure("one", 1, "x"), configure("three", 3, "y")} {
		v = v.Apply(c)
	}
	one, three := v.Recent[0], v.Recent[1]
	swap := func(old job.EntryID, updated Voter) *Command { return &Command{Kind: Replace, Old: old, New: updated} }
	cases := map[string]struct {
		command *Command
		outcome Outcome
		propose bool
	}{
		"higher number":               {configure("four", 4, "z"), Outcome{}, true},
		"resent":                      {configure("three", 3, "y"), Outcome{Kind: Accepted, Change: three}, false},
		"resent after another":        {configure("one", 1, "x"), Outcome{Kind: Accepted, Change: one}, false},
		"id of another file":          {configure("one", 9, "w"), Outcome{Kind: Reused, Change: one}, false},
		"same file under another id":  {configure("again", 3, "y"), Outcome{Kind: Accepted, Change: three}, false},
		"equal number, other file":    {configure("late", 3, "z"), Outcome{Kind: Conflicted, Change: three}, false},
		"old number that was used":    {configure("late", 1, "z"), Outcome{Kind: Conflicted, Change: one}, false},
		"old number that was skipped": {configure("late", 2, "z"), Outcome{Kind: Conflicted, Change: three}, false},
		"read":                        {&Command{Kind: Read}, Outcome{Kind: Accepted, Change: three}, false},
		"replace":                     {swap("c", Voter{"d", "d#0"}), Outcome{}, true},
		"replace by a new disk":       {swap("c", Voter{"c", "c#1"}), Outcome{}, true},
		"replace again":               {swap("x", Voter{"c", "c#0"}), Outcome{Kind: Accepted, Change: three}, false},
		"replace a non-voter":         {swap("x", Voter{"d", "d#0"}), Outcome{Kind: NotVoting, Change: three}, false},
		"replace by another voter":    {swap("c", Voter{"b", "b#1"}), Outcome{Kind: NotVoting, Change: three}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			outcome, propose := v.Decide(c.command)
			qt.Assert(t, outcome, qt.Equals, c.outcome)
			qt.Assert(t, propose, qt.Equals, c.propose)
		})
	}
}

// A fleet runs for years. If a value grew with each change, restarts would become
// slower and records larger until a write no longer completed in time.
func TestValueDoesNotGrowWithChanges(t *testing.T) {
	v := Value{Version: 1}
	size := func() int {
		b, err := cbor.Marshal(v)
		qt.Assert(t, err, qt.IsNil)
		return len(b)
	}
	sizes := map[int]int{}
	for n := 1; n <= 20000; n++ {
		before := v
		v = v.Apply(configure(fmt.Sprintf("01JE%022d", n), uint64(n), "body"))
		qt.Assert(t, before.Version+1, qt.Equals, v.Version)
		if n%5000 == 0 || n == 10 {
			sizes[n] = size()
		}
	}
	t.Logf("bytes by changes: %v", sizes)
	qt.Assert(t, len(v.Recent), qt.Equals, RecentLimit)
	qt.Assert(t, sizes[20000] < 50<<10, qt.IsTrue)
	qt.Assert(t, sizes[20000]-sizes[5000] < 2048, qt.IsTrue)
}

// A voter's disk stalls for minutes while a proposer keeps resending its message.
// The held replies must not accumulate, and none may be sent before the write is
// complete.
func TestStalledDiskHoldsEachReplyOnce(t *testing.T) {
	value := Value{Version: 1, Lineage: 1, Voters: []Voter{{"a", "a#0"}, {"b", "b#0"}, {"c", "c#0"}}}
	s := Start(Record{Self: value.Voters[0], Chosen: value}, nil, 1)
	prepare := Message{Kind: MsgPrepare, From: value.Voters[1], To: "a", Version: 2, Ballot: Ballot{Round: 1, Entry: "b", Incarnation: 2}}
	for range 100 {
		var out Output
		s, out = Step(s, Received{prepare})
		qt.Assert(t, out.Messages, qt.HasLen, 0)
	}
	qt.Assert(t, s.Held, qt.HasLen, 1)
	s, out := Step(s, Synced{Seq: s.Issued})
	qt.Assert(t, out.Messages, qt.HasLen, 1)
	qt.Assert(t, out.Messages[0].Kind, qt.Equals, MsgPromise)
	_, out = Step(s, Received{prepare})
	qt.Assert(t, out.Messages, qt.HasLen, 1, qt.Commentf("a reply that depends on no new write is sent at once"))
}

// Two fleets share a network because of a wrong setting. A message of the other
// fleet must not count as a vote or a value of this one.
func TestOtherLineageIsIgnored(t *testing.T) {
	value := Value{Version: 1, Lineage: 1, Voters: []Voter{{"a", "a#0"}}}
	s := Start(Record{Self: value.Voters[0], Chosen: value}, nil, 1)
	other := Value{Version: 9, Lineage: 2}
	next, out := Step(s, Received{Message{Kind: MsgLearn, From: Voter{"b", "b#0"}, To: "a", Lineage: 2, Version: 9, Value: &other}})
	qt.Assert(t, next.Chosen.Version, qt.Equals, uint64(1))
	qt.Assert(t, out.Messages, qt.HasLen, 0)
}

// An entry lost its disk and restarts under its old name, with a release that
// votes nevertheless. Its vote may contradict an earlier one that it lost, so the
// proposer must not count it.
func TestVoteOfAnUnknownDiskIsNotCounted(t *testing.T) {
	value := Value{Version: 1, Lineage: 1, Voters: []Voter{{"a", "a#0"}, {"b", "b#0"}, {"c", "c#0"}}}
	s := Start(Record{Self: value.Voters[0], Chosen: value}, nil, 1)
	s, _ = Step(s, Submit{Token: 1, Command: *configure("x", 1, "x")})
	vote := func(from Voter) Message {
		return Message{Kind: MsgPromise, From: from, To: "a", Version: 2, Ballot: s.Attempt.Ballot}
	}
	s, _ = Step(s, Received{vote(Voter{"a", "a#0"})})
	s, _ = Step(s, Received{vote(Voter{"b", "b#1"})})
	qt.Assert(t, s.Attempt.Phase, qt.Equals, preparing)
	s, _ = Step(s, Received{vote(Voter{"b", "b#0"})})
	qt.Assert(t, s.Attempt.Phase, qt.Equals, accepting)
}

// The same rule on the voter's side: a new disk that has caught up under a known
// entry name must not vote.
func TestUnknownDiskDoesNotVote(t *testing.T) {
	value := Value{Version: 1, Lineage: 1, Voters: []Voter{{"a", "a#0"}, {"b", "b#0"}, {"c", "c#0"}}}
	prepare := Message{Kind: MsgPrepare, From: value.Voters[0], To: "b", Version: 2, Ballot: Ballot{Round: 1, Entry: "a", Incarnation: 1}}
	for identity, replies := range map[Identity]int{"b#0": 1, "b#1": 0} {
		s := Start(Record{Self: Voter{"b", identity}, Chosen: value}, nil, 1)
		s, out := Step(s, Received{prepare})
		s, after := Step(s, Synced{Seq: s.Issued})
		qt.Assert(t, len(out.Messages)+len(after.Messages), qt.Equals, replies)
		qt.Assert(t, s.Promised == prepare.Ballot, qt.Equals, replies == 1)
	}
}

// Guards against a repair that is refused whenever a configuration is accepted in between, and
// against one that two entries carry out.
func TestVoterChangeFollowsOneSetOfVoters(t *testing.T) {
	v := Value{Version: 1, Voters: []Voter{{"a", "a#0"}, {"b", "b#0"}, {"c", "c#0"}}}
	commands := []*Command{
		{Kind: Replace, Old: "c", New: Voter{"c", "c#1"}, ExpectVoters: v.Voters},
		{Kind: Add, New: Voter{"d", "d#0"}, ExpectVoters: v.Voters},
	}
	configured := v.Apply(configure("one", 1, "x"))
	repaired := configured.Apply(&Command{Kind: Replace, Old: "b", New: Voter{"b", "b#1"}})
	for _, c := range commands {
		_, propose := configured.Decide(c)
		qt.Check(t, propose, qt.IsTrue)
		o, propose := repaired.Decide(c)
		qt.Check(t, propose, qt.IsFalse)
		qt.Check(t, o.Kind, qt.Equals, NotVoting)
	}
}

// An operator replaces a voter by an unreachable entry. If that entry became a
// voter at once, the fleet would rely on a copy that does not exist: the old voter
// must stay until the new one has caught up.
func TestReplacementWaitsUntilTheNewVoterHasCaughtUp(t *testing.T) {
	value := Value{Version: 4, Lineage: 1, Voters: []Voter{{"a", "a#0"}, {"b", "b#0"}, {"c", "c#0"}}}
	s := Start(Record{Self: value.Voters[0], Chosen: value}, nil, 1)
	spare := Voter{"d", "d#0"}
	kinds := func(out Output) map[MessageKind]int {
		n := map[MessageKind]int{}
		for _, m := range out.Messages {
			n[m.Kind]++
		}
		return n
	}
	s, out := Step(s, Submit{Token: 1, Command: Command{Kind: Replace, Old: "c", New: spare}})
	qt.Assert(t, kinds(out), qt.DeepEquals, map[MessageKind]int{MsgLearn: 1})
	s, out = Step(s, Retry{})
	qt.Assert(t, kinds(out), qt.DeepEquals, map[MessageKind]int{MsgLearn: 1})
	s, out = Step(s, Received{Message{Kind: MsgLearned, From: Voter{"d", "d#1"}, To: "a", Version: 4}})
	qt.Assert(t, kinds(out)[MsgPrepare], qt.Equals, 0, qt.Commentf("another disk of the same entry"))
	_, out = Step(s, Received{Message{Kind: MsgLearned, From: spare, To: "a", Version: 4}})
	qt.Assert(t, kinds(out), qt.DeepEquals, map[MessageKind]int{MsgPrepare: 3})
}

// Guards against a repair that never begins: each configuration that is accepted while the new
// disk catches up would put it behind again.
func TestVoterChangeIsProposedBesideConfigurations(t *testing.T) {
	value := Value{Version: 4, Lineage: 1, Voters: []Voter{{"a", "a#0"}, {"b", "b#0"}, {"c", "c#0"}}}
	emptied := Voter{"c", "c#1"}
	s := Start(Record{Self: value.Voters[0], Chosen: value}, nil, 1)
	s, _ = Step(s, Submit{Token: 1, Command: *configure("waiting", 9, "x")})
	s, _ = Step(s, Submit{Token: 2, Command: Command{Kind: Replace, Old: "c", New: emptied, ExpectVoters: value.Voters}})
	next := value.Apply(configure("other", 8, "y"))
	s, _ = Step(s, Received{Message{Kind: MsgLearn, From: value.Voters[1], To: "a", Version: 5, Value: &next}})
	s, _ = Step(s, Received{Message{Kind: MsgLearned, From: emptied, To: "a", Version: 4}})
	for _, from := range value.Voters[:2] {
		s, _ = Step(s, Received{Message{Kind: MsgPromise, From: from, To: "a", Version: 6, Ballot: s.Attempt.Ballot}})
	}
	qt.Assert(t, s.Attempt.Phase, qt.Equals, accepting)
	qt.Assert(t, s.Attempt.Command.Kind, qt.Equals, Replace)
}

// Guards against an emptied disk that is asked to become a voter itself: it does not know the
// register, and would send its empty value to itself again and again.
func TestEmptiedDiskProposesNoVoterChange(t *testing.T) {
	self := Voter{"c", "c#1"}
	s := Start(Record{Self: self}, []job.EntryID{"a", "b", "c"}, 1)
	s, out := Step(s, Submit{Token: 1, Command: Command{Kind: Replace, Old: "e", New: self}})
	qt.Assert(t, out.Messages, qt.HasLen, 0)
	qt.Assert(t, out.Answers, qt.DeepEquals, []Answer{{Token: 1, Outcome: Outcome{Kind: Unavailable}}})
	qt.Assert(t, s.Queue, qt.HasLen, 0)
}
