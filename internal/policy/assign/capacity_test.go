package assign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// zone is an availability zone whose entries see each other's states with a delay.
type zone struct {
	now   []Holder
	views [][]Holder // earlier states, the latest first
	sent  map[job.EntryID][]sent
	delay func(i int) int
	moved int
}

// round is how often entries rebalance.
const round = 250 * time.Millisecond

// sent is a number of targets that an entry has passed on, in a round.
type sent struct {
	Move
	round int
}

// view returns what an entry sees: the others as of some rounds ago, and what it has itself
// sent them since, for as long as that counts.
func (z *zone) view(i int) []Holder {
	age := min(z.delay(i), len(z.views)) - 1
	out := slices.Clone(z.views[age])
	for _, s := range z.sent[z.now[i].Entry] {
		if ago := len(z.views) - s.round; ago <= age && ago <= 4 {
			out[slices.IndexFunc(out, func(h Holder) bool { return h.Entry == s.To })].Targets += s.Targets
		}
	}
	return out
}

// newZone has 12 VMs of 0.144 of a processor and 19 Mbit/s, and three of 0.48 and 62 Mbit/s.
func newZone() *zone {
	z := &zone{sent: map[job.EntryID][]sent{}, delay: func(int) int { return 1 }}
	for i := range 15 {
		processors, link := 0.144, 19.0
		if i%5 == 3 {
			processors, link = 0.48, 62
		}
		z.now = append(z.now, Holder{
			Entry: job.EntryID(fmt.Sprintf("e%02d", i)), Serving: true, Rank: i,
			Carries: TargetCapacity(processors, link), Capacity: FullCapacity(processors, link),
		})
	}
	return z
}

func (z *zone) find(e job.EntryID) *Holder {
	return &z.now[slices.IndexFunc(z.now, func(h Holder) bool { return h.Entry == e })]
}

// add lets targets announce themselves one after the other.
func (z *zone) add(n int) {
	for i := range n {
		c := Candidates(z.now)
		z.find(c[i%len(c)].Entry).Targets++
	}
}

// stop ends an entry, whose targets announce themselves at others.
func (z *zone) stop(i int) {
	n := z.now[i].Targets
	z.now[i].Serving, z.now[i].Targets = false, 0
	z.add(n)
}

// run lets all entries rebalance a number of times. Each sees the others as of some rounds ago.
func (z *zone) run(rounds int) {
	for range rounds {
		z.views = slices.Insert(z.views, 0, slices.Clone(z.now))
		for i := range z.now {
			if !z.now[i].Serving {
				continue
			}
			self := z.now[i]
			last := -100
			if past := z.sent[self.Entry]; len(past) > 0 {
				last = past[len(past)-1].round
			}
			moves, _ := Transfers(z.view(i), self.Entry, self.Targets, time.Duration(len(z.views)-last)*round)
			for _, m := range moves {
				z.now[i].Targets -= m.Targets
				if to := z.find(m.To); to.Serving {
					to.Targets += m.Targets
				} else {
					z.add(m.Targets) // they announce themselves
				}
				z.moved += m.Targets
				z.sent[self.Entry] = append(z.sent[self.Entry], sent{m, len(z.views)})
			}
		}
	}
}

func (z *zone) check(t *testing.T, targets, maxHolders int) {
	t.Helper()
	total, count := 0, 0
	for _, h := range z.now {
		total += h.Targets
		if h.Targets > 0 {
			count++
		}
		qt.Check(t, h.Targets <= min(h.Capacity, max(MaxTargetsPerHolder, ceilDiv(targets, maxZoneParts))), qt.IsTrue, qt.Commentf("%s holds %d", h.Entry, h.Targets))
	}
	qt.Check(t, total, qt.Equals, targets)
	qt.Check(t, count <= maxHolders, qt.IsTrue, qt.Commentf("%d holders", count))
	before := z.moved
	z.run(100)
	qt.Check(t, z.moved, qt.Equals, before, qt.Commentf("targets still move"))
}

func large(h Holder) bool { return h.Capacity > MaxTargetsPerHolder }

func (z *zone) onLarge() (n int) {
	for _, h := range z.now {
		if large(h) {
			n += h.Targets
		}
	}
	return n
}

// Guards against a zone whose large VMs hold no more than its small ones, and against a lost VM
// that takes more than a quarter of a large pool.
func TestLargeVMsHoldMore(t *testing.T) {
	z := newZone()
	qt.Assert(t, z.now[0].Capacity, qt.Equals, 15)
	qt.Assert(t, z.now[3].Capacity, qt.Equals, maxTargetsOfLargeVM)
	qt.Assert(t, FullCapacity(0.48, 0), qt.Equals, MaxTargetsPerHolder)
	qt.Assert(t, names(Active(z.now)), qt.Equals, "e00")
	z.now[0].Targets, z.now[1].Targets, z.now[2].Targets = 8, 1, 1
	qt.Assert(t, names(Active(z.now)), qt.Equals, "e00", qt.Commentf("a small pool moves to an entry without targets"))
	z = newZone()
	z.add(117)
	z.run(40)
	t.Logf("%d of 117 on large VMs, %d moved", z.onLarge(), z.moved)
	z.check(t, 117, 7)
	qt.Check(t, z.onLarge() >= 60, qt.IsTrue)
}

