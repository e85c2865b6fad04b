package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

var allVoters = []Voter{{"a", "a#0"}, {"b", "b#0"}, {"c", "c#0"}}

func setCordon(zone job.Zone, active bool, revision uint64) *Command {
	return &Command{Kind: SetCordon, Cordon: Cordon{Zone: zone, Active: active, Revision: revision}, Voters: allVoters}
}

// Guards against a held-up request that undoes a later change, and against voters that would
// drop a cordon.
func TestDecideCordon(t *testing.T) {
	empty := Value{Version: 1, Voters: allVoters}
	cordoned := empty.Apply(setCordon("z", true, 0))
	withdrawn := cordoned.Apply(setCordon("z", false, 2))
	older := setCordon("z", true, 0)
	older.Voters = allVoters[:2]
	add := &Command{Kind: Add, New: Voter{"d", "d#0"}}
	keeping := &Command{Kind: Add, New: Voter{"d", "d#0"}, KeepsCordons: true}
	swap := &Command{Kind: Replace, Old: "c", New: Voter{"d", "d#0"}}
	cases := map[string]struct {
		value   Value
		command *Command
		kind    OutcomeKind
		propose bool
	}{
		"first cordon":                         {empty, setCordon("z", true, 0), 0, true},
		"repeated":                             {cordoned, setCordon("z", true, 0), Accepted, false},
		"withdrawal":                           {cordoned, setCordon("z", false, 2), 0, true},
		"withdrawal of none":                   {empty, setCordon("z", false, 0), Accepted, false},
		"held up until after its withdrawal":   {withdrawn, setCordon("z", true, 0), Outdated, false},
		"withdrawal that another one overtook": {withdrawn.Apply(setCordon("z", true, 3)), setCordon("z", false, 2), Outdated, false},
		"another zone":                         {cordoned, setCordon("y", true, 0), 0, true},
		"a voter of an older release":          {empty, older, Unsupported, false},
		"voters admitted after a cordon":       {cordoned, &Command{Kind: SetCordon, Cordon: Cordon{Zone: "y", Active: true}}, 0, true},
		"older release added, no cordon":       {empty, add, 0, true},
		"older release added to a cordon":      {cordoned, add, Unsupported, false},
		"this release added to a cordon":       {cordoned, keeping, 0, true},
		"older release replaces a voter":       {withdrawn, swap, Unsupported, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			outcome, propose := c.value.Decide(c.command)
			qt.Assert(t, outcome.Kind, qt.Equals, c.kind)
			qt.Assert(t, propose, qt.Equals, c.propose)
		})
	}
}

// Guards against a cordon that is lost with the next configuration or change of voters, in
// either order.
func TestCordonsAndConfigurationsAreIndependent(t *testing.T) {
	start := Value{Version: 1, Voters: allVoters}
	change, cordon := configure("one", 1, "x"), setCordon("z", true, 0)
	swap := &Command{Kind: Replace, Old: "c", New: Voter{"d", "d#0"}, KeepsCordons: true}
	for _, order := range [][]*Command{{change, cordon, swap}, {cordon, change, swap}, {swap, cordon, change}} {
		v := start
		for _, c := range order {
			v = v.Apply(c)
		}
		qt.Assert(t, v.Change.Number, qt.Equals, uint64(1))
		qt.Assert(t, v.Cordon("z").Active, qt.IsTrue)
		qt.Assert(t, v.Votes(Voter{"d", "d#0"}), qt.IsTrue)
	}
}

// Guards against a value without cordons that an older release can't read.
func TestValueWithoutCordonsIsUnchangedOnTheWire(t *testing.T) {
	b, err := cbor.Marshal(Value{Version: 1, Voters: allVoters})
	qt.Assert(t, err, qt.IsNil)
	var fields map[int]any
	qt.Assert(t, cbor.Unmarshal(b, &fields), qt.IsNil)
	_, found := fields[8]
	qt.Assert(t, found, qt.IsFalse)
}
