// Package precedence decides what part of a pool each priority level is entitled to, and
// which level is served next.
//
// Load pattern: services of different priorities share a pool, and more work arrives than
// the targets can run, of each service or of one of them. If all services were treated
// alike, the most urgent one, whose jobs are short and wide, would get the worst service,
// since every job that needs few slots for long takes the slots that become free before a
// wide job finds enough of them. Strict precedence would starve the least urgent services
// for as long as the shortage lasts.
//
// Each level below the first keeps a guaranteed part of its proportional share of the
// capacity; the rest goes to the levels by priority, to each up to its demand. Demand is
// counted as requested, not as admitted: otherwise a level that is refused would lose its
// entitlement and be refused more. What a level does not use, any other may borrow.
package precedence

import (
	"math"
	"slices"
	"time"
)

const (
	// guarantee is the part of its proportional share that a level below the first keeps
	// in any shortage.
	guarantee = 0.8
	// window is the time constant of the averages: some run times of the longest usual
	// tasks, short enough to follow a burst of a few seconds.
	window = time.Second
	// minSpan is the shortest time over which work is averaged, so that the first job
	// after a start does not look like a flood.
	minSpan = 250 * time.Millisecond
	// tolerance is how far, as a fraction of its entitlement, a level must be off before
	// the order of service changes: the noise of an average over a second.
	tolerance = 0.05
)

// Entitlements returns the part of the capacity to which each level is entitled. demand is
// the work requested by each level, the most urgent first, in the unit of the capacity.
func Entitlements(capacity float64, demand []float64) []float64 {
	sum := 0.0
	for _, d := range demand {
		sum += d
	}
	out := make([]float64, len(demand))
	if sum <= 0 || capacity <= 0 {
		return out
	}
	proportional := math.Min(1, capacity/sum)
	left := capacity
	for l := 1; l < len(demand); l++ {
		out[l] = guarantee * proportional * demand[l]
		left -= out[l]
	}
	for l := range demand {
		more := math.Max(0, math.Min(left, demand[l]-out[l]))
		out[l] += more
		left -= more
	}
	return out
}

// rate is an exponentially decaying average of work per second.
type rate struct {
	perSecond float64
	at, since time.Time
}

func (r *rate) decay(now time.Time) {
	if dt := now.Sub(r.at); dt > 0 {
		r.perSecond *= math.Exp(-dt.Seconds() / window.Seconds())
		r.at = now
	}
}

func (r *rate) add(now time.Time, work float64) {
	if r.since.IsZero() {
		r.since = now
	}
	r.decay(now)
	r.perSecond = math.Max(0, r.perSecond+work/window.Seconds())
}

// mean returns the average since the first work. The decaying sum starts at zero, so it is
// divided by the part of its weight that has accumulated since then.
func (r *rate) mean(now time.Time) float64 {
	r.decay(now)
	seen := max(minSpan, now.Sub(r.since))
	return r.perSecond / (1 - math.Exp(-seen.Seconds()/window.Seconds()))
}

// Tracker measures the work of the levels of one urgency class of a pool. The zero value
// has one level. The caller must hold a lock.
type Tracker struct {
	priorities       []int
	offered, started []rate
}

// SetPriorities sets the distinct priorities, the most urgent first, and reports whether
// they changed. What was measured for a priority that remains is kept.
func (t *Tracker) SetPriorities(priorities []int) (changed bool) {
	if slices.Equal(priorities, t.priorities) {
		return false
	}
	offered, started := make([]rate, len(priorities)), make([]rate, len(priorities))
	for l, priority := range priorities {
		if old := slices.Index(t.priorities, priority); old >= 0 {
			offered[l], started[l] = t.offered[old], t.started[old]
		}
	}
	t.priorities, t.offered, t.started = slices.Clone(priorities), offered, started
	return true
}

// Levels returns the number of levels, at least one.
func (t *Tracker) Levels() int { return max(1, len(t.priorities)) }

// Priority returns the priority of a level.
func (t *Tracker) Priority(level int) int {
	if level >= len(t.priorities) {
		return 0
	}
	return t.priorities[level]
}

// Level returns the level of a priority, or that of the next less urgent one: a service may
// have a priority that is not in the configuration of this entry yet.
func (t *Tracker) Level(priority int) int {
	level, _ := slices.BinarySearch(t.priorities, priority)
	return min(level, t.Levels()-1)
}

// Offered records work that was requested, in slot-seconds, whether it is admitted or not.
func (t *Tracker) Offered(now time.Time, level int, work float64) {
	if t.Levels() > 1 {
		t.offered[level].add(now, work)
	}
}

// Started records work that was started, in slot-seconds. Negative work takes back what a
// stopped run did not use.
func (t *Tracker) Started(now time.Time, level int, work float64) {
	if t.Levels() > 1 {
		t.started[level].add(now, work)
	}
}

// Share is the work of a level in slot-seconds per second, which is the mean number of
// slots.
type Share struct{ Demand, Entitled, Received float64 }

// Shares returns the shares of all levels, the most urgent first.
func (t *Tracker) Shares(now time.Time, capacity float64) []Share {
	demand := make([]float64, t.Levels())
	for l := range t.offered {
		demand[l] = t.offered[l].mean(now)
	}
	out := make([]Share, len(demand))
	for l, entitled := range Entitlements(capacity, demand) {
		out[l].Demand, out[l].Entitled = demand[l], entitled
		if l < len(t.started) {
			out[l].Received = t.started[l].mean(now)
		}
	}
	return out
}

const (
	// calmDemand and shortageDemand are the demands, as parts of the capacity, up to which
	// the levels don't compete and from which they do for every slot. In between, bursts
	// of a few jobs fill the pool for moments.
	calmDemand     = 0.85
	shortageDemand = 1.25
)

// Pressure returns how much the levels compete for the capacity, from 0 to 1.
func Pressure(shares []Share, capacity float64) float64 {
	sum := 0.0
	for _, s := range shares {
		sum += s.Demand
	}
	used := sum / math.Max(capacity, 1e-9)
	return math.Min(1, math.Max(0, (used-calmDemand)/(shortageDemand-calmDemand)))
}

// Above reports whether the level received more than its entitlement.
func (s *Share) Above() bool { return s.Received > (1+tolerance)*s.Entitled }

// Below reports whether the level received less than its entitlement.
func (s *Share) Below() bool { return s.Received < (1-tolerance)*s.Entitled }

// Shortfall returns the part of its entitlement that the level did not receive, from -1 to
// 1; it is negative for a level that borrows.
func (s *Share) Shortfall() float64 {
	if s.Entitled <= 0 {
		return 0
	}
	return math.Max(-1, 1-s.Received/s.Entitled)
}

// Next returns which level is served next, of those that have queued jobs: the most urgent
// one, unless a less urgent one is below its entitlement while the more urgent one is above
// its own.
func Next(shares []Share, queued func(level int) bool) (level int, found bool) {
	for l := range shares {
		if !queued(l) {
			continue
		}
		if !found {
			level, found = l, true
			continue
		}
		if shares[level].Above() && shares[l].Below() {
			level = l
		}
	}
	return level, found
}
