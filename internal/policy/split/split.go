// Package split decides which holders run the tasks of a job. The owner of the job makes
// the decision.
//
// Load pattern: jobs of 1 to 1,900 tasks arrive at every entry, while the free slots are
// spread over several holders of the zone and sometimes over other zones. Without this
// decision, a job queues at one holder while other holders have idle slots, or each
// small job costs a message to every holder.
//
// A job is answered when its last task ends. Each task therefore goes to the holder with
// the earliest expected start. Among equal starts, the holder that needs no further
// message is preferred.
//
// Load reports are out of date when they are used. Each owner therefore counts the tasks
// that it has sent and got back since the last report. Without this correction, all jobs
// between two reports would go to the same holder.
package split

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Costs holds the costs by which holders are compared.
type Costs struct {
	// ZoneRoundTrip is the round-trip time to another availability zone.
	ZoneRoundTrip time.Duration
	// EntryRoundTrip is the round-trip time to another entry of the same zone.
	EntryRoundTrip time.Duration
	// Run is the mean run time assumed for a task of a pool without measurements.
	Run time.Duration
	// WholeJobShare is the share of a holder's slots up to which a job is kept whole,
	// unless only a split lets it start at once and many slots are free, as given by
	// minFreeShareToSplit. Zero splits every job.
	WholeJobShare float64
}

// DefaultCosts returns the costs of the supported platform: 1 to 1.5 ms one way between
// zones, a round trip under 1 ms inside a zone, and most tasks between 50 ms and 1 s.
func DefaultCosts() Costs {
	return Costs{ZoneRoundTrip: 3 * time.Millisecond, EntryRoundTrip: time.Millisecond, Run: 300 * time.Millisecond, WholeJobShare: 0.5}
}

const (
	// headroomShare is the headroom of a holder as a share of its slots. Within a zone,
	// free slots outside the headroom of any holder are preferred to those inside one.
	// With 100 slots or more and a load below 75%, the Erlang C formula gives a
	// probability of waiting below 0.001, so using a single holder up to that load costs
	// no response time.
	headroomShare = 0.25

	// spillFactor is the expected wait in this zone, in round trips to another zone,
	// above which tasks are sent to other zones. Tasks stay local again once the wait is
	// at most one round trip. The gap between the two bounds keeps two equally loaded
	// zones from sending their tasks to each other.
	spillFactor = 4
)

// Part is the share of a job that one holder receives.
type Part struct {
	Entry job.EntryID
	Zone  job.Zone
	Tasks []job.BatchTask
}

// Plan describes how the tasks of a job are distributed.
type Plan struct {
	Parts []Part
	// Wait is the expected time until the last task starts.
	Wait time.Duration
	// Reason is set when no plan is possible: NoTarget, ZoneCordoned or Infeasible.
	Reason job.Reason
}

type holderKey struct {
	pool  string
	entry job.EntryID
}

type holder struct {
	load       job.HolderLoad
	reportedAt time.Time
	// outstanding counts the tasks sent to the holder minus those returned since
	// reportedAt.
	outstanding int
}

// Splitter holds one owner's view of the load of all holders. The caller must hold a
// lock.
type Splitter struct {
	self     job.EntryID
	zone     job.Zone
	costs    Costs
	rand     *rand.Rand
	holders  map[holderKey]*holder
	meanRun  map[string]time.Duration
	spilling map[string]bool
}

// New returns a splitter for the entry self.
func New(self job.EntryID, zone job.Zone, costs Costs, seed uint64) *Splitter {
	return &Splitter{
		self: self, zone: zone, costs: costs, rand: rand.New(rand.NewPCG(seed, 1)),
		holders: map[holderKey]*holder{}, meanRun: map[string]time.Duration{}, spilling: map[string]bool{},
	}
}

// Report records a holder's load report.
func (s *Splitter) Report(now time.Time, l job.HolderLoad) {
	s.holders[holderKey{l.Pool, l.Entry}] = &holder{load: l, reportedAt: now}
}