// Guards against entries that choose differently because their lists are in another order.
func TestOrderOfTheListDoesNotMatter(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	for range 2000 {
		z := newZone()
		for i := range z.now {
			z.now[i].Serving = r.IntN(6) > 0
			z.now[i].Targets = r.IntN(2) * r.IntN(40)
		}
		z.now[0].Serving, z.now[3].Serving = true, true
		active, candidates := names(Active(z.now)), names(Candidates(z.now))
		moves, _ := Transfers(z.now, "e03", z.now[3].Targets, time.Hour)
		r.Shuffle(len(z.now), func(i, j int) { z.now[i], z.now[j] = z.now[j], z.now[i] })
		qt.Assert(t, names(Active(z.now)), qt.Equals, active)
		qt.Assert(t, names(Candidates(z.now)), qt.Equals, candidates)
		again, _ := Transfers(z.now, "e03", z.find("e03").Targets, time.Hour)
		qt.Assert(t, again, qt.DeepEquals, moves)
	}
}

// Guards against targets that no one holds, too many on one VM, or that move back and forth when
// a large VM dies, comes back, and when all large VMs are gone.
func TestLargeVMsDieAndReturn(t *testing.T) {
	z := newZone()
	z.add(117)
	z.run(40)
	z.stop(3)
	z.run(40)
	z.check(t, 117, 8)
	moved := z.moved
	z.now[3].Serving = true
	z.run(40)
	z.check(t, 117, 8)
	qt.Check(t, z.moved-moved <= 30, qt.IsTrue, qt.Commentf("%d moved to the VM that returned", z.moved-moved))
	for _, i := range []int{3, 8, 13} {
		z.stop(i)
	}
	z.run(40)
	z.check(t, 117, 8)
	for _, i := range []int{3, 8, 13} {
		z.now[i].Serving = true
	}
	z.run(40)
	z.check(t, 117, 8)
	qt.Check(t, z.onLarge() >= 50, qt.IsTrue, qt.Commentf("%d on large VMs", z.onLarge()))
}

// Guards against a rolling restart of 45% of the VMs that leaves the large ones empty or moves
// each target many times.
func TestRollingRestart(t *testing.T) {
	z := newZone()
	z.add(117)
	z.run(40)
	moved, lost := z.moved, 0
	for _, i := range []int{0, 3, 6, 8, 10, 13, 14} {
		lost += z.now[i].Targets
		z.stop(i)
		z.run(40)
		z.now[i].Serving = true
		z.run(40)
	}
	t.Logf("%d announced again, %d moved, %d on large VMs", lost, z.moved-moved, z.onLarge())
	z.check(t, 117, 8)
	qt.Check(t, z.moved-moved <= 117, qt.IsTrue)
	qt.Check(t, z.onLarge() >= 50, qt.IsTrue)
}

// Guards against targets that move back and forth while entries see each other's numbers and
// states up to three seconds late.
func TestViewsThatDiffer(t *testing.T) {
	z := newZone()
	z.add(117)
	z.run(40)
	z.delay = func(i int) int { return 1 + i*7%13 }
	for _, i := range []int{3, 8, 13} {
		z.stop(i)
		z.run(3)
	}
	for _, i := range []int{3, 8, 13} {
		z.now[i].Serving = true
	}
	moved := z.moved
	z.run(40)
	t.Logf("%d moved", z.moved-moved)
	qt.Check(t, z.moved-moved <= 2*117, qt.IsTrue, qt.Commentf("%d moved", z.moved-moved))
	z.check(t, 117, 9)
}

// Guards against entries of two releases that pass the same targets to each other: while one
// entry states no capacity, alive or not, all follow the rule of the previous release. Both
// rules are in force for some seconds when the last such entry has been replaced.
func TestPreviousReleaseInTheZone(t *testing.T) {
	z := newZone()
	z.now[4].Capacity = 0
	z.add(117)
	z.run(40)
	for _, h := range z.now {
		qt.Check(t, h.Targets <= 15, qt.IsTrue)
	}
	z.stop(4)
	z.run(40)
	moved := z.moved
	z.run(20)
	qt.Check(t, z.moved, qt.Equals, moved)
	z.now[4].Capacity, z.now[4].Serving = 15, true
	z.delay = func(i int) int { return 1 + i%2*12 }
	z.run(40)
	t.Logf("%d moved", z.moved-moved)
	qt.Check(t, z.moved-moved <= 2*117, qt.IsTrue, qt.Commentf("%d moved", z.moved-moved))
	z.check(t, 117, 8)
}
