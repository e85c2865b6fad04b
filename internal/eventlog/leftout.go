package eventlog

import (
	"cmp"
	"maps"
	"slices"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

const (
	// maxListedIDs bounds the request ids listed per second for events without a line
	// of their own, separately for failures and for receipts. At 20 bytes each they
	// take as much as eighty lines, and a small VM can't refuse more requests than that
	// besides its work.
	maxListedIDs = 1000
	// idsPerLine bounds the ids in one line, so that a line with ids of 60 bytes still
	// fits into one write.
	idsPerLine = 60
)

// failureGroup is the kind and reason by which left-out failures are grouped.
type failureGroup struct {
	kind   timeline.Kind
	reason job.Reason
}

// leftOut holds the events that the budget left out and that have not been summarised
// in the log yet.
//
// A thousand refusals in a second usually have one cause, and a line for each would
// bury it. But an operator who searches for a request id must find it, since a request
// that is not in the log looks like one that never arrived. So each failure is logged
// at least by its id.
type leftOut struct {
	total   uint64
	byKind  map[timeline.Kind]int
	failed  map[failureGroup][]job.ID
	listed  int
	pending bool
}

func newLeftOut() leftOut {
	return leftOut{byKind: map[timeline.Kind]int{}, failed: map[failureGroup][]job.ID{}}
}

// add counts an event. It reports whether the event is the first since the last
// summary.
func (l *leftOut) add(ev *timeline.Event) (first bool) {
	l.total++
	l.byKind[ev.Kind]++
	if failed(ev) && ev.Submission != "" && l.listed < maxListedIDs {
		f := failureGroup{ev.Kind, ev.Reason}
		l.failed[f] = append(l.failed[f], ev.Submission)
		l.listed++
	}
	first = !l.pending
	l.pending = true
	return first
}

// take returns the current state and resets all but the total.
func (l *leftOut) take() leftOut {
	taken := *l
	*l = newLeftOut()
	l.total = taken.total
	return taken
}

// logLeftOut logs a summary of the events left out since the last summary.
func (s *Sink) logLeftOut() {
	s.mu.Lock()
	summary := s.left.take()
	s.mu.Unlock()
	if !summary.pending {
		return
	}
	groups := slices.SortedFunc(maps.Keys(summary.failed), func(a, b failureGroup) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.reason, b.reason))
	})
	for _, f := range groups {
		for ids := range slices.Chunk(summary.failed[f], idsPerLine) {
			s.log.Warn("failures without lines of their own", "kind", f.kind, "reason", f.reason, "requests", ids)
		}
	}
	s.log.Info("log lines left out", "by_kind", summary.byKind)
}

// Flush logs all pending summaries at once. It is called when the process ends.
func (s *Sink) Flush() {
	s.logReceived()
	s.logLeftOut()
}
