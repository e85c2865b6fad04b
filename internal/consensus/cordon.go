package consensus

import (
	"slices"
	"strings"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Cordon says whether new work may start in one availability zone.
type Cordon struct {
	Zone   job.Zone `cbor:"1,keyasint"`
	Active bool     `cbor:"2,keyasint,omitempty"`
	// Revision is the version of the register that changed Active last; zero for a zone that
	// was never cordoned.
	//
	// A change names the revision that it replaces. Without it, a request that was held up
	// could take effect after its repetition and after the opposite change, which was
	// acknowledged later.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
}

// Cordon returns the state of one zone.
func (v *Value) Cordon(zone job.Zone) Cordon { return CordonOf(v.Cordons, zone) }

// CordonOf returns the state of one zone in a list.
func CordonOf(cordons []Cordon, zone job.Zone) Cordon {
	if i, found := findCordon(cordons, zone); found {
		return cordons[i]
	}
	return Cordon{Zone: zone}
}

func findCordon(cordons []Cordon, zone job.Zone) (int, bool) {
	return slices.BinarySearchFunc(cordons, zone, func(c Cordon, z job.Zone) int { return strings.Compare(string(c.Zone), string(z)) })
}

func (v *Value) decideCordon(c *Command) (Outcome, bool) {
	current := v.Cordon(c.Cordon.Zone)
	switch {
	case current.Active == c.Cordon.Active:
		return Outcome{Kind: Accepted, Change: v.Change, Cordon: current}, false
	case current.Revision != c.Cordon.Revision:
		return Outcome{Kind: Outdated, Change: v.Change, Cordon: current}, false
	case !v.cordonsKeptBy(c.Voters):
		return Outcome{Kind: Unsupported, Change: v.Change, Cordon: current}, false
	}
	return Outcome{}, true
}

// cordonsKeptBy reports whether all voters keep cordons, given those that are known to. After
// the first cordon, no voter that does not keep cordons is admitted.
func (v *Value) cordonsKeptBy(known []Voter) bool {
	if len(v.Cordons) > 0 {
		return true
	}
	return !slices.ContainsFunc(v.Voters, func(voter Voter) bool { return !slices.Contains(known, voter) })
}

// losesCordons reports whether a membership change would admit a voter that does not keep the
// cordons of v.
func (v *Value) losesCordons(c *Command) bool { return len(v.Cordons) > 0 && !c.KeepsCordons }

// withCordon returns v's cordons after a change of one of them.
func (v *Value) withCordon(changed Cordon, version uint64) []Cordon {
	changed.Revision = version
	cordons := slices.Clone(v.Cordons)
	i, found := findCordon(cordons, changed.Zone)
	if found {
		cordons[i] = changed
		return cordons
	}
	return slices.Insert(cordons, i, changed)
}
