package watch

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// fleet returns the given number of entries, spread over the given number of zones.
func fleet(entries, zones int) []Member {
	out := make([]Member, entries)
	for i := range out {
		z := i % zones
		out[i] = Member{Entry: job.EntryID(fmt.Sprintf("edge-z%d-%d", z, i/zones)), Zone: job.Zone(fmt.Sprint("z", z)), Live: true}
	}
	return out
}

// Guards against heartbeat traffic that grows with the fleet.
func TestWatchedEntriesDoNotGrowWithFleet(t *testing.T) {
	const zones = 5
	for _, entries := range []int{50, 152, 300, 1000} {
		members := fleet(entries, zones)
		watchers := map[job.EntryID]int{}
		for _, m := range members {
			s := Choose(m.Entry, m.Zone, members)
			qt.Assert(t, s.All, qt.IsFalse)
			qt.Assert(t, s.Ring, qt.HasLen, 2*RingSide)
			qt.Assert(t, s.Contacts, qt.HasLen, zones-1)
			for _, e := range s.Contacts {
				watchers[e]++
			}
		}
		for e, n := range watchers {
			qt.Assert(t, n <= 5*(zones-1), qt.IsTrue, qt.Commentf("%s is the contact of %d", e, n))
		}
	}
}

// Guards against the failure of an entry that no entry of its zone watches.
func TestRingNeighboursWatchEachOther(t *testing.T) {
	members := fleet(152, 5)
	for i := range members {
		members[i].Live = i%7 != 3
	}
	for _, m := range members {
		for _, e := range Ring(m.Entry, m.Zone, members) {
			if m.Live {
				qt.Assert(t, Ring(e, m.Zone, members), qt.Contains, m.Entry)
			}
			at := slices.IndexFunc(members, func(o Member) bool { return o.Entry == e })
			qt.Assert(t, members[at].Live, qt.IsTrue)
		}
	}
}

// Guards against the loss of one entry changing the links of a whole zone.
func TestOneLossChangesFewNeighbours(t *testing.T) {
	members := fleet(152, 5)
	before := map[job.EntryID][]job.EntryID{}
	for _, m := range members {
		before[m.Entry] = Ring(m.Entry, m.Zone, members)
	}
	lost := members[17].Entry
	members[17].Live = false
	changed := 0
	for _, m := range members {
		if m.Entry != lost && !slices.Equal(before[m.Entry], Ring(m.Entry, m.Zone, members)) {
			changed++
		}
	}
	qt.Assert(t, changed <= 2*RingSide, qt.IsTrue, qt.Commentf("%d changed", changed))
}

// Guards against zones that lose all links to each other when one entry is lost, or after
// a partition in which each side declared the other side's entries dead.
func TestZonesStayConnected(t *testing.T) {
	members := fleet(40, 2)
	contacts := map[job.EntryID]bool{}
	for _, m := range members {
		if m.Zone == "z0" {
			contacts[Choose(m.Entry, m.Zone, members).Contacts[0]] = true
		}
	}
	qt.Assert(t, len(contacts) > 5, qt.IsTrue, qt.Commentf("%d contacts", len(contacts)))
	for i := range members {
		members[i].Live = members[i].Zone == "z0"
	}
	qt.Assert(t, Choose(members[0].Entry, "z0", members).Contacts, qt.HasLen, 1)
}

func TestSmallFleetWatchesAllEntries(t *testing.T) {
	qt.Assert(t, Choose("edge-z0-0", "z0", fleet(WatchAllMax+1, 5)).All, qt.IsTrue)
	qt.Assert(t, Choose("edge-z0-0", "z0", fleet(WatchAllMax+2, 5)).All, qt.IsFalse)
	qt.Assert(t, Ring("edge-z0-0", "z0", fleet(10, 5)), qt.DeepEquals, []job.EntryID{"edge-z0-1"})
	qt.Assert(t, Ring("nobody", "z0", fleet(10, 5)), qt.IsNil)
}
