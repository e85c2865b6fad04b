package discovery

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/peer/peertest"
)

func record(name job.EntryID, incarnation job.Incarnation, address string) Record {
	return Record{Owner: job.Owner{Entry: name, Incarnation: incarnation, Zone: "z"}, Address: address}
}

// A VM is replaced at another address, and records of its earlier incarnation arrive after
// those of the later one. The later incarnation must remain, and records of others must not
// bring back an entry that was forgotten.
func TestDirectoryKeepsTheLatestIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewDirectory(record("a", 1, "10.0.0.1:1"))
	qt.Assert(t, b.Learn(now, record("b", 5, "10.0.0.2:1"), record("a", 9, "10.0.0.9:1")), qt.HasLen, 1)
	qt.Assert(t, b.Learn(now, record("b", 5, "10.0.0.2:1")), qt.HasLen, 0)
	qt.Assert(t, b.Learn(now, record("b", 6, "10.0.0.3:1")), qt.HasLen, 1)
	qt.Assert(t, b.Learn(now, record("b", 5, "10.0.0.2:1")), qt.HasLen, 0)
	r, ok := b.ByAddress("10.0.0.3:1")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, r.Owner.Incarnation, qt.Equals, job.Incarnation(6))
	b.Forget(now, "b")
	qt.Assert(t, b.Learn(now, record("b", 6, "10.0.0.3:1")), qt.HasLen, 0)
	qt.Assert(t, b.Learn(now, record("b", 7, "10.0.0.3:1")), qt.HasLen, 1)
	qt.Assert(t, b.All(), qt.HasLen, 2)
}

// Guards against an entry that knows no capacity of another one for as long as that one runs: an
// entry of the previous release has forwarded its record first, without the capacity.
func TestCapacityIsLearnedLater(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewDirectory(record("a", 1, "10.0.0.1:1"))
	stated := record("b", 5, "10.0.0.2:1")
	stated.Capacity = 40
	qt.Check(t, b.Learn(now, record("b", 5, "10.0.0.2:1")), qt.HasLen, 1)
	qt.Check(t, b.Learn(now, stated), qt.HasLen, 1)
	qt.Check(t, b.Learn(now, stated, record("b", 5, "10.0.0.2:1")), qt.HasLen, 0)
	r, _ := b.Get("b")
	qt.Assert(t, r.Capacity, qt.Equals, 40)
}

// Guards against entries that refuse each other for minutes after a partition so long that
// they forgot each other.
func TestForgottenEntryIsAddedAgainOnceHeard(t *testing.T) {
	var mesh peertest.Network
	var seeds []string
	entries := map[job.EntryID]*entry{}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, name := range []job.EntryID{"a", "b", "c"} {
		e := newEntry(&mesh, name, func() []string { return seeds }, "s")
		e.server.Start()
		defer e.server.Close()
		entries[name] = e
		wg.Go(func() { e.sendPending(ctx) })
	}
	defer wg.Wait()
	defer cancel()
	a, b, c := entries["a"], entries["b"], entries["c"]
	seeds = []string{a.server.Listener.Addr().String()}
	b.join(ctx, seeds[0])
	c.join(ctx, seeds[0])
	for _, forgets := range [][2]job.EntryID{{"a", "b"}, {"c", "b"}, {"b", "a"}, {"b", "c"}} {
		entries[forgets[0]].opts.Directory.Forget(time.Now(), forgets[1])
	}
	b.join(ctx, seeds[0])
	deadline := time.Now().Add(5 * time.Second)
	for _, e := range entries {
		for len(e.opts.Directory.All()) < len(entries) && time.Now().Before(deadline) {
			time.Sleep(10 * time.Millisecond)
		}
		qt.Check(t, e.opts.Directory.All(), qt.HasLen, len(entries), qt.Commentf("%s", e.opts.Directory.self.Owner.Entry))
	}
}

// entry is a joiner behind a real listener.
type entry struct {
	*Joiner
	server *httptest.Server
}

// newEntry returns an entry whose server isn't started.
func newEntry(mesh *peertest.Network, name job.EntryID, seeds func() []string, secret string) *entry {
	e := &entry{server: httptest.NewUnstartedServer(nil)}
	self := record(name, 1, e.server.Listener.Addr().String())
	e.Joiner = New(Options{
		Directory: NewDirectory(self), Mesh: mesh.Join(self.Owner), Seeds: seeds, Secret: []byte(secret), OnNews: func([]Record) {},
	})
	mux := http.NewServeMux()
	mux.Handle("POST "+peer.JoinPath, e.Joiner)
	e.server.Config.Handler = mux
	return e
}

