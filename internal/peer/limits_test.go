package peer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// A large fleet (300 entries) starts, or restarts after a power loss, and no peer has dialled
// this entry yet. Unbounded probing would use up the processors of the whole fleet, and no
// entry would serve callers in the meantime.
func TestProbesOfALargeFleetAreBounded(t *testing.T) {
	const peers, runTime, maxProbed = 200, 1500 * time.Millisecond, 100
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var probes atomic.Int64
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			probes.Add(1)
			conn.Close()
		}
	}()
	defer ln.Close()
	var others []Peer
	for i := range peers {
		others = append(others, Peer{Entry: job.EntryID(fmt.Sprintf("a-%03d", i)), Zone: "z", Address: ln.Addr().String()})
	}
	l := New(Options{Self: job.Owner{Entry: "b", Incarnation: 1, Zone: "z"}, Peers: others})
	ctx, cancel := context.WithTimeout(t.Context(), runTime)
	defer cancel()
	qt.Assert(t, l.Run(ctx), qt.IsNil)
	qt.Assert(t, probes.Load() <= maxProbed, qt.IsTrue, qt.Commentf("%d connections", probes.Load()))
	qt.Assert(t, probes.Load() >= maxProbed/10, qt.IsTrue, qt.Commentf("%d connections", probes.Load()))
}

// A large fleet (300 entries) starts, and the peers that this entry dials accept its
// connections but have no processor time to answer yet. The entry must not open hundreds
// of links at the same time, because each one that times out is dialled again.
func TestLinksBeingOpenedAreBounded(t *testing.T) {
	const peers, maxOpened = 200, 40
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer ln.Close()
	var open atomic.Int64
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			open.Add(1)
			defer conn.Close()
		}
	}()
	var others []Peer
	for i := range peers {
		others = append(others, Peer{Entry: job.EntryID(fmt.Sprintf("b-%03d", i)), Zone: "z", Address: ln.Addr().String()})
	}
	l := New(Options{Self: job.Owner{Entry: "a", Incarnation: 1, Zone: "z"}, Peers: others})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	time.Sleep(dialTimeout / 2)
	opened := open.Load()
	stop()
	qt.Assert(t, <-ended, qt.IsNil)
	qt.Assert(t, opened <= maxOpened, qt.IsTrue, qt.Commentf("%d links", opened))
	qt.Assert(t, opened >= maxOpened/2, qt.IsTrue, qt.Commentf("%d links", opened))
}
