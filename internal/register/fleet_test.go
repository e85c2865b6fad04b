package register

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/peer/peertest"
	"github.com/vanillagrade/vanillagrade/internal/storage"
	"github.com/vanillagrade/vanillagrade/internal/storage/storagetest"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// fleet is a set of entries on an in-memory network.
type fleet struct {
	t       testing.TB
	net     *peertest.Network
	voters  []job.EntryID
	entries []job.EntryID
	// mu guards nodes.
	mu          sync.Mutex
	nodes       map[job.EntryID]*member
	incarnation job.Incarnation
	// repair, when set, enables the repair of the voter set.
	repair *RepairOptions
	// events, when set, receives the events of all entries.
	events timeline.Sink
	// wrap, when set, wraps the mesh of each entry that starts.
	wrap func(peer.Mesh) peer.Mesh
}

type member struct {
	*Register
	fs   *storagetest.FS
	stop context.CancelFunc
	done chan struct{}
}

func newNetwork() *peertest.Network { return &peertest.Network{Delay: time.Millisecond} }

// newFleet starts voters v1.. with disks and learners l1.. without disks.
func newFleet(t testing.TB, voters, learners int) *fleet {
	return newFleetOn(t, newNetwork(), voters, learners)
}

func newFleetOn(t testing.TB, net *peertest.Network, voters, learners int) *fleet {
	f := &fleet{t: t, net: net, nodes: map[job.EntryID]*member{}}
	for i := range voters {
		f.voters = append(f.voters, job.EntryID(fmt.Sprintf("v%d", i+1)))
	}
	f.entries = append(f.entries, f.voters...)
	for i := range learners {
		f.entries = append(f.entries, job.EntryID(fmt.Sprintf("l%d", i+1)))
	}
	for i, e := range f.entries {
		var fs *storagetest.FS
		if i < voters {
			fs = &storagetest.FS{}
		}
		f.start(e, fs)
	}
	return f
}

// start starts an entry with the disk fs, or without a disk where fs is nil.
func (f *fleet) start(e job.EntryID, fs *storagetest.FS) *member {
	f.incarnation++
	var mesh peer.Mesh = f.net.Join(job.Owner{Entry: e, Incarnation: f.incarnation})
	if f.wrap != nil {
		mesh = f.wrap(mesh)
	}
	// Nothing may depend on the time of day, so each clock reading of an entry is
	// off by up to a day in either direction.
	incarnation := uint64(f.incarnation)
	clock := func() time.Time {
		now := time.Now()
		jump := rand.New(rand.NewPCG(incarnation, uint64(now.UnixNano()))).Int64N(int64(48 * time.Hour))
		return now.Add(time.Duration(jump) - 24*time.Hour)
	}
	opts := Options{Mesh: mesh, Voters: f.voters, Entries: f.entries, Clock: clock, Repair: f.repair, Events: f.events}
	if fs != nil {
		store, err := storage.Open("data", fs)
		qt.Assert(f.t, err, qt.IsNil)
		opts.Store = store
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{Register: New(opts), fs: fs, stop: cancel, done: make(chan struct{})}
	f.mu.Lock()
	f.nodes[e] = m
	f.mu.Unlock()
	go func() {
		defer close(m.done)
		_ = m.Run(ctx)
	}()
	return m
}

// crash stops an entry and returns its disk with the content that survives the crash.
func (f *fleet) crash(e job.EntryID, keep storagetest.Keep) *storagetest.FS {
	m := f.nodes[e]
	if m.fs != nil {
		m.fs.CrashAt(1)
	}
	f.net.Crash(e)
	m.stop()
	<-m.done
	f.mu.Lock()
	delete(f.nodes, e)
	f.mu.Unlock()
	if m.fs == nil {
		return nil
	}
	return m.fs.Restart(keep)
}

func (f *fleet) stopAll() {
	for e, m := range f.nodes {
		f.net.Crash(e)
		m.stop()
		<-m.done
	}
	// Pulls and calls in progress end by their own timeouts.
	time.Sleep(time.Minute)
	synctest.Wait()
}

// cut partitions the entries of side from all others, or reconnects them.
func (f *fleet) cut(down bool, side ...job.EntryID) {
	in := map[job.EntryID]bool{}
	for _, e := range side {
		in[e] = true
	}
	for _, a := range f.entries {
		for _, b := range f.entries {
			if in[a] && !in[b] {
				f.net.SetPartitioned(a, b, down)
			}
		}
	}
}

func (f *fleet) apply(e job.EntryID, id string, body string) (Accepted, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return f.nodes[e].Apply(ctx, id, []byte(body))
}

func (f *fleet) mustApply(e job.EntryID, number int) {
	f.t.Helper()
	_, err := f.apply(e, fmt.Sprintf("change-%d", number), fileOf(number, "a"))
	qt.Assert(f.t, err, qt.IsNil)
}

// assertInEffect waits for the given time and then asserts that the number is in effect
// on each of the entries.
func (f *fleet) assertInEffect(number uint64, within time.Duration, entries ...job.EntryID) {
	f.t.Helper()
	time.Sleep(within)
	synctest.Wait()
	for _, e := range entries {
		got, _ := f.nodes[e].Summary()
		qt.Assert(f.t, got, qt.Equals, number, qt.Commentf("on %s: %s", e, f.nodes[e].State().Serving))
	}
}

func fileOf(number int, service string) string {
	return fmt.Sprintf("number: %d\nservices: [{name: %s}]\n", number, service)
}
