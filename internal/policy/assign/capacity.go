package assign

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Load pattern: an availability zone has 12 VMs with 0.144 of a processor and three with 0.48,
// and a pool of 117 targets. If all of them held as many targets as the smallest can, the pool
// would have eight holders, and jobs of eight tasks would find too few free slots at each. So
// where VMs state different capacities, each holds up to its own, and larger VMs are preferred.

const (
	// maxTargetsOfLargeVM is the maximum number of targets that one entry holds where the
	// entries state different capacities.
	maxTargetsOfLargeVM = 40
	// maxZoneParts is into how many parts a large pool of a zone is divided at least. A zone uses
	// 0.64 of its capacity at the usual load, and 0.86 at most at 1.5 times the load, where it
	// refuses callers. So it can lose a quarter. Pools for which a quarter is less than MaxTargetsPerHolder have fewer
	// holders.
	maxZoneParts = 4
	// replacedHolders is by how many the number of holders must shrink before entries without
	// targets replace holders. A large VM that returns takes no targets otherwise.
	replacedHolders = 2
	// transferInterval is how long an entry that continues to serve waits before it passes on
	// more targets. By then all entries know what it has passed on: reports take less than a
	// second, and views of a VM's state differ for 2.5 s at most.
	transferInterval = 3 * time.Second
)

// FullCapacity returns how many targets an entry can hold where VMs state different
// capacities. A VM holds more than MaxTargetsPerHolder only if both its processors and its
// link are known.
func FullCapacity(processors, linkMbps float64) int {
	if processors <= 0 || linkMbps <= 0 {
		return TargetCapacity(processors, linkMbps)
	}
	return capacityUpTo(maxTargetsOfLargeVM, processors, linkMbps)
}

// capacitiesDiffer reports whether targets are assigned by capacity. All entries that could be
// used must state theirs, including those that are down: an entry of the previous release
// assigns by the lowest capacity, and entries that follow different rules would pass the same
// targets to each other forever.
func capacitiesDiffer(holders, usable []Holder) bool {
	for _, h := range holders {
		if h.Reserve == usable[0].Reserve && h.Capacity <= 0 {
			return false
		}
	}
	return slices.ContainsFunc(usable, func(h Holder) bool { return h.Capacity != usable[0].Capacity })
}

func isWeighted(active []Holder) bool { return len(active) > 0 && active[0].weight > 0 }

// activeByCapacity returns the entries that hold a number of targets where entries state
// different capacities, in an order that doesn't depend on the order of the lists.
//
// Holders stay while they are needed, larger ones are added first, and the smallest are dropped
// first. Entries without targets replace holders only if that saves replacedHolders of them.
func activeByCapacity(usable, incumbents []Holder, total int) []Holder {
	usable, incumbents = weighted(usable, total), weighted(incumbents, total)
	if len(incumbents) == 0 {
		// Many pools fit on one holder each. Only their own orders spread them over the VMs.
		incumbents = []Holder{slices.MinFunc(usable, compareRanks)}
	}
	spare := float64(total) / shrinkThreshold
	needed, enough := cover(usable, float64(total)), cover(usable, spare)
	kept := incumbents[:cover(incumbents, spare)]
	if needed <= len(kept)-replacedHolders {
		out := slices.Clone(usable[:needed])
		for _, h := range usable[needed:enough] {
			if h.Targets > 0 {
				out = append(out, h)
			}
		}
		return out
	}
	for _, h := range usable {
		if weightOf(kept) < total && !isAmong(kept, h.Entry) {
			kept = append(kept, h)
		}
	}
	slices.SortFunc(kept, compareHolders)
	return kept
}

// weighted returns the holders with their capacities for a pool with a number of targets, in
// the order in which they are chosen.
func weighted(holders []Holder, total int) []Holder {
	limit := max(MaxTargetsPerHolder, ceilDiv(total, maxZoneParts))
	out := slices.Clone(holders)
	for i := range out {
		out[i].weight = min(out[i].Capacity, limit)
	}
	slices.SortFunc(out, compareHolders)
	return out
}

// compareHolders orders larger entries first, and among equal ones those that hold targets. The
// numbers of targets don't count: views of them differ all the time.
func compareHolders(a, b Holder) int {
	return cmp.Or(
		cmp.Compare(b.weight, a.weight), cmp.Compare(min(b.Targets, 1), min(a.Targets, 1)), compareRanks(a, b),
	)
}

// compareRanks orders entries by the order of the pool.
func compareRanks(a, b Holder) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Entry, b.Entry))
}

// cover returns how many of the first holders can hold a number of targets together, or the
// number of holders if all of them can't.
func cover(holders []Holder, targets float64) int {
	sum := 0
	for i, h := range holders {
		sum += h.weight
		if float64(sum) >= targets {
			return i + 1
		}
	}
	return len(holders)
}

