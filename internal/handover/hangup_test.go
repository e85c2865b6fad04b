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

// resettable is a node whose links a test can break: pending calls then end without an answer.
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

func useResettableMesh(s *fixture) *resettable {
	mesh := &resettable{Node: s.net.Join(ownerID), broken: make(chan struct{})}
	sinceLastMessage := func(job.EntryID, job.Incarnation) time.Duration { return 100 * time.Millisecond }
	s.remote = NewRemote(RemoteOptions{Mesh: mesh, SinceLastMessage: sinceLastMessage})
	return mesh
}

// All connections of a machine are reset at once: the caller's, and the link to the holder.
// The owner detects that its caller is gone and cancels the job while the link is down.
// 50 ms later the link is up again, and the holder keeps receiving messages from the owner.
// The cancellation must reach the holder: the caller sends the job elsewhere 1.3 s after the
// reset, and would pay for two runs at the same time.
func TestCancellationSurvivesABrokenLink(t *testing.T) {
	run(t, func(s *fixture) {
		mesh := useResettableMesh(s)
		s.holder.reportAfter = 5 * time.Second
		b := batch("a", 0)
		b.Transient = true
		s.offer(context.Background(), b)
		time.Sleep(100 * time.Millisecond)
		s.net.SetPartitioned("owner", "holder", true)
		mesh.reset()
		s.remote.Cancel("holder", "a")
		time.Sleep(50 * time.Millisecond)
		s.net.SetPartitioned("owner", "holder", false)
		time.Sleep(1100 * time.Millisecond)
		s.holder.mu.Lock()
		defer s.holder.mu.Unlock()
		qt.Check(s.t, s.holder.cancelled, qt.DeepEquals, []job.ID{"a"})
	})
}

// The link breaks while an offer is in transit, and the caller hangs up before the link is
// up again. The owner knows that nobody waits for the job any more. It must not send the
// offer again 600 ms later, just before the caller sends the job elsewhere.
func TestOfferIsNotResentAfterItsCancellation(t *testing.T) {
	run(t, func(s *fixture) {
		mesh := useResettableMesh(s)
		s.holder.reportAfter = 5 * time.Second
		s.net.SetDrop(func(_, _ job.EntryID, kind peer.Kind, _ bool) bool { return kind == peer.BatchOffer })
		b := batch("a", 0)
		b.Transient = true
		s.offer(context.Background(), b)
		time.Sleep(100 * time.Millisecond)
		s.net.SetDrop(nil)
		s.net.SetPartitioned("owner", "holder", true)
		mesh.reset()
		s.remote.Cancel("holder", "a")
		time.Sleep(600 * time.Millisecond)
		s.net.SetPartitioned("owner", "holder", false)
		time.Sleep(time.Second)
		s.holder.mu.Lock()
		defer s.holder.mu.Unlock()
		qt.Check(t, s.holder.starts, qt.HasLen, 0)
	})
}
