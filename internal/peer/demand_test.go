package peer

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const (
	testSilence      = 600 * time.Millisecond
	testDemandPeriod = 300 * time.Millisecond
)

// sparsePair is two entries that keep no link open permanently.
func sparsePair(t *testing.T, handler Handler) *pair {
	p := &pair{links: make(chan bool, 64)}
	options := func(name job.EntryID) Options {
		return Options{
			Self: owner(name, 1), Silence: testSilence,
			Expects: func(job.EntryID) (time.Time, time.Duration) { return time.Time{}, 0 },
		}
	}
	b := options("b")
	p.b = New(b)
	p.proxy = newProxy(t, serve(t, p.b))
	a := options("a")
	a.Peers = []Peer{{Entry: "b", Zone: "z", Address: p.proxy.listener.Addr().String()}}
	a.OnLink = func(_ job.EntryID, up bool) { p.links <- up }
	p.a = New(a)
	p.b.Add(Peer{Entry: "a", Zone: "z", Address: serve(t, p.a)})
	for _, l := range []*Links{p.a, p.b} {
		l.demandPeriod = testDemandPeriod
		l.Handle(testKind, handler)
		l.SetPersistent([]job.EntryID{})
		run(t, l)
	}
	return p
}

func call(l *Links, to job.EntryID) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var got string
	return l.Call(ctx, to, testKind, "x", &got)
}

// Guards against entries that can't reach each other without a persistent link, whichever
// of them has the smaller name, and against links that stay open forever.
func TestLinksAreOpenedOnDemand(t *testing.T) {
	for _, caller := range []string{"a", "b"} {
		t.Run(caller, func(t *testing.T) {
			p := sparsePair(t, echo)
			qt.Assert(t, p.a.Up("b"), qt.IsFalse)
			if caller == "a" {
				qt.Assert(t, call(p.a, "b"), qt.IsNil)
			} else {
				qt.Assert(t, call(p.b, "a"), qt.IsNil)
			}
			p.await(true)
			p.await(false)
			qt.Assert(t, p.a.Up("b"), qt.IsFalse)
		})
	}
}

// Guards against calls that wait for an entry whose process has ended: after the first
// failure, calls fail without waiting.
func TestDemandOfAnEndedEntryFailsSoon(t *testing.T) {
	a := New(Options{Self: owner("a", 1), Peers: []Peer{{Entry: "b", Zone: "z", Address: "127.0.0.1:1"}}})
	a.SetPersistent([]job.EntryID{})
	run(t, a)
	qt.Assert(t, call(a, "b"), qt.ErrorIs, ErrNotSent)
	begun := time.Now()
	qt.Assert(t, call(a, "b"), qt.ErrorIs, ErrNotSent)
	qt.Assert(t, time.Since(begun) < linkOpenTimeout, qt.IsTrue)
	qt.Assert(t, a.Refused("b"), qt.IsTrue)
}

// Guards against a long call whose link counts as unresponsive although the peer is still
// handling the call.
func TestWorkingPeerIsNotSilent(t *testing.T) {
	p := sparsePair(t, func(_ context.Context, _ job.Owner, body cbor.RawMessage) (any, error) {
		time.Sleep(3 * testSilence)
		return body, nil
	})
	qt.Assert(t, call(p.a, "b"), qt.IsNil)
}

// Guards against a call that waits until its own timeout because its connection stopped
// delivering data without a reset.
func TestSilentLinkEndsTheCallsThatWait(t *testing.T) {
	p := sparsePair(t, echo)
	qt.Assert(t, call(p.a, "b"), qt.IsNil)
	p.proxy.stall()
	begun := time.Now()
	qt.Assert(t, call(p.a, "b"), qt.ErrorIs, ErrNoAnswer)
	qt.Assert(t, time.Since(begun) < testSilence+3*probePeriod, qt.IsTrue, qt.Commentf("%s", time.Since(begun)))
}

// Guards against links that stay closed when a large fleet, whose links are opened on
// demand, becomes small again.
func TestAllLinksReopenWhenFleetShrinks(t *testing.T) {
	p := sparsePair(t, echo)
	p.a.SetPersistent(nil)
	p.b.SetPersistent(nil)
	p.await(true)
	time.Sleep(2 * testDemandPeriod)
	qt.Assert(t, p.a.Up("b"), qt.IsTrue)
}
