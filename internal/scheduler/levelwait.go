package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/precedence"
)

// expectedWaitOfLevel returns the expected time until the whole batch has started: behind the
// queued tasks of its own level that go first and those of more urgent levels, on the slots
// in the order in which they are expected to become free.
func (p *Pool) expectedWaitOfLevel(now time.Time, b *batch, slack time.Duration, shares []precedence.Share) time.Duration {
	longSlack := slack.Seconds() > p.meanSlack
	ahead, work := 0, 0.0
	var before []*batch
	for _, other := range p.batches {
		if other.queued() == 0 || !p.goesFirst(other, b, longSlack) {
			continue
		}
		before = append(before, other)
		ahead += other.queued()
		work += other.queuedWork()
	}
	if ahead == 0 && p.roomFor(now, b) {
		return 0
	}
	if p.running+ahead > maxRunningExamined {
		return p.withLater(time.Duration((work+b.queuedWork())/math.Max(1, p.slots)*float64(time.Second)), b.class, b.level, shares)
	}
	slices.SortFunc(before, func(x, y *batch) int { return cmp.Compare(x.item.Seq, y.item.Seq) })
	return p.withLater(p.startAfter(now, before, b), b.class, b.level, shares)
}

// waits returns the expected wait of a task of each priority of a class that arrives now; nil
// if there is only one.
func (p *Pool) waits(now time.Time, u job.Urgency) []job.PriorityLoad {
	c := &p.classes[u]
	if c.lastLevel() == 0 {
		return nil
	}
	shares := p.shares(now, u)
	out := make([]job.PriorityLoad, len(shares))
	for l := range out {
		out[l] = job.PriorityLoad{Priority: c.precedence.Priority(l), Wait: p.waitOfLevel(now, u, l, shares)}
	}
	return out
}

// waitOfLevel returns the expected wait of one task of a level that arrives now.
func (p *Pool) waitOfLevel(now time.Time, u job.Urgency, level int, shares []precedence.Share) time.Duration {
	var before []*batch
	ahead, work := 0, 0.0
	for _, b := range p.batches {
		if b.queued() > 0 && !b.objective.late && (b.class > u || b.class == u && b.level <= level) {
			before = append(before, b)
			ahead += b.queued()
			work += b.queuedWork()
		}
	}
	if ahead == 0 && p.freeCapacity >= 1 {
		return 0
	}
	if p.running+ahead > maxRunningExamined {
		return p.withLater(time.Duration(work/math.Max(1, p.slots)*float64(time.Second)), u, level, shares)
	}
	slices.SortFunc(before, func(x, y *batch) int { return cmp.Compare(x.item.Seq, y.item.Seq) })
	p.assignBefore(now, before)
	return p.withLater(p.freeTimes.freeAt[0], u, level, shares)
}

// minLeft is the least part of the slots that is left to a level in the estimate of its
// wait. At a tenth, the level is refused except for what can start at once.
const minLeft = 0.1

// withLater adds to the wait of a level what more urgent work that arrives in the meantime
// takes: the wait is longer by the part of the slots that more urgent levels demand, as far as
// the levels compete.
func (p *Pool) withLater(wait time.Duration, u job.Urgency, level int, shares []precedence.Share) time.Duration {
	urgent := 0.0
	for _, s := range shares[:level] {
		urgent += s.Demand
	}
	capacity := max(1, p.capacityFor(u))
	left := max(minLeft, 1-precedence.Pressure(shares, capacity)*urgent/capacity)
	return max(1, time.Duration(float64(wait)/left))
}

// goesFirst reports whether a queued batch is expected to be served before b.
func (p *Pool) goesFirst(other, b *batch, longSlack bool) bool {
	if other.class != b.class {
		return other.class > b.class
	}
	if other.level != b.level || other.objective.late {
		return other.level < b.level && !other.objective.late
	}
	return longSlack || other.item.Order <= b.item.Order
}

// levelStats returns the state of the levels of a class for operators; nil if there is only
// one.
func (p *Pool) levelStats(now time.Time, u job.Urgency) []LevelStats {
	c := &p.classes[u]
	waits := p.waits(now, u)
	out := make([]LevelStats, len(waits))
	for l, s := range p.shares(now, u)[:len(waits)] {
		out[l] = LevelStats{
			Urgency: u, Priority: waits[l].Priority, Wait: waits[l].Wait, Share: s, LevelCounts: *p.countsOf(u, l),
			Queued: c.waiting[l*lanes+laneShort] + c.waiting[l*lanes+laneLong], Running: c.runningOf[l],
		}
	}
	return out
}

// countsOf returns the counts of the priority of a level.
func (p *Pool) countsOf(u job.Urgency, level int) *LevelCounts {
	priority := p.classes[u].precedence.Priority(level)
	if p.counts[priority] == nil {
		p.counts[priority] = &LevelCounts{}
	}
	return p.counts[priority]
}

// CountsByPriority returns the counts of the jobs with an objective by priority, for a pool
// whose services have several.
func (p *Pool) CountsByPriority() map[int]LevelCounts {
	out := make(map[int]LevelCounts, len(p.counts))
	for priority, n := range p.counts {
		out[priority] = *n
	}
	return out
}

// Plus returns the sum of two counts.
func (n LevelCounts) Plus(o LevelCounts) LevelCounts {
	return LevelCounts{Admitted: n.Admitted + o.Admitted, Refused: n.Refused + o.Refused, Abandoned: n.Abandoned + o.Abandoned}
}
