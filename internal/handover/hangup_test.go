package handover

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/peer/peertest"
)

// resettable is a node whose links break at a word: calls that wait end without an answer.
type resettable struct {
	*peertest.Node

	mu     sync.Mutex
	broken chan struct{}
}

func (r *resettable) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.broken)
	r.broken = make(chan struct{})
}

func (r *resettable) Call(ctx context.Context, to job.EntryID, kind peer.Kind, req, resp any) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	broken := r.broken
	r.mu.Unlock()
	go func() {
		select {
		case <-broken:
			cancel()
		case <-ctx.Done():
		}
	}()
	return r.Node.Call(ctx, to, kind, req, resp)
}

func hangUpSetting(s *setting) *resettable {
	mesh := &resettable{Node: s.net.Join(ownerLife), broken: make(chan struct{})}
	heard := func(job.EntryID, job.Incarnation) time.Duration { return 100 * time.Millisecond }
	s.remote = NewRemote(RemoteOptions{Mesh: mesh, Silent: heard})
	return mesh
}

// All channels of a machine are reset at once: the caller's, and the link to the holder.
// The owner learns that its caller is gone and takes the job back while the link is down;
// 50 ms later the link stands again, and the holder goes on hearing the owner. It has to
// learn of the cancellation: the caller sends the job elsewhere 1.3 s after the reset, and
// pays for two runs at a time.
func TestACancellationOutlivesABrokenLink(t *testing.T) {
	run(t, func(s *setting) {
		mesh := hangUpSetting(s)
		s.holder.takes = 5 * time.Second
		b := batch("a", 0)
		b.Transient = true
		s.offer(context.Background(), b)
		time.Sleep(100 * time.Millisecond)
		s.net.CutBoth("owner", "holder", true)
		mesh.reset()
		s.remote.Cancel("holder", "a")
		time.Sleep(50 * time.Millisecond)
		s.net.CutBoth("owner", "holder", false)
		time.Sleep(1100 * time.Millisecond)
		s.holder.mu.Lock()
		defer s.holder.mu.Unlock()
		qt.Check(s.t, s.holder.cancelled, qt.DeepEquals, []job.ID{"a"})
	})
}

// The link breaks while an offer is under way, and the caller hangs up before it stands
// again. The owner knows that nobody waits any more: it must not have the holder start the
// job 600 ms later, just before the caller has it run elsewhere.
func TestAnOfferIsNotSentAgainAfterItsCancellation(t *testing.T) {
	run(t, func(s *setting) {
		mesh := hangUpSetting(s)
		s.holder.takes = 5 * time.Second
		s.net.SetDrop(func(_, _ job.EntryID, kind peer.Kind, _ bool) bool { return kind == peer.BatchOffer })
		b := batch("a", 0)
		b.Transient = true
		s.offer(context.Background(), b)
		time.Sleep(100 * time.Millisecond)
		s.net.SetDrop(nil)
		s.net.CutBoth("owner", "holder", true)
		mesh.reset()
		s.remote.Cancel("holder", "a")
		time.Sleep(600 * time.Millisecond)
		s.net.CutBoth("owner", "holder", false)
		time.Sleep(time.Second)
		s.holder.mu.Lock()
		defer s.holder.mu.Unlock()
		qt.Check(t, s.holder.starts, qt.HasLen, 0)
	})
}
