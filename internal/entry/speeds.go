package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/inventory"
	"github.com/vanillagrade/vanillagrade/internal/policy/speed"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
	"github.com/vanillagrade/vanillagrade/internal/storage"
)

const (
	// speedReportInterval is the least time between two reports that are sent because
	// speeds have changed: three a minute.
	speedReportInterval = 20 * time.Second
	// speedRefresh is the time after which the speeds of targets that still run tasks are
	// reported again, so that their records don't age.
	speedRefresh = time.Hour
	// speedSaveInterval is how often changed records are written to disk. A lost record
	// costs the first tasks on a target, a sync delays consensus on the same disk.
	speedSaveInterval = 30 * time.Second
	// speedRecord is the name of the record on disk, speedFormat its format version.
	speedRecord = "speeds"
	speedFormat = 1
)

// heldReport is the report of the targets that an entry holds, with the speeds that it has
// measured. An entry of the previous release sends none, and ignores those that it receives.
type heldReport struct {
	inventory.Report
	Speeds []speed.Reported `cbor:"4,keyasint,omitempty"`
}

// heldReply is the answer to a heldReport: the records of the targets for which it has no
// speed. An entry of the previous release answers true.
type heldReply struct {
	Speeds []speed.Reported `cbor:"1,keyasint,omitempty"`
}

// speedRecords keeps the speeds of the targets of this zone on an entry with a disk.
type speedRecords struct {
	store *storage.Store
	log   *slog.Logger

	// mu guards the table, and dirty, which is set while the disk is behind the table.
	mu    sync.Mutex
	table *speed.Table
	dirty bool
}

func newSpeedRecords(store *storage.Store, log *slog.Logger) *speedRecords {
	r := &speedRecords{store: store, log: log, table: &speed.Table{}}
	r.load()
	return r
}

// load reads the saved records. Without them, this entry's records start with the next
// reports of the holders.
func (r *speedRecords) load() {
	if r.store == nil {
		return
	}
	format, body, err := r.store.Load(speedRecord)
	if errors.Is(err, errors.NotFound) {
		return
	}
	var records []speed.Record
	if err == nil && format == speedFormat {
		err = cbor.Unmarshal(body, &records)
	}
	if err != nil || format != speedFormat {
		r.log.Warn("speed records can't be loaded", "format", format, "error", err)
		return
	}
	r.table = speed.Load(time.Now(), records)
	r.log.Info("speed records loaded", "records", r.table.Len(), "saved", len(records))
}

// save writes changed records to disk, until ctx ends.
func (r *speedRecords) save(ctx context.Context) error {
	if r.store == nil {
		return every(ctx, speedSaveInterval, func(time.Time) {})
	}
	failing := false
	return every(ctx, speedSaveInterval, func(time.Time) {
		err := r.saveChanges()
		if err != nil && !failing {
			r.log.Warn("speed records can't be saved", "error", err)
		}
		failing = err != nil
	})
}

func (r *speedRecords) saveChanges() error {
	r.mu.Lock()
	if !r.dirty {
		r.mu.Unlock()
		return nil
	}
	r.dirty = false
	records := r.table.All()
	r.mu.Unlock()
	body, err := cbor.Marshal(records)
	if err == nil {
		err = r.store.Save(speedRecord, speedFormat, body)
	}
	if err != nil {
		r.mu.Lock()
		r.dirty = true
		r.mu.Unlock()
	}
	return errors.Trace(err)
}

// apply applies the speeds that the holder of targets has reported.
func (r *speedRecords) apply(targets []job.Target, speeds []speed.Reported) {
	if r.store == nil || len(speeds) == 0 {
		return
	}
	held := make(map[job.TargetID]*job.Target, len(targets))
	for i := range targets {
		held[targets[i].ID] = &targets[i]
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range speeds[:min(len(speeds), speed.MaxReported)] {
		if t := held[speeds[i].Target]; t != nil {
			r.dirty = r.table.Apply(now, t, &speeds[i]) || r.dirty
		}
	}
}

// recordsFor returns the records of the targets other than the measured ones.
func (r *speedRecords) recordsFor(targets []job.Target, measured []speed.Reported) []speed.Reported {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Answer(time.Now(), targets, measured)
}

// count returns the number of records.
func (r *speedRecords) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Len()
}

// speedReport is what a holder has last reported about the speeds of its targets. Only the
// goroutine that sends the reports uses it.
type speedReport struct {
	at       time.Time
	reported map[job.TargetID]speed.Estimate
}

// due reports whether the speeds are to be reported again.
func (l *speedReport) due(now time.Time, speeds []scheduler.MeasuredSpeed) bool {
	since := now.Sub(l.at)
	if since < speedReportInterval {
		return false
	}
	for i := range speeds {
		last, known := l.reported[speeds[i].Target.ID]
		if !known || since >= speedRefresh && speeds[i].Age < since || speed.Differs(&speeds[i].Estimate, &last) {
			return true
		}
	}
	return false
}

// sent records that the speeds have been reported.
func (l *speedReport) sent(now time.Time, speeds []scheduler.MeasuredSpeed) {
	l.at = now
	l.reported = make(map[job.TargetID]speed.Estimate, len(speeds))
	for i := range speeds {
		l.reported[speeds[i].Target.ID] = speeds[i].Estimate
	}
}

// reportedSpeeds returns the speeds as they are sent.
func reportedSpeeds(speeds []scheduler.MeasuredSpeed) []speed.Reported {
	out := make([]speed.Reported, 0, min(len(speeds), speed.MaxReported))
	for i := range speeds[:min(len(speeds), speed.MaxReported)] {
		out = append(out, speed.Report(speeds[i].Target.ID, &speeds[i].Estimate))
	}
	return out
}

// useSpeeds makes the speeds of held targets start from records.
func (t *targets) useSpeeds(records []speed.Reported) {
	for i := range records[:min(len(records), speed.MaxReported)] {
		t.holder.UseSpeed(records[i].Target, records[i].Estimate())
	}
}

// useReply uses the records in the answer to a report.
func (t *targets) useReply(body cbor.RawMessage) {
	var reply heldReply
	if cbor.Unmarshal(body, &reply) == nil {
		t.useSpeeds(reply.Speeds)
	}
}
