// Package inventory remembers which targets each entry holds.
//
// Load pattern: all VMs lose power, or all processes are killed, while callers keep
// sending. The entries are back within half a second but know no targets, since each
// target announces itself only every second or two. Until then callers are refused
// although all targets are idle. So holders report their targets to the entries that have
// a disk, and request that report at the start of their next incarnation.
//
// The remembered report is only a hint. A target is used only after it has answered as
// the same incarnation of itself, and its next announcement renews or corrects everything
// known about it.
package inventory

import (
	"maps"
	"slices"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Report is a report of the targets that one incarnation of an entry holds.
type Report struct {
	Life job.Incarnation `cbor:"1,keyasint,omitempty"`
	// Number increases with each report of one incarnation.
	Number  uint64       `cbor:"2,keyasint,omitempty"`
	Targets []job.Target `cbor:"3,keyasint,omitempty"`
}

// After reports whether the report is more recent than another one of the same entry.
func (h *Report) After(other *Report) bool {
	if h.Life != other.Life {
		return h.Life > other.Life
	}
	return h.Number > other.Number
}

// Table holds the latest reports of all entries. The zero value is empty. The caller must
// hold a lock.
type Table struct {
	held    map[job.EntryID]Report
	holders map[job.TargetID]job.EntryID
}

// Load returns a Table with the reports that an earlier one returned from All.
func Load(held map[job.EntryID]Report) *Table {
	b := &Table{}
	for _, entry := range slices.Sorted(maps.Keys(held)) {
		b.Apply(entry, held[entry])
	}
	return b
}

// All returns the report of each entry. The caller must not modify it.
func (b *Table) All() map[job.EntryID]Report { return b.held }

// Apply applies an entry's report and reports whether it changed the entry's list of
// targets. The latest report about a target counts, whichever entry sent it.
func (b *Table) Apply(from job.EntryID, h Report) (changed bool) {
	old, known := b.held[from]
	if known && !h.After(&old) {
		return false
	}
	b.init()
	for i := range old.Targets {
		delete(b.holders, old.Targets[i].ID)
	}
	b.held[from] = h
	for i := range h.Targets {
		id := h.Targets[i].ID
		if other, listed := b.holders[id]; listed && other != from {
			b.remove(other, id)
		}
		b.holders[id] = from
	}
	return !slices.Equal(old.Targets, h.Targets)
}

func (b *Table) init() {
	if b.held == nil {
		b.held, b.holders = map[job.EntryID]Report{}, map[job.TargetID]job.EntryID{}
	}
}

// remove removes a target from an entry's list. It copies the list, which may be in use
// elsewhere.
func (b *Table) remove(entry job.EntryID, id job.TargetID) {
	h := b.held[entry]
	h.Targets = slices.DeleteFunc(slices.Clone(h.Targets), func(t job.Target) bool { return t.ID == id })
	b.held[entry] = h
}

// Moved records that a target was handed to an entry that has not reported it yet, and
// reports whether this is a change.
func (b *Table) Moved(t job.Target, to job.EntryID) (changed bool) {
	from, listed := b.holders[t.ID]
	if listed && from == to {
		return false
	}
	b.init()
	if listed {
		b.remove(from, t.ID)
	}
	h := b.held[to]
	h.Targets = append(slices.Clone(h.Targets), t)
	b.held[to] = h
	b.holders[t.ID] = to
	return true
}

// Drop removes a target that left or has ended, and reports whether it was known.
func (b *Table) Drop(id job.TargetID) (changed bool) {
	entry, listed := b.holders[id]
	if !listed {
		return false
	}
	b.remove(entry, id)
	delete(b.holders, id)
	return true
}

// Get returns the targets that an entry is remembered to hold.
func (b *Table) Get(entry job.EntryID) (Report, bool) {
	h, known := b.held[entry]
	return h, known
}

// HolderOf returns the entry that is remembered to hold a target; empty for none.
func (b *Table) HolderOf(id job.TargetID) job.EntryID { return b.holders[id] }

// Keep removes all entries except the known ones, so that VMs that are replaced every day
// don't fill the memory, and reports whether it removed any.
func (b *Table) Keep(known func(job.EntryID) bool) (changed bool) {
	for entry, h := range b.held {
		if known(entry) {
			continue
		}
		for i := range h.Targets {
			delete(b.holders, h.Targets[i].ID)
		}
		delete(b.held, entry)
		changed = true
	}
	return changed
}

// Targets returns the number of remembered targets.
func (b *Table) Targets() int { return len(b.holders) }