// Forget drops the load reports of an entry that left or is suspected.
func (s *Splitter) Forget(e job.EntryID) {
	for k := range s.holders {
		if k.entry == e {
			delete(s.holders, k)
		}
	}
}

// Returned records that a holder has answered n tasks. ran is the mean run time of those
// that ran, zero if none did.
func (s *Splitter) Returned(pool string, e job.EntryID, n int, ran time.Duration) {
	if h := s.holders[holderKey{pool, e}]; h != nil {
		h.outstanding -= n
	}
	if ran <= 0 {
		return
	}
	if old, known := s.meanRun[pool]; known {
		ran = old + (ran-old)/runTimeSamples
	}
	s.meanRun[pool] = ran
}

// runTimeSamples is the number of answers over which the mean run time of a pool is
// averaged.
const runTimeSamples = 32

// candidate is a holder considered for the job that is being split.
type candidate struct {
	*holder
	free               int
	freeBeforeHeadroom int // free slots outside the headroom
	rank               float64
	remote             bool
	taken              int
	perTask            time.Duration
	wait               time.Duration
	// atOnce is how many tasks of the job its own limit lets run on the holder's targets at
	// the same time, each for run; zero means any number.
	atOnce   int
	run      time.Duration
	assigned []job.BatchTask
}

// Split distributes the tasks of a job of the most urgent priority over the holders of a
// pool, except the excluded ones.
func (s *Splitter) Split(now time.Time, pool string, u job.Urgency, tasks []job.BatchTask, excluded ...job.EntryID) Plan {
	return s.SplitFor(now, pool, Precedence{Urgency: u}, tasks, excluded...)
}

// SplitFor is Split for a job of any priority, and for one that bounds its tasks on one target.
func (s *Splitter) SplitFor(now time.Time, pool string, by Precedence, tasks []job.BatchTask, excluded ...job.EntryID) Plan {
	open, cordoned := s.candidates(pool, by)
	all := slices.DeleteFunc(open, func(c *candidate) bool { return slices.Contains(excluded, c.load.Entry) })
	switch {
	case len(all) == 0 && len(open) == 0 && len(cordoned) > 0:
		return Plan{Reason: job.ZoneCordoned}
	case len(all) == 0:
		return Plan{Reason: job.NoTarget}
	}
	local := localCandidates(all)
	if s.staysLocal(pool, local, tasks) {
		all = local
	}
	wait := time.Duration(0)
	for _, t := range tasks {
		c, start := s.earliest(all, t.Size())
		if c == nil {
			return Plan{Reason: reasonNotFitting(cordoned, t)}
		}
		c.taken++
		c.assigned = append(c.assigned, t)
		wait = max(wait, start)
	}
	if whole := s.holderForWholeJob(all, tasks, wait); whole != nil {
		for _, c := range all {
			c.assigned = nil
		}
		whole.assigned = tasks
	}
	return Plan{Parts: s.parts(all), Wait: wait}
}

// minSplitGain is how much earlier the last task of a job must be expected to start for
// the job to be split, if the job is large in relation to a holder. It equals the cost
// of several messages.
const minSplitGain = 10 * time.Millisecond

// minFreeShareToSplit is the share of all slots that must be free to split a job whose
// tasks can all start at once, but not on one holder. With more free slots, the split is
// worth its messages, and an outdated report seldom causes a part to be refused.
const minFreeShareToSplit = 0.15

