package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/api"
	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/handover"
	"github.com/vanillagrade/vanillagrade/internal/holder"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/malformed"
	"github.com/vanillagrade/vanillagrade/internal/membership"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/policy/assign"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// expireInterval is how often expired leases are checked. A dead target receives no new
// work later than one lease plus this interval after its last announcement.
const expireInterval = 250 * time.Millisecond

// targets handles the announcements of targets and keeps the holder's set of targets
// consistent with the leases.
type targets struct {
	self      job.Owner
	config    config.View
	registry  *target.Registry
	holder    *holder.Holder
	members   *membership.Membership
	forward   *handover.Targets
	mesh      peer.Mesh
	events    timeline.Sink
	log       *slog.Logger
	malformed *malformed.Tally
	// isListening reports whether a target's address answers as this incarnation.
	isListening func(job.Target) bool

	// changeMu is held while the registry and the holder change together. Otherwise a
	// withdrawal between the two steps of a renewal would leave the holder with a
	// target that has no lease and receives work forever.
	changeMu sync.Mutex

	// announcements are the last announcements that targets made through this entry.
	mu            sync.Mutex
	announcements map[job.TargetID]announcement
	// reportsStart are the pools whose targets report when their processes started.
	reportsStart map[string]bool
	// recentlySent are the targets that were recently sent to a holder, by pool.
	recentlySent map[string][]assign.SentTarget
	// learned are the numbers of targets that holders have reported with their answers, by
	// pool.
	learned map[string][]assign.HolderReport
	// transfers are the held targets to transfer, with their new holders. Targets that
	// are controlled by one entry at a time are transferred once they are idle.
	transfers map[job.TargetID]job.EntryID
	// transfersAt is when targets were last selected for a transfer, by pool.
	transfersAt map[string]time.Time

	// exclusive says that each target is controlled by one entry at a time.
	exclusive bool
	started   time.Time

	// inventory records which entry holds which targets, for the restart after a power loss
	// of all VMs; nil where the settings name the entries.
	inventory *targetInventory
	// yielded are the targets that another entry has taken, with the time; mu guards it.
	yielded map[job.TargetID]time.Time
}

// announcement is a target's last announcement, the holder that received it and the time at
// which it expires.
type announcement struct {
	target  job.Target
	holder  job.EntryID
	expires time.Time
}

func newTargets(e *Entry) *targets {
	t := &targets{
		self:          e.self,
		config:        e.config,
		registry:      target.NewRegistry(e.self.Zone, e.config),
		holder:        e.holder,
		members:       e.members,
		mesh:          e.links,
		events:        e.events,
		log:           e.log,
		malformed:     e.opts.Malformed,
		isListening:   newListenCheck(e.opts.NewTargetClient),
		announcements: map[job.TargetID]announcement{},
		transfers:     map[job.TargetID]job.EntryID{},
		yielded:       map[job.TargetID]time.Time{},

		exclusive: e.opts.NewTargetClient != nil,
		started:   e.started,
	}
	t.connectForwarding(handover.NewTargets(e.links, t.holderOf, localTargets{t}))
	t.mesh.Handle(peer.TargetWithdraw, t.handleWithdraw)
	return t
}

// connectForwarding sets how announcements are passed on, and learns what holders report with
// their answers.
func (t *targets) connectForwarding(forward *handover.Targets) {
	forward.Held, forward.Known, forward.Learn = t.heldOf, t.knownCounts, t.learnCounts
	t.forward = forward
}

// heldOf returns how many targets of a pool this entry holds.
func (t *targets) heldOf(pool string) int {
	n := 0
	for _, held := range t.registry.Held() {
		if held.Pool == pool {
			n++
		}
	}
	return n
}

// knownCounts returns how many targets of a new target's pool each entry of its zone holds.
func (t *targets) knownCounts(announced *job.Target) []handover.Count {
	if t.lastHolder(announced.ID) != "" {
		return nil
	}
	now := time.Now()
	reportedAt := map[job.EntryID]time.Time{}
	for _, r := range t.holderReports(now, announced.Pool) {
		if r.At.After(reportedAt[r.Entry]) {
			reportedAt[r.Entry] = r.At
		}
	}
	var out []handover.Count
	for _, h := range t.zoneHolders(announced.Zone, announced.Pool) {
		if at, known := reportedAt[h.Entry]; known && h.Targets > 0 {
			out = append(out, handover.Count{Entry: h.Entry, Targets: h.Targets, AgeMillis: now.Sub(at).Milliseconds()})
		}
	}
	return out
}

// learnCounts records how many targets of a pool other entries hold by another entry's word.
func (t *targets) learnCounts(pool string, counts []handover.Count) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.learned == nil {
		t.learned = map[string][]assign.HolderReport{}
	}
	var reports []assign.HolderReport
	for _, c := range counts {
		if c.Entry != t.self.Entry {
			at := now.Add(-time.Duration(c.AgeMillis) * time.Millisecond)
			reports = append(reports, assign.HolderReport{Entry: c.Entry, Targets: c.Targets, At: at})
		}
	}
	t.learned[pool] = assign.MergeReports(now, t.learned[pool], reports)
}