func weightOf(holders []Holder) int {
	sum := 0
	for _, h := range holders {
		sum += h.weight
	}
	return sum
}

func isAmong(holders []Holder, entry job.EntryID) bool {
	return slices.ContainsFunc(holders, func(h Holder) bool { return h.Entry == entry })
}

// withRoom returns the active holders that can hold one more target, or all of them if none can.
// It doesn't return only those below their share: shares depend on all numbers of targets, and
// while a zone forms, entries know different ones and would refer each target to another holder.
func withRoom(active []Holder) []Holder {
	out := slices.DeleteFunc(slices.Clone(active), func(h Holder) bool { return h.Targets >= h.weight })
	if len(out) == 0 {
		return active
	}
	return out
}

// share returns the part of a number of targets that a holder has in proportion to its weight.
func (h *Holder) share(total, weights int) float64 {
	return float64(total) * float64(h.weight) / float64(weights)
}

// Transfers returns the moves by which the entry self passes on targets, and whether it is one
// of the active holders. mine is the number of targets that self holds.
//
// Where entries state different capacities, those that continue to serve pass on targets one
// after the other, and each waits before it does so again; sinceLast is the time since self last
// did. If all did so at the same time, each by its own view, they would fill the same holders
// beyond their shares and pass targets to each other.
func Transfers(holders []Holder, self job.EntryID, mine int, sinceLast time.Duration) (moves []Move, isActive bool) {
	if usable := usableHolders(holders); len(usable) == 0 || !capacitiesDiffer(holders, usable) {
		active := Active(holders)
		return Surplus(active, self, mine), isAmong(active, self)
	}
	holders = slices.Clone(holders)
	total := 0
	for i := range holders {
		if holders[i].Entry == self {
			holders[i].Targets = mine
		}
		total += holders[i].Targets
	}
	active := Active(holders)
	all := slices.Clone(active)
	for _, h := range holders {
		if !isAmong(active, h.Entry) {
			all = append(all, h)
		}
	}
	p := plan{holders: all, missing: map[job.EntryID]int{}, total: total, weights: weightOf(all)}
	return p.movesOf(self, sinceLast), isAmong(active, self)
}

// plan is the distribution of a pool over the holders of a zone. Those with a weight are active.
type plan struct {
	holders        []Holder
	total, weights int
	// missing is the number of targets that each entry has less than its share.
	missing map[job.EntryID]int
}

// movesOf returns the moves of one entry after those of the others that pass on targets now.
func (p *plan) movesOf(self job.EntryID, sinceLast time.Duration) []Move {
	for _, h := range p.holders {
		p.missing[h.Entry] = int(math.Ceil(h.share(p.total, p.weights))) - h.Targets
	}
	for _, from := range p.donors() {
		moves := p.pass(from)
		if from.Entry != self {
			continue
		}
		if p.isStopping(&from) || sinceLast >= transferInterval {
			return moves
		}
	}
	return nil
}

// donors returns the entries that pass on targets now, in an order that doesn't depend on the
// list: all that may hold none, and one of those that serve.
func (p *plan) donors() []Holder {
	var stopping, surplus []Holder
	for _, h := range p.holders {
		switch {
		case h.Targets > 0 && p.isStopping(&h):
			stopping = append(stopping, h)
		case h.weight == 0 && h.Targets > 0, p.holdsTooMany(&h):
			surplus = append(surplus, h)
		}
	}
	slices.SortFunc(stopping, compareHolders)
	// Entries that are no longer needed come first, then the one with the largest surplus.
	slices.SortFunc(surplus, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(p.missing[a.Entry], p.missing[b.Entry]), compareHolders(a, b))
	})
	return append(stopping, surplus[:min(len(surplus), 1)]...)
}

// holdsTooMany reports whether an active holder has many more targets than its share, or more
// than it can hold while others have room.
func (p *plan) holdsTooMany(h *Holder) bool {
	share := h.share(p.total, p.weights)
	return h.weight > 0 && (float64(h.Targets) > surplusFactor*share+surplusSlack || h.Targets > h.Capacity && float64(h.Targets) > math.Ceil(share))
}

// isStopping reports whether an entry may hold no targets at all. The first of the plan's holders
// is an active one.
func (p *plan) isStopping(h *Holder) bool {
	return h.weight == 0 && (!h.Serving || h.Reserve != p.holders[0].Reserve)
}

// pass takes the targets that an entry has beyond its share to those that have less.
func (p *plan) pass(from Holder) []Move {
	var moves []Move
	spare := -p.missing[from.Entry]
	for _, to := range p.holders {
		if n := min(spare, p.missing[to.Entry]); n > 0 {
			moves = append(moves, Move{To: to.Entry, Targets: n})
			p.missing[to.Entry] -= n
			spare -= n
		}
	}
	return moves
}
