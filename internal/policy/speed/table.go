package speed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// MaxRecords bounds the records of a table: 2,700 targets in four zones are 675 in each, and
// some machines are replaced every day. The oldest records are dropped first.
const MaxRecords = 4096

// MaxReported bounds the records of one report or answer, to 16 KB. With 2,700 targets on 21
// entries a holder has 129.
const MaxReported = 512

// Record is the speed of one machine while it ran one kind of target.
type Record struct {
	Address string    `cbor:"1,keyasint"`
	Kind    Kind      `cbor:"2,keyasint"`
	Milli   int       `cbor:"3,keyasint,omitempty"`
	Samples int       `cbor:"4,keyasint,omitempty"`
	At      time.Time `cbor:"5,keyasint"`
}

func (r *Record) estimate(now time.Time) Estimate {
	return Estimate{Log: float64(r.Milli) / 1000, Samples: float64(r.Samples), Age: max(0, now.Sub(r.At))}
}

// machine identifies a record.
type machine struct {
	address string
	kind    Kind
}

// Table holds the records of a zone. The zero value is empty. The caller must hold a lock.
type Table struct {
	records map[machine]Record
}

// Load returns a Table with the records that an earlier one returned from All. It ignores
// records that are out of range or in the future.
func Load(now time.Time, records []Record) *Table {
	b := &Table{}
	for i := range records {
		if r := &records[i]; !r.At.After(now) {
			b.put(now, *r)
		}
	}
	b.limit()
	return b
}

// All returns all records in the order of their machines.
func (b *Table) All() []Record {
	return slices.SortedFunc(maps.Values(b.records), func(x, y Record) int {
		return cmp.Or(cmp.Compare(x.Address, y.Address), cmp.Compare(x.Kind.Pool, y.Kind.Pool), cmp.Compare(x.Kind.Processors, y.Kind.Processors), x.At.Compare(y.At))
	})
}

// Len returns the number of records.
func (b *Table) Len() int { return len(b.records) }

// Apply applies the report of a holder about one of its targets and reports whether the table
// changed. Holders include the record that they started from in what they report, so the
// estimate with the latest measurement replaces the others. Reports carry the age of the
// measurement and not its time, because the clocks of VMs differ.
func (b *Table) Apply(now time.Time, t *job.Target, reported *Reported) (changed bool) {
	e := reported.Estimate()
	if e.OfKind || e.Weight() == 0 {
		return false
	}
	changed = b.put(now, Record{t.Address, KindOf(t), reported.Milli, reported.Samples, now.Add(-e.Age)})
	b.limit()
	return changed
}

func (b *Table) put(now time.Time, r Record) (changed bool) {
	e := r.estimate(now)
	if e.Weight() == 0 {
		return false
	}
	id := machine{r.Address, r.Kind}
	old, known := b.records[id]
	// A record from the future is left by a clock that was set back.
	if known && !r.At.After(old.At) && !old.At.After(now) {
		return false
	}
	if b.records == nil {
		b.records = map[machine]Record{}
	}
	b.records[id] = r
	return true
}

// limit drops the oldest records above MaxRecords, and an eighth more, so that it rarely
// sorts.
func (b *Table) limit() {
	if len(b.records) <= MaxRecords {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(b.records), func(x, y machine) int {
		return b.records[x].At.Compare(b.records[y].At)
	})
	for _, id := range oldest[:len(oldest)-MaxRecords*7/8] {
		delete(b.records, id)
	}
}

// Answer returns what new processes of targets start from: the records of their machines, or
// else those of their kinds. It leaves out the targets that their holder has measured.
func (b *Table) Answer(now time.Time, targets []job.Target, measured []Reported) []Reported {
	known := make(map[job.TargetID]bool, len(measured))
	for i := range measured {
		known[measured[i].Target] = true
	}
	ofKind := map[Kind]Estimate{}
	var out []Reported
	for i := range targets {
		t := &targets[i]
		if known[t.ID] || len(out) == MaxReported {
			continue
		}
		e := b.estimate(now, t, ofKind)
		if e.Weight() > 0 {
			out = append(out, Report(t.ID, &e))
		}
	}
	return out
}

// estimate returns the record of a target's machine, or else that of its kind, which it adds
// to ofKind.
func (b *Table) estimate(now time.Time, t *job.Target, ofKind map[Kind]Estimate) Estimate {
	kind := KindOf(t)
	if r, known := b.records[machine{t.Address, kind}]; known {
		if e := r.estimate(now); e.Weight() > 0 {
			return e
		}
	}
	e, computed := ofKind[kind]
	if !computed {
		e = b.estimateOfKind(now, kind)
		ofKind[kind] = e
	}
	return e
}

// minMachines is the number of machines of a kind from which their mean is used for others.
const minMachines = 4

// maxKindVariance is the variance between the machines of a kind above which their mean says
// nothing about another one: a standard deviation of a factor of 1.3.
const maxKindVariance = 0.069

// estimateOfKind returns the mean of the machines of a kind. It counts as the number of
// tasks whose mean would be as uncertain as the speed of one machine of the kind. The weight
// is zero if there are too few machines, or if they differ too much.
func (b *Table) estimateOfKind(now time.Time, kind Kind) Estimate {
	sum, squares, n := 0.0, 0.0, 0.0
	age := MaxAge
	for id, r := range b.records {
		e := r.estimate(now)
		if id.kind != kind || e.Weight() == 0 {
			continue
		}
		sum += e.Log
		squares += e.Log * e.Log
		n++
		age = min(age, e.Age)
	}
	if n < minMachines {
		return Estimate{}
	}
	mean := sum / n
	variance := max(0, squares/n-mean*mean) * n / (n - 1)
	if variance > maxKindVariance {
		return Estimate{}
	}
	samples := min(maxSamples, taskVariance/max(variance*(1+1/n), 1e-3))
	return Estimate{Log: mean, Samples: math.Round(samples), Age: age, OfKind: true}
}
