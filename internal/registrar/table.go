package registrar

import (
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// kept is a record with the time at which it came.
type kept struct {
	Record
	at time.Time
}

// table holds the records that this entry keeps as a registrar. It is pure;
// its owner holds a lock.
type table struct {
	records map[job.ID]*kept
	// order lists records by age for their removal.
	order []*kept
	bytes int
}

func newTable() *table { return &table{records: map[job.ID]*kept{}} }

// recordBytes is what a record takes besides its id and answer, in bytes: two
// pointers, the map's slot, digest, owner and time, rounded up.
const recordBytes = 256

func (r *Record) size() int {
	n := recordBytes + len(r.ID)
	if r.Answer != nil {
		n += len(r.Answer.Detail)
		for _, result := range r.Answer.Results {
			n += len(result)
		}
	}
	return n
}

// claim records a claimant unless another one is recorded. It returns the record
// that stands in the way.
func (t *table) claim(now time.Time, req *claimRequest, tentative bool) *Record {
	k := t.records[req.ID]
	if k != nil && !mayReplace(&k.Record, req) {
		held := k.Record
		held.Age = now.Sub(k.at)
		return &held
	}
	if k != nil && k.By == req.By {
		k.Tentative = k.Tentative && tentative
		return nil
	}
	t.put(now, Record{ID: req.ID, Digest: req.Digest, By: req.By, Tentative: tentative})
	return nil
}

// mayReplace reports whether a claim takes the place of a record: its own, an
// earlier one of its own entry, or that of a claimant that gave up. An earlier
// claim's question may arrive after a later one's and must change nothing.
func mayReplace(r *Record, req *claimRequest) bool {
	if r.By.Owner == req.By.Owner {
		return r.By.Number <= req.By.Number
	}
	return req.Replace != nil && r.By == *req.Replace
}

func (t *table) put(at time.Time, r Record) {
	if old := t.records[r.ID]; old != nil {
		t.bytes -= old.size()
		old.Record = r
		t.bytes += old.size()
		return
	}
	k := &kept{r, at}
	t.records[r.ID] = k
	t.order = append(t.order, k)
	t.bytes += k.size()
}

// settle notes how a submission of that claimant ended; without an answer it
// drops the record.
func (t *table) settle(id job.ID, by Claimant, answer *job.Answer) {
	k := t.records[id]
	if k == nil || k.By != by {
		return
	}
	t.bytes -= k.size()
	if answer == nil {
		delete(t.records, id)
		return
	}
	k.Answer = answer
	t.bytes += k.size()
}

// take takes a record from another registrar or from an owner. One that is
// here already stays unless the other one knows more. A tentative record is no
// reason to leave a firm one out: when its claim is withdrawn, nothing would be
// left here, and this registrar would call an id unseen that was started.
func (t *table) take(now time.Time, r Record) {
	if old := t.records[r.ID]; old != nil && old.knows() >= r.knows() {
		return
	}
	at := now.Add(-r.Age)
	r.Age = 0
	t.put(at, r)
}

// knows ranks records by how much they prove.
func (r *Record) knows() int {
	switch {
	case r.Answer != nil:
		return 3
	case r.Started:
		return 2
	case !r.Tentative:
		return 1
	}
	return 0
}

// expire removes records older than retain, and the oldest while they take more
// than limit bytes. It returns until when ids of records that went too early
// may be unknown.
func (t *table) expire(now time.Time, retain time.Duration, limit int) (short time.Time) {
	for len(t.order) > 0 {
		first := t.order[0]
		live := t.records[first.ID] == first
		old := now.Sub(first.at) >= retain
		if live && !old && t.bytes <= limit {
			return short
		}
		if live {
			delete(t.records, first.ID)
			t.bytes -= first.size()
		}
		if live && !old {
			short = first.at.Add(retain)
		}
		t.order[0] = nil
		t.order = t.order[1:]
	}
	return short
}

// export returns the records that an entry keeps when base is live.
func (t *table) export(now time.Time, to job.EntryID, base []job.EntryID) []Record {
	var list []Record
	for id, k := range t.records {
		if keeps(to, base, id) {
			r := k.Record
			r.Age = now.Sub(k.at)
			list = append(list, r)
		}
	}
	return list
}
