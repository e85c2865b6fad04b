package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/fairqueue"
	"github.com/vanillagrade/vanillagrade/internal/policy/precedence"
	"github.com/vanillagrade/vanillagrade/internal/policy/waitlimit"
)

// Load pattern: services of several priorities share the pool, and each needs more than its
// part of it. See package precedence. With one priority, there is one level, and every
// decision is the same as without levels.

// setLevels applies the priorities of the pool's services. Queued tasks move to the lanes of
// their new levels.
func (p *Pool) setLevels(now time.Time, f *config.File) {
	if p.opts.NoPrecedence || p.opts.NoClasses {
		return
	}
	for u := range p.classes {
		if !p.classes[u].precedence.SetPriorities(f.Priorities(p.name, job.Urgency(u))) {
			continue
		}
		moved := p.batchesOf(job.Urgency(u))
		for _, b := range moved {
			p.unqueue(b)
			p.countRunning(b, -b.running)
		}
		p.classes[u].resetLanes()
		for _, b := range moved {
			b.level = p.levelOf(b.class, b.meta.Service)
			p.countRunning(b, b.running)
			p.enqueue(now, b)
		}
	}
}

// batchesOf returns the batches of an urgency class in order of arrival.
func (p *Pool) batchesOf(u job.Urgency) []*batch {
	var out []*batch
	for _, b := range p.batches {
		if b.class == u {
			out = append(out, b)
		}
	}
	slices.SortFunc(out, func(x, y *batch) int { return cmp.Compare(x.item.Seq, y.item.Seq) })
	return out
}

// resetLanes creates empty lanes for each level.
func (c *class) resetLanes() {
	n := lanes * c.precedence.Levels()
	c.lanes = make([]*fairqueue.Queue[*batch], n)
	for l := range c.lanes {
		c.lanes[l] = fairqueue.New[*batch]()
	}
	c.work, c.waiting = make([]float64, n), make([]int, n)
	c.runningOf = make([]int, c.precedence.Levels())
	c.limits = make(waitlimit.Levels, c.precedence.Levels())
}

// levelOf returns the level of a service, 0 for the most urgent one.
func (p *Pool) levelOf(u job.Urgency, service string) int {
	svc, _ := p.file.Service(service)
	return p.classes[u].precedence.Level(svc.Priority)
}

// leveled reports whether the batch shares its pool with services of other priorities.
func (p *Pool) leveled(b *batch) bool { return p.classes[b.class].precedence.Levels() > 1 }

// shares returns what each level of a class demands, is entitled to and received. The
// capacity excludes the slots that more urgent classes hold.
func (p *Pool) shares(now time.Time, u job.Urgency) []precedence.Share {
	return p.classes[u].precedence.Shares(now, p.capacityFor(u))
}

// capacityFor returns the number of slots that a class can use.
func (p *Pool) capacityFor(u job.Urgency) float64 {
	capacity := max(p.slots, p.busySlots)
	for more := int(u) + 1; more < classes; more++ {
		capacity -= float64(p.classes[more].running)
	}
	return capacity
}

// busyWeight is the weight of one decision in the mean number of busy slots: about a second
// of one holder's decisions under load.
const busyWeight = 0.003

// measureBusy records the number of running tasks while others wait. Tasks that would fit as
// well don't count: entitlements to capacity that only small tasks can use can't be met.
func (p *Pool) measureBusy() {
	if p.queued > 0 {
		p.busySlots += busyWeight * (float64(p.running) - p.busySlots)
	}
}

// aboveEntitlement reports whether a level of a class received more than its entitlement.
func (p *Pool) aboveEntitlement(now time.Time, u job.Urgency, level int) bool {
	return p.shares(now, u)[level].Above()
}

// belowEntitlement reports whether a level of a class received less than its entitlement.
func (p *Pool) belowEntitlement(now time.Time, u job.Urgency, level int) bool {
	return p.shares(now, u)[level].Below()
}

// workIn returns the queued work of a lane, in seconds, of all levels up to the given one.
func (c *class) workIn(lane, level int) float64 {
	sum := 0.0
	for l := 0; l <= level; l++ {
		sum += c.work[l*lanes+lane]
	}
	return sum
}

// lastLevel returns the least urgent level.
func (c *class) lastLevel() int { return c.precedence.Levels() - 1 }

// head returns the job of a class to serve next.
func (p *Pool) head(now time.Time, u job.Urgency, maxLong int) (next *batch, heldLong bool) {
	c := &p.classes[u]
	if c.lastLevel() == 0 || c.queued == 0 {
		return p.headOf(u, 0, maxLong)
	}
	heads := make([]*batch, c.precedence.Levels())
	shares := p.shares(now, u)
	for l := range heads {
		var blocked bool
		heads[l], blocked = p.headOf(u, l, maxLong)
		heldLong = heldLong || blocked
	}
	level, found := precedence.Next(shares, func(l int) bool { return heads[l] != nil })
	if !found {
		return nil, heldLong
	}
	return heads[level], heldLong
}

// admitLevel decides on the admission of a batch with an objective in a pool with several
// levels.
func (p *Pool) admitLevel(now time.Time, b *batch, slack time.Duration) Admission {
	c := &p.classes[b.class]
	shares := p.shares(now, b.class)
	share := shares[b.level]
	wait := p.expectedWaitOfLevel(now, b, slack, shares)
	part := 1.0
	if !p.opts.NoWaitLimit {
		part = c.limits.Part(b.level, b.meta.Service, share.Shortfall(), precedence.Pressure(shares, p.capacityFor(b.class)))
	}
	maxWait := time.Duration(part * float64(slack))
	admitted := wait == 0 || wait <= maxWait || p.canMakeRoom(now, b)
	c.limits[b.level].Decided(b.meta.Service, admitted)
	if admitted || b.meta.Committed {
		p.countsOf(b.class, b.level).Admitted++
		return Admission{Accepted: true}
	}
	p.countsOf(b.class, b.level).Refused++
	return Admission{
		Reason: job.Overloaded,
		Detail: fmt.Sprintf("priority %d: the expected wait of %v is more than %v, %.2f of the %v that the objective leaves; received %.1f of %.1f entitled slots",
			c.precedence.Priority(b.level), wait.Round(time.Millisecond), maxWait.Round(time.Millisecond), part, slack.Round(time.Millisecond), share.Received, share.Entitled),
		RetryAfter: p.addJitter(max(wait, minRetryOfLevel)),
	}
}

// minRetryOfLevel is the shortest retry delay that is told: several run times of the
// shortest tasks.
const minRetryOfLevel = 100 * time.Millisecond
