package entry

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/membership"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/policy/inventory"
	"github.com/vanillagrade/vanillagrade/internal/policy/speed"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
	"github.com/vanillagrade/vanillagrade/internal/storage"
)

const (
	// reportInterval is how often a holder checks whether its targets differ from its last
	// report. saveInterval is how often changes are written to disk: there are a few
	// changes an hour, and a sync delays consensus on the same disk.
	reportInterval = 500 * time.Millisecond
	saveInterval   = time.Second
	// reportTimeout bounds one report, and one query for the targets that the previous
	// incarnation held.
	reportTimeout = 400 * time.Millisecond
	// yieldRetention is how long an entry that lost a target to another one queries a keeper
	// for the new holder instead of taking the target back: a few announcements.
	yieldRetention = 5 * time.Second
	// heldRecord is the name of the record on disk, heldFormat its format version.
	heldRecord = "targets"
	heldFormat = 1
)

// recallReply is the answer to an entry that asks which targets its previous incarnation
// held.
type recallReply struct {
	Held inventory.Report `cbor:"1,keyasint"`
	// Known is false if the entry has never reported.
	Known bool `cbor:"2,keyasint,omitempty"`
	// Later asks the entry to query again later, because the record may be outdated.
	Later bool `cbor:"3,keyasint,omitempty"`
	// Speeds are the records of these targets.
	Speeds []speed.Reported `cbor:"4,keyasint,omitempty"`
}

// targetInventory records on this entry's disk which targets the entries of this zone hold,
// and reports this entry's own targets to the entries with a disk.
type targetInventory struct {
	self    job.Owner
	targets *targets
	members *membership.Membership
	mesh    peer.Mesh
	// store is nil on an entry without a disk.
	store *storage.Store
	log   *slog.Logger

	// mu guards the table, and dirty, which is set while the disk is behind the table.
	mu    sync.Mutex
	table *inventory.Table
	dirty bool
	// heardFrom are the entries that have reported their targets since this one started.
	heardFrom map[job.EntryID]bool

	// lastReport is this entry's latest report, and delivered identifies the report that
	// each entry has received last. Only one goroutine uses them.
	lastReport inventory.Report
	delivered  map[job.EntryID]reportID
	lastSpeeds speedReport
	// speeds are the speed records of the zone; they are empty without a disk.
	speeds *speedRecords
	// measured returns the speeds that this entry has measured on its targets.
	measured func() []scheduler.MeasuredSpeed
	// pending are the targets being reclaimed: each is asked whether it is still the same
	// incarnation. reclaimed is set once reclaiming has begun.
	pending   atomic.Pointer[map[job.TargetID]bool]
	reclaimed atomic.Bool
}

// reportID identifies the last report that an incarnation of an entry has received.
type reportID struct {
	incarnation job.Incarnation
	number      uint64
}

func newTargetInventory(t *targets, store *storage.Store) *targetInventory {
	v := &targetInventory{
		self: t.self, targets: t, members: t.members, mesh: t.mesh, store: store, log: t.log,
		delivered: map[job.EntryID]reportID{}, table: &inventory.Table{}, heardFrom: map[job.EntryID]bool{},
		speeds: newSpeedRecords(store, t.log), measured: t.holder.Speeds,
	}
	v.load()
	v.mesh.Handle(peer.TargetsHeld, v.handleHeld)
	v.mesh.Handle(peer.TargetsRecall, v.handleRecall)
	return v
}

// load reads the saved table. If it can't be read, the entry only has to wait some seconds
// until the targets announce themselves.
func (v *targetInventory) load() {
	if v.store == nil {
		return
	}
	format, body, err := v.store.Load(heldRecord)
	if errors.Is(err, errors.NotFound) {
		return
	}
	held := map[job.EntryID]inventory.Report{}
	if err == nil && format == heldFormat {
		err = cbor.Unmarshal(body, &held)
	}
	if err != nil || format != heldFormat {
		v.log.Warn("remembered targets can't be loaded", "format", format, "error", err)
		return
	}
	v.table = inventory.Load(held)
	v.log.Info("remembered targets loaded", "entries", len(held), "targets", v.table.Targets())
}

// run reclaims the targets of this entry's previous incarnation, and then reports the held
// targets until ctx ends. It must not report earlier: the first report would replace the
// record of the previous incarnation's targets.
func (v *targetInventory) run(ctx context.Context) error {
	v.recall(ctx)
	v.report(ctx)
	return every(ctx, reportInterval, func(time.Time) { v.report(ctx) })
}

// save writes changes of the table to disk, until ctx ends.
func (v *targetInventory) save(ctx context.Context) error {
	failing := false
	return every(ctx, saveInterval, func(time.Time) {
		body, number := v.unsaved()
		if body == nil {
			return
		}
		err := v.store.Save(heldRecord, heldFormat, body)
		if err == nil {
			failing = false
			return
		}
		v.mu.Lock()
		v.dirty = true
		v.mu.Unlock()
		if !failing {
			v.log.Warn("targets held by the entries can't be saved", "targets", number, "error", err)
		}
		failing = true
	})
}

// unsaved returns the encoded table if it has unsaved changes, nil otherwise.
func (v *targetInventory) unsaved() (body []byte, targets int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.dirty || v.store == nil {
		return nil, 0
	}
	v.dirty = false
	body, err := cbor.Marshal(v.table.All())
	if err != nil {
		v.log.Error("targets held by the entries can't be encoded", "error", err)
		return nil, 0
	}
	return body, v.table.Targets()
}

// update applies a change to the table.
func (v *targetInventory) update(f func(*inventory.Table) bool) {
	if v == nil || v.store == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dirty = f(v.table) || v.dirty
}

