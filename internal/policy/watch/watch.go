// Package watch decides which entries of a fleet exchange heartbeats to monitor each
// other.
//
// Load pattern: a fleet has hundreds of entries in a handful of availability zones, each
// on a fraction of a processor and a link of low bandwidth. If each entry watched all
// others, heartbeats would grow with the square of the fleet; at 150 entries they took
// more processor time than the actual work. So each entry watches a few others, whose
// number does not grow with the fleet, and reports what it finds to the rest:
//
//   - ring neighbours: the entries of its zone next to it, on both sides, in a ring
//     ordered by hash. So each entry is watched by equally many entries of its zone over
//     the shortest network path, and an entry that joins or leaves changes the
//     neighbours of only a few.
//   - contacts: one entry of each other zone, chosen by hash, through which updates
//     cross zones.
//
// In a small fleet each entry watches all others: that costs little, and each entry
// detects a failure by itself.
package watch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const (
	// WatchAllMax is the number of other entries up to which an entry watches all of them.
	// At 24, four heartbeats per second to each of them take a tenth of a VM with 0.192
	// of a core, counting both directions.
	WatchAllMax = 24
	// RingSide is how many ring neighbours an entry watches on each side: each entry then
	// has four watchers, of which two may be lost or unreachable at the same time.
	RingSide = 2
)

// Member is one entry as seen by the entry that chooses.
type Member struct {
	Entry job.EntryID
	Zone  job.Zone
	// Live says that the entry is not known to have ended.
	Live bool
}

// Set lists the entries that an entry watches.
type Set struct {
	// All says that the fleet is small and that all entries are watched; the lists are
	// empty then.
	All bool
	// Ring are the neighbours in the entry's own zone, nearest first; Contacts are one
	// entry of each other zone, in the order of the zones.
	Ring, Contacts []job.EntryID
}

// Choose returns the entries that self watches. members lists the fleet, including self.
func Choose(self job.EntryID, zone job.Zone, members []Member) Set {
	if len(members)-1 <= WatchAllMax {
		return Set{All: true}
	}
	return Set{Ring: Ring(self, zone, members), Contacts: chooseContacts(self, zone, members)}
}

// Ring returns the ring neighbours of an entry, which are also the entries that watch it.
// The result is the same whichever entry computes it. Ended members are left out, so that
// the ring has no gaps.
func Ring(of job.EntryID, zone job.Zone, members []Member) []job.EntryID {
	ring := make([]ringMember, 0, len(members))
	for _, m := range members {
		if m.Zone == zone && (m.Live || m.Entry == of) {
			ring = append(ring, ringMember{m.Entry, xxhash.Sum64String(string(m.Entry))})
		}
	}
	slices.SortFunc(ring, ringMember.compare)
	at := slices.IndexFunc(ring, func(p ringMember) bool { return p.entry == of })
	if at < 0 {
		return nil
	}
	var out []job.EntryID
	for distance := 1; distance <= RingSide; distance++ {
		for _, step := range []int{distance, len(ring) - distance} {
			next := ring[(at+step%len(ring)+len(ring))%len(ring)].entry
			if next != of && !slices.Contains(out, next) {
				out = append(out, next)
			}
		}
	}
	return out
}

// ringMember is an entry with its hash, which determines its position in the ring.
type ringMember struct {
	entry job.EntryID
	hash  uint64
}

func (p ringMember) compare(other ringMember) int {
	return cmp.Or(cmp.Compare(p.hash, other.hash), cmp.Compare(p.entry, other.entry))
}

// chooseContacts chooses one entry of each other zone. Each entry makes its own choice,
// so that a zone is connected to the others by as many links as it has entries. A zone
// without any entry known to be alive gets a contact too: the update that it has returned
// arrives through that contact.
func chooseContacts(self job.EntryID, zone job.Zone, members []Member) []job.EntryID {
	best := map[job.Zone]candidate{}
	for _, m := range members {
		if m.Zone == zone {
			continue
		}
		c := candidate{m, xxhash.Sum64String(string(self) + "\x00" + string(m.Entry))}
		if drawn, ok := best[m.Zone]; !ok || c.preferredTo(drawn) {
			best[m.Zone] = c
		}
	}
	zones := make([]job.Zone, 0, len(best))
	for z := range best {
		zones = append(zones, z)
	}
	slices.Sort(zones)
	out := make([]job.EntryID, len(zones))
	for i, z := range zones {
		out[i] = best[z].member.Entry
	}
	return out
}

// candidate is an entry that may become the contact in its zone.
type candidate struct {
	member Member
	score  uint64
}

func (c candidate) preferredTo(other candidate) bool {
	if c.member.Live != other.member.Live {
		return c.member.Live
	}
	if c.score != other.score {
		return c.score > other.score
	}
	return c.member.Entry < other.member.Entry
}
