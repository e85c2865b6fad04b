package membership

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/peer/peertest"
	"github.com/vanillagrade/vanillagrade/internal/policy/watch"
)

const largeZones = 5

// largeFleet is a fleet in which each entry knows all others by discovery. Every third entry
// of a zone holds targets.
type largeFleet struct {
	*fleet
	owners []job.Owner
	peers  []Peer
}

func newLargeFleet(t *testing.T, entries int) *largeFleet {
	f := &largeFleet{fleet: &fleet{
		t: t, net: &peertest.Network{Delay: time.Millisecond}, members: map[job.EntryID]*Membership{},
		stop: map[job.EntryID]context.CancelFunc{},
	}}
	for i := range entries {
		o := job.Owner{
			Entry: job.EntryID(fmt.Sprintf("e-%d-%03d", i%largeZones, i/largeZones)),
			Zone:  job.Zone(fmt.Sprint("z", i%largeZones)), Incarnation: 1,
		}
		f.owners = append(f.owners, o)
		f.peers = append(f.peers, Peer{Entry: o.Entry, Zone: o.Zone, Incarnation: 1})
	}
	for i, o := range f.owners {
		f.startLarge(o, i/largeZones%3 == 0)
	}
	f.pass(3 * time.Second)
	return f
}

func (f *largeFleet) startLarge(o job.Owner, holds bool) {
	m := New(Options{
		Mesh: f.net.Join(o), Peers: f.peers, Across: InZone,
		Loads: func() []job.HolderLoad {
			if !holds {
				return nil
			}
			return []job.HolderLoad{{Pool: "p", Targets: 20, Slots: 40, Free: 40}}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.members[o.Entry], f.stop[o.Entry] = m, cancel
	go func() { _ = m.Run(ctx) }()
}

// differing lists the entries that don't see the entry of in the given state, without those
// in except.
func (f *largeFleet) differing(of job.EntryID, state string, except ...job.EntryID) []string {
	skip := map[job.EntryID]bool{of: true}
	for _, id := range except {
		skip[id] = true
	}
	var out []string
	for _, o := range f.owners {
		if got := f.state(o.Entry, of); !skip[o.Entry] && got != state {
			out = append(out, fmt.Sprintf("%s sees %s", o.Entry, got))
		}
	}
	return out
}

func (f *largeFleet) partition(inside func(job.Owner) bool, down bool) {
	for _, a := range f.owners {
		for _, b := range f.owners {
			if inside(a) != inside(b) {
				f.net.SetBlocked(a.Entry, b.Entry, down)
			}
		}
	}
}

// The sizes of the simulated fleets. A run with 1,000 entries takes ten seconds.
const (
	justLarge = watch.WatchAllMax + 6
	typical   = 152
	thousand  = 1000
)

var allSizes = flag.Bool("membership.all", false, "run all tests of large fleets with 1,000 entries too")

// inLargeFleets runs a test in fleets of several sizes, up to maxEntries unless all sizes are
// requested.
func inLargeFleets(t *testing.T, maxEntries int, test func(t *testing.T, f *largeFleet)) {
	for _, entries := range []int{justLarge, typical, thousand} {
		if entries > maxEntries && !*allSizes || entries == thousand && raceDetector {
			continue
		}
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLargeFleet(t, entries)
				test(t, f)
				f.end()
			})
		})
	}
}

// Guards against entries that learn late or never of the death of an entry that they don't
// watch, and against sparse watching that declares other entries dead.
func TestDeathIsKnownEverywhere(t *testing.T) {
	inLargeFleets(t, thousand, func(t *testing.T, f *largeFleet) {
		dead := f.owners[7].Entry
		f.kill(dead)
		f.pass(3500 * time.Millisecond)
		qt.Assert(t, f.differing(dead, "dead"), qt.HasLen, 0)
		for _, o := range f.owners {
			if o.Entry != dead {
				qt.Assert(t, f.differing(o.Entry, "alive", dead), qt.HasLen, 0)
			}
		}
		f.startLarge(job.Owner{Entry: dead, Zone: f.owners[7].Zone, Incarnation: 2}, false)
		f.pass(2 * time.Second)
		qt.Assert(t, f.differing(dead, "alive"), qt.HasLen, 0)
		qt.Assert(t, f.members[f.owners[0].Entry].Gone(dead, 1), qt.IsTrue)
		qt.Assert(t, f.members[f.owners[0].Entry].Gone(dead, 2), qt.IsFalse)
	})
}

