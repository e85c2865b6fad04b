package entry

import (
	"context"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/membership"
	"github.com/vanillagrade/vanillagrade/internal/policy/assign"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// holderDiscoveryTime is the longest time that a new incarnation waits before it accepts
// targets that its rank assigns to it. Until it has received heartbeats from the other
// entries of its zone, it does not know which of them hold the targets.
const holderDiscoveryTime = time.Second

// holderOf returns the entry that holds a target or should hold it; empty while
// no entry can.
func (t *targets) holderOf(announced *job.Target) job.EntryID {
	if announced.Zone == t.self.Zone && (t.registry.Holds(announced.ID) || t.inventory.isReclaimPending(announced.ID)) {
		return t.self.Entry
	}
	recorded, found := t.inventory.holderOf(announced.ID)
	if recorded != "" || !found && time.Since(t.started) < holderDiscoveryTime {
		// A holder that is about to be discovered reclaims its targets by itself. If they
		// were assigned to another entry in the meantime, they would change holders twice.
		return recorded
	}
	if last := t.lastHolder(announced.ID); last != "" {
		return last
	}
	if keeper := t.keeperToAsk(announced); keeper != "" {
		return keeper
	}
	candidates := assign.Candidates(t.zoneHolders(announced.Zone, announced.Pool))
	if len(candidates) == 0 {
		return ""
	}
	names := make([]job.EntryID, len(candidates))
	for i, h := range candidates {
		names[i] = h.Entry
	}
	return membership.Rank(names, string(announced.ID))[0]
}

// lastHolder returns the entry to which this one last forwarded a target's announcement,
// while that entry keeps its targets: a target stays with its holder.
func (t *targets) lastHolder(id job.TargetID) job.EntryID {
	t.mu.Lock()
	last := t.announcements[id].holder
	t.mu.Unlock()
	if last == "" || last == t.self.Entry {
		return ""
	}
	if view := t.members.View(); !t.keepsTargets(&view, last) {
		return ""
	}
	return last
}

// keeperToAsk returns an entry that records the holders of targets, if this entry does not
// know the holder of a target. It returns an empty name if this entry knows the holder or may
// choose one.
//
// This entry doesn't know the holder just after its start, or if another entry has taken
// the target from it. If it then chose a new holder, that one and the current holder would
// take the target from each other and stop the tasks that run there.
func (t *targets) keeperToAsk(announced *job.Target) job.EntryID {
	if t.inventory == nil || t.inventory.store != nil || announced.Zone != t.self.Zone {
		return ""
	}
	t.mu.Lock()
	at, lost := t.yielded[announced.ID]
	delete(t.yielded, announced.ID)
	t.mu.Unlock()
	lost = lost && time.Since(at) < yieldRetention
	if !lost && time.Since(t.started) > holderDiscoveryTime {
		return ""
	}
	for _, keeper := range t.inventory.keepers() {
		if keeper.Serving() {
			return keeper.Entry
		}
	}
	return ""
}

// zoneHolders returns the entries of a zone with their numbers of targets of a pool. Entries
// that are down come last: what they state decides by which rule targets are assigned, and that
// must not change while entries of the previous release are restarted.
func (t *targets) zoneHolders(zone job.Zone, pool string) []assign.Holder {
	view := t.members.View()
	held := t.targetCounts(pool)
	ranked := view.Ranked(zone, pool)
	holders := make([]assign.Holder, 0, len(ranked))
	for rank, name := range ranked {
		m, _ := view.Get(name)
		holders = append(holders, assign.Holder{
			Entry: name, Serving: m.Serving() && t.mayHold(&view, m), Reserve: m.Reserve,
			Carries: m.Carries, Capacity: m.Capacity, Rank: rank, Targets: held[name],
		})
	}
	for _, m := range view.List {
		if m.Zone == zone && !m.Live() {
			holders = append(holders, assign.Holder{Entry: m.Entry, Reserve: m.Reserve, Carries: m.Carries, Capacity: m.Capacity, Rank: len(ranked)})
		}
	}
	return holders
}

// targetCounts returns how many targets of a pool each entry holds. The count includes the
// targets that this entry has sent to the holder since the holder's last report.
func (t *targets) targetCounts(pool string) map[job.EntryID]int {
	now := time.Now()
	reported := t.holderReports(now, pool)
	t.mu.Lock()
	defer t.mu.Unlock()
	return assign.CountTargets(now, reported, t.recentlySent[pool])
}

// holderReports returns the reports of how many targets of a pool each entry holds: the regular
// ones, and those that came with answers.
func (t *targets) holderReports(now time.Time, pool string) []assign.HolderReport {
	var reported []assign.HolderReport
	for _, l := range t.members.AgedLoads() {
		if l.Pool == pool {
			reported = append(reported, assign.HolderReport{Entry: l.Entry, Targets: l.Targets, At: now.Add(-l.Age)})
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return assign.MergeReports(now, reported, t.learned[pool])
}

// mayHold reports whether a member may hold targets in this entry's view. This entry itself
// may do so once it has received heartbeats from the other entries of its zone, or has begun
// to reclaim its earlier targets, or holderDiscoveryTime has passed. An entry that knows no
// others waits half of that time.
func (t *targets) mayHold(view *membership.Members, m membership.Member) bool {
	if m.Entry != t.self.Entry || time.Since(t.started) > holderDiscoveryTime || t.inventory.hasReclaimed() {
		return true
	}
	for _, other := range view.List {
		if other.Zone == t.self.Zone && other.Entry != t.self.Entry && other.Live() && !t.members.Heard(other.Entry) {
			return false
		}
	}
	return len(view.List) > 1 || time.Since(t.started) > holderDiscoveryTime/2
}

// rebalance transfers targets that other entries should hold, each once it is idle:
// the new holder stops the tasks that it finds there.
func (t *targets) rebalance() {
	if t.isReclaiming() {
		return
	}
	byPool := map[string][]job.Target{}
	for _, held := range t.registry.Held() {
		byPool[held.Pool] = append(byPool[held.Pool], held)
	}
	for pool, held := range byPool {
		moves, active := assign.Transfers(t.zoneHolders(t.self.Zone, pool), t.self.Entry, len(held), t.sinceTransfers(pool))
		t.selectTransfers(pool, held, moves, !active)
	}
	t.transferIdle(func(released job.Target, to job.EntryID) { go t.transfer(released, to) })
}

// isReclaiming reports whether this entry has just started and has reclaimed targets of its
// previous incarnation. Other holders may still be reclaiming theirs: rebalancing by their
// current numbers of targets would move targets back and forth.
func (t *targets) isReclaiming() bool {
	if !t.inventory.hasReclaimed() || time.Since(t.started) > warmupTime {
		return false
	}
	view := t.members.View()
	return view.Self.Serving()
}

// selectTransfers chooses targets to transfer and their new holders. A holder that
// continues to serve transfers idle targets only. One that stops transfers all targets and
// starts no more tasks on them.
func (t *targets) selectTransfers(pool string, held []job.Target, moves []assign.Move, all bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	selected := false
	for _, move := range moves {
		n := move.Targets
		for i := range held {
			id := held[i].ID
			if n == 0 {
				break
			}
			if _, chosen := t.transfers[id]; chosen {
				continue
			}
			if !all && t.exclusive && t.holder.Running(id) > 0 {
				continue
			}
			t.transfers[id] = move.To
			selected = true
			if t.exclusive {
				t.holder.RemoveTarget(id)
			}
			n--
		}
	}
	if selected {
		if t.transfersAt == nil {
			t.transfersAt = map[string]time.Time{}
		}
		t.transfersAt[pool] = time.Now()
	}
}

// sinceTransfers returns how long ago targets of a pool were last selected for a transfer.
func (t *targets) sinceTransfers(pool string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.transfersAt[pool])
}

// transferIdle transfers those of the selected targets on which no task runs any more.
func (t *targets) transferIdle(send func(job.Target, job.EntryID)) {
	t.mu.Lock()
	ready := map[job.TargetID]job.EntryID{}
	for id, to := range t.transfers {
		if !t.exclusive || t.holder.Running(id) == 0 {
			ready[id] = to
			delete(t.transfers, id)
		}
	}
	t.mu.Unlock()
	if len(ready) == 0 {
		return
	}
	t.changeMu.Lock()
	defer t.changeMu.Unlock()
	released := t.registry.Release(func(held *job.Target) bool { return ready[held.ID] == "" })
	for i := range released {
		// The next holder receives the number of running tasks from here: the target's
		// own count dates from its last renewal.
		released[i].Running = t.holder.RemoveTarget(released[i].ID)
		to := ready[released[i].ID]
		t.events.Record(timeline.Event{Kind: timeline.HolderChanged, Target: released[i].ID, Peer: to, Cause: "the holders of the pool changed"})
		t.log.Info("target transferred", "target", released[i].ID, "to", to)
		send(released[i], to)
	}
}

// transfer sends a released target to its new holder, which otherwise would receive it only
// with the target's next announcement.
func (t *targets) transfer(released job.Target, to job.EntryID) {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	if err := t.forward.Release(ctx, released, to); err != nil {
		t.log.Info("target not transferred; its new holder receives it with the next announcement", "target", released.ID, "error", err)
		return
	}
	// The target still sends its next announcement to this entry.
	t.recordAnnouncement(released, to, config.DefaultLease)
}

// yield releases a target that another entry has taken.
func (t *targets) yield(id job.TargetID) {
	t.changeMu.Lock()
	defer t.changeMu.Unlock()
	t.mu.Lock()
	delete(t.transfers, id)
	delete(t.announcements, id)
	t.yielded[id] = time.Now()
	t.mu.Unlock()
	if len(t.registry.Release(func(held *job.Target) bool { return held.ID != id })) == 0 {
		return
	}
	t.holder.RemoveTarget(id)
	t.events.Record(timeline.Event{Kind: timeline.HolderChanged, Target: id, Cause: "another entry has taken the target"})
}

// isTransferring reports whether a held target is being transferred.
func (t *targets) isTransferring(id job.TargetID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, leaving := t.transfers[id]
	return leaving
}
