// Package assign decides which entries of an availability zone hold the targets
// of a pool.
//
// The pattern that it answers is pools of a dozen to some hundred targets on
// entries with a fraction of a processor each, which are restarted in turn. One
// holder knows each free place exactly; spread over three holders a pool of 16
// targets lost a third of its places to old news. But one holder of 117 targets
// and 1,200 starts a second needs more processor than a small VM has. So there
// are as few holders as carry the targets. And a target stays with its holder as
// long as that serves: each move costs the time until the target is idle.
package assign

import (
	"math"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const (
	// PerHolder is how many targets one entry holds before another one takes a
	// part. A start costs its holder 0.17 ms of processor time (0.024 of a core with
	// 99 starts a second, 0.007 without), and a target takes up to 12 starts a second:
	// 20 targets take 0.04 of a core, a fifth of the smallest VM's. With 32 the small
	// VMs were short of time whenever one of them restarted.
	PerHolder = 20
	// shrinkAt is the part of the room of one holder less below which the number
	// of holders shrinks, so that it does not go to and fro.
	shrinkAt = 0.85
	// surplusPart and surplusLeast are by how much a holder's targets may exceed
	// its fair part before it passes some on.
	surplusPart  = 1.25
	surplusLeast = 2
)

// Holder is one entry of the zone, in the order in which entries are chosen.
type Holder struct {
	Entry job.EntryID
	// Serving says that it may hold targets.
	Serving bool
	// Reserve says that it holds targets only while no other entry can.
	Reserve bool
	// Targets is how many targets of the pool it holds.
	Targets int
}

// Active returns the entries that hold the pool's targets, in their order.
func Active(holders []Holder) []Holder {
	usable := servingOf(holders)
	if len(usable) == 0 {
		return nil
	}
	total, incumbents := 0, []Holder{}
	for _, h := range usable {
		total += h.Targets
		if h.Targets > 0 {
			incumbents = append(incumbents, h)
		}
	}
	want := min(len(usable), max(1, ceil(total, PerHolder)))
	if len(incumbents) > want && float64(total) <= shrinkAt*float64(PerHolder*(len(incumbents)-1)) {
		return largest(incumbents, want)
	}
	return fill(incumbents, usable, want)
}

// servingOf returns the entries that may hold targets: the reserve only where
// there is nobody else.
func servingOf(holders []Holder) []Holder {
	var first, reserve []Holder
	for _, h := range holders {
		switch {
		case !h.Serving:
		case h.Reserve:
			reserve = append(reserve, h)
		default:
			first = append(first, h)
		}
	}
	if len(first) == 0 {
		return reserve
	}
	return first
}

func ceil(n, part int) int { return int(math.Ceil(float64(n) / float64(part))) }

// largest returns the n holders with the most targets, in their order.
func largest(holders []Holder, n int) []Holder {
	var out []Holder
	for i, h := range holders {
		before := 0
		for j, other := range holders {
			if other.Targets > h.Targets || other.Targets == h.Targets && j < i {
				before++
			}
		}
		if before < n {
			out = append(out, h)
		}
	}
	return out
}

// fill adds entries without targets to the incumbents until there are n.
func fill(incumbents, usable []Holder, n int) []Holder {
	var out []Holder
	missing := n - len(incumbents)
	for _, h := range usable {
		switch {
		case h.Targets > 0:
			out = append(out, h)
		case missing > 0:
			missing--
			out = append(out, h)
		}
	}
	return out
}

// Move is how many targets one holder passes on to another.
type Move struct {
	To      job.EntryID
	Targets int
}

// Surplus says what the entry self passes on: all of its targets if it is not
// among the active holders, else what exceeds its fair part.
func Surplus(active []Holder, self job.EntryID, mine int) []Move {
	total, isActive := 0, false
	var others []Holder
	for _, h := range active {
		total += h.Targets
		if h.Entry == self {
			isActive = true
			continue
		}
		others = append(others, h)
	}
	if len(others) == 0 {
		return nil
	}
	if !isActive {
		total += mine
	}
	fair := float64(total) / float64(len(active))
	spare := mine
	if isActive {
		if float64(mine) <= surplusPart*fair+surplusLeast {
			return nil
		}
		spare = mine - int(math.Ceil(fair))
	}
	return share(others, spare, fair)
}

// share spreads targets over holders that have less than their fair part; what is
// left goes to the first.
func share(others []Holder, spare int, fair float64) []Move {
	var moves []Move
	for _, h := range others {
		n := min(spare, max(0, int(math.Ceil(fair))-h.Targets))
		if n > 0 {
			moves = append(moves, Move{To: h.Entry, Targets: n})
			spare -= n
		}
	}
	if spare > 0 && len(moves) == 0 {
		moves = append(moves, Move{To: others[0].Entry, Targets: spare})
	}
	return moves
}
