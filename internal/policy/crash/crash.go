// Package crash decides whether a task caused the end of targets that it ran on.
//
// Load pattern: a task crashes every target that starts it. The target restarts within
// seconds as a new incarnation, and the task, whose run was lost, is retried on another
// target. One such task takes down target after target together with everything else that
// runs there; a few per second empty a pool. But several tasks usually run on a target
// when it ends, and at most one of them is the cause. Targets also end because of a power
// loss, a failed rack or a network partition, many at a time. A task that is abandoned
// for one of these costs its caller a job that could have completed.
//
// So the loss of a target makes each task that ran there a suspect, which is retried
// alone on its target. A task that ends a second target must be the cause and is
// abandoned; a bystander completes and is cleared. Two kinds of losses say nothing about
// tasks: the loss of many targets at once that have no job in common, and the loss of a
// target that ends repeatedly while the others stay up.
package crash

import (
	"slices"
	"sync"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const (
	// maxCounted is the number of counted losses at which a task is abandoned. With one,
	// each bystander of a crash would be abandoned; with more, each guilty task takes
	// down another target. maxLost is the number of losses, counted or not, at which a
	// task is abandoned.
	maxCounted = 2
	maxLost    = 3
	// eventWindow is the time within which losses of targets count as one event: the
	// times at which the leases of unresponsive targets expire differ by less.
	eventWindow = 500 * time.Millisecond
	// massMinTargets and massMinShare are the number of lost targets, and their share of
	// the targets held, from which an event is not attributed to a task. A single guilty
	// job may take down as many targets at once as it has tasks, but it ran on most of
	// them.
	massMinTargets = 4
	massMinShare   = 0.3
	// unstablePeriod is how long a place counts as unstable, that is, as one whose
	// targets end by themselves, after a target has ended there. maxUnstableShare is the
	// largest number of such places, as a share of the targets held, up to which this
	// applies: if more places lose targets, tasks are the likelier cause.
	unstablePeriod   = 30 * time.Second
	maxUnstableShare = 0.25
	// retention is how long a record is kept after its last loss: callers resubmit a job
	// within seconds. maxRecords bounds the number of records: a pool that loses a
	// hundred targets a second for that long has worse problems.
	retention  = 2 * time.Minute
	maxRecords = 8192
)

// Task identifies one task.
type Task struct {
	Submission job.ID
	Index      int
}

// lossRecord holds the losses of targets that a task was involved in.
type lossRecord struct {
	// lost are the targets that ended while the task ran on them; counted are those of
	// them that count against the task.
	lost, counted []job.TargetID
	last          time.Time
	// excused is set once all losses of the record were removed because many targets
	// ended at once.
	excused bool
}

// loss is one target that ended, and the tasks that ran on it.
type loss struct {
	target job.TargetID
	at     time.Time
	tasks  []Task
}

// Decision is the decision on a task whose target ended while the task ran on it.
type Decision struct {
	// Abandon says that the task is abandoned and not started again. Otherwise Suspect
	// says that the task must run alone on its target.
	Abandon, Suspect bool
	// Lost are the targets that ended while the task ran on them, Counted those of them that
	// count against it. Both are reported to other entries.
	Lost, Counted []job.TargetID
}

// Ended describes a target that ended while a task ran on it.
type Ended struct {
	Target job.TargetID
	// Place is where the target ran: the next incarnation of a target has another ID.
	Place string
	// Held is the number of targets that the entry holds, including this one.
	Held int
	// Sure says that the target is known to have ended. A target that was only
	// unresponsive may have been unreachable.
	Sure bool
}

// Tracker keeps the loss records of tasks at one entry. It reads no clock and is safe for
// concurrent use.
type Tracker struct {
	mu      sync.Mutex
	records map[Task]*lossRecord
	// order lists the tasks of records, oldest first.
	order  []Task
	recent []loss
	// lastLossAt is when a target last ended at each place.
	lastLossAt map[string]time.Time
}

// NewTracker returns a Tracker without records.
func NewTracker() *Tracker {
	return &Tracker{records: map[Task]*lossRecord{}, lastLossAt: map[string]time.Time{}}
}

// RecordLoss records that a target ended while a task ran on it, and returns the decision on
// the task.
func (b *Tracker) RecordLoss(now time.Time, t Task, e Ended) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	b.noteLoss(now, t, e.Target)
	a := b.addLosses(now, t, e.Target)
	if e.Sure && !b.isUnstable(now, e) && !slices.Contains(a.counted, e.Target) {
		a.counted = append(a.counted, e.Target)
	}
	if e.Sure {
		b.lastLossAt[e.Place] = now
	}
	if b.isMassLoss(e.Held) {
		b.excuseMassLoss()
	}
	return b.decide(t)
}

