package fleet

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// balancer models the platform's load balancer: it checks the readiness of each
// entry and sends callers only to ready ones. Without it, a caller may connect to
// a listener just as the listener closes, which no server can prevent.
type balancer struct {
	addresses []string
	ready     []atomic.Bool
}

const checkInterval = 20 * time.Millisecond

func (f *Fleet) balancer(stop <-chan struct{}) *balancer {
	b := &balancer{addresses: f.CallerAddresses("")}
	b.ready = make([]atomic.Bool, len(b.addresses))
	for i := range b.addresses {
		b.check(i)
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(checkInterval):
					b.check(i)
				}
			}
		}()
	}
	return b
}

func (b *balancer) check(i int) {
	response, err := http.Get("http://" + b.addresses[i] + "/readyz")
	if err == nil {
		response.Body.Close()
	}
	b.ready[i].Store(err == nil && response.StatusCode == http.StatusOK)
}

// pick returns the address of a ready entry, in round-robin order.
func (b *balancer) pick(turn int) string {
	for {
		for i := range b.addresses {
			if k := (turn + i) % len(b.addresses); b.ready[k].Load() {
				return b.addresses[k]
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// spread sends jobs from several callers to all ready entries until stop is
// closed, and records every reply and error by job id.
type spread struct {
	mu      sync.Mutex
	replies map[string]*reply
	errs    map[string]error
	wg      sync.WaitGroup
	stop    chan struct{}
}

func (f *Fleet) spread(callers, tasks, sleepMS int) *spread {
	s := &spread{replies: map[string]*reply{}, errs: map[string]error{}, stop: make(chan struct{})}
	b := f.balancer(s.stop)
	for c := range callers {
		s.wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for i := 0; ; i++ {
				select {
				case <-s.stop:
					return
				default:
				}
				id := fmt.Sprintf("c%d-%d", c, i)
				r, err := send(client, b.pick(c+i), jobBody(id, "alerts", tasks, sleepMS))
				s.mu.Lock()
				s.replies[id], s.errs[id] = r, err
				s.mu.Unlock()
			}
		})
	}
	return s
}

func (s *spread) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.replies)
}

// waitForReplies waits for n more replies.
func (s *spread) waitForReplies(n int) {
	for base := s.count(); s.count() < base+n; {
		time.Sleep(time.Millisecond)
	}
}

// finish stops the callers and waits for their last replies.
func (s *spread) finish() {
	close(s.stop)
	s.wg.Wait()
}

// An operator restarts all entries one by one while callers keep sending, as for
// a new release. Every caller must receive a complete answer, a refusal with "not
// run", or a refused connection. No task may start twice.
func TestRollingRestartUnderLoad(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a", "b"}, EntriesPerZone: 2, TargetsPerZone: 3})
	s := f.spread(6, 3, 15)
	s.waitForReplies(10)
	for _, name := range f.Names() {
		qt.Assert(t, f.StopEntry(name), qt.IsNil)
		s.waitForReplies(5)
		qt.Assert(t, f.Restart(name), qt.IsNil)
		s.waitForReplies(5)
	}
	s.finish()
	completed := 0
	for id, r := range s.replies {
		if err := s.errs[id]; err != nil {
			qt.Check(t, neverSent(err), qt.IsTrue, qt.Commentf("%s: %v", id, err))
			continue
		}
		if r.status == http.StatusOK {
			completed++
			qt.Check(t, whole(r, id, 3), qt.IsTrue)
			continue
		}
		qt.Check(t, r.other.Run, qt.Equals, "not run", qt.Commentf("%s: %+v", id, r.other))
	}
	qt.Assert(t, completed > 20, qt.IsTrue)
	qt.Assert(t, f.Starts.DoubledStarts(), qt.Equals, uint64(0))
	qt.Assert(t, f.Stop(), qt.IsNil)
}

// An entry's VM is lost while the entry owns jobs and holds targets. Callers at
// other entries must receive complete answers or failures with a reason, without
// hanging. The other entry of the zone must take over the targets.
func TestEntryLostUnderLoad(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a"}, EntriesPerZone: 2, TargetsPerZone: 4})
	s := f.spread(6, 4, 15)
	s.waitForReplies(20)
	f.Kill("a-1")
	s.waitForReplies(50)
	for f.entries[1].entry.Slots(testPool) < 32 {
		time.Sleep(10 * time.Millisecond)
	}
	s.waitForReplies(20)
	s.finish()
	for id, r := range s.replies {
		if r == nil {
			continue // the lost entry's callers see a broken connection
		}
		if r.status == http.StatusOK {
			qt.Check(t, whole(r, id, 4), qt.IsTrue)
			continue
		}
		qt.Check(t, r.other.Reason != "", qt.IsTrue)
	}
	qt.Assert(t, f.Starts.DoubledStarts(), qt.Equals, uint64(0))
	qt.Assert(t, f.Stop(), qt.IsNil)
}

// An availability zone is partitioned while all sockets stay open. Both sides
// must keep serving with their own targets, and use each other's targets again
// after the partition.
func TestPartitionedZoneKeepsServing(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a", "b", "c"}, EntriesPerZone: 1, TargetsPerZone: 2, Partitionable: true})
	f.SetZonePartitioned("a", true)
	for i, address := range f.CallerAddresses("") {
		id := fmt.Sprintf("cut-%d", i)
		r, err := send(http.DefaultClient, address, jobBody(id, "thumbs", 4, 10))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", r.other))
		qt.Assert(t, whole(r, id, 4), qt.IsTrue)
	}
	f.SetZonePartitioned("a", false)
	ctx := t.Context()
	qt.Assert(t, f.WaitReady(ctx, 6*8), qt.IsNil)
	qt.Assert(t, f.Starts.DoubledStarts(), qt.Equals, uint64(0))
	qt.Assert(t, f.Stop(), qt.IsNil)
}