// Guards against two holders of one target: a broken link between two neighbours must not get
// either declared dead.
func TestBrokenLinkBetweenNeighboursDeclaresNoneDead(t *testing.T) {
	inLargeFleets(t, typical, func(t *testing.T, f *largeFleet) {
		a := f.owners[3]
		b := watch.Ring(a.Entry, a.Zone, f.members[a.Entry].detector.watchMembers())[0]
		f.net.SetPartitioned(a.Entry, b, true)
		for range 10 {
			f.pass(2 * time.Second)
			qt.Assert(t, f.differing(a.Entry, "alive", b), qt.HasLen, 0)
			qt.Assert(t, f.differing(b, "alive", a.Entry), qt.HasLen, 0)
			qt.Assert(t, f.state(a.Entry, b), qt.Not(qt.Equals), "dead")
		}
	})
}

// Guards against zones that don't find each other again after a partition, and against a
// partition after which entries on the same side declare each other dead.
func TestPartitionedZoneRejoins(t *testing.T) {
	inLargeFleets(t, typical, func(t *testing.T, f *largeFleet) {
		inside := func(o job.Owner) bool { return o.Zone == "z2" }
		f.partition(inside, true)
		f.pass(10 * time.Second)
		for _, a := range f.owners {
			for _, b := range f.owners {
				if inside(a) == inside(b) && a != b {
					qt.Assert(t, f.state(a.Entry, b.Entry), qt.Equals, "alive", qt.Commentf("%s sees %s", a.Entry, b.Entry))
				}
			}
			qt.Assert(t, f.members[a.Entry].View().Isolated, qt.IsFalse)
		}
		f.partition(inside, false)
		f.pass(5 * time.Second)
		for _, o := range f.owners {
			qt.Assert(t, f.differing(o.Entry, "alive"), qt.HasLen, 0)
		}
	})
}

// Guards against a partitioned entry that returns and reports the other entries dead.
func TestPartitionedEntryRejoins(t *testing.T) {
	inLargeFleets(t, typical, func(t *testing.T, f *largeFleet) {
		partitioned := f.owners[11].Entry
		inside := func(o job.Owner) bool { return o.Entry == partitioned }
		f.partition(inside, true)
		f.pass(8 * time.Second)
		qt.Assert(t, f.members[partitioned].View().Isolated, qt.IsTrue)
		qt.Assert(t, f.differing(partitioned, "dead"), qt.HasLen, 0)
		f.partition(inside, false)
		for range 16 {
			f.pass(250 * time.Millisecond)
			for _, o := range f.owners {
				if o.Entry != partitioned {
					qt.Assert(t, f.differing(o.Entry, "alive", partitioned), qt.HasLen, 0)
				}
			}
		}
		qt.Assert(t, f.differing(partitioned, "alive"), qt.HasLen, 0)
		qt.Assert(t, f.members[partitioned].View().Isolated, qt.IsFalse)
	})
}

// Guards against entries that learn late of the planned stop of an entry that they don't
// watch: they would continue to give it work.
func TestPlannedStopIsKnownEverywhere(t *testing.T) {
	inLargeFleets(t, typical, func(t *testing.T, f *largeFleet) {
		stopping := f.owners[9].Entry
		f.members[stopping].Drain()
		f.pass(500 * time.Millisecond)
		qt.Assert(t, f.differing(stopping, "draining"), qt.HasLen, 0)
		f.members[stopping].Leave(context.Background())
		f.pass(500 * time.Millisecond)
		qt.Assert(t, f.differing(stopping, "left"), qt.HasLen, 0)
		f.kill(stopping)
		f.pass(10 * time.Second)
		qt.Assert(t, f.differing(stopping, "left"), qt.HasLen, 0)
	})
}

// Guards against message rates at rest that grow with the fleet.
func TestMessagesAtRestDoNotGrowWithTheFleet(t *testing.T) {
	const seconds, limit = 10, 30
	inLargeFleets(t, thousand, func(t *testing.T, f *largeFleet) {
		kinds := []peer.Kind{peer.Heartbeat, peer.MemberUpdates, peer.MemberAsk}
		sent := 0
		for _, k := range kinds {
			sent -= f.net.Sent(k)
		}
		f.pass(seconds * time.Second)
		for _, k := range kinds {
			sent += f.net.Sent(k)
		}
		each := float64(sent) / seconds / float64(len(f.owners))
		t.Logf("%d entries: %.1f messages a second sent by each", len(f.owners), each)
		qt.Assert(t, each <= limit, qt.IsTrue)
	})
}