// announcementsPerLease is how many announcements a target makes in one lease, so that
// two may be lost before the lease expires.
const announcementsPerLease = 3

// Announce implements api.Announcer: it forwards the announcement to the target's
// holder, which may be this entry.
func (t *targets) Announce(ctx context.Context, announced job.Target) (lease, renew time.Duration, err error) {
	lease, _, err = t.announce(ctx, announced)
	return lease, lease / announcementsPerLease, err
}

// announce handles an announcement and returns the entry that now holds the target.
func (t *targets) announce(ctx context.Context, announced job.Target) (lease time.Duration, holder job.EntryID, err error) {
	if err := t.validate(&announced); err != nil {
		return 0, "", errors.Trace(err)
	}
	lease, holder, err = t.forward.ForwardTarget(ctx, announced)
	switch {
	case errors.Is(err, handover.ErrNoHolder) || errors.Is(err, peer.ErrNotSent) || errors.Is(err, peer.ErrNoAnswer):
		return 0, "", errors.Annotate(api.ErrNoHolder, err.Error())
	case err != nil:
		return 0, "", errors.Trace(err)
	}
	t.recordAnnouncement(announced, holder, lease)
	return lease, holder, nil
}

func (t *targets) recordAnnouncement(announced job.Target, holder job.EntryID, lease time.Duration) {
	t.inventory.recordMove(announced, holder)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.announcements[announced.ID].holder != holder {
		if t.recentlySent == nil {
			t.recentlySent = map[string][]assign.SentTarget{}
		}
		pool := announced.Pool
		t.recentlySent[pool] = append(assign.DropExpired(now, t.recentlySent[pool]), assign.SentTarget{Holder: holder, At: now})
	}
	t.announcements[announced.ID] = announcement{announced, holder, now.Add(lease)}
	if announced.StartedAt != 0 {
		if t.reportsStart == nil {
			t.reportsStart = map[string]bool{}
		}
		t.reportsStart[announced.Pool] = true
	}
}

// Withdraw implements api.Announcer. The request contains only the target's name. A target
// whose zone is unknown is assumed to be in this entry's zone, or, where targets run tasks
// under a lease, in any zone: there the request may arrive at any entry.
func (t *targets) Withdraw(ctx context.Context, id job.TargetID) error {
	if err := t.countMalformed(target.CheckID(id)); err != nil {
		return errors.Trace(err)
	}
	zone, known := t.zoneOf(id)
	t.removeWithdrawn(id)
	// The target has ended. An entry that misses this message will find it unreachable.
	_ = t.notifyEntries(ctx, id, func(m membership.Member) bool {
		if known {
			return m.Zone == zone
		}
		return t.exclusive || m.Zone == t.self.Zone
	})
	return nil
}

