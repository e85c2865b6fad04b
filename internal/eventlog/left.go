package eventlog

import (
	"cmp"
	"maps"
	"slices"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

const (
	// maxListed bounds the failures without a line of their own that are listed by
	// their request in a second: at 20 bytes each they take as much as eighty lines,
	// and are more than a small VM can refuse beside its work.
	maxListed = 1000
	// listedInLine bounds one such line: with ids of 60 bytes it is written as a whole.
	listedInLine = 60
)

// failure names lines that were left out together.
type failure struct {
	kind   timeline.Kind
	reason job.Reason
}

// leftOut is what the budget has left out and not told yet.
//
// A thousand refusals in a second are one cause, and a line for each would drown it.
// Yet whoever has the id of one of them would find nothing at all and could not tell
// it from one that never arrived. So each failure is told at least by its id.
type leftOut struct {
	total   uint64
	byKind  map[timeline.Kind]int
	failed  map[failure][]job.ID
	listed  int
	waiting bool
}

func newLeftOut() leftOut {
	return leftOut{byKind: map[timeline.Kind]int{}, failed: map[failure][]job.ID{}}
}

// add counts one event. It reports whether it is the first one to be told.
func (l *leftOut) add(ev *timeline.Event) (first bool) {
	l.total++
	l.byKind[ev.Kind]++
	if ev.Reason != "" && ev.Submission != "" && l.listed < maxListed {
		f := failure{ev.Kind, ev.Reason}
		l.failed[f] = append(l.failed[f], ev.Submission)
		l.listed++
	}
	first = !l.waiting
	l.waiting = true
	return first
}

// take returns what is to be told and begins anew.
func (l *leftOut) take() leftOut {
	told := *l
	*l = newLeftOut()
	l.total = told.total
	return told
}

// tellLeftOut writes what was left out since it was last told.
func (s *Sink) tellLeftOut() {
	s.mu.Lock()
	told := s.left.take()
	s.mu.Unlock()
	if !told.waiting {
		return
	}
	order := slices.SortedFunc(maps.Keys(told.failed), func(a, b failure) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.reason, b.reason))
	})
	for _, f := range order {
		for ids := range slices.Chunk(told.failed[f], listedInLine) {
			s.log.Warn("failures without lines of their own", "kind", f.kind, "reason", f.reason, "requests", ids)
		}
	}
	s.log.Info("log lines left out", "by_kind", told.byKind)
}

// Flush tells at once what was left out: at the end of a process.
func (s *Sink) Flush() {
	s.tellReceived()
	s.tellLeftOut()
}
