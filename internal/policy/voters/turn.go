package voters

import (
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/consensus"
)

// Turn decides when this entry carries out a change that is due. The first entry in order
// acts at once, and each later one TurnTimeout after the one before it.
//
// The time runs while a change of the same set of voters is due. A new configuration does
// not restart it: under frequent configurations only the first entry would ever act, and
// the change would never happen if that entry does not know that it is due.
type Turn struct {
	set   []consensus.Voter
	since time.Time
}

// Reached reports whether the entry at the given place of the order may act now on a change
// of the set. It must be called at each assessment, also with due false.
func (t *Turn) Reached(now time.Time, set []consensus.Voter, due bool, place int) bool {
	if !due {
		*t = Turn{}
		return false
	}
	if t.since.IsZero() || !slices.Equal(t.set, set) {
		*t = Turn{set: set, since: now}
	}
	return place >= 0 && now.Sub(t.since) >= time.Duration(place)*TurnTimeout
}