// zoneOf returns the zone of a target that is held here or announced itself here.
func (t *targets) zoneOf(id job.TargetID) (job.Zone, bool) {
	if held, ok := t.registry.Get(id); ok {
		return held.Zone, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	last, ok := t.announcements[id]
	return last.target.Zone, ok
}

// AnnounceStop announces that a target accepts no more work. It is acknowledged only when each
// entry that may hold the target has been notified: otherwise the target would expect no
// more work, but receive some until its lease ends.
func (t *targets) AnnounceStop(ctx context.Context, leaving *job.Target) error {
	if err := t.validate(leaving); err != nil {
		return errors.Trace(err)
	}
	if err := t.removeStopping(leaving); err != nil {
		return errors.Trace(err)
	}
	return t.notifyEntries(ctx, leaving, func(m membership.Member) bool { return m.Zone == leaving.Zone })
}

// notifyEntries makes the selected entries drop a target, given by its name or its
// announcement. A balancer may send this request and the announcements to different
// entries. So the request goes to the holder and also to any entry that would forward the
// target's last announcement to a new holder.
func (t *targets) notifyEntries(ctx context.Context, message any, selected func(membership.Member) bool) error {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	view := t.members.View()
	var notified []job.EntryID
	for _, m := range view.List {
		if m.Entry != t.self.Entry && m.Live() && selected(m) {
			notified = append(notified, m.Entry)
		}
	}
	failed := make(chan error, len(notified))
	for _, entry := range notified {
		go func() { failed <- t.mesh.Call(ctx, entry, peer.TargetWithdraw, message, nil) }()
	}
	var first error
	for range notified {
		if err := <-failed; err != nil && first == nil {
			first = err
		}
	}
	return errors.Annotate(first, "an entry was not notified that the target is stopping")
}

// withdrawTimeout bounds how long a withdrawing target waits for the entries: less than
// the second after which it tries another entry.
const withdrawTimeout = 800 * time.Millisecond

// removeEnded removes a target whose process has ended and stops new work on it at once.
func (t *targets) removeEnded(id job.TargetID) {
	startedAt := t.forgetTarget(id)
	t.remove(&job.Target{ID: id, StartedAt: startedAt}, t.holder.RemoveEndedTarget)
}

// removeWithdrawn stops new work on a target that has withdrawn. No task becomes suspect
// because of the target's end.
func (t *targets) removeWithdrawn(id job.TargetID) {
	startedAt := t.forgetTarget(id)
	t.remove(&job.Target{ID: id, StartedAt: startedAt}, t.holder.RemoveStoppingTarget)
}

// forgetTarget drops what was announced by a target, and returns when its process started;
// zero if that is unknown.
func (t *targets) forgetTarget(id job.TargetID) (startedAt int64) {
	t.inventory.drop(id)
	if held, ok := t.registry.Get(id); ok {
		startedAt = held.StartedAt
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	startedAt = max(startedAt, t.announcements[id].target.StartedAt)
	delete(t.announcements, id)
	delete(t.transfers, id)
	return startedAt
}

func (t *targets) handleWithdraw(_ context.Context, _ job.Owner, body cbor.RawMessage) (any, error) {
	var id job.TargetID
	if err := cbor.Unmarshal(body, &id); err == nil {
		t.removeWithdrawn(id)
		return true, nil
	}
	var leaving job.Target
	if err := cbor.Unmarshal(body, &leaving); err != nil {
		return nil, errors.Trace(err)
	}
	return true, t.removeStopping(&leaving)
}

// localTargets exposes the targets held by this entry to the forwarding of announcements.
type localTargets struct{ *targets }

// Announce implements handover.Registry.
func (t localTargets) Announce(announced job.Target) (time.Duration, error) {
	if t.exclusive {
		if err := t.resolveConflict(&announced); err != nil {
			return 0, t.countMalformed(err)
		}
	}
	t.changeMu.Lock()
	defer t.changeMu.Unlock()
	lease, _, err := t.registry.Announce(time.Now(), announced)
	if err != nil {
		return 0, errors.Trace(err)
	}
	if !t.isTransferring(announced.ID) {
		t.holder.SetTarget(announced)
	}
	return lease, nil
}

// remove stops new work on a target; removeFromHolder removes it from the holder. Where one
// entry at a time controls each target, later announcements of this process of the target are
// refused. An empty address stands for any address, a start of zero for any process so far.
func (t *targets) remove(leaving *job.Target, removeFromHolder func(job.TargetID)) {
	t.changeMu.Lock()
	defer t.changeMu.Unlock()
	if t.exclusive {
		t.registry.RecordEnded(time.Now(), leaving.ID, leaving.Address, leaving.StartedAt)
	}
	if _, held := t.registry.Withdraw(time.Now(), leaving.ID); !held {
		return
	}
	removeFromHolder(leaving.ID)
	t.events.Record(timeline.Event{Kind: timeline.TargetStopping, Target: leaving.ID, Cause: "the target withdrew"})
}

// transferTimeout bounds the transfer of one target to its new holder; the target's
// next announcement reaches that holder anyway.
const transferTimeout = 500 * time.Millisecond

// setView reacts to a new view of the entries. It transfers targets that are held here
// and that others should hold, and targets that announced themselves here and whose
// holder is gone.
func (t *targets) setView(view membership.Members) {
	now := time.Now()
	t.rebalance()
	for _, p := range t.liveAnnouncements(now) {
		if p.holder == "" || t.keepsTargets(&view, p.holder) {
			continue
		}
		to := t.holderOf(&p.target)
		if to == "" || to == p.holder {
			continue
		}
		t.recordAnnouncement(p.target, to, time.Until(p.expires))
		go t.transfer(p.target, to)
	}
}

// keepsTargets reports whether an entry still holds the targets that it held. Where one entry at a
// time controls each target, an entry that stops passes each one on itself, once it is idle: a new
// holder would stop what runs there.
func (t *targets) keepsTargets(view *membership.Members, holder job.EntryID) bool {
	m, known := view.Get(holder)
	return known && (m.Serving() || t.exclusive && m.Live())
}

// liveAnnouncements returns the announcements received here that have not expired.
func (t *targets) liveAnnouncements(now time.Time) []announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	var out []announcement
	for _, p := range t.announcements {
		out = append(out, p)
	}
	return out
}

// dropExpired drops announcements whose lease has expired, so that targets that are
// replaced every day don't fill the memory; the caller holds t.mu.
func (t *targets) dropExpired(now time.Time) {
	for id, p := range t.announcements {
		if now.After(p.expires) {
			delete(t.announcements, id)
		}
	}
	for id, at := range t.yielded {
		if now.Sub(at) > yieldRetention {
			delete(t.yielded, id)
		}
	}
}

// watchLeases ends expired leases, until ctx ends.
func (t *targets) watchLeases(ctx context.Context) error {
	return every(ctx, expireInterval, t.expireLeases)
}

func (t *targets) expireLeases(now time.Time) {
	t.mu.Lock()
	t.dropExpired(now)
	t.mu.Unlock()
	t.rebalance()
	t.changeMu.Lock()
	defer t.changeMu.Unlock()
	for _, expired := range t.registry.Expire(now) {
		t.holder.RemoveTarget(expired.ID)
		t.mu.Lock()
		delete(t.transfers, expired.ID)
		t.mu.Unlock()
		t.events.Record(timeline.Event{Kind: timeline.TargetExpired, Target: expired.ID, Cause: "its lease expired without a renewal"})
	}
}
