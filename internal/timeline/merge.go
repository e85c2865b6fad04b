package timeline

import (
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Timeline holds the merged events of several entries, and what is missing from
// them.
type Timeline struct {
	Events []Event `json:"events"`
	// Unreachable lists the entries that could not be queried.
	Unreachable []job.EntryID `json:"unreachable,omitempty"`
	// Gaps lists the entries whose events are incomplete.
	Gaps []Gap `json:"gaps,omitempty"`
	// Skewed lists the entries whose clocks differ too much from the others for
	// their events to be in order.
	Skewed []Skew `json:"skewed,omitempty"`
	// Next is the stamp from which a reader continues: no event at or before it can
	// still be added.
	Next Stamp `json:"next"`
}

// Gap says which events of an entry are missing.
type Gap struct {
	Entry job.EntryID `json:"entry"`
	// Dropped counts the events that the ring dropped.
	Dropped uint64 `json:"dropped,omitempty"`
	// CompleteFrom is the stamp from which no event was dropped.
	CompleteFrom Stamp `json:"complete_from,omitempty"`
	// LeftOut counts matching events beyond the query's limit.
	LeftOut int `json:"left_out,omitempty"`
}

// Skew says how far an entry's clock is ahead of the earliest one.
type Skew struct {
	Entry job.EntryID   `json:"entry"`
	Ahead time.Duration `json:"ahead"`
}

// followOverlap is how far before an entry's clock a follower continues reading. A
// writer takes its stamp before it locks the shard, so an event may enter the ring
// shortly after a read that was stamped higher.
const followOverlap = time.Second

// Merge orders the pages of several entries into one time line. An event that is in
// two pages is included once.
func Merge(pages []Page, unreachable []job.EntryID) Timeline {
	t := Timeline{Unreachable: slices.Sorted(slices.Values(unreachable))}
	var earliest Stamp
	for i := range pages {
		p := &pages[i]
		t.Events = append(t.Events, p.Events...)
		if p.Dropped > 0 || p.LeftOut > 0 {
			t.Gaps = append(t.Gaps, Gap{Entry: p.Entry, Dropped: p.Dropped, CompleteFrom: p.OldestStamp, LeftOut: p.LeftOut})
		}
		if i == 0 || p.Now < earliest {
			earliest = p.Now
		}
	}
	t.Sort()
	slices.SortFunc(t.Gaps, func(a, b Gap) int { return compareEntries(a.Entry, b.Entry) })
	for i := range pages {
		ahead := pages[i].Now.Time().Sub(earliest.Time())
		if ahead > MaxDrift {
			t.Skewed = append(t.Skewed, Skew{Entry: pages[i].Entry, Ahead: ahead})
		}
	}
	if len(pages) > 0 {
		t.Next = StampAt(earliest.Time().Add(-followOverlap))
	}
	return t
}

// Sort orders the events and removes duplicates.
func (t *Timeline) Sort() {
	slices.SortFunc(t.Events, byStamp)
	t.Events = slices.CompactFunc(t.Events, func(a, b Event) bool {
		return a.Stamp == b.Stamp && a.Entry == b.Entry
	})
}

func compareEntries(a, b job.EntryID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// EventsOf returns the events of one submission.
func (t *Timeline) EventsOf(id job.ID) []Event {
	var out []Event
	for i := range t.Events {
		if t.Events[i].Submission == id {
			out = append(out, t.Events[i])
		}
	}
	return out
}

// HasTask reports whether the Task field of the event identifies a task, since index
// 0 is a valid task too. Tasks that are queued or dropped together share one event,
// which counts them.
func (ev *Event) HasTask() bool {
	switch ev.Kind {
	case TaskQueued, TaskDropped:
		return ev.Count == 0
	case TaskStarted, TaskEnded, TaskRetried, TaskPreempted, TaskSuspect:
		return true
	}
	return false
}