// recordMove records that a target was assigned to an entry.
func (v *targetInventory) recordMove(t job.Target, to job.EntryID) {
	v.update(func(b *inventory.Table) bool { return b.Moved(t, to) })
}

// drop removes a target that is stopping or has ended.
func (v *targetInventory) drop(id job.TargetID) {
	v.update(func(b *inventory.Table) bool { return b.Drop(id) })
}

// forgetEntry removes an entry that will not return.
func (v *targetInventory) forgetEntry(entry job.EntryID) {
	v.update(func(b *inventory.Table) bool {
		return b.Keep(func(known job.EntryID) bool { return known != entry })
	})
}

func (v *targetInventory) handleHeld(_ context.Context, from job.Owner, body cbor.RawMessage) (any, error) {
	var h heldReport
	if err := cbor.Unmarshal(body, &h); err != nil {
		return nil, errors.Annotate(err, "decoding the targets that an entry holds")
	}
	h.Life = from.Incarnation
	v.update(func(b *inventory.Table) bool {
		v.heardFrom[from.Entry] = true
		return b.Apply(from.Entry, h.Report)
	})
	v.speeds.apply(h.Targets, h.Speeds)
	return heldReply{v.speeds.recordsFor(h.Targets, h.Speeds)}, nil
}

func (v *targetInventory) handleRecall(_ context.Context, from job.Owner, _ cbor.RawMessage) (any, error) {
	return v.answerRecall(from.Entry), nil
}

// answerRecall returns the targets that the previous incarnation of an entry held, with their
// speed records.
func (v *targetInventory) answerRecall(entry job.EntryID) recallReply {
	r := v.lastHeldBy(entry)
	r.Speeds = v.speeds.recordsFor(r.Held.Targets, nil)
	return r
}

// lastHeldBy returns the targets that the previous incarnation of an entry held. It asks for
// a later query while a holder that kept running has not reported its targets yet: that
// holder may have taken some of these targets while this entry was down, and would lose the
// tasks that run there.
func (v *targetInventory) lastHeldBy(entry job.EntryID) recallReply {
	view := v.members.View()
	v.mu.Lock()
	defer v.mu.Unlock()
	for other, h := range v.table.All() {
		m, found := view.Get(other)
		if other != entry && other != v.self.Entry && found && m.Serving() && m.Incarnation == h.Life && !v.heardFrom[other] {
			return recallReply{Later: true}
		}
	}
	h, known := v.table.Get(entry)
	return recallReply{Held: h, Known: known}
}

// keepers returns the entries that record this one's targets: those of its zone that have a
// disk. Entries of other zones would often have outdated records of the holders here.
func (v *targetInventory) keepers() []membership.Member {
	view := v.members.View()
	return slices.DeleteFunc(slices.Clone(view.List), func(m membership.Member) bool {
		return !m.Reserve || !m.Live() || m.Entry == v.self.Entry || m.Zone != v.self.Zone
	})
}

// report reports this entry's targets and their speeds to the keepers that have not received
// the latest report.
func (v *targetInventory) report(ctx context.Context) {
	held := v.targets.registry.Held()
	for i := range held {
		held[i].Running = 0
	}
	now := time.Now()
	speeds := v.measured()
	if !slices.Equal(held, v.lastReport.Targets) || v.lastReport.Number == 0 || v.lastSpeeds.due(now, speeds) {
		v.lastReport = inventory.Report{Life: v.self.Incarnation, Number: v.lastReport.Number + 1, Targets: held}
		v.lastSpeeds.sent(now, speeds)
		v.update(func(b *inventory.Table) bool { return b.Apply(v.self.Entry, v.lastReport) })
		reported := reportedSpeeds(speeds)
		v.speeds.apply(held, reported)
		v.targets.useSpeeds(v.speeds.recordsFor(held, reported))
	}
	v.reportToKeepers(ctx, heldReport{v.lastReport, reportedSpeeds(speeds)})
}

func (v *targetInventory) reportToKeepers(ctx context.Context, report heldReport) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	confirmed := map[job.EntryID]reportID{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range v.keepers() {
		current := reportID{m.Incarnation, report.Number}
		if v.delivered[m.Entry] == current {
			continue
		}
		wg.Go(func() {
			var reply cbor.RawMessage
			if v.mesh.Call(ctx, m.Entry, peer.TargetsHeld, report, &reply) != nil {
				return // the next round retries
			}
			v.targets.useReply(reply)
			mu.Lock()
			defer mu.Unlock()
			confirmed[m.Entry] = current
		})
	}
	wg.Wait()
	maps.Copy(v.delivered, confirmed)
}

// hasReclaimed reports whether this entry has begun to reclaim targets of its previous
// incarnation.
func (v *targetInventory) hasReclaimed() bool { return v != nil && v.reclaimed.Load() }

// holderOf returns the recorded holder of a target if it is serving, empty otherwise. found is
// false if the holder has not been discovered yet.
func (v *targetInventory) holderOf(id job.TargetID) (holder job.EntryID, found bool) {
	if v == nil || v.store == nil {
		return "", true
	}
	v.mu.Lock()
	holder = v.table.HolderOf(id)
	v.mu.Unlock()
	if holder == "" || holder == v.self.Entry {
		return "", true
	}
	view := v.members.View()
	m, known := view.Get(holder)
	if known && m.Serving() {
		return holder, true
	}
	return "", known
}

// count returns the number of targets in this entry's table.
func (v *targetInventory) count() int {
	if v == nil {
		return 0
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Targets()
}

// knowsHolder reports whether the holder of a target is recorded here.
func (v *targetInventory) knowsHolder(id job.TargetID) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.HolderOf(id) != ""
}