// holderForWholeJob returns the holder that receives the whole job, or nil if the job is
// to be split.
//
// A job is answered when its last task ends, and each holder decides independently about
// the part it receives. If a job is split over holders that are nearly full, one part
// may start while another is refused or waits too long to be useful. The caller then
// learns late that its job may have run, and the slots used by the first part are lost
// to other jobs. A single holder accepts or refuses the whole job at once. Therefore a
// job is split only if it is large in relation to a holder, or its own limit makes its tasks
// wait for each other there, and the split gains much, or if only a split lets all of its
// tasks start at once and many slots are free.
func (s *Splitter) holderForWholeJob(cs []*candidate, tasks []job.BatchTask, splitWait time.Duration) *candidate {
	if len(tasks) < 2 || s.costs.WholeJobShare <= 0 {
		return nil
	}
	var best *candidate
	var bestCost time.Duration
	for _, c := range cs {
		if !allFit([]*candidate{c}, tasks) {
			continue
		}
		cost := c.lastStart(len(tasks)) + s.wholeJobOverhead(c, len(tasks))
		if best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if best == nil {
		return nil
	}
	if best.lastStart(len(tasks)) > 0 && splitWait == 0 && freeShare(cs) > minFreeShareToSplit {
		return nil
	}
	large := float64(len(tasks)) > s.costs.WholeJobShare*float64(best.load.Slots) || best.ownWait(len(tasks)-1) > 0
	if large && bestCost > splitWait+minSplitGain {
		return nil
	}
	return best
}

// freeShare returns the share of the holders' slots that is free.
func freeShare(cs []*candidate) float64 {
	free, slots := 0, 0
	for _, c := range cs {
		free += c.free
		slots += c.load.Slots
	}
	return float64(free) / float64(max(1, slots))
}

// lastStart returns the expected wait until the last of n tasks starts on this holder.
func (c *candidate) lastStart(n int) time.Duration { return c.startAfter(n - 1) }

// startAfter returns the expected wait of a task of the job that starts on this holder after
// n others.
func (c *candidate) startAfter(n int) time.Duration {
	if n < c.free {
		return c.ownWait(n)
	}
	return max(c.ownWait(n), c.wait+time.Duration(n-c.free)*c.perTask)
}

// ownWait returns how long a task of the job waits for the ends of some of the n others that
// start before it on this holder, because of the job's own limit.
func (c *candidate) ownWait(n int) time.Duration {
	if c.atOnce == 0 {
		return 0
	}
	return time.Duration(n/c.atOnce) * c.run
}

// wholeJobOverhead returns the cost, besides waiting, of running n tasks on the holder.
func (s *Splitter) wholeJobOverhead(c *candidate, n int) time.Duration {
	var cost time.Duration
	if n > c.freeBeforeHeadroom {
		cost += s.costs.EntryRoundTrip
	}
	if c.remote {
		cost += s.costs.ZoneRoundTrip
	}
	return cost
}

// reasonNotFitting returns why a task that fits no open holder can't be placed: the targets
// that are large enough may be in a cordoned zone.
func reasonNotFitting(cordoned []*candidate, t job.BatchTask) job.Reason {
	if allFit(cordoned, []job.BatchTask{t}) {
		return job.ZoneCordoned
	}
	return job.Infeasible
}

// candidates returns the holders of a pool that accept work, in the order of their ranks, and
// those in cordoned zones.
func (s *Splitter) candidates(pool string, by Precedence) (open, cordoned []*candidate) {
	var out []*candidate
	for k, h := range s.holders {
		switch {
		case k.pool != pool || h.load.Targets == 0:
		case h.load.Cordoned:
			cordoned = append(cordoned, &candidate{holder: h})
		default:
			out = append(out, s.candidate(h, by))
		}
	}
	// Map iteration order is random. Sorting by name first makes the ranks depend only
	// on the seed.
	sort.Slice(out, func(i, j int) bool { return out[i].load.Entry < out[j].load.Entry })
	for _, c := range out {
		c.rank = s.rank(c)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].rank < out[j].rank })
	return out, cordoned
}

func (s *Splitter) candidate(h *holder, by Precedence) *candidate {
	c := &candidate{holder: h, remote: h.load.Zone != s.zone}
	c.run = s.meanRunTime(h.load.Pool)
	c.perTask = c.run / time.Duration(max(1, h.load.Slots))
	c.atOnce = by.MaxPerTarget * h.load.Targets
	wait, room := by.waitAt(&h.load)
	c.free = min(h.load.Slots, room-h.outstanding)
	// A holder that had free slots reported no wait. Once they are used, the next slot
	// becomes free after perTask on average.
	c.wait = max(wait, c.perTask)
	if c.free < 0 {
		c.wait += time.Duration(-c.free) * c.perTask
		c.free = 0
	}
	c.freeBeforeHeadroom = max(0, c.free-int(headroomShare*float64(h.load.Slots)))
	return c
}

