package membership

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/peer/peertest"
)

// fleet is a network of entries in two zones: a, b and c in z, d in y.
type fleet struct {
	t       *testing.T
	net     *peertest.Network
	members map[job.EntryID]*Membership
	stop    map[job.EntryID]context.CancelFunc
}

var zones = map[job.EntryID]job.Zone{"a": "z", "b": "z", "c": "z", "d": "y"}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		t: t, net: &peertest.Network{Delay: time.Millisecond}, members: map[job.EntryID]*Membership{},
		stop: map[job.EntryID]context.CancelFunc{},
	}
	for _, id := range []job.EntryID{"a", "b", "c", "d"} {
		f.start(id, 1)
	}
	f.pass(2 * time.Second)
	return f
}

func (f *fleet) start(id job.EntryID, incarnation job.Incarnation) {
	var peers []Peer
	for other, zone := range zones {
		peers = append(peers, Peer{Entry: other, Zone: zone})
	}
	m := New(Options{
		Mesh: f.net.Join(job.Owner{Entry: id, Incarnation: incarnation, Zone: zones[id]}), Peers: peers,
		Loads: func() []job.HolderLoad { return []job.HolderLoad{{Pool: "p", Slots: 8}} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.members[id], f.stop[id] = m, cancel
	go func() { _ = m.Run(ctx) }()
}

func (f *fleet) kill(id job.EntryID) {
	f.stop[id]()
	f.net.Crash(id)
}

func (f *fleet) end() {
	for id := range f.members {
		f.stop[id]()
		f.net.Crash(id)
	}
	f.pass(time.Second)
}

func (f *fleet) pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (f *fleet) state(by, of job.EntryID) string {
	v := f.members[by].View()
	m, _ := v.Get(of)
	return m.State.String()
}

func (f *fleet) views(of job.EntryID, by ...job.EntryID) string {
	s := ""
	for _, b := range by {
		s += f.state(b, of) + " "
	}
	return s
}

func run(t *testing.T, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		test(f)
		f.end()
	})
}

// Guards against a VM that dies without notice: the others must suspect its entry first,
// declare it dead within seconds so that its targets are served again, and recognise its next
// incarnation as a different one.
func TestDeathAndReturn(t *testing.T) {
	run(t, func(f *fleet) {
		qt.Assert(t, f.views("b", "a", "c", "d"), qt.Equals, "alive alive alive ")
		f.kill("b")
		f.pass(1300 * time.Millisecond)
		qt.Assert(t, f.views("b", "a", "c"), qt.Equals, "suspect suspect ")
		qt.Assert(t, f.members["a"].Gone("b", 1), qt.IsFalse)
		f.pass(2700 * time.Millisecond)
		qt.Assert(t, f.views("b", "a", "c"), qt.Equals, "dead dead ")
		f.pass(3 * time.Second)
		qt.Assert(t, f.state("d", "b"), qt.Equals, "dead")
		f.start("b", 2)
		f.pass(1300 * time.Millisecond)
		qt.Assert(t, f.views("b", "a", "c", "d"), qt.Equals, "alive alive alive ")
		qt.Assert(t, f.members["a"].Gone("b", 1), qt.IsTrue)
		qt.Assert(t, f.members["a"].Gone("b", 2), qt.IsFalse)
	})
}

// The link between two entries breaks while both reach the third. If one declared the other
// dead, its targets would get a second holder and twice their slots would be filled, so both
// must stay in every entry's view.
func TestBrokenLinkDeclaresNoneDead(t *testing.T) {
	run(t, func(f *fleet) {
		before := map[job.TargetID]job.EntryID{}
		for i := range 50 {
			id := job.TargetID(fmt.Sprint("t", i))
			before[id] = f.members["c"].Holder(id)
		}
		f.net.SetPartitioned("a", "b", true)
		f.pass(20 * time.Second)
		qt.Assert(t, f.state("a", "b"), qt.Equals, "suspect")
		qt.Assert(t, f.views("b", "c", "d"), qt.Equals, "alive alive ")
		for id, holder := range before {
			qt.Assert(t, f.members["a"].Holder(id), qt.Equals, holder)
		}
		f.net.SetPartitioned("a", "b", false)
		f.pass(time.Second)
		qt.Assert(t, f.state("a", "b"), qt.Equals, "alive")
	})
}

// One entry is partitioned from all others for long, such as a VM with a broken switch port.
// It must detect that it is likely the partitioned one, and continue in the same incarnation
// when the partition heals.
func TestPartitionedEntryIsIsolatedAndRejoins(t *testing.T) {
	run(t, func(f *fleet) {
		for _, other := range []job.EntryID{"b", "c", "d"} {
			f.net.SetPartitioned("a", other, true)
		}
		f.pass(time.Minute)
		qt.Assert(t, f.members["a"].View().Isolated, qt.IsTrue)
		qt.Assert(t, f.members["b"].View().Isolated, qt.IsFalse)
		qt.Assert(t, f.views("a", "b", "c", "d"), qt.Equals, "dead dead dead ")
		for _, other := range []job.EntryID{"b", "c", "d"} {
			f.net.SetPartitioned("a", other, false)
		}
		f.pass(1300 * time.Millisecond)
		qt.Assert(t, f.members["a"].View().Isolated, qt.IsFalse)
		qt.Assert(t, f.views("a", "b", "c", "d"), qt.Equals, "alive alive alive ")
		qt.Assert(t, f.members["b"].Gone("a", 1), qt.IsFalse)
	})
}

// The only entry of a zone is partitioned from all others for long. No other entry can serve
// its callers and targets; if it considered itself isolated, all of them would be refused
// until the link is back.
func TestOnlyEntryOfZoneIsNotIsolated(t *testing.T) {
	run(t, func(f *fleet) {
		for _, other := range []job.EntryID{"a", "b", "c"} {
			f.net.SetPartitioned("d", other, true)
		}
		f.pass(time.Minute)
		qt.Assert(t, f.views("d", "a", "b", "c"), qt.Equals, "dead dead dead ")
		qt.Assert(t, f.members["d"].View().Isolated, qt.IsFalse)
	})
}

// An entry is stopped as planned. From the first moment on it must get no targets, but it must
// not count as dead while it finishes its work. After it has left, no entry waits for it.
func TestDrainThenLeave(t *testing.T) {
	run(t, func(f *fleet) {
		var views []State
		f.members["b"].OnChange(func(m Members) { views = append(views, m.Self.State) })
		f.members["b"].Drain()
		f.pass(10 * time.Millisecond)
		for i := range 50 {
			qt.Assert(t, f.members["a"].Holder(job.TargetID(fmt.Sprint(i))), qt.Not(qt.Equals), job.EntryID("b"))
		}
		qt.Assert(t, len(f.members["a"].Loads()), qt.Equals, 3)
		f.pass(10 * time.Second)
		qt.Assert(t, f.state("a", "b"), qt.Equals, "draining")
		qt.Assert(t, views, qt.Contains, Draining)
		qt.Assert(t, f.members["a"].Gone("b", 1), qt.IsFalse)
		f.members["b"].Leave(context.Background())
		f.pass(10 * time.Millisecond)
		qt.Assert(t, f.state("a", "b"), qt.Equals, "left")
		qt.Assert(t, f.members["a"].Gone("b", 1), qt.IsTrue)
	})
}

// Heartbeats of a process that has been replaced arrive late. They must not revive its
// incarnation, and a few lost heartbeats must not change its state.
func TestLateAndLostHeartbeats(t *testing.T) {
	now := time.Unix(1000, 0)
	nobody := func(job.EntryID) bool { return false }
	d := NewDetector(now, job.Owner{Entry: "a", Incarnation: 1, Zone: "z"}, []Peer{{Entry: "b", Zone: "z"}, {Entry: "c", Zone: "z"}})
	owner := func(n job.Incarnation) job.Owner { return job.Owner{Entry: "b", Incarnation: n, Zone: "z"} }
	other := job.Owner{Entry: "c", Zone: "z", Incarnation: 1}
	d.ApplyHeartbeat(now, owner(5), Alive, 0)
	qt.Assert(t, d.ApplyHeartbeat(now, owner(4), Alive, 0).Changes, qt.HasLen, 0)
	qt.Assert(t, d.Vouch(now, "c", owner(4)), qt.HasLen, 0)
	qt.Assert(t, d.ApplyHeartbeat(now, other, Alive, 0).Changes, qt.HasLen, 1)
	for range 40 { // three of four heartbeats are lost
		now = now.Add(InZone.SuspectAfter)
		qt.Assert(t, d.ApplyHeartbeat(now, owner(5), Alive, 0).Changes, qt.HasLen, 0)
		d.ApplyHeartbeat(now, other, Alive, 0)
		qt.Assert(t, d.Tick(now, nobody), qt.HasLen, 0)
	}
	now = now.Add(refusedAfter + 1)
	refusedB := func(id job.EntryID) bool { return id == "b" }
	// A proxy on the path may refuse connections although the entry runs: the answer of an
	// entry that hears it takes precedence.
	qt.Assert(t, d.QuerySubjects(now, refusedB), qt.HasLen, 1)
	qt.Assert(t, d.Tick(now, refusedB), qt.HasLen, 0)
	d.Vouch(now, "c", owner(5))
	d.RecordQuery(now, "b")
	qt.Assert(t, d.Tick(now, refusedB), qt.HasLen, 0)
	now = now.Add(vouchValidity + 1)
	d.ApplyHeartbeat(now, other, Alive, 0)
	d.RecordQuery(now, "b")
	changes := slices.DeleteFunc(d.Tick(now, refusedB), func(c Change) bool { return c.After.State == Suspect })
	qt.Assert(t, changes, qt.HasLen, 1)
	qt.Assert(t, changes[0].After.State, qt.Equals, Dead)
	d.ApplyHeartbeat(now, owner(5), Left, 0)
	d.ApplyHeartbeat(now, owner(5), Alive, 0)
	m, _ := d.Members(nobody).Get("b")
	qt.Assert(t, m.State, qt.Equals, Left)
}

// When one entry of a zone is gone, only its targets may move: moving others would close
// connections and leave slots idle all over the zone.
func TestDeadEntryMovesOnlyItsTargets(t *testing.T) {
	members := &Members{}
	for _, id := range []job.EntryID{"a", "b", "c", "d", "e"} {
		members.List = append(members.List, Member{Entry: id, Zone: "z", State: Alive})
	}
	held := map[job.EntryID]int{}
	after := &Members{List: append([]Member{}, members.List...)}
	after.List[1].State = Dead
	for i := range 1000 {
		id := job.TargetID(fmt.Sprint("target-", i))
		holder := members.Holder("z", id)
		held[holder]++
		if holder != "b" {
			qt.Assert(t, after.Holder("z", id), qt.Equals, holder)
		}
	}
	for _, n := range held {
		qt.Assert(t, n > 140 && n < 260, qt.IsTrue, qt.Commentf("%v", held))
	}
	qt.Assert(t, members.Holder("other zone", "t"), qt.Equals, job.EntryID(""))
}

// Control traffic is bounded by the users' limit of 6 KB a second for each daemon. Seven
// entries in one zone is the most expensive layout of today's fleets.
func TestHeartbeatsStayInBudget(t *testing.T) {
	const budget = 6000
	entries, beats := 7, 4
	m := New(Options{
		Mesh:   (&peertest.Network{}).Join(job.Owner{Entry: "entry-tomebamba-1", Incarnation: 1 << 60, Zone: "tomebamba"}),
		Config: fixedConfig{},
		Loads: func() []job.HolderLoad {
			l := job.HolderLoad{Pool: "frames", Targets: 50, Slots: 400, Free: 123}
			for i := range l.Wait {
				l.Queued[i], l.Wait[i] = 1000, 123456789
			}
			return []job.HolderLoad{l}
		},
	})
	size := encodedSize(t, m.composeHeartbeat())
	sent := size * beats * (entries - 1)
	t.Logf("heartbeats of %d bytes, %d bytes a second sent", size, sent)
	qt.Assert(t, sent < budget, qt.IsTrue, qt.Commentf("%d bytes a second", sent))
}

type fixedConfig struct{}

func (fixedConfig) Summary() (uint64, string)           { return 2900, "0123456789abcdef0123456789abcdef" }
func (fixedConfig) Observe(job.EntryID, uint64, string) {}

var _ peer.Mesh = (*peertest.Node)(nil)

func encodedSize(t *testing.T, v any) int {
	data, err := cbor.Marshal(v)
	qt.Assert(t, err, qt.IsNil)
	return len(data)
}
