package registrar

import (
	"slices"
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
//
// An id may have records of several claimants: a registrar that had not synced,
// or stood in for another, grants a claim without knowing of an earlier one, and
// hears of that later. Neither record proves the other void, so both stay until
// their own claimants withdraw them; dropping either would let a job that had
// started start again.
type table struct {
	records map[job.ID][]*kept
	// order lists records by age for their removal.
	order []*kept
	bytes int
}

func newTable() *table { return &table{records: map[job.ID][]*kept{}} }

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

// claim records a claimant unless others are recorded; it returns their records.
func (t *table) claim(now time.Time, req *claimRequest) (held []Record) {
	for _, k := range slices.Clone(t.records[req.ID]) {
		if mayReplace(&k.Record, req) {
			t.remove(k)
		}
	}
	for _, k := range t.records[req.ID] {
		if k.By != req.By {
			r := k.Record
			r.Age = now.Sub(k.at)
			held = append(held, r)
		}
	}
	if len(held) == 0 && t.find(req.ID, req.By) == nil {
		t.add(now, Record{ID: req.ID, Digest: req.Digest, By: req.By})
	}
	return held
}

// mayReplace reports whether a claim makes a record void: an earlier one of its
// own entry, or that of a claimant that gave up. An earlier claim's question may
// arrive after a later one's and must change nothing.
func mayReplace(r *Record, req *claimRequest) bool {
	if r.By.Owner == req.By.Owner {
		return r.By.Number < req.By.Number
	}
	return slices.Contains(req.Replace, r.By)
}

func (t *table) find(id job.ID, by Claimant) *kept {
	for _, k := range t.records[id] {
		if k.By == by {
			return k
		}
	}
	return nil
}

func (t *table) add(at time.Time, r Record) {
	k := &kept{r, at}
	t.records[r.ID] = append(t.records[r.ID], k)
	t.order = append(t.order, k)
	t.bytes += k.size()
}

func (t *table) remove(k *kept) {
	list := slices.DeleteFunc(t.records[k.ID], func(other *kept) bool { return other == k })
	t.records[k.ID] = list
	if len(list) == 0 {
		delete(t.records, k.ID)
	}
	t.bytes -= k.size()
}

// settle notes how a submission of that claimant ended; without an answer it
// drops the record.
func (t *table) settle(id job.ID, by Claimant, answer *job.Answer) {
	k := t.find(id, by)
	if k == nil {
		return
	}
	if answer == nil {
		t.remove(k)
		return
	}
	t.bytes -= k.size()
	k.Answer = answer
	t.bytes += k.size()
}

// take takes a record from another registrar or from an owner.
func (t *table) take(now time.Time, r Record) {
	if old := t.find(r.ID, r.By); old != nil {
		if old.Answer == nil && r.Answer != nil {
			t.settle(r.ID, r.By, r.Answer)
		}
		return
	}
	at := now.Add(-r.Age)
	r.Age = 0
	t.add(at, r)
}

// expire removes records older than retain, and the oldest while they take more
// than limit bytes. It returns until when ids of records that went too early
// may be unknown.
func (t *table) expire(now time.Time, retain time.Duration, limit int) (short time.Time) {
	for len(t.order) > 0 {
		first := t.order[0]
		live := t.find(first.ID, first.By) == first
		old := now.Sub(first.at) >= retain
		if live && !old && t.bytes <= limit {
			return short
		}
		if live {
			t.remove(first)
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
	for id, records := range t.records {
		if !keeps(to, base, id) {
			continue
		}
		for _, k := range records {
			r := k.Record
			r.Age = now.Sub(k.at)
			list = append(list, r)
		}
	}
	return list
}