// Entries start in any order with three seeds, of which one never listens and one starts
// late. Each must find all others.
func TestEntriesFindEachOther(t *testing.T) {
	var mesh peertest.Network
	var seeds []string
	entries := []*entry{}
	for _, name := range []job.EntryID{"a", "b", "c", "d", "e"} {
		entries = append(entries, newEntry(&mesh, name, func() []string { return seeds }, "s"))
	}
	seeds = []string{"127.0.0.1:1", entries[1].server.Listener.Addr().String(), entries[3].server.Listener.Addr().String()}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i, e := range entries {
		wg.Go(func() {
			time.Sleep(time.Duration(5-i) * 30 * time.Millisecond)
			e.server.Start()
			_ = e.Run(ctx)
		})
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, e := range entries {
		for len(e.opts.Directory.All()) < len(entries) && time.Now().Before(deadline) {
			time.Sleep(10 * time.Millisecond)
		}
		qt.Check(t, e.opts.Directory.All(), qt.HasLen, len(entries))
	}
	cancel()
	wg.Wait()
	for _, e := range entries {
		e.server.Close()
	}
}

// The whole fleet restarts after a power loss. One seed doesn't answer at all yet, another
// refuses connections and starts to listen 150 ms later. The entry must find the second one
// as soon as it listens: until then it refuses what callers send.
func TestUnresponsiveSeedDelaysNoOther(t *testing.T) {
	var mesh peertest.Network
	unresponsive := newEntry(&mesh, "silent", nil, "s") // listens but accepts no connections
	defer unresponsive.server.Listener.Close()
	late := newEntry(&mesh, "late", nil, "s")
	address := late.server.Listener.Addr().String()
	qt.Assert(t, late.server.Listener.Close(), qt.IsNil)
	a := newEntry(&mesh, "a", func() []string { return []string{unresponsive.server.Listener.Addr().String(), address} }, "s")
	a.server.Start()
	defer a.server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	time.Sleep(150 * time.Millisecond)
	l, err := net.Listen("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	late.server.Listener = l
	late.server.Start()
	defer late.server.Close()
	listening := time.Now()
	for !a.Joined() && time.Since(listening) < joinTimeout {
		time.Sleep(5 * time.Millisecond)
	}
	// Waiting for the unresponsive seed would take at least 400 ms: the rest of its 500 ms, and
	// half of the interval between joins.
	qt.Assert(t, time.Since(listening) < joinTimeout-initialJoinInterval-10*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(listening)))
	cancel()
	qt.Assert(t, <-ended, qt.IsNil)
}

// A sender without the secret requests the records and sends its own. It must receive none,
// and its own record must not be added.
func TestJoinNeedsTheSecret(t *testing.T) {
	var mesh peertest.Network
	a := newEntry(&mesh, "a", func() []string { return nil }, "right")
	b := newEntry(&mesh, "b", func() []string { return nil }, "wrong")
	a.server.Start()
	defer a.server.Close()
	b.join(t.Context(), a.server.Listener.Addr().String())
	qt.Assert(t, a.opts.Directory.All(), qt.HasLen, 1)
	qt.Assert(t, b.opts.Directory.All(), qt.HasLen, 1)
}

// A VM restarts after its time of day jumped back by seconds. The seeds know its last
// incarnation, and one that doesn't answer must not delay the start for long.
func TestLastIncarnationIsLearnedBeforeTheStart(t *testing.T) {
	var mesh peertest.Network
	a := newEntry(&mesh, "a", func() []string { return nil }, "s")
	a.server.Start()
	defer a.server.Close()
	a.Learn(record("b", 77, "10.0.0.2:1"))
	address := a.server.Listener.Addr().String()
	begun := time.Now()
	qt.Assert(t, LastIncarnation(t.Context(), []string{"127.0.0.1:1", address}, []byte("s"), "b"), qt.Equals, job.Incarnation(77))
	qt.Assert(t, LastIncarnation(t.Context(), []string{address}, []byte("s"), "c"), qt.Equals, job.Incarnation(0))
	qt.Assert(t, time.Since(begun) < 2*lastIncarnationTimeout, qt.IsTrue)
}

// Three hundred entries start at once, and each is new to all others. If every entry sent
// records to every other one, each would read every record three hundred times and have no
// processor time left for the links that it needs. Each must still learn of all others.
func TestUpdatesInALargeFleetGoToSome(t *testing.T) {
	const entries, limit = 300, 70 // limit of messages per entry
	synctest.Test(t, func(t *testing.T) {
		mesh := &peertest.Network{Delay: time.Millisecond}
		ctx, cancel := context.WithCancel(t.Context())
		var joiners []*Joiner
		var wg sync.WaitGroup
		for i := range entries {
			name := job.EntryID(fmt.Sprintf("e-%03d", i))
			self := record(name, 1, fmt.Sprintf("10.0.0.%d:1", i))
			j := New(Options{
				Directory: NewDirectory(self), Mesh: mesh.Join(self.Owner), OnNews: func([]Record) {},
				Seeds: func() []string { return nil },
			})
			joiners = append(joiners, j)
			wg.Go(func() { j.sendPending(ctx) })
		}
		// All entries know each other, and the first one learns of a new one.
		var all []Record
		for _, j := range joiners {
			all = append(all, j.opts.Directory.self)
		}
		for _, j := range joiners {
			j.opts.Directory.Learn(time.Now(), all...)
		}
		before := mesh.Sent(peer.MemberNews)
		joiners[0].Learn(record("late", 1, "10.0.9.9:1"))
		time.Sleep(time.Second)
		synctest.Wait()
		for _, j := range joiners {
			_, known := j.opts.Directory.Get("late")
			qt.Assert(t, known, qt.IsTrue, qt.Commentf("%s", j.opts.Directory.self.Owner.Entry))
		}
		sent := mesh.Sent(peer.MemberNews) - before
		qt.Assert(t, sent <= entries*limit, qt.IsTrue, qt.Commentf("%d messages", sent))
		cancel()
		wg.Wait()
		for _, j := range joiners {
			mesh.Crash(j.opts.Directory.self.Owner.Entry)
		}
	})
}
