// Package voters decides how the set of voters is mended without an operator:
// which disk takes the place of one that is lost, and which ones are added
// until the fleet bears the losses that it has to.
//
// The pattern that it answers is VMs whose disks are lost or that are replaced
// for good, one after the other, while others are restarted, frozen or cut off
// for seconds. A set that keeps a dead voter tolerates one failure less than the fleet
// is configured for, and the next one can take the majority for good: none is left to
// agree on a repair.
//
// So a dead voter gives its place to a spare disk at once, and not after the time in
// which it might return. A needless replacement costs two rounds of synced writes and
// is harmless: a voter that returns is a spare, and its old vote counts no more.
package voters

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const (
	// AwayTime is how long a dead voter must have been silent before it is replaced: a
	// process that is restarted at once is back sooner, though its machine's refusal of
	// connections has shown its end.
	AwayTime = 1500 * time.Millisecond
	// SettledTime is how long a spare disk must have been heard without a break.
	SettledTime = time.Second
	// TurnTime is how long a change must be due before the next voter in order carries
	// it out: the one before it may be unable to.
	TurnTime = 1500 * time.Millisecond
)

// Liveness is how the entry that judges sees another one.
type Liveness uint8

// The kinds of liveness.
const (
	// Suspect has not been heard lately, and may be alive.
	Suspect Liveness = iota
	// Alive is heard.
	Alive
	// Draining is heard, and about to stop as planned.
	Draining
	// Dead has been declared dead, or has stopped.
	Dead
)

// String returns the liveness as logs show it.
func (l Liveness) String() string {
	switch l {
	case Alive:
		return "alive"
	case Draining:
		return "draining"
	case Dead:
		return "dead"
	}
	return "suspect"
}

// running reports whether the entry still takes part.
func (l Liveness) running() bool { return l == Alive || l == Draining }

// Disk is one entry with a data folder, voter or not.
type Disk struct {
	Entry job.EntryID
	Zone  job.Zone
	// Voter says that the register names the entry.
	Voter bool
	// Foreign says that the entry's disk is not the one that the register
	// names: the named one was lost.
	Foreign  bool
	Liveness Liveness
	// Stopped says of a dead one that it announced its stop.
	Stopped bool
	// Since is from when on the entry has been alive without a break, or has not been.
	Since time.Time
}

// Votes reports whether the entry is alive and holds the vote that the register names.
func (d *Disk) Votes() bool { return d.Voter && !d.Foreign && d.Liveness.running() }

// Spare reports whether the entry is alive to stay and does not vote.
func (d *Disk) Spare() bool { return !d.Voter && d.Liveness == Alive }

// replaceable reports whether the voter's place is to be given away.
func (d *Disk) replaceable(now time.Time) bool {
	switch d.Liveness {
	case Draining:
		return true
	case Dead:
		return d.Stopped || now.Sub(d.Since) >= AwayTime
	}
	return false
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
	// Healthy says that every voter is alive and there are as many as asked.
	Healthy Reason = "healthy"
	// DiskLost says that a voter came back with an empty disk.
	DiskLost Reason = "voter_disk_lost"
	// VoterDead says that a voter is dead and a spare disk takes its place.
	VoterDead Reason = "voter_dead"
	// VoterDraining says that a voter stops as planned and a spare disk takes its place.
	VoterDraining Reason = "voter_draining"
	// TooFew says that the fleet has to tolerate more failures than its voters do.
	TooFew Reason = "too_few_voters"
	// ZoneMajority says that the loss of one availability zone would take the majority.
	ZoneMajority Reason = "zone_has_majority"
	// VoterSuspect says that a voter is silent and not dead for long enough.
	VoterSuspect Reason = "voter_suspect"
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
		if d.Voter && d.Foreign && d.Liveness.running() {
			return Verdict{DiskLost, d.Entry, Action{Old: d.Entry, New: d.Entry, Cause: "the voter came back with an empty disk"}}
		}
	}
	found := Verdict{Reason: Healthy}
	for _, liveness := range []Liveness{Dead, Draining, Suspect} {
		for _, d := range disks {
			if !d.Voter || d.Liveness != liveness {
				continue
			}
			v := replace(now, disks, &d)
			if v.Due() {
				return v
			}
			if found.Reason == Healthy {
				found = v
			}
		}
	}
	if count(disks) < want {
		if spare, ok := pick(now, disks, ""); ok {
			return Verdict{Reason: TooFew, Action: Action{New: spare, Cause: "the fleet has to bear more losses than its voters do"}}
		}
		if found.Reason == Healthy {
			found.Reason = NoSpare
		}
	}
	if found.Reason != Healthy {
		return found
	}
	return spread(now, disks)
}

// replace judges one voter that is not there to stay.
func replace(now time.Time, disks []Disk, d *Disk) Verdict {
	if !d.replaceable(now) {
		return Verdict{Reason: VoterSuspect, Voter: d.Entry}
	}
	spare, ok := pick(now, disks, d.Entry)
	switch {
	case !ok && d.Liveness == Draining:
		// It votes until it stops, and returns with its disk.
		return Verdict{Reason: Healthy}
	case !ok:
		return Verdict{Reason: NoSpare, Voter: d.Entry}
	case d.Liveness == Draining:
		return Verdict{VoterDraining, d.Entry, Action{Old: d.Entry, New: spare, Cause: "the voter stops as planned"}}
	}
	return Verdict{VoterDead, d.Entry, Action{Old: d.Entry, New: spare, Cause: "the voter is dead"}}
}

// spread has a voter of a zone that holds a majority of them give its place to a spare
// disk of another zone. Replacements take the spare disks that there are, and so may
// gather in one zone.
func spread(now time.Time, disks []Disk) Verdict {
	inZone := votersInZones(disks, "")
	for _, d := range disks {
		if !d.Voter || !majority(inZone[d.Zone], count(disks)) {
			continue
		}
		spare, ok := pick(now, disks, d.Entry)
		if !ok {
			continue
		}
		i := slices.IndexFunc(disks, func(x Disk) bool { return x.Entry == spare })
		if zone := disks[i].Zone; zone != d.Zone && !majority(inZone[zone]+1, count(disks)) {
			return Verdict{ZoneMajority, d.Entry, Action{Old: d.Entry, New: spare, Cause: "one availability zone holds a majority of the voters"}}
		}
	}
	return Verdict{Reason: Healthy}
}

func majority(n, of int) bool { return n > 1 && 2*n > of }

// Order lists who carries out the change, first to last: a voter that stops as planned
// its own replacement, and then those that vote, by name.
func Order(disks []Disk, v *Verdict) []job.EntryID {
	var order []job.EntryID
	for _, d := range disks {
		if d.Votes() {
			order = append(order, d.Entry)
		}
	}
	slices.SortFunc(order, func(a, b job.EntryID) int {
		if v.Reason == VoterDraining && a != b && (a == v.Voter || b == v.Voter) {
			if a == v.Voter {
				return -1
			}
			return 1
		}
		return cmp.Compare(a, b)
	})
	return order
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
	inZone := votersInZones(disks, without)
	var best *Disk
	for i := range disks {
		d := &disks[i]
		if !d.Spare() || now.Sub(d.Since) < SettledTime {
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

// votersInZones counts the voters other than without.
func votersInZones(disks []Disk, without job.EntryID) map[job.Zone]int {
	inZone := map[job.Zone]int{}
	for _, d := range disks {
		if d.Voter && d.Entry != without {
			inZone[d.Zone]++
		}
	}
	return inZone
}
