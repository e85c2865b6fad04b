package storage

import (
	"container/list"
	"slices"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// liveSet holds the records of a log that are still needed.
type liveSet struct {
	byID map[job.ID]*list.Element
	// order holds *liveEntry, oldest first.
	order         *list.List
	bytes         int
	finished      int
	finishedBytes int
}

type liveEntry struct {
	accepted Record
	handed   []int
	finished *Record
}

func newLiveSet() *liveSet {
	return &liveSet{byID: map[job.ID]*list.Element{}, order: list.New()}
}

// apply applies one record. Except for RecordAccepted and RecordFinished, it
// ignores records of unknown submissions: these were forgotten in the meantime.
func (s *liveSet) apply(r Record) {
	e := s.byID[r.ID]
	if e == nil {
		if r.Kind == RecordAccepted || r.Kind == RecordFinished {
			entry := &liveEntry{accepted: r}
			if r.Kind == RecordFinished {
				entry.accepted = Record{Kind: RecordAccepted, ID: r.ID}
			}
			e = s.order.PushBack(entry)
			s.byID[r.ID] = e
			s.bytes += entry.accepted.size()
		}
		if r.Kind != RecordFinished {
			return
		}
	}
	entry := e.Value.(*liveEntry)
	switch r.Kind {
	case RecordDispatched:
		entry.handed = append(entry.handed, r.Tasks...)
		s.bytes += 8 * len(r.Tasks)
	case RecordFinished:
		s.finish(e, entry, r)
	case RecordForgotten:
		s.remove(e)
	}
}

func (s *liveSet) finish(e *list.Element, entry *liveEntry, r Record) {
	if entry.finished != nil {
		return
	}
	s.bytes += r.size() - entry.accepted.size() - 8*len(entry.handed)
	entry.accepted, entry.handed = Record{}, nil
	entry.finished = &r
	s.order.MoveToBack(e)
	s.finished++
	s.finishedBytes += r.size()
	for s.finished > maxFinished || s.finishedBytes > maxFinishedBytes {
		s.dropOldestFinished()
	}
}

func (s *liveSet) dropOldestFinished() {
	for e := s.order.Front(); e != nil; e = e.Next() {
		if e.Value.(*liveEntry).finished != nil {
			s.remove(e)
			return
		}
	}
}

func (s *liveSet) remove(e *list.Element) {
	entry := e.Value.(*liveEntry)
	s.order.Remove(e)
	if entry.finished != nil {
		delete(s.byID, entry.finished.ID)
		s.finished--
		s.finishedBytes -= entry.finished.size()
		s.bytes -= entry.finished.size()
		return
	}
	delete(s.byID, entry.accepted.ID)
	s.bytes -= entry.accepted.size() + 8*len(entry.handed)
}

func (s *liveSet) records() []Record {
	out := make([]Record, 0, s.order.Len())
	for e := s.order.Front(); e != nil; e = e.Next() {
		entry := e.Value.(*liveEntry)
		if entry.finished != nil {
			out = append(out, *entry.finished)
			continue
		}
		out = append(out, entry.accepted)
		if len(entry.handed) > 0 {
			out = append(out, Record{Kind: RecordDispatched, ID: entry.accepted.ID, Tasks: slices.Clone(entry.handed)})
		}
	}
	return out
}
