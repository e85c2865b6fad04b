// Package discovery lets entries find each other through seeds: a process is configured with
// a few addresses at which other entries may listen, and any entry that answers there sends
// the records of the entries that it knows.
//
// A fleet may start all at once in any order; later, single entries join, change their
// address or are replaced while seeds are down or unreachable. Without discovery, every entry
// would have to be listed in the settings of every other one. An entry joins at each seed
// until one answers, and forwards new records at once: to all entries of a small fleet, to
// some of a large one. A slow exchange with one random entry after the other repairs what
// both mechanisms miss, such as two halves of a fleet that started apart.
package discovery

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Record describes one entry to other entries.
type Record struct {
	Owner job.Owner `cbor:"1,keyasint"`
	// Address is where the entry accepts links, "IP:PORT".
	Address string `cbor:"2,keyasint"`
	// Disk is set if the entry has a data folder and may vote.
	Disk bool `cbor:"3,keyasint,omitempty"`
	// Carries is how many targets the entry can hold, at most the number that all releases
	// compare; zero if it reports no limit.
	Carries int `cbor:"4,keyasint,omitempty"`
	// Heard is set if the sender of the record currently hears this incarnation. Ended is set if
	// the sender considers it ended, as of Revision. These three describe the sender's view and
	// aren't stored in a Directory.
	Heard    bool   `cbor:"5,keyasint,omitempty"`
	Ended    bool   `cbor:"6,keyasint,omitempty"`
	Revision uint32 `cbor:"7,keyasint,omitempty"`
	// Left is set for an ended incarnation whose stop was planned.
	Left bool `cbor:"8,keyasint,omitempty"`
	// Capacity is how many targets the entry can hold where VMs state different capacities;
	// zero in records of entries of the previous release, and in records that such an entry
	// has forwarded.
	Capacity int `cbor:"9,keyasint,omitempty"`
}

// supersedes reports whether a record is of a later incarnation than a known one, or states
// the capacity of the same incarnation that the known one lacks.
func (r *Record) supersedes(known *Record) bool {
	if r.Owner.Incarnation != known.Owner.Incarnation {
		return r.Owner.Incarnation > known.Owner.Incarnation
	}
	return r.Capacity != 0 && known.Capacity == 0
}

// tombstoneTTL is how long records of a forgotten incarnation are rejected unless their sender
// hears the incarnation. Other entries forget it within seconds of this one; until then their
// records would bring it back.
const tombstoneTTL = 2 * time.Minute

// Directory is the registry of the entries that this one knows. It is safe for concurrent use
// and reads no clock.
type Directory struct {
	mu         sync.Mutex
	self       Record
	records    map[job.EntryID]Record
	tombstones map[job.EntryID]tombstone
}

// tombstone marks an incarnation that was forgotten.
type tombstone struct {
	incarnation job.Incarnation
	expires     time.Time
}

// NewDirectory returns a directory that contains only this entry's own record.
func NewDirectory(self Record) *Directory {
	return &Directory{self: self, records: map[job.EntryID]Record{}, tombstones: map[job.EntryID]tombstone{}}
}

// Learn adds records and returns those that are new: of an unknown entry, of a later
// incarnation of a known one, or with a capacity that was not known. Records of ended incarnations are ignored.
func (d *Directory) Learn(now time.Time, records ...Record) []Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	var learned []Record
	for _, r := range records {
		if r.Owner.Entry == d.self.Owner.Entry || r.Owner.Entry == "" || r.Address == "" || r.Ended {
			continue
		}
		known, ok := d.records[r.Owner.Entry]
		if ok && !r.supersedes(&known) {
			continue
		}
		if t, forgotten := d.tombstones[r.Owner.Entry]; forgotten && !r.Heard && r.Owner.Incarnation <= t.incarnation && now.Before(t.expires) {
			continue
		}
		learned = append(learned, r)
		r.Heard, r.Revision = false, 0
		d.records[r.Owner.Entry] = r
	}
	return learned
}

// Forget deletes an entry that has left the fleet permanently.
func (d *Directory) Forget(now time.Time, id job.EntryID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.records[id]
	if !ok {
		return
	}
	delete(d.records, id)
	d.tombstones[id] = tombstone{r.Owner.Incarnation, now.Add(tombstoneTTL)}
	for other, t := range d.tombstones {
		if !now.Before(t.expires) {
			delete(d.tombstones, other)
		}
	}
}

// Get returns the record of an entry, which may be this one.
func (d *Directory) Get(id job.EntryID) (Record, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id == d.self.Owner.Entry {
		return d.self, true
	}
	r, ok := d.records[id]
	return r, ok
}

// All returns all records, including this entry's, sorted by name.
func (d *Directory) All() []Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := []Record{d.self}
	for _, r := range d.records {
		out = append(out, r)
	}
	slices.SortFunc(out, func(x, y Record) int { return cmp.Compare(x.Owner.Entry, y.Owner.Entry) })
	return out
}

// ByAddress returns the record of the entry that accepts links at an address.
func (d *Directory) ByAddress(address string) (Record, bool) {
	for _, r := range d.All() {
		if r.Address == address {
			return r, true
		}
	}
	return Record{}, false
}
