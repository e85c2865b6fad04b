package assign

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// The functions below are a copy of the rules before VMs could state different capacities.

func formerLowest(usable []Holder) int {
	lowest := 20
	for _, h := range usable {
		if h.Carries > 0 {
			lowest = min(lowest, h.Carries)
		}
	}
	return lowest
}

func formerActive(holders []Holder, extra int) []Holder {
	usable := usableHolders(holders)
	total, incumbents := 0, []Holder{}
	for _, h := range usable {
		total += h.Targets
		if h.Targets > 0 {
			incumbents = append(incumbents, h)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	capacity := formerLowest(usable)
	want := min(len(usable), max(1, int(math.Ceil(float64(total+extra)/float64(capacity)))))
	if len(incumbents) > want && float64(total) <= 0.85*float64(capacity*(len(incumbents)-1)) {
		return largest(incumbents, want)
	}
	return addIdle(incumbents, usable, want)
}

func formerCandidates(holders []Holder) []Holder {
	all := formerActive(holders, 1)
	var notFull []Holder
	for _, h := range all {
		if h.Targets < formerLowest(all) {
			notFull = append(notFull, h)
		}
	}
	if len(notFull) == 0 {
		return all
	}
	return notFull
}

func formerSurplus(active []Holder, self job.EntryID, mine int) []Move {
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
		if float64(mine) <= 1.25*fair+2 {
			return nil
		}
		spare = mine - int(math.Ceil(fair))
	}
	return spreadTargets(others, spare, fair)
}

// Guards against any other result than before where all VMs of a zone state the same capacity,
// and where an entry of the previous release or of a named list states none: entries of both
// releases would pass the same targets to each other.
func TestEqualCapacitiesAreAssignedAsBefore(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 30000 {
		hs := make([]Holder, 1+r.IntN(16))
		equal, own := r.IntN(2) == 0, 1+r.IntN(maxTargetsOfLargeVM)
		for i := range hs {
			hs[i] = Holder{Entry: job.EntryID(rune('a' + i)), Serving: r.IntN(8) > 0, Reserve: r.IntN(8) == 0, Rank: i, Capacity: own}
			if !equal {
				hs[i].Capacity = 1 + r.IntN(maxTargetsOfLargeVM)
			}
			hs[i].Carries = min(hs[i].Capacity, MaxTargetsPerHolder)
			if r.IntN(2) == 0 {
				hs[i].Targets = r.IntN(45)
			}
		}
		if !equal {
			for i := range hs {
				hs[i].Capacity *= r.IntN(2)
			}
			hs[0].Capacity, hs[len(hs)-1].Capacity = 0, 0
			hs[0].Reserve, hs[len(hs)-1].Reserve = false, true
		}
		self := hs[r.IntN(len(hs))]
		moves, active := Transfers(hs, self.Entry, self.Targets, 0)
		former := formerActive(hs, 0)
		qt.Assert(t, names(Active(hs)), qt.Equals, names(former))
		qt.Assert(t, names(Candidates(hs)), qt.Equals, names(formerCandidates(hs)))
		qt.Assert(t, moves, qt.DeepEquals, formerSurplus(former, self.Entry, self.Targets))
		qt.Assert(t, active, qt.Equals, isAmong(former, self.Entry))
	}
}
