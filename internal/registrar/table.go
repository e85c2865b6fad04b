package registrar

import (
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// storedRecord is a record with the time at which it was made.
type storedRecord struct {
	Record
	recordedAt time.Time
}

// table holds the records that this entry keeps as a registrar. It performs no
// I/O and takes no locks; callers hold the shard's lock.
//
// An id may have records of several claimants: a registrar that had not synced,
// or that replaced another, may grant a claim before it learns of an earlier one.
// Neither record proves the other void, so both stay until their own claimants
// withdraw them. Dropping either could let a started job start again.
type table struct {
	records map[job.ID][]*storedRecord
	// insertionOrder lists the records in the order of their insertion, for expiry.
	// Removed records stay in it until expire reaches them.
	insertionOrder []*storedRecord
	bytes          int
}

func newTable() *table { return &table{records: map[job.ID][]*storedRecord{}} }

// recordOverhead is the memory of a record in bytes without its id and answer:
// two pointers, the map's slot, digest, owner and time, rounded up.
const recordOverhead = 256

func (r *Record) size() int {
	n := recordOverhead + len(r.ID)
	if r.Answer != nil {
		n += len(r.Answer.Detail)
		for _, result := range r.Answer.Results {
			n += len(result)
		}
	}
	return n
}

// claim records a claimant unless other claimants are recorded, whose records it
// returns.
func (t *table) claim(now time.Time, req *claimRequest) (held []Record) {
	for _, stored := range slices.Clone(t.records[req.ID]) {
		if mayReplace(&stored.Record, req) {
			t.remove(stored)
		}
	}
	for _, stored := range t.records[req.ID] {
		if stored.By != req.By {
			record := stored.Record
			record.Age = now.Sub(stored.recordedAt)
			held = append(held, record)
		}
	}
	if len(held) == 0 && t.find(req.ID, req.By) == nil {
		t.add(now, Record{ID: req.ID, Digest: req.Digest, By: req.By})
	}
	return held
}

// mayReplace reports whether a claim makes a record void. It does if the record
// is of an earlier claim of the same entry, or of a claimant that withdrew. The
// request of an earlier claim may arrive after that of a later one and must then
// change nothing.
func mayReplace(r *Record, req *claimRequest) bool {
	if r.By.Owner == req.By.Owner {
		return r.By.Number < req.By.Number
	}
	return slices.Contains(req.Replace, r.By)
}

func (t *table) find(id job.ID, by Claimant) *storedRecord {
	for _, record := range t.records[id] {
		if record.By == by {
			return record
		}
	}
	return nil
}

func (t *table) add(at time.Time, r Record) {
	record := &storedRecord{r, at}
	t.records[r.ID] = append(t.records[r.ID], record)
	t.insertionOrder = append(t.insertionOrder, record)
	t.bytes += record.size()
}

func (t *table) remove(record *storedRecord) {
	list := slices.DeleteFunc(t.records[record.ID], func(other *storedRecord) bool { return other == record })
	t.records[record.ID] = list
	if len(list) == 0 {
		delete(t.records, record.ID)
	}
	t.bytes -= record.size()
}

// settle stores the answer in the claimant's record; without an answer it removes
// the record.
func (t *table) settle(id job.ID, by Claimant, answer *job.Answer) {
	record := t.find(id, by)
	if record == nil {
		return
	}
	if answer == nil {
		t.remove(record)
		return
	}
	t.bytes -= record.size()
	record.Answer = answer
	t.bytes += record.size()
}

// merge adds a record received from another registrar or from an owner. If the
// record is already stored, merge only adds a missing answer.
func (t *table) merge(now time.Time, r Record) {
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

// expire removes records older than retain, and the oldest ones while the table
// exceeds limit bytes. If it removed records before their time, it returns when
// the last of them would have expired: until then the table is incomplete.
func (t *table) expire(now time.Time, retain time.Duration, limit int) (incompleteUntil time.Time) {
	for len(t.insertionOrder) > 0 {
		oldest := t.insertionOrder[0]
		stored := t.find(oldest.ID, oldest.By) == oldest
		expired := now.Sub(oldest.recordedAt) >= retain
		if stored && !expired && t.bytes <= limit {
			return incompleteUntil
		}
		if stored {
			t.remove(oldest)
		}
		if stored && !expired {
			incompleteUntil = oldest.recordedAt.Add(retain)
		}
		t.insertionOrder[0] = nil
		t.insertionOrder = t.insertionOrder[1:]
	}
	return incompleteUntil
}

// export returns the records that entry to keeps when the live entries are base.
func (t *table) export(now time.Time, to job.EntryID, base []job.EntryID) []Record {
	var list []Record
	for id, records := range t.records {
		if !storesRecord(to, base, id) {
			continue
		}
		for _, stored := range records {
			r := stored.Record
			r.Age = now.Sub(stored.recordedAt)
			list = append(list, r)
		}
	}
	return list
}
