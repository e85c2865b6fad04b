package entry

import (
	"context"
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/handover"
	"github.com/vanillagrade/vanillagrade/internal/holder"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/malformed"
	"github.com/vanillagrade/vanillagrade/internal/membership"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/peer/peertest"
	"github.com/vanillagrade/vanillagrade/internal/runs"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// newTestTargets returns the targets of a single entry, with t1 and t2 held. listeners
// maps addresses to the targets that listen there.
func newTestTargets(t *testing.T, listeners map[string]job.TargetID) *targets {
	mesh := (&peertest.Network{}).Join(job.Owner{Entry: "a", Incarnation: 1, Zone: "z"})
	file := config.Fixed{File: &config.File{Number: 7, Pools: []string{"p", "q"}}}
	h := holder.New(holder.Options{Config: file, Connect: func(job.Target) holder.Connection { return busyConn{} }})
	t.Cleanup(h.Close)
	ts := &targets{
		self: mesh.Self(), mesh: mesh, exclusive: true, events: timeline.Discard{}, log: slog.New(slog.DiscardHandler),
		config: file, registry: target.NewRegistry("z", file), holder: h, malformed: malformed.New(slog.New(slog.DiscardHandler)),
		members:       membership.New(membership.Options{Mesh: mesh, Peers: []membership.Peer{{Entry: "a", Zone: "z"}}}),
		announcements: map[job.TargetID]announcement{}, transfers: map[job.TargetID]job.EntryID{},
		isListening: func(at job.Target) bool { return listeners[at.Address] == at.ID },
	}
	ts.forward = handover.NewTargets(mesh, func(at *job.Target) job.EntryID { return "a" }, localTargets{ts})
	for _, valid := range []job.Target{testTarget("t1", "p", "10.0.0.1:80"), testTarget("t2", "p", "10.0.0.2:80")} {
		_, _, err := ts.announce(t.Context(), valid)
		qt.Assert(t, err, qt.IsNil)
	}
	return ts
}

func testTarget(id job.TargetID, pool, address string) job.Target {
	return job.Target{ID: id, Pool: pool, Address: address, Zone: "z", Slots: 8, MilliProcessors: 32000, MemoryMB: 64}
}

// Malformed announcements arrive: an unknown pool, numbers below zero or beyond any
// machine, an invalid name or address, or the name or address of another target.
// Accepting one would remove a working target, fill a target beyond its size, or
// replace a target by one that does not exist. None may add, change or remove a target,
// whether it announces readiness or a planned stop, and each is counted.
func TestWrongAnnouncementsChangeNothing(t *testing.T) {
	cases := []struct {
		name  string
		spoil func(*job.Target)
	}{
		{"no name", func(a *job.Target) { a.ID = "" }},
		{"a name of many bytes", func(a *job.Target) { a.ID = job.TargetID(strings.Repeat("x", 1000)) }},
		{"an unreadable name", func(a *job.Target) { a.ID = "t\xff1" }},
		{"no pool", func(a *job.Target) { a.Pool = "" }},
		{"an unknown pool", func(a *job.Target) { a.Pool = "other" }},
		{"an unknown pool under a new name", func(a *job.Target) { a.ID, a.Address, a.Pool = "t9", "10.0.0.9:80", "other" }},
		{"another pool", func(a *job.Target) { a.Pool = "q" }},
		{"no address", func(a *job.Target) { a.Address = "" }},
		{"a host name", func(a *job.Target) { a.Address = "worker:80" }},
		{"no zone", func(a *job.Target) { a.Zone = "" }},
		{"another address", func(a *job.Target) { a.Address = "10.0.0.9:80" }},
		{"another target's address", func(a *job.Target) { a.Address = "10.0.0.2:80" }},
		{"slots below zero", func(a *job.Target) { a.Slots = -1 }},
		{"processors below zero", func(a *job.Target) { a.MilliProcessors = -32000 }},
		{"processors beyond any machine", func(a *job.Target) { a.MilliProcessors = 1 << 40 }},
		{"memory below zero", func(a *job.Target) { a.MemoryMB = -1 }},
		{"accelerators beyond any machine", func(a *job.Target) { a.Accelerators = 1 << 30 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ts := newTestTargets(t, map[string]job.TargetID{"10.0.0.1:80": "t1", "10.0.0.2:80": "t2"})
			before := ts.registry.Held()
			wrong := testTarget("t1", "p", "10.0.0.1:80")
			c.spoil(&wrong)
			_, _, err := ts.announce(t.Context(), wrong)
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, errors.Is(err, errors.NotValid) || errors.Is(err, errors.AlreadyExists), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, ts.malformed.Total(malformed.Announcement), qt.Equals, uint64(1))
			if err := ts.AnnounceStop(t.Context(), &wrong); err == nil {
				// A target that is not held here may stop: there is nothing to remove.
				qt.Check(t, wrong.ID == "t1", qt.IsFalse)
			}
			qt.Check(t, ts.registry.Held(), qt.DeepEquals, before)
			qt.Check(t, ts.holder.Load("p").Targets, qt.Equals, 2)
			qt.Check(t, ts.holder.Load("q").Targets, qt.Equals, 0)
			for _, valid := range before {
				_, _, err := ts.announce(t.Context(), valid)
				qt.Check(t, err, qt.IsNil)
			}
		})
	}
}

