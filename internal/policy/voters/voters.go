// Package voters decides how the set of voters is mended without an operator:
// which disk takes the place of one that is lost, and which ones are added
// until the fleet bears the losses that it has to.
//
// The pattern that it answers is VMs whose disks are lost or that are replaced
// for good, one after the other, while others are restarted, frozen or cut off
// for seconds. Without it each lost disk leaves one copy less, and the second
// one takes the register with it. A voter that is only away must not be
// replaced at once: each replacement costs two rounds of synced writes and
// moves the set while it may be needed.
package voters

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const (
	// GoneAfter is how long a voter must be away before another disk takes its
	// place: longer than a restart, a freeze or the pause of a link, which are
	// over within 5 s, since the disk comes back with the VM.
	GoneAfter = 6 * time.Second
	// SettledAfter is how long a spare disk must have been seen without a break.
	SettledAfter = time.Second
)

// Disk is one entry with a data folder, voter or not.
type Disk struct {
	Entry job.EntryID
	Zone  job.Zone
	// Voter says that the register names the entry.
	Voter bool
	// Foreign says that the entry's disk is not the one that the register
	// names: the named one was lost.
	Foreign bool
	// Alive says that the entry is heard, Since from when on it is or isn't.
	Alive bool
	Since time.Time
}

// Action is one change of the voters; the zero value is none.
type Action struct {
	// Old is the voter that is replaced; empty for one that is added.
	Old job.EntryID
	New job.EntryID
	// Cause words the decision for logs.
	Cause string
}

// Reason says what a look at the voters found.
type Reason string

// The reasons.
const (
	// Whole says that every voter is heard and the set is as wide as asked.
	Whole Reason = "whole"
	// Emptied says that a voter came back with an empty disk.
	Emptied Reason = "voter_emptied"
	// Lost says that a voter is gone and a spare disk takes its place.
	Lost Reason = "voter_lost"
	// Narrow says that the fleet has to bear more losses than its voters do.
	Narrow Reason = "too_few_voters"
	// Awaited says that a voter is away, and not for long enough to be replaced.
	Awaited Reason = "voter_awaited"
	// NoSpare says that a change is due and no spare disk is fit for it.
	NoSpare Reason = "no_spare_disk"
)

// Verdict is the outcome of a look at the voters.
type Verdict struct {
	Reason Reason
	// Voter is the voter that the reason is about; empty where it is about the set.
	Voter job.EntryID
	// Action is what is to be done; the zero value is nothing.
	Action Action
}

// Due reports whether something is to be done.
func (v *Verdict) Due() bool { return v.Action.New != "" }

// Plan judges the set and returns its next change, if one is due. want is how many
// voters the fleet needs.
func Plan(now time.Time, disks []Disk, want int) Verdict {
	disks = slices.Clone(disks)
	slices.SortFunc(disks, func(a, b Disk) int { return cmp.Compare(a.Entry, b.Entry) })
	for _, d := range disks {
		if d.Voter && d.Foreign && d.Alive {
			return Verdict{Emptied, d.Entry, Action{Old: d.Entry, New: d.Entry, Cause: "the voter came back with an empty disk"}}
		}
	}
	found := Verdict{Reason: Whole}
	for _, d := range disks {
		if !d.Voter || d.Alive {
			continue
		}
		if now.Sub(d.Since) < GoneAfter {
			found = Verdict{Reason: Awaited, Voter: d.Entry}
			continue
		}
		if spare, ok := pick(now, disks, d.Entry); ok {
			return Verdict{Lost, d.Entry, Action{Old: d.Entry, New: spare, Cause: "the voter has been away for long"}}
		}
		found = Verdict{Reason: NoSpare, Voter: d.Entry}
	}
	if count(disks) >= want {
		return found
	}
	if spare, ok := pick(now, disks, ""); ok {
		return Verdict{Reason: Narrow, Action: Action{New: spare, Cause: "the fleet has to bear more losses than its voters do"}}
	}
	if found.Reason == Whole {
		found.Reason = NoSpare
	}
	return found
}

func count(disks []Disk) int {
	n := 0
	for _, d := range disks {
		if d.Voter {
			n++
		}
	}
	return n
}

// pick returns the spare disk in the zone with the fewest voters other than
// without, so that the loss of one zone takes as few as possible.
func pick(now time.Time, disks []Disk, without job.EntryID) (job.EntryID, bool) {
	inZone := map[job.Zone]int{}
	for _, d := range disks {
		if d.Voter && d.Entry != without {
			inZone[d.Zone]++
		}
	}
	var best *Disk
	for i := range disks {
		d := &disks[i]
		if d.Voter || !d.Alive || now.Sub(d.Since) < SettledAfter {
			continue
		}
		if best == nil || inZone[d.Zone] < inZone[best.Zone] {
			best = d
		}
	}
	if best == nil {
		return "", false
	}
	return best.Entry, true
}