// isUnstable reports whether targets at a place end by themselves: one ended there before
// this event, and targets ended at few other places.
func (b *Tracker) isUnstable(now time.Time, e Ended) bool {
	last, ended := b.lastLossAt[e.Place]
	return ended && now.Sub(last) > eventWindow && float64(len(b.lastLossAt)) <= maxUnstableShare*float64(e.Held)
}

// Decide returns the decision on a task that is about to be started.
func (b *Tracker) Decide(t Task) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.decide(t)
}

func (b *Tracker) decide(t Task) Decision {
	a := b.records[t]
	if a == nil {
		return Decision{}
	}
	return Decision{
		Abandon: len(a.counted) >= maxCounted || len(a.lost) >= maxLost,
		Suspect: len(a.counted) > 0 || len(a.lost) >= maxCounted,
		Lost:    slices.Clone(a.lost),
		Counted: slices.Clone(a.counted),
	}
}

// Merge merges losses that another entry counts against a task. Losses that are already
// known add nothing, whatever their path and however often they arrive.
func (b *Tracker) Merge(now time.Time, t Task, lost []job.TargetID) {
	if len(lost) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	a := b.addLosses(now, t, lost...)
	for _, id := range lost {
		if !slices.Contains(a.counted, id) {
			a.counted = append(a.counted, id)
		}
	}
}

// Clear drops the losses counted against a task that completed.
func (b *Tracker) Clear(t Task) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.records, t)
}

// Len returns the number of tasks that have a record.
func (b *Tracker) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.records)
}

func (b *Tracker) addLosses(now time.Time, t Task, lost ...job.TargetID) *lossRecord {
	a := b.records[t]
	if a == nil {
		a = &lossRecord{}
		b.records[t] = a
		b.order = append(b.order, t)
	}
	a.last = now
	for _, id := range lost {
		if !slices.Contains(a.lost, id) {
			a.lost = append(a.lost, id)
		}
	}
	return a
}

// noteLoss adds a task to the loss of its target.
func (b *Tracker) noteLoss(now time.Time, t Task, target job.TargetID) {
	for i := range b.recent {
		if b.recent[i].target == target {
			b.recent[i].tasks = append(b.recent[i].tasks, t)
			return
		}
	}
	b.recent = append(b.recent, loss{target: target, at: now, tasks: []Task{t}})
}

// isMassLoss reports whether the losses within the event window involve many targets and
// no job ran on most of them.
func (b *Tracker) isMassLoss(held int) bool {
	n := len(b.recent)
	if n < massMinTargets || float64(n) < massMinShare*float64(held) {
		return false
	}
	targetsByJob := map[job.ID]int{}
	for i := range b.recent {
		onTarget := map[job.ID]bool{}
		for _, t := range b.recent[i].tasks {
			onTarget[t.Submission] = true
		}
		for id := range onTarget {
			targetsByJob[id]++
		}
	}
	for _, on := range targetsByJob {
		if 2*on >= n {
			return false
		}
	}
	return true
}

// excuseMassLoss removes the losses of the event window from all records except those of
// tasks that had a loss before, even an excused one: where many tasks crash targets, some
// of their crashes coincide too.
func (b *Tracker) excuseMassLoss() {
	for i := range b.recent {
		for _, t := range b.recent[i].tasks {
			a := b.records[t]
			if a == nil || len(a.lost) != 1 || a.excused {
				continue
			}
			same := func(id job.TargetID) bool { return id == b.recent[i].target }
			a.lost, a.counted = slices.DeleteFunc(a.lost, same), slices.DeleteFunc(a.counted, same)
			a.excused = len(a.lost) == 0
		}
	}
}

// expire drops old losses and records.
func (b *Tracker) expire(now time.Time) {
	b.recent = slices.DeleteFunc(b.recent, func(l loss) bool { return now.Sub(l.at) > eventWindow })
	for place, last := range b.lastLossAt {
		if now.Sub(last) > unstablePeriod {
			delete(b.lastLossAt, place)
		}
	}
	for range len(b.order) {
		first := b.order[0]
		a := b.records[first]
		old := a == nil || now.Sub(a.last) > retention
		if !old && len(b.order) <= maxRecords {
			return
		}
		b.order = b.order[1:]
		delete(b.records, first)
	}
}
