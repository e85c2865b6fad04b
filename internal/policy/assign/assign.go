// Package assign decides which entries of an availability zone hold the targets of a
// pool.
//
// Load pattern: pools of a dozen to several hundred targets run on entries that have a
// fraction of a processor each and are restarted in turn. A single holder knows exactly
// which slots are free. When a pool of 16 targets was spread over three holders, a third
// of its slots were lost because load reports were outdated. On the other hand, one
// holder of 117 targets with 1,200 starts a second needs more processor time than a
// small VM has. A pool therefore has as few holders as can carry its targets. A target
// stays with its holder as long as the holder serves, because each move takes until the
// target is idle.
package assign

import (
	"math"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const (
	// MaxTargetsPerHolder is the maximum number of targets that one entry holds before another
	// entry takes a part, where all entries state the same capacity. With many more, the loss of one holder would affect a large
	// part of its zone.
	MaxTargetsPerHolder = 20
	// processorsPerTarget and linkBytesPerTarget are the cost of a busy target for its
	// holder: in processors, and in bytes per second for starts, their ends and lease
	// renewals.
	processorsPerTarget = 0.002
	linkBytesPerTarget  = 8500
	// holdingProcessorShare and holdingLinkShare are the shares of an entry's processor
	// and link that holding targets may use. The rest is for callers, for bursts of
	// starts (a job starts all its tasks at once), and for the load of another entry
	// while that entry is down.
	holdingProcessorShare = 0.21
	holdingLinkShare      = 0.33
	// The number of holders shrinks only if the targets fit into shrinkThreshold of the
	// capacity of one holder fewer. This keeps the number from oscillating.
	shrinkThreshold = 0.85
	// A holder passes targets on only if it holds more than surplusFactor times its fair
	// share plus surplusSlack.
	surplusFactor = 1.25
	surplusSlack  = 2
)

// Holder is an entry of the zone. Slices of holders are in the order in which entries
// are chosen.
type Holder struct {
	Entry job.EntryID
	// Serving is set if the entry may hold targets.
	Serving bool
	// Reserve is set if the entry holds targets only while no other entry can.
	Reserve bool
	// Targets is the number of targets of the pool that the entry holds.
	Targets int
	// Carries is the number of targets that the entry can hold, at most
	// MaxTargetsPerHolder; zero if unknown. All releases compare this number.
	Carries int
	// Capacity is the number of targets that the entry can hold, at most
	// maxTargetsOfLargeVM. It is zero if unknown, as for entries of the previous release.
	Capacity int
	// Rank is the position of the entry in the order of the pool. The order of a list
	// decides only where all entries state the same capacity.
	Rank int
	// weight is the entry's part of the targets relative to the other active holders. Zero
	// stands for equal parts.
	weight int
}

// TargetCapacity returns how many targets an entry can hold with the given number of processors
// and link bandwidth in megabits per second. Zero means unknown.
//
// If the number were the same on all VMs, those with a slow link would hold more targets
// than the link can serve: start requests queue before the link, are considered lost and
// are sent again, until hardly any request arrives in time.
func TargetCapacity(processors, linkMbps float64) int {
	return capacityUpTo(MaxTargetsPerHolder, processors, linkMbps)
}

func capacityUpTo(limit int, processors, linkMbps float64) int {
	n := float64(limit)
	if processors > 0 {
		n = min(n, holdingProcessorShare*processors/processorsPerTarget)
	}
	if linkMbps > 0 {
		n = min(n, holdingLinkShare*linkMbps*bytesPerMegabit/linkBytesPerTarget)
	}
	return max(1, int(math.Round(n)))
}

const bytesPerMegabit = 1e6 / 8

// lowestCapacity returns how many targets each of the entries can hold. It is the lowest
// capacity of them all, so that all entries compute the same result and none is
// overloaded.
func lowestCapacity(usable []Holder) int {
	lowest := MaxTargetsPerHolder
	for _, h := range usable {
		if h.Carries > 0 {
			lowest = min(lowest, h.Carries)
		}
	}
	return lowest
}

// Active returns the entries that hold the pool's targets, in their order.
func Active(holders []Holder) []Holder { return activeFor(holders, 0) }

// Candidates returns the entries of which one is to hold one more target: the active holders
// with free capacity, including a new one if needed, or all active holders if none has
// free capacity.
func Candidates(holders []Holder) []Holder {
	all := activeFor(holders, 1)
	if isWeighted(all) {
		return withRoom(all)
	}
	capacity := lowestCapacity(all)
	var notFull []Holder
	for _, h := range all {
		if h.Targets < capacity {
			notFull = append(notFull, h)
		}
	}
	if len(notFull) == 0 {
		return all
	}
	return notFull
}

// activeFor returns the entries that hold the pool's targets plus the given number of
// extra targets.
func activeFor(holders []Holder, extra int) []Holder {
	usable := usableHolders(holders)
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
	if capacitiesDiffer(holders, usable) {
		return activeByCapacity(usable, incumbents, total+extra)
	}
	capacity := lowestCapacity(usable)
	want := min(len(usable), max(1, ceilDiv(total+extra, capacity)))
	if len(incumbents) > want && float64(total) <= shrinkThreshold*float64(capacity*(len(incumbents)-1)) {
		return largest(incumbents, want)
	}
	return addIdle(incumbents, usable, want)
}

// usableHolders returns the entries that may hold targets. Reserve entries are returned
// only if there are no others.
func usableHolders(holders []Holder) []Holder {
	var regular, reserve []Holder
	for _, h := range holders {
		switch {
		case !h.Serving:
		case h.Reserve:
			reserve = append(reserve, h)
		default:
			regular = append(regular, h)
		}
	}
	if len(regular) == 0 {
		return reserve
	}
	return regular
}

func ceilDiv(n, divisor int) int { return int(math.Ceil(float64(n) / float64(divisor))) }

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

// addIdle adds entries without targets to the incumbents until there are n.
func addIdle(incumbents, usable []Holder, n int) []Holder {
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

// Move is a number of targets that one holder passes on to another.
type Move struct {
	To      job.EntryID
	Targets int
}

// Surplus returns the moves by which the entry self passes on targets: all of them if it
// is not among the active holders, otherwise those beyond its fair share. mine is the
// number of targets that self holds. The shares of all active holders are equal.
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
		if float64(mine) <= surplusFactor*fair+surplusSlack {
			return nil
		}
		spare = mine - int(math.Ceil(fair))
	}
	return spreadTargets(others, spare, fair)
}

// spreadTargets distributes targets over the holders that have less than their fair
// share. If none has, all targets go to the first holder.
func spreadTargets(others []Holder, spare int, fair float64) []Move {
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
