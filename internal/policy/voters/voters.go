// Package voters decides how the set of voters is repaired without an operator: which
// disk replaces a lost one, and which disks are added until the fleet tolerates the
// number of failures that it is configured for.
//
// Load pattern: VMs lose their disks or are replaced permanently, one after the other,
// while others are restarted, frozen or unreachable for seconds. A set that keeps a dead
// voter tolerates one failure less than the fleet is configured for, and the next failure
// can destroy the majority permanently, so that nobody is left to agree on a repair.
//
// So a dead voter is replaced by a spare disk right away, without waiting for its
// possible return. A needless replacement costs two rounds of synced writes and is
// harmless: a voter that returns is a spare, and its old vote no longer counts.
package voters

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const (
	// ReplaceDelay is how long a dead voter must have been unresponsive before it is
	// replaced. A process that is restarted immediately is back sooner, although
	// connections refused by its machine have shown that it ended.
	ReplaceDelay = 1500 * time.Millisecond
	// SpareSettleTime is how long a spare disk must have been reachable without interruption.
	SpareSettleTime = time.Second
	// TurnTimeout is how long a change must be due before the next voter in order carries it
	// out, in case the previous one is unable to.
	TurnTimeout = 1500 * time.Millisecond
)

// Liveness is the state of an entry as seen by the entry that evaluates the voters.
type Liveness uint8

