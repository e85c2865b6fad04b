package voters

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/consensus"
)

// Guards against a repair that waits for an entry that can't act, and against two entries
// that act at once.
func TestTurnPassesToTheNextEntry(t *testing.T) {
	set := []consensus.Voter{{Entry: "a", Identity: "1"}, {Entry: "b", Identity: "1"}}
	var first, second, none Turn
	for at := time.Duration(0); at <= 2*TurnTimeout; at += 100 * time.Millisecond {
		qt.Check(t, first.Reached(now.Add(at), set, true, 0), qt.IsTrue)
		qt.Check(t, second.Reached(now.Add(at), set, true, 1), qt.Equals, at >= TurnTimeout)
		qt.Check(t, none.Reached(now.Add(at), set, true, -1), qt.IsFalse)
	}
}

// Guards against a turn that an earlier change has used up: the first entry in order must get
// its turn again.
func TestTurnStartsAnewWithTheNextChange(t *testing.T) {
	before := []consensus.Voter{{Entry: "a", Identity: "1"}, {Entry: "b", Identity: "1"}}
	after := []consensus.Voter{{Entry: "a", Identity: "1"}, {Entry: "b", Identity: "2"}}
	var turn Turn
	turn.Reached(now, before, true, 1)
	at := now.Add(TurnTimeout)
	qt.Check(t, turn.Reached(at, before, true, 1), qt.IsTrue)
	qt.Check(t, turn.Reached(at, after, true, 1), qt.IsFalse)
	qt.Check(t, turn.Reached(at.Add(TurnTimeout), after, true, 1), qt.IsTrue)
	turn.Reached(at.Add(TurnTimeout), after, false, 1)
	qt.Check(t, turn.Reached(at.Add(TurnTimeout), after, true, 1), qt.IsFalse)
}
