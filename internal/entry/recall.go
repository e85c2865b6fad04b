package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/policy/speed"
)

const (
	// recallInterval is how often a new incarnation checks for further entries to query.
	// recallTimeout bounds the whole query: by then the targets have announced themselves.
	recallInterval = 25 * time.Millisecond
	recallTimeout  = 2 * time.Second
	// gatherTime is how long to wait, after the first answer, for a more recent one from
	// another entry: a round trip to another zone, plus a scheduling pause of a busy VM.
	gatherTime = 40 * time.Millisecond
)

// recall reclaims the targets that the previous incarnation of this entry held, and notifies
// all entries of these targets at once.
func (v *targetInventory) recall(ctx context.Context) {
	begun := time.Now()
	last, answers := v.queryLastHeld(ctx)
	held := last.Held
	if len(held.Targets) == 0 {
		return
	}
	taken := v.reclaim(held.Targets, last.Speeds)
	v.log.Info("targets of the previous incarnation reclaimed",
		"targets", taken, "remembered", len(held.Targets), "life", held.Life, "word", held.Number,
		"answers", answers, "after_ms", time.Since(begun).Milliseconds())
	if taken > 0 {
		v.members.SendHeartbeats()
	}
}

// queryLastHeld queries each entry of this zone that has a disk, once it is discovered, and
// returns the answer with the most recent report.
func (v *targetInventory) queryLastHeld(ctx context.Context) (last recallReply, answers int) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	replies := make(chan recallReply)
	queried := &querySet{entries: map[job.EntryID]bool{}}
	tick := time.NewTicker(recallInterval)
	defer tick.Stop()
	var gathered <-chan time.Time
	for {
		v.queryKeepers(ctx, queried, replies)
		select {
		case r := <-replies:
			answers++
			if answers == 1 || r.Held.After(&last.Held) {
				last = r
			}
			if gathered == nil {
				gathered = time.After(gatherTime)
			}
		case <-tick.C:
		case <-gathered:
			return last, answers
		case <-ctx.Done():
			return last, answers
		}
	}
}

// querySet is the set of entries that have been queried for the targets of this entry.
type querySet struct {
	mu      sync.Mutex
	entries map[job.EntryID]bool
}

// add reports whether an entry is to be queried now, and adds it to the set.
func (a *querySet) add(entry job.EntryID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.entries[entry] {
		return false
	}
	a.entries[entry] = true
	return true
}

// remove makes an entry that could not answer be queried again.
func (a *querySet) remove(entry job.EntryID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.entries, entry)
}

// queryKeepers queries the keepers that were discovered since the last call, and again those
// that could not answer.
func (v *targetInventory) queryKeepers(ctx context.Context, queried *querySet, replies chan<- recallReply) {
	view := v.members.View()
	for _, m := range view.List {
		if !m.Reserve || m.Zone != v.self.Zone || !queried.add(m.Entry) {
			continue
		}
		go func() {
			r, err := v.queryKeeper(ctx, m.Entry)
			switch {
			case err != nil || r.Later:
				queried.remove(m.Entry)
			case r.Known:
				select {
				case replies <- r:
				case <-ctx.Done():
				}
			}
		}()
	}
}

func (v *targetInventory) queryKeeper(ctx context.Context, keeper job.EntryID) (r recallReply, err error) {
	if keeper == v.self.Entry {
		return v.answerRecall(keeper), nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err = v.mesh.Call(ctx, keeper, peer.TargetsRecall, true, &r)
	return r, err
}

// reclaim reclaims the targets that are still the same and that no other entry has taken, and
// returns their number. It queries the targets one after the other: an entry is short of
// processor time just after its start, and each reclaimed target brings work. If all were
// reclaimed at once, starts would go unanswered for lack of processor time, and resending them
// would use even more of it.
//
// Each target starts from its speed record.
func (v *targetInventory) reclaim(list []job.Target, speeds []speed.Reported) int {
	pending := map[job.TargetID]bool{}
	for i := range list {
		pending[list[i].ID] = true
	}
	v.pending.Store(&pending)
	v.reclaimed.Store(true)
	defer v.pending.Store(nil)
	taken := 0
	for i := range list {
		if !v.targets.reclaim(list[i]) {
			continue
		}
		taken++
		if k := slices.IndexFunc(speeds, func(r speed.Reported) bool { return r.Target == list[i].ID }); k >= 0 {
			v.targets.useSpeeds(speeds[k : k+1])
		}
	}
	return taken
}

// isReclaimPending reports whether a target is being reclaimed.
func (v *targetInventory) isReclaimPending(id job.TargetID) bool {
	if v == nil {
		return false
	}
	pending := v.pending.Load()
	return pending != nil && (*pending)[id]
}

// reclaim reclaims a target of this entry's previous incarnation, unless another target has
// replaced it or another entry holds it.
func (t *targets) reclaim(remembered job.Target) bool {
	if remembered.Zone != t.self.Zone || t.registry.Holds(remembered.ID) || t.lastHolder(remembered.ID) != "" {
		return false
	}
	// The target may have restarted under its id meanwhile.
	anyProcess := remembered
	anyProcess.StartedAt = 0
	if t.checkPool(&remembered) != nil || !t.isListening(anyProcess) {
		return false
	}
	_, err := localTargets{t}.Announce(remembered)
	return err == nil
}
