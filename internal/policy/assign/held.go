package assign

import (
	"slices"
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

// LearnedFor is how long a number of targets counts that an entry has reported with an answer and
// that no regular report has replaced: as long as a dead entry is remembered. Entries of other
// zones get the regular reports of a few holders only.
const LearnedFor = 30 * time.Second

// MergeReports returns the latest report of each entry from two lists, without those that no
// longer count.
func MergeReports(now time.Time, known, further []HolderReport) []HolderReport {
	latest := map[job.EntryID]HolderReport{}
	for _, r := range slices.Concat(known, further) {
		if last, found := latest[r.Entry]; !found || r.At.After(last.At) {
			latest[r.Entry] = r
		}
	}
	out := make([]HolderReport, 0, len(latest))
	for _, r := range latest {
		if now.Sub(r.At) < LearnedFor {
			out = append(out, r)
		}
	}
	return out
}

// CountTargets returns how many targets each entry holds, including targets in transit. There is
// one report of an entry at the most.
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
