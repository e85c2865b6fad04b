package timeline

import (
	"slices"
	"strings"
	"sync"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const (
	// ringShards spreads the writers of one process over several locks. Each
	// holds its lock for one copy of an event, so 16 keep 12 cores from
	// waiting on each other.
	ringShards = 16
	// DefaultRingEvents bounds a ring. An event takes about 150 bytes and its
	// strings, so the ring stays under 16 MB of the 64 MB that control may take.
	DefaultRingEvents = 64 << 10
	// MaxCauseBytes bounds the free text of an event, so that the ring's memory
	// is bounded by its count.
	MaxCauseBytes = 240
	// MaxPageEvents bounds one answer of a ring: a whole ring in one message
	// would hold up the link that also carries tasks.
	MaxPageEvents = 20000
)

// Query selects events of a ring.
type Query struct {
	// Submission, when set, takes only the events of that submission.
	Submission job.ID `json:"submission,omitempty" cbor:"1,keyasint,omitempty"`
	// Since takes only events with a higher stamp.
	Since Stamp `json:"since,omitempty" cbor:"2,keyasint,omitempty"`
	// Kinds, when set, takes only events of these kinds.
	Kinds []Kind `json:"kinds,omitempty" cbor:"3,keyasint,omitempty"`
	// Limit bounds the events of one entry; zero takes MaxPageEvents.
	Limit int `json:"limit,omitempty" cbor:"4,keyasint,omitempty"`
}

// Page is what one ring answers to a query, in the order of the stamps.
type Page struct {
	Entry  job.EntryID `json:"entry" cbor:"1,keyasint"`
	Events []Event     `json:"events" cbor:"2,keyasint,omitempty"`
	// Dropped counts the events that fell out of the ring since its start.
	Dropped uint64 `json:"dropped" cbor:"3,keyasint,omitempty"`
	// OldestStamp is the stamp from which on the ring lacks nothing.
	OldestStamp Stamp `json:"oldest_stamp" cbor:"4,keyasint,omitempty"`
	// Now is the entry's clock before it read its ring.
	Now Stamp `json:"now" cbor:"5,keyasint"`
	// LeftOut counts matching events beyond the limit.
	LeftOut int `json:"left_out,omitempty" cbor:"6,keyasint,omitempty"`
}

// Ring keeps the latest events of one process. Its cost does not grow with
// what it holds: one clock reading, one lock and one copy an event. It is safe
// for concurrent use.
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
	// highest is the highest stamp that was dropped: the shard lacks nothing
	// above it.
	highest Stamp
	_       [40]byte
}

var _ Sink = (*Ring)(nil)

// NewRing returns a ring of about the given number of events; zero takes
// DefaultRingEvents, and a negative number keeps nothing.
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

// Record stamps the event and keeps it in place of the shard's oldest one.
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
	s.highest = max(s.highest, s.events[s.next].Stamp)
	s.events[s.next] = ev
	s.next++
	if s.next == len(s.events) {
		s.next = 0
	}
}

// boundCause cuts a long text and mends one that is not UTF-8, such as a
// target's own words: CBOR would refuse to carry it, and one bad event would
// hide the whole ring.
func boundCause(s string) string {
	if len(s) > MaxCauseBytes {
		s = strings.Clone(s[:MaxCauseBytes])
	}
	return strings.ToValidUTF8(s, "?")
}

// shardOf spreads consecutive stamps evenly. Spreading by submission would let
// one job of 1,900 tasks push everything else out of its shard.
func shardOf(s Stamp) int {
	const golden = 0x9E3779B97F4A7C15
	return int((uint64(s) * golden) >> 60)
}

// Read returns the matching events. With Since set it takes the first ones
// after it, so that a reader can go on from there; otherwise the latest.
func (r *Ring) Read(q Query) Page {
	p := Page{Entry: r.entry, Now: Stamp(r.clock.Now())}
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		p.Dropped += s.dropped
		p.OldestStamp = max(p.OldestStamp, s.highest+min(s.highest, 1))
		for j := range s.events {
			if q.takes(&s.events[j]) {
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

// Len returns how many events the ring holds.
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

func (q *Query) takes(ev *Event) bool {
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
