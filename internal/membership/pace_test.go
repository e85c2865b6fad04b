package membership

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// largeFleet returns the membership of one entry among so many others of three zones.
func largeFleet(now time.Time, others int, busy ...job.EntryID) *Membership {
	m := &Membership{sent: map[job.EntryID]time.Time{}, told: map[job.EntryID]time.Time{}}
	var peers []Peer
	for i := range others {
		peers = append(peers, Peer{Entry: job.EntryID(fmt.Sprintf("e-%03d", i)), Zone: job.Zone(fmt.Sprint("z", i%3))})
	}
	m.detector = NewDetector(now, job.Owner{Entry: "self", Incarnation: 1, Zone: "z0"}, peers)
	m.detector.across = InZone
	for _, p := range m.detector.peers {
		p.timings = InZone
	}
	m.opts.Busy = func() []job.EntryID { return busy }
	m.opts.Refused = func(job.EntryID) bool { return false }
	m.view.Store(m.detector.Members(m.opts.Refused))
	return m
}

// Three hundred entries start together. If each sent a heartbeat to all others four
// times a second, none would have any processor left: callers are refused, and links
// that stand still for want of processor count as broken and are dialled again. Each
// entry must still hear each other one often enough not to suspect it, and those with
// which it shares work as often as in a small fleet, since that work ends with silence.
func TestHeartbeatsOfALargeFleetAreBounded(t *testing.T) {
	const others, seconds, most = 300, 30, 270 // heartbeats a second
	now := time.Unix(1_000, 0)
	m := largeFleet(now, others, "e-007", "e-123")
	last := map[job.EntryID]time.Time{}
	longest := map[job.EntryID]time.Duration{}
	sent := 0
	for end := now.Add(seconds * time.Second); now.Before(end); now = now.Add(InZone.Period) {
		for _, d := range m.due(now, false) {
			if before, ok := last[d.to]; ok {
				longest[d.to] = max(longest[d.to], now.Sub(before))
			}
			last[d.to] = now
			sent++
		}
	}
	qt.Assert(t, sent <= seconds*most, qt.IsTrue, qt.Commentf("%d heartbeats", sent))
	for _, p := range m.detector.peers {
		qt.Assert(t, longest[p.Entry] > 0 && longest[p.Entry] <= m.detector.stretched(InZone.SuspectAfter)/2, qt.IsTrue, qt.Commentf("%s: %s", p.Entry, longest[p.Entry]))
	}
	qt.Assert(t, longest["e-007"], qt.Equals, InZone.Period)
	qt.Assert(t, longest["e-123"], qt.Equals, InZone.Period)
}

// A fleet of today's size grows by a few entries. Nothing may change for it: its
// deaths are noticed, and its work taken up elsewhere, as fast as before.
func TestSmallFleetsKeepTheFullPace(t *testing.T) {
	now := time.Unix(1_000, 0)
	m := largeFleet(now, 60)
	for range 8 {
		qt.Assert(t, m.due(now, false), qt.HasLen, 60)
		now = now.Add(InZone.Period)
	}
	qt.Assert(t, m.detector.stretched(time.Second), qt.Equals, time.Second)
}

// Guards against a lost voter that a large fleet notices later than its place must be filled.
func TestDisksOfALargeFleetWatchEachOtherClosely(t *testing.T) {
	const seconds = 10
	now := time.Unix(1_000, 0)
	m := largeFleet(now, 300)
	disks := []job.EntryID{"e-010", "e-011", "e-012", "e-013"}
	for _, e := range append(disks, "self") {
		m.detector.Add(now, Peer{Entry: e, Reserve: true})
	}
	sent := map[job.EntryID]int{}
	hear := func(e job.EntryID) {
		m.detector.Hear(now, job.Owner{Entry: e, Incarnation: 1}, Alive, nil)
	}
	for end := now.Add(seconds * time.Second); now.Before(end); now = now.Add(InZone.Period) {
		for _, d := range m.due(now, false) {
			sent[d.to]++
		}
		for _, e := range append(disks, "e-020") {
			hear(e)
		}
	}
	for _, e := range disks {
		qt.Check(t, sent[e], qt.Equals, int(seconds*time.Second/InZone.Period), qt.Commentf("%s", e))
	}
	qt.Check(t, sent["e-020"] < sent["e-010"]/2, qt.IsTrue)
	now = now.Add(InZone.DeadAfter + InZone.Period)
	m.detector.Tick(now, m.opts.Refused)
	qt.Check(t, m.detector.peer("e-010").State, qt.Equals, Dead)
	qt.Check(t, m.detector.peer("e-020").State, qt.Equals, Alive)
}

// In a large fleet an owner hands work to a holder that last heard its heartbeat a
// second ago, or that has not heard this life at all. The holder must not take it for
// silent and stop the work at once: the caller would get no answer.
func TestHandedOverWorkIsASignOfLife(t *testing.T) {
	m := largeFleet(time.Now(), 300)
	owner := job.Owner{Entry: "e-001", Incarnation: 5, Zone: "z1"}
	m.opts.Log, m.opts.Events = discard()
	m.Touch(owner)
	qt.Assert(t, m.Silent(owner.Entry, owner.Incarnation) < time.Second, qt.IsTrue)
	m.detector.peer(owner.Entry).heard = time.Now().Add(-time.Hour)
	m.Touch(owner)
	qt.Assert(t, m.Silent(owner.Entry, owner.Incarnation) < time.Second, qt.IsTrue)

	m.detector.Hear(time.Now(), owner, Draining, nil)
	m.Touch(owner)
	qt.Assert(t, m.detector.peer(owner.Entry).State, qt.Equals, Draining)
	m.detector.Hear(time.Now(), owner, Left, nil)
	m.Touch(owner)
	qt.Assert(t, m.detector.peer(owner.Entry).State, qt.Equals, Left)
}

func discard() (*slog.Logger, timeline.Sink) {
	return slog.New(slog.DiscardHandler), timeline.Discard{}
}
