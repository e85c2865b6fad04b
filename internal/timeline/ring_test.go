package timeline

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

type wallClock struct {
	mu sync.Mutex
	at time.Time
}

func newWall() *wallClock { return &wallClock{at: time.UnixMilli(1_800_000_000_000)} }

func (w *wallClock) now() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.at
}

func (w *wallClock) step(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.at = w.at.Add(d)
}

// Time synchronisation sets a VM's wall clock back. Later events must not come before
// their causes in the time line.
func TestClockIsMonotonic(t *testing.T) {
	wall := newWall()
	clock := NewClock(wall.now)
	before := clock.Now()
	wall.step(-time.Hour)
	after := clock.Now()
	qt.Assert(t, after > before, qt.IsTrue)
}

// A VM boots with its clock an hour ahead. If the others followed its clock, every
// event of the fleet would be stamped an hour late. If they ignored all peers, the
// receipt of a message could come before its sending.
func TestClockFollowsPeersWithinBound(t *testing.T) {
	wall := newWall()
	clock := NewClock(wall.now)
	near := uint64(StampAt(wall.now().Add(MaxDrift - time.Millisecond)))
	clock.Observe(near)
	qt.Assert(t, clock.Now() > near, qt.IsTrue)
	far := uint64(StampAt(wall.now().Add(time.Hour)))
	clock.Observe(far)
	qt.Assert(t, clock.Now() < far, qt.IsTrue)
	qt.Assert(t, clock.Rejected(), qt.Equals, uint64(1))
}

func TestClockIsUniqueUnderConcurrency(t *testing.T) {
	clock := NewClock(newWall().now)
	const writers, each = 8, 2000
	got := make([][]uint64, writers)
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() {
			for range each {
				got[i] = append(got[i], clock.Now())
			}
		})
	}
	wg.Wait()
	all := slices.Concat(got...)
	slices.Sort(all)
	qt.Assert(t, slices.Compact(all), qt.HasLen, writers*each)
}

// A burst records more events than the ring can hold. The time line must then show
// that it is incomplete, and from which stamp on it is complete.
func TestRingIsBoundedAndReportsDroppedEvents(t *testing.T) {
	wall := newWall()
	ring := NewRing("a1", NewClock(wall.now), 256)
	const recorded = 1000
	for i := range recorded {
		wall.step(time.Millisecond)
		ring.Record(Event{Kind: TaskStarted, Submission: "s", Task: i})
	}
	page := ring.Read(Query{})
	qt.Assert(t, page.Dropped, qt.Equals, uint64(recorded-ring.Len()))
	qt.Assert(t, ring.Len() <= 256, qt.IsTrue)
	var whole []Event
	for _, ev := range page.Events {
		if ev.Stamp >= page.OldestStamp {
			whole = append(whole, ev)
		}
	}
	qt.Assert(t, len(whole) > 100, qt.IsTrue)
	for i, ev := range whole {
		qt.Assert(t, ev.Task, qt.Equals, recorded-len(whole)+i)
	}
}

func TestRingRead(t *testing.T) {
	wall := newWall()
	ring := NewRing("a1", NewClock(wall.now), 0)
	for i := range 10 {
		wall.step(time.Millisecond)
		ring.Record(Event{Kind: TaskStarted, Submission: "even", Task: i})
		ring.Record(Event{Kind: TaskEnded, Submission: "odd", Task: i})
	}
	all := ring.Read(Query{}).Events
	qt.Assert(t, all, qt.HasLen, 20)
	qt.Assert(t, all[0].Entry, qt.Equals, job.EntryID("a1"))
	qt.Assert(t, ring.Read(Query{Submission: "odd"}).Events, qt.HasLen, 10)
	qt.Assert(t, ring.Read(Query{Kinds: []Kind{TaskStarted}}).Events, qt.HasLen, 10)
	first := ring.Read(Query{Since: all[3].Stamp, Limit: 2})
	qt.Assert(t, first.Events, qt.DeepEquals, all[4:6])
	qt.Assert(t, first.LeftOut, qt.Equals, 14)
	qt.Assert(t, ring.Read(Query{Limit: 3}).Events, qt.DeepEquals, all[17:])
}

// A target answers with invalid UTF-8, or with a very long text. The event must
// neither increase the ring's memory nor prevent the encoding of a page.
func TestRingBoundsCause(t *testing.T) {
	ring := NewRing("a1", NewClock(nil), 0)
	ring.Record(Event{Kind: TaskEnded, Cause: strings.Repeat("é", 4000)})
	ring.Record(Event{Kind: TaskEnded, Cause: "a\xffb"})
	events := ring.Read(Query{}).Events
	qt.Assert(t, len(events[0].Cause) <= MaxCauseBytes, qt.IsTrue)
	qt.Assert(t, events[1].Cause, qt.Equals, "a?b")
}

// BenchmarkRecord measures the cost of an event recorded from all cores at once, with
// and without the ring.
func BenchmarkRecord(b *testing.B) {
	sinks := map[string]Sink{"off": Discard{}, "on": NewRing("a1", NewClock(nil), 0)}
	for _, name := range []string{"off", "on"} {
		sink := sinks[name]
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					sink.Record(Event{Kind: TaskStarted, Submission: "01J", Task: 7, Target: "w1", Cause: "least expected finish"})
				}
			})
		})
	}
}

// BenchmarkRead measures the cost of reading one submission from a full ring.
func BenchmarkRead(b *testing.B) {
	ring := NewRing("a1", NewClock(nil), 0)
	for range 2 * DefaultRingEvents {
		ring.Record(Event{Kind: TaskStarted, Submission: "other"})
	}
	for b.Loop() {
		ring.Read(Query{Submission: "mine"})
	}
}