// The values of Liveness.
const (
	// Suspect entries were not heard from lately, and may be alive.
	Suspect Liveness = iota
	// Alive entries respond.
	Alive
	// Draining entries respond, and are about to stop as planned.
	Draining
	// Dead entries were declared dead, or have stopped.
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

// running reports whether the entry still participates.
func (l Liveness) running() bool { return l == Alive || l == Draining }

// Disk is one entry with a data folder, voter or not.
type Disk struct {
	Entry job.EntryID
	Zone  job.Zone
	// Voter says that the register lists the entry as a voter.
	Voter bool
	// Foreign says that the entry's disk is not the one that the register lists: the
	// listed one was lost.
	Foreign  bool
	Liveness Liveness
	// Stopped says that a dead entry had announced its stop.
	Stopped bool
	// Postponed says that the last change that concerned the entry failed. Changes that
	// concern other entries go first.
	Postponed bool
	// Since is when the entry became alive, or stopped being alive, without interruption
	// since then.
	Since time.Time
}

// Votes reports whether the entry is alive and holds the vote that the register lists.
func (d *Disk) Votes() bool { return d.Voter && !d.Foreign && d.Liveness.running() }

// Spare reports whether the entry is alive, is not draining and does not vote.
func (d *Disk) Spare() bool { return !d.Voter && d.Liveness == Alive }

// replaceable reports whether the voter should be replaced.
func (d *Disk) replaceable(now time.Time) bool {
	switch d.Liveness {
	case Draining:
		return true
	case Dead:
		return d.Stopped || now.Sub(d.Since) >= ReplaceDelay
	}
	return false
}

// Action is one change of the voters; the zero value is no change.
type Action struct {
	// Old is the voter that is replaced; empty if a voter is added.
	Old job.EntryID
	New job.EntryID
	// Cause explains the decision in logs.
	Cause string
}

// Reason is the result of an evaluation of the voters.
type Reason string

// The values of Reason.
const (
	// Healthy says that every voter is alive and that there are as many as required.
	Healthy Reason = "healthy"
	// DiskLost says that a voter returned with an empty disk.
	DiskLost Reason = "voter_disk_lost"
	// MajorityLost says that so many voters returned with empty disks that the others are no
	// majority. They can't agree on a change of the voters, so nothing repairs the set.
	MajorityLost Reason = "voter_majority_lost"
	// VoterDead says that a voter is dead and that a spare disk replaces it.
	VoterDead Reason = "voter_dead"
	// VoterDraining says that a voter is about to stop as planned and that a spare disk
	// replaces it.
	VoterDraining Reason = "voter_draining"
	// TooFew says that the fleet must tolerate more failures than its voters do.
	TooFew Reason = "too_few_voters"
	// ZoneMajority says that the loss of one availability zone would destroy the
	// majority.
	ZoneMajority Reason = "zone_has_majority"
	// VoterSuspect says that a voter is unresponsive, but has not been dead for long
	// enough.
	VoterSuspect Reason = "voter_suspect"
	// NoSpare says that a change is due and that no spare disk is eligible.
	NoSpare Reason = "no_spare_disk"
)

// Decision is the result of evaluating the voters.
type Decision struct {
	Reason Reason
	// Voter is the voter that the reason refers to; empty if it refers to the set.
	Voter job.EntryID
	// Action is the change to carry out; the zero value is none.
	Action Action
}

// Due reports whether a change is to be carried out.
func (v *Decision) Due() bool { return v.Action.New != "" }

// Plan evaluates the set and returns its next change, if one is due. want is how many
// voters the fleet needs.
func Plan(now time.Time, disks []Disk, want int) Decision {
	disks = slices.Clone(disks)
	slices.SortFunc(disks, func(a, b Disk) int {
		if a.Postponed != b.Postponed {
			return cmp.Compare(boolToInt(a.Postponed), boolToInt(b.Postponed))
		}
		return cmp.Compare(a.Entry, b.Entry)
	})
	for _, d := range disks {
		if d.Voter && d.Foreign && d.Liveness.running() {
			reason := DiskLost
			if n := countVoters(disks); n-len(LostDisks(disks)) < n/2+1 {
				reason = MajorityLost
			}
			return Decision{reason, d.Entry, Action{Old: d.Entry, New: d.Entry, Cause: "the voter came back with an empty disk"}}
		}
	}
	found := Decision{Reason: Healthy}
	for _, liveness := range []Liveness{Dead, Draining, Suspect} {
		for _, d := range disks {
			if !d.Voter || d.Liveness != liveness {
				continue
			}
			v := planReplacement(now, disks, &d)
			if v.Due() {
				return v
			}
			if found.Reason == Healthy {
				found = v
			}
		}
	}
	if countVoters(disks) < want {
		if spare, ok := pickSpare(now, disks, ""); ok {
			return Decision{Reason: TooFew, Action: Action{New: spare, Cause: "the fleet must tolerate more failures than its voters do"}}
		}
		if found.Reason == Healthy {
			found.Reason = NoSpare
		}
	}
	if found.Reason != Healthy {
		return found
	}
	return planSpread(now, disks)
}

// planReplacement evaluates one voter that is dead, draining or suspect.
func planReplacement(now time.Time, disks []Disk, d *Disk) Decision {
	if !d.replaceable(now) {
		return Decision{Reason: VoterSuspect, Voter: d.Entry}
	}
	spare, ok := pickSpare(now, disks, d.Entry)
	switch {
	case !ok && d.Liveness == Draining:
		// The voter votes until it stops, and returns with its disk.
		return Decision{Reason: Healthy}
	case !ok:
		return Decision{Reason: NoSpare, Voter: d.Entry}
	case d.Liveness == Draining:
		return Decision{VoterDraining, d.Entry, Action{Old: d.Entry, New: spare, Cause: "the voter stops as planned"}}
	}
	return Decision{VoterDead, d.Entry, Action{Old: d.Entry, New: spare, Cause: "the voter is dead"}}
}

// planSpread replaces a voter of a zone that holds a majority of the voters by a spare
// disk of another zone. Replacements take any available spare disk, so voters may
// accumulate in one zone.
func planSpread(now time.Time, disks []Disk) Decision {
	inZone := votersInZones(disks, "")
	for _, d := range disks {
		if !d.Voter || !isMajority(inZone[d.Zone], countVoters(disks)) {
			continue
		}
		spare, ok := pickSpare(now, disks, d.Entry)
		if !ok {
			continue
		}
		i := slices.IndexFunc(disks, func(x Disk) bool { return x.Entry == spare })
		if zone := disks[i].Zone; zone != d.Zone && !isMajority(inZone[zone]+1, countVoters(disks)) {
			return Decision{ZoneMajority, d.Entry, Action{Old: d.Entry, New: spare, Cause: "one availability zone holds a majority of the voters"}}
		}
	}
	return Decision{Reason: Healthy}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func isMajority(n, of int) bool { return n > 1 && 2*n > of }

// LostDisks returns the voters whose disks are not those that the register lists.
func LostDisks(disks []Disk) []job.EntryID {
	var lost []job.EntryID
	for _, d := range disks {
		if d.Voter && d.Foreign {
			lost = append(lost, d.Entry)
		}
	}
	slices.Sort(lost)
	return lost
}

// Order lists the entries that may carry out the change, first to last: the draining voter
// that the change replaces, if any, then the other voters by name.
func Order(disks []Disk, v *Decision) []job.EntryID {
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

func countVoters(disks []Disk) int {
	n := 0
	for _, d := range disks {
		if d.Voter {
			n++
		}
	}
	return n
}

// pickSpare returns the spare disk in the zone with the fewest voters, not counting
// except, so that the loss of one zone removes as few voters as possible.
func pickSpare(now time.Time, disks []Disk, except job.EntryID) (job.EntryID, bool) {
	inZone := votersInZones(disks, except)
	var best *Disk
	for i := range disks {
		d := &disks[i]
		if !d.Spare() || now.Sub(d.Since) < SpareSettleTime {
			continue
		}
		if best != nil && d.Postponed != best.Postponed {
			continue // the postponed disks come last
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

// votersInZones counts the voters of each zone, not counting except.
func votersInZones(disks []Disk, except job.EntryID) map[job.Zone]int {
	inZone := map[job.Zone]int{}
	for _, d := range disks {
		if d.Voter && d.Entry != except {
			inZone[d.Zone]++
		}
	}
	return inZone
}
