package assign

import (
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Load pattern: after a power loss or at the first start, all targets of an availability
// zone announce themselves within a second, while holders report a few times a second how
// many targets they hold. By the reports alone, each holder seems empty while dozens of
// targets are in transit to it. The first holder in the order would get far more than it
// can carry, would have no processor time left to take them over, and would pass half of
// them on again. Callers of its zone would be refused meanwhile. Targets that this entry
// has sent since the last report therefore count as well.

// HolderReport is the number of targets of a pool that a holder reported.
type HolderReport struct {
	Entry   job.EntryID
	Targets int
	At      time.Time
}

// SentTarget is a target that this entry has sent to a holder.
type SentTarget struct {
	Holder job.EntryID
	At     time.Time
}

// inTransitFor is how long a sent target counts if its holder sends no report. It covers
// several report intervals.
const inTransitFor = time.Second

// CountTargets returns how many targets each entry holds, including targets in transit.
func CountTargets(now time.Time, reported []HolderReport, passed []SentTarget) map[job.EntryID]int {
	held, reportedAt := map[job.EntryID]int{}, map[job.EntryID]time.Time{}
	for _, r := range reported {
		held[r.Entry], reportedAt[r.Entry] = r.Targets, r.At
	}
	for _, p := range passed {
		if now.Sub(p.At) < inTransitFor && p.At.After(reportedAt[p.Holder]) {
			held[p.Holder]++
		}
	}
	return held
}

// DropExpired drops the sent targets that no longer count as in transit.
func DropExpired(now time.Time, passed []SentTarget) []SentTarget {
	kept := passed[:0]
	for _, p := range passed {
		if now.Sub(p.At) < inTransitFor {
			kept = append(kept, p)
		}
	}
	return kept
}
