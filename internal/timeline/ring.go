package timeline

import (
	"slices"
	"strings"
	"sync"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const (
	// ringShards spreads the writers of a process over several locks. A writer
	// holds a lock while it copies one event, so with 16 shards 12 cores do not
	// wait for each other.
	ringShards = 16
	// DefaultRingEvents bounds a ring. An event takes about 150 bytes plus its
	// strings, so the ring stays under 16 MB of the 64 MB allowed for control.
	DefaultRingEvents = 64 << 10
	// MaxCauseBytes bounds the free text of an event, so that the number of events
	// bounds the ring's memory.
	MaxCauseBytes = 240
	// MaxPageEvents bounds a page. A whole ring in one message would block the link,
	// which also carries tasks.
	MaxPageEvents = 20000
)

// Query selects events of a ring.
type Query struct {
	// Submission, if set, selects only the events of that submission.
	Submission job.ID `json:"submission,omitempty" cbor:"1,keyasint,omitempty"`
	// Since selects only events with a higher stamp.
	Since Stamp `json:"since,omitempty" cbor:"2,keyasint,omitempty"`
	// Kinds, if set, selects only events of these kinds.
	Kinds []Kind `json:"kinds,omitempty" cbor:"3,keyasint,omitempty"`
	// Limit bounds the events of one entry. Zero means MaxPageEvents.
	Limit int `json:"limit,omitempty" cbor:"4,keyasint,omitempty"`
}

// Page is the answer of one ring to a query, ordered by stamp.
type Page struct {
	Entry  job.EntryID `json:"entry" cbor:"1,keyasint"`
	Events []Event     `json:"events" cbor:"2,keyasint,omitempty"`
	// Dropped counts the events that the ring has dropped since its start.
	Dropped uint64 `json:"dropped" cbor:"3,keyasint,omitempty"`
	// OldestStamp is the stamp from which the ring has dropped no event.
	OldestStamp Stamp `json:"oldest_stamp" cbor:"4,keyasint,omitempty"`
	// Now is the entry's clock just before it read its ring.
	Now Stamp `json:"now" cbor:"5,keyasint"`
	// LeftOut counts matching events beyond the limit.
	LeftOut int `json:"left_out,omitempty" cbor:"6,keyasint,omitempty"`
}

// Ring keeps the latest events of a process. Recording an event takes one clock
// reading, one lock and one copy, however many events the ring holds. It is safe for
// concurrent use.
type Ring struct {
	entry  job.EntryID
	clock  *Clock
	off    bool
	shards [ringShards]ringShard
}

type ringShard struct {
	mu      sync.Mutex
	events  []Event
	next    int
	dropped uint64
	// highestDropped is the highest stamp of a dropped event. The shard is complete
	// above it.
	highestDropped Stamp
	_              [40]byte
}

var _ Sink = (*Ring)(nil)

// NewRing returns a ring for about the given number of events. Zero means
// DefaultRingEvents, and a negative number disables the ring.
func NewRing(entry job.EntryID, clock *Clock, events int) *Ring {
	r := &Ring{entry: entry, clock: clock, off: events < 0}
	if r.off {
		return r
	}
	if events == 0 {
		events = DefaultRingEvents
	}
	perShard := (events + ringShards - 1) / ringShards
	for i := range r.shards {
		r.shards[i].events = make([]Event, 0, perShard)
	}
	return r
}

// Record stamps the event and stores it. In a full shard it replaces the oldest event.
func (r *Ring) Record(ev Event) {
	if r.off || ev.Kind.OnlyCounted() {
		return
	}
	ev.Cause = boundCause(ev.Cause)
	ev.Stamp = Stamp(r.clock.Now())
	ev.Entry = r.entry
	s := &r.shards[shardOf(ev.Stamp)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.events) < cap(s.events) {
		s.events = append(s.events, ev)
		return
	}
	s.dropped++
	s.highestDropped = max(s.highestDropped, s.events[s.next].Stamp)
	s.events[s.next] = ev
	s.next++
	if s.next == len(s.events) {
		s.next = 0
	}
}

// boundCause truncates a long text and replaces invalid UTF-8, which may come from the
// error text of a target. CBOR would refuse to encode it, so that a single bad event
// would make the whole ring unreadable.
func boundCause(s string) string {
	if len(s) > MaxCauseBytes {
		s = strings.Clone(s[:MaxCauseBytes])
	}
	return strings.ToValidUTF8(s, "?")
}

// shardOf spreads consecutive stamps evenly over the shards. If shards were chosen by
// submission, one job of 1,900 tasks would push all other events out of its shard.
func shardOf(s Stamp) int {
	const golden = 0x9E3779B97F4A7C15
	return int((uint64(s) * golden) >> 60)
}

// Read returns the matching events. If they exceed the limit, it returns the first ones
// after Since, so that a reader can continue from there, or the latest ones if Since is
// not set.
func (r *Ring) Read(q Query) Page {
	p := Page{Entry: r.entry, Now: Stamp(r.clock.Now())}
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		p.Dropped += s.dropped
		p.OldestStamp = max(p.OldestStamp, s.highestDropped+min(s.highestDropped, 1))
		for j := range s.events {
			if q.matches(&s.events[j]) {
				p.Events = append(p.Events, s.events[j])
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(p.Events, byStamp)
	limit := q.Limit
	if limit <= 0 || limit > MaxPageEvents {
		limit = MaxPageEvents
	}
	if over := len(p.Events) - limit; over > 0 {
		p.LeftOut = over
		if q.Since > 0 {
			p.Events = p.Events[:limit]
		} else {
			p.Events = p.Events[over:]
		}
	}
	return p
}

// Len returns the number of events in the ring.
func (r *Ring) Len() int {
	n := 0
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		n += len(s.events)
		s.mu.Unlock()
	}
	return n
}

func (q *Query) matches(ev *Event) bool {
	if ev.Stamp <= q.Since {
		return false
	}
	if q.Submission != "" && ev.Submission != q.Submission {
		return false
	}
	return len(q.Kinds) == 0 || slices.Contains(q.Kinds, ev.Kind)
}

func byStamp(a, b Event) int {
	switch {
	case a.Stamp < b.Stamp:
		return -1
	case a.Stamp > b.Stamp:
		return 1
	case a.Entry < b.Entry:
		return -1
	case a.Entry > b.Entry:
		return 1
	}
	return 0
}
