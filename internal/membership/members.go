package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// State is the state of a member in this entry's view.
type State uint8

// The states. A suspect may be alive and is treated as alive until it is declared dead.
const (
	Alive State = iota + 1
	Suspect
	Dead
	Draining
	Left
)

// String returns the state's name in the status output and the time line.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Draining:
		return "draining"
	case Left:
		return "left"
	}
	return "unknown"
}

// Member is one entry in this entry's view.
type Member struct {
	Entry       job.EntryID
	Zone        job.Zone
	Incarnation job.Incarnation
	State       State
	// Since is when the member entered this state, by this entry's clock.
	Since time.Time
	// Reserve is set for a member that holds targets only while no other entry of its zone can.
	Reserve bool
	// Carries is how many targets the member can hold; zero if it reports no limit.
	Carries int
	// Capacity is the same where VMs state different capacities; zero if it is not stated.
	Capacity int
}

// Owner identifies the member's incarnation.
func (m Member) Owner() job.Owner {
	return job.Owner{Entry: m.Entry, Incarnation: m.Incarnation, Zone: m.Zone}
}

// Serving reports whether the member may hold targets.
func (m Member) Serving() bool { return m.State == Alive || m.State == Suspect }

// Live reports whether the member may still be running and holding records.
func (m Member) Live() bool { return m.Serving() || m.State == Draining }

// Members is an immutable view of all entries at one moment.
type Members struct {
	// Version increases with each change of this entry's view.
	Version uint64
	Self    Member
	// List holds all known entries, including this one, sorted by name.
	List []Member
	// Isolated is set while this entry hears no other entry, has heard others before, and
	// others are configured in its zone. This entry is then more likely to be partitioned than
	// to be the only one left.
	Isolated bool
}

func (m *Members) sort() {
	slices.SortFunc(m.List, func(a, b Member) int { return cmp.Compare(a.Entry, b.Entry) })
}

// Get returns one member.
func (m *Members) Get(id job.EntryID) (Member, bool) {
	i, found := slices.BinarySearchFunc(m.List, id, func(m Member, id job.EntryID) int { return cmp.Compare(m.Entry, id) })
	if !found {
		return Member{}, false
	}
	return m.List[i], true
}

// Gone reports whether the incarnation of an entry has ended or is considered ended. Every
// incarnation of an unknown entry counts as ended.
func (m *Members) Gone(id job.EntryID, incarnation job.Incarnation) bool {
	member, ok := m.Get(id)
	if !ok || member.Incarnation > incarnation {
		return true
	}
	return member.Incarnation == incarnation && (member.State == Dead || member.State == Left)
}

// Holder returns the entry that holds a target in a zone, or an empty ID if there is none.
func (m *Members) Holder(zone job.Zone, target job.TargetID) job.EntryID {
	ranked := m.rank(zone, string(target), func(m Member) bool { return m.Serving() && !m.Reserve })
	if len(ranked) == 0 {
		ranked = m.rank(zone, string(target), Member.Serving)
	}
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0]
}

// Ranked returns the live entries of a zone, ordered by their preference as keepers of the
// data under key.
func (m *Members) Ranked(zone job.Zone, key string) []job.EntryID {
	return m.rank(zone, key, Member.Live)
}

// Live lists the entries of a zone that may be running, sorted by name.
func (m *Members) Live(zone job.Zone) []job.EntryID { return m.names(zone, Member.Live) }

func (m *Members) names(zone job.Zone, include func(Member) bool) []job.EntryID {
	var names []job.EntryID
	for _, member := range m.List {
		if member.Zone == zone && include(member) {
			names = append(names, member.Entry)
		}
	}
	return names
}

func (m *Members) rank(zone job.Zone, key string, include func(Member) bool) []job.EntryID {
	return Rank(m.names(zone, include), key)
}

// Rank orders entries by rendezvous hashing. The score of an entry depends only on its own
// name and the key, so adding or removing an entry doesn't reorder the others.
func Rank(entries []job.EntryID, key string) []job.EntryID {
	type scored struct {
		entry job.EntryID
		score uint64
	}
	all := make([]scored, len(entries))
	for i, entry := range entries {
		all[i] = scored{entry, xxhash.Sum64String(string(entry) + "\x00" + key)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(a.entry, b.entry)
	})
	ranked := make([]job.EntryID, len(all))
	for i := range all {
		ranked[i] = all[i].entry
	}
	return ranked
}

// Zones lists the zones of the fleet in sorted order.
func (m *Members) Zones() []job.Zone {
	var zones []job.Zone
	for _, member := range m.List {
		zones = append(zones, member.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}
