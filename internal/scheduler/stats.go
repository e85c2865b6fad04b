package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Load returns the load report of this pool for owners. The entry fills in its
// name and zone.
func (p *Pool) Load(now time.Time) job.HolderLoad {
	// The headroom that most work has to leave free is not reported as free:
	// owners would send tasks that then wait although slots are free.
	free := max(0, int(p.freeCapacity)-p.headroom(job.UrgencyInteractive))
	l := job.HolderLoad{Pool: p.name, Targets: p.ranked.Len(), Free: free}
	capacity := 0.0
	for i := range p.ranked.Len() {
		t := p.ranked.At(i)
		l.Largest = l.Largest.Max(t.largestAnnounced)
		if t.tier < slow {
			capacity += p.capacityOf(t)
		}
	}
	l.Slots = int(math.Round(capacity))
	slots := max(1, p.slots)
	ahead := 0.0
	if free == 0 {
		ahead = p.estimates.PoolMean().Seconds()
	}
	for u := classes - 1; u >= 0; u-- {
		c := &p.classes[u]
		l.Queued[u] = c.queued
		all := c.lastLevel()
		ahead += c.workIn(laneShort, all) + c.workIn(laneLong, all)
		l.Wait[u] = time.Duration(ahead / slots * float64(time.Second))
	}
	l.Priorities = p.waits(now, job.UrgencyInteractive)
	return l
}

var stateNames = [...]string{ready: "ready", suspect: "ready", slow: "slow", probeOnly: "quarantined"}

// Stats returns the state of the pool for operators.
func (p *Pool) Stats(now time.Time) Stats {
	s := Stats{Pool: p.name, Running: p.running, Teams: map[string]int{}}
	for _, t := range p.targets {
		ts := TargetStats{Target: t.Target, Running: t.running, Used: t.used, State: stateNames[t.tier]}
		ts.Slowness = p.fleet.Slowness(&t.health)
		ts.Speed = p.fleet.Speed(&t.health)
		if t.removed {
			ts.State = "leaving"
		} else {
			s.Slots += t.limit()
		}
		s.Targets = append(s.Targets, ts)
	}
	slices.SortFunc(s.Targets, func(a, b TargetStats) int { return cmp.Compare(a.Target.ID, b.Target.ID) })
	for u := range p.classes {
		s.Queued[u] = p.classes[u].queued
		s.Levels = append(s.Levels, p.levelStats(now, job.Urgency(u))...)
	}
	for _, b := range p.batches {
		if n := b.queued(); n > 0 {
			s.Teams[b.meta.Team] += n
		}
	}
	return s
}