// A partition delays a heartbeat of a target that crashes in the meantime. The heartbeat
// arrives when the next incarnation has long been held at that address. If it counted as
// newer, it would displace the working incarnation, whose own announcements would then be
// refused for a minute.
func TestOvertakenAnnouncementDoesNotDisplaceALaterIncarnation(t *testing.T) {
	listening := map[string]job.TargetID{"10.0.0.1:80": "t1", "10.0.0.2:80": "t2"}
	ts := newTestTargets(t, listening)
	_, _, err := ts.announce(t.Context(), testTarget("former", "p", "10.0.0.1:80"))
	qt.Assert(t, err, qt.ErrorMatches, ".*10.0.0.1:80 does not answer as target former, and target t1 already exists.*")
	_, _, err = ts.announce(t.Context(), testTarget("t1", "p", "10.0.0.1:80"))
	qt.Assert(t, err, qt.IsNil)
	// The next incarnation answers there, and is held at once.
	listening["10.0.0.1:80"] = "later"
	_, _, err = ts.announce(t.Context(), testTarget("later", "p", "10.0.0.1:80"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ts.registry.Holds("t1"), qt.IsFalse)
	_, _, err = ts.announce(t.Context(), testTarget("t1", "p", "10.0.0.1:80"))
	qt.Assert(t, errors.Is(err, target.ErrWithdrawn), qt.IsTrue)
}

// A pool is dropped from the configuration while its targets run tasks and then stop.
// Their leases are renewed and their planned stops are acknowledged; new targets are refused.
func TestTargetsOfADroppedPool(t *testing.T) {
	ts := newTestTargets(t, nil)
	ts.config = config.Fixed{File: &config.File{Number: 8, Pools: []string{"q"}}}
	_, _, err := ts.announce(t.Context(), testTarget("t1", "p", "10.0.0.1:80"))
	qt.Assert(t, err, qt.IsNil)
	_, _, err = ts.announce(t.Context(), testTarget("t3", "p", "10.0.0.3:80"))
	qt.Assert(t, err, qt.ErrorMatches, `.*service "p": not in configuration 8: target not valid.*`)
	leaving := testTarget("t1", "p", "10.0.0.1:80")
	qt.Assert(t, ts.AnnounceStop(t.Context(), &leaving), qt.IsNil)
	qt.Assert(t, ts.registry.Holds("t1"), qt.IsFalse)
	// Before the first configuration the set of pools is unknown.
	ts.config = config.Fixed{}
	_, _, err = ts.announce(t.Context(), testTarget("t3", "p", "10.0.0.3:80"))
	qt.Assert(t, err, qt.IsNil)
}

// A target announces its planned stop. The entry that is notified holds another target, with
// the same name but another address or pool. The held target must stay.
func TestLeavingIsForOneTargetOnly(t *testing.T) {
	ts := newTestTargets(t, nil)
	withdraw := func(what any) error {
		body, err := cbor.Marshal(what)
		qt.Assert(t, err, qt.IsNil)
		_, err = ts.handleWithdraw(t.Context(), job.Owner{}, body)
		return err
	}
	qt.Assert(t, withdraw(testTarget("t1", "p", "10.0.0.9:80")), qt.IsNotNil)
	qt.Assert(t, withdraw(testTarget("t1", "q", "10.0.0.1:80")), qt.IsNotNil)
	qt.Assert(t, ts.registry.Holds("t1"), qt.IsTrue)
	// A target that is not held yet may still announce itself from its real address.
	qt.Assert(t, withdraw(testTarget("t5", "p", "10.0.0.9:80")), qt.IsNil)
	_, _, err := ts.announce(t.Context(), testTarget("t5", "p", "10.0.0.5:80"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, withdraw(testTarget("t1", "p", "10.0.0.1:80")), qt.IsNil)
	qt.Assert(t, ts.registry.Holds("t1"), qt.IsFalse)
	qt.Assert(t, withdraw(job.TargetID("t2")), qt.IsNil)
	qt.Assert(t, ts.registry.Holds("t2"), qt.IsFalse)
	qt.Assert(t, withdraw(7), qt.IsNotNil)
}

// Tens of thousands of unknown target names are withdrawn. The memory must not grow with
// them, and held targets stay.
func TestWithdrawalOfUnknownNames(t *testing.T) {
	ts := newTestTargets(t, nil)
	qt.Assert(t, errors.Is(ts.Withdraw(t.Context(), ""), errors.NotValid), qt.IsTrue)
	qt.Assert(t, errors.Is(ts.Withdraw(t.Context(), "a\nb"), errors.NotValid), qt.IsTrue)
	qt.Assert(t, ts.malformed.Total(malformed.Announcement), qt.Equals, uint64(2))
	for i := range 40_000 {
		ts.removeEnded(job.TargetID("x" + strconv.Itoa(i)))
	}
	qt.Assert(t, ts.registry.Held(), qt.HasLen, 2)
	qt.Assert(t, ts.registry.EndedCount() <= 20_000, qt.IsTrue)
	ts.removeEnded("t1")
	_, _, err := ts.announce(t.Context(), testTarget("t1", "p", "10.0.0.1:80"))
	qt.Assert(t, errors.Is(err, target.ErrWithdrawn), qt.IsTrue)
}

// fakeTargetClient answers status queries in place of a target.
type fakeTargetClient struct {
	reply runs.PollReply
	err   error
}

func (a fakeTargetClient) Start(context.Context, runs.StartRequest) (runs.Reply, error) {
	return runs.Reply{}, nil
}

func (a fakeTargetClient) Stop(context.Context, runs.StopRequest) (runs.Reply, error) {
	return runs.Reply{}, nil
}

func (a fakeTargetClient) Renew(_ context.Context, o runs.PollRequest) (runs.PollReply, error) {
	if o != (runs.PollRequest{}) {
		return runs.PollReply{}, errors.New("the query must change nothing at the target")
	}
	return a.reply, a.err
}

func (a fakeTargetClient) Close() {}

// A target counts as listening only if it answers without ambiguity.
func TestListenCheckNeedsAClearAnswer(t *testing.T) {
	for _, c := range []struct {
		answer fakeTargetClient
		want   bool
	}{
		{fakeTargetClient{reply: runs.PollReply{Reply: runs.Reply{Refusal: runs.Accepted, Clock: 1}}}, true},
		{fakeTargetClient{reply: runs.PollReply{Reply: runs.Reply{Refusal: runs.Fenced, Clock: 1}}}, true},
		{fakeTargetClient{reply: runs.PollReply{Reply: runs.Reply{Refusal: runs.Accepted}}}, false},
		{fakeTargetClient{reply: runs.PollReply{Reply: runs.Reply{Refusal: runs.Fenced}}}, false},
		{fakeTargetClient{reply: runs.PollReply{Reply: runs.Reply{Refusal: runs.WrongIncarnation}}}, false},
		{fakeTargetClient{reply: runs.PollReply{Reply: runs.Reply{Refusal: runs.Unavailable}}}, false},
		{fakeTargetClient{err: peer.ErrNoAnswer}, false},
	} {
		listens := newListenCheck(func(job.Target) runs.TargetClient { return c.answer })
		qt.Check(t, listens(testTarget("t1", "p", "10.0.0.1:80")), qt.Equals, c.want, qt.Commentf("%+v", c.answer))
	}
	qt.Assert(t, probeTimeout < time.Second, qt.IsTrue)
}