func (s *Splitter) meanRunTime(pool string) time.Duration {
	if r, known := s.meanRun[pool]; known {
		return r
	}
	return s.costs.Run
}

// rank orders holders with the same expected start. This entry comes first because it
// needs no message, and holders in other zones come last because of the round trip.
// The others are ordered by a random draw weighted by free slots, so that owners with
// the same view don't all choose the same holder.
func (s *Splitter) rank(c *candidate) float64 {
	draw := s.rand.ExpFloat64() / float64(1+c.free)
	switch {
	case c.load.Entry == s.self:
		return -1
	case c.remote:
		return 1e6 + draw
	}
	return draw
}

func localCandidates(all []*candidate) []*candidate {
	var out []*candidate
	for _, c := range all {
		if !c.remote {
			out = append(out, c)
		}
	}
	return out
}

// staysLocal decides, with hysteresis, whether the job stays in this zone.
func (s *Splitter) staysLocal(pool string, local []*candidate, tasks []job.BatchTask) bool {
	if len(local) == 0 || !allFit(local, tasks) {
		return false
	}
	if !runAtOnce(local, len(tasks)) {
		return false
	}
	wait := localWait(local, len(tasks))
	bound := spillFactor * s.costs.ZoneRoundTrip
	if s.spilling[pool] {
		bound = s.costs.ZoneRoundTrip
	}
	s.spilling[pool] = wait > bound
	return !s.spilling[pool]
}

func allFit(cs []*candidate, tasks []job.BatchTask) bool {
	for i := range tasks {
		fits := false
		for _, c := range cs {
			fits = fits || tasks[i].Size().Fits(c.load.Largest)
		}
		if !fits {
			return false
		}
	}
	return true
}

// runAtOnce reports whether the job's own limit lets n of its tasks run on the holders at the
// same time.
func runAtOnce(cs []*candidate, n int) bool {
	for _, c := range cs {
		if c.atOnce == 0 || n <= c.atOnce {
			return true
		}
		n -= c.atOnce
	}
	return false
}

// localWait returns the expected wait of the last of n tasks if they all stay in the
// zone. Tasks beyond the free slots are drained by all slots together.
func localWait(cs []*candidate, n int) time.Duration {
	var drain float64 // tasks per second
	var shortest time.Duration = -1
	for _, c := range cs {
		n -= c.free
		drain += 1 / max(c.perTask.Seconds(), 1e-9)
		if shortest < 0 || c.wait < shortest {
			shortest = c.wait
		}
	}
	if n <= 0 {
		return 0
	}
	return shortest + time.Duration(float64(n-1)/drain*float64(time.Second))
}

// earliest returns the holder with the lowest cost for one more task and the expected
// start there. The cost is the expected start plus the overhead.
func (s *Splitter) earliest(cs []*candidate, size job.Size) (*candidate, time.Duration) {
	var best *candidate
	var bestCost, bestStart time.Duration
	for _, c := range cs {
		if !size.Fits(c.load.Largest) {
			continue
		}
		start := c.start()
		cost := start + s.overhead(c)
		if best == nil || cost < bestCost {
			best, bestCost, bestStart = c, cost, start
		}
	}
	return best, bestStart
}

func (c *candidate) start() time.Duration { return c.startAfter(c.taken) }

// overhead returns the cost, besides waiting, of running one more task on the holder.
func (s *Splitter) overhead(c *candidate) time.Duration {
	var cost time.Duration
	if c.taken >= c.freeBeforeHeadroom {
		cost += s.costs.EntryRoundTrip
	}
	if c.remote {
		cost += s.costs.ZoneRoundTrip
	}
	return cost
}

func (s *Splitter) parts(cs []*candidate) []Part {
	var out []Part
	for _, c := range cs {
		if len(c.assigned) == 0 {
			continue
		}
		c.outstanding += len(c.assigned)
		out = append(out, Part{Entry: c.load.Entry, Zone: c.load.Zone, Tasks: c.assigned})
	}
	return out
}
