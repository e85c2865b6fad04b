package membership

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer/peertest"
	"github.com/vanillagrade/vanillagrade/internal/policy/watch"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// newAmongOthers returns the membership of an entry with the given number of other entries in
// three zones.
func newAmongOthers(others int, busy ...job.EntryID) *Membership {
	var peers []Peer
	for i := range others {
		peers = append(peers, Peer{Entry: job.EntryID(fmt.Sprintf("e-%03d", i)), Zone: job.Zone(fmt.Sprint("z", i%3)), Incarnation: 1})
	}
	return New(Options{
		Mesh:  (&peertest.Network{}).Join(job.Owner{Entry: "self", Incarnation: 1, Zone: "z0"}),
		Peers: peers, Across: InZone, Busy: func() []job.EntryID { return busy },
	})
}

// heartbeatsDue updates the watched entries and returns the heartbeats that are due.
func heartbeatsDue(m *Membership, now time.Time) []dueHeartbeat {
	m.refreshWatched(now)
	b := m.composeHeartbeat()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.collectDue(now, &b, false)
}

// Guards against a heartbeat rate that grows with the fleet. Also guards against sending
// heartbeats to an entry that shares work less often than its right to act requires.
func TestHeartbeatsOfALargeFleetAreBounded(t *testing.T) {
	const seconds, limit = 30, 30 // heartbeats a second, two busy entries included
	for _, others := range []int{watch.WatchAllMax + 1, 151, 300, 999} {
		now := time.Now()
		m := newAmongOthers(others, "e-007", "e-013")
		last := map[job.EntryID]time.Time{}
		longest := map[job.EntryID]time.Duration{}
		sent := 0
		for end := now.Add(seconds * time.Second); now.Before(end); now = now.Add(InZone.Period) {
			for _, d := range heartbeatsDue(m, now) {
				if before, ok := last[d.to]; ok {
					longest[d.to] = max(longest[d.to], now.Sub(before))
				}
				last[d.to] = now
				sent++
			}
		}
		qt.Check(t, sent <= seconds*limit, qt.IsTrue, qt.Commentf("%d others: %d heartbeats", others, sent))
		for _, id := range append(m.watchSet.Ring, "e-007", "e-013") {
			qt.Check(t, longest[id], qt.Equals, InZone.Period, qt.Commentf("%s", id))
		}
	}
}

// Guards against a fleet of today's size that detects deaths later because a few entries were
// added.
func TestSmallFleetsKeepTheFullPace(t *testing.T) {
	now := time.Now()
	m := newAmongOthers(watch.WatchAllMax)
	for range 8 {
		qt.Assert(t, heartbeatsDue(m, now), qt.HasLen, watch.WatchAllMax)
		now = now.Add(InZone.Period)
	}
	for _, p := range m.detector.peers {
		qt.Assert(t, p.timingsOf(), qt.Equals, InZone)
	}
}

// Guards against a lost voter that a large fleet detects too late to replace it in time.
func TestDiskEntriesOfALargeFleetWatchEachOtherClosely(t *testing.T) {
	const seconds = 10
	now := time.Now()
	m := newAmongOthers(300)
	disks := []job.EntryID{"e-010", "e-011", "e-012", "e-013"}
	for _, e := range append(disks, "self") {
		m.Add(Peer{Entry: e, Reserve: true})
	}
	sent := map[job.EntryID]int{}
	for end := now.Add(seconds * time.Second); now.Before(end); now = now.Add(InZone.Period) {
		for _, d := range heartbeatsDue(m, now) {
			sent[d.to]++
		}
		for _, e := range append(disks, "e-020") {
			m.detector.ApplyHeartbeat(now, job.Owner{Entry: e, Incarnation: 1}, Alive, 0)
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

// Guards against work that is stopped because its owner, which hands it over but sends no
// heartbeats here, counts as unresponsive.
func TestHandedOverWorkIsASignOfLife(t *testing.T) {
	m := newAmongOthers(300)
	owner := job.Owner{Entry: "e-001", Incarnation: 5, Zone: "z1"}
	m.opts.Log, m.opts.Events = discard()
	m.Touch(owner)
	qt.Assert(t, m.Silent(owner.Entry, owner.Incarnation) < time.Second, qt.IsTrue)
	m.detector.peer(owner.Entry).lastHeard = time.Now().Add(-time.Hour)
	m.Touch(owner)
	qt.Assert(t, m.Silent(owner.Entry, owner.Incarnation) < time.Second, qt.IsTrue)

	m.detector.ApplyHeartbeat(time.Now(), owner, Draining, 1)
	m.Touch(owner)
	qt.Assert(t, m.detector.peer(owner.Entry).State, qt.Equals, Draining)
	m.detector.ApplyHeartbeat(time.Now(), owner, Left, 2)
	m.Touch(owner)
	qt.Assert(t, m.detector.peer(owner.Entry).State, qt.Equals, Left)
}

func discard() (*slog.Logger, timeline.Sink) {
	return slog.New(slog.DiscardHandler), timeline.Discard{}
}
