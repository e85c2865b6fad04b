package entry

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/holder"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/membership"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/peer/peertest"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// A worker announces its planned stop to an entry that can't reach the worker's holder. If
// the entry acknowledged it anyway, the worker would expect no more work, but receive some
// until its lease ends.
func TestLeavingIsAcknowledgedOnlyWhenTheHolderKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := &peertest.Network{Delay: time.Millisecond}
		mesh := net.Join(job.Owner{Entry: "a", Incarnation: 1, Zone: "z"})
		other := net.Join(job.Owner{Entry: "b", Incarnation: 1, Zone: "y"})
		notified := atomic.Int64{}
		other.Handle(peer.TargetWithdraw, func(context.Context, job.Owner, cbor.RawMessage) (any, error) {
			notified.Add(1)
			return true, nil
		})
		ts := &targets{
			self: mesh.Self(), mesh: mesh, exclusive: true, events: timeline.Discard{}, log: slog.New(slog.DiscardHandler),
			config:        config.Fixed{},
			registry:      target.NewRegistry("z", config.Fixed{}),
			holder:        holder.New(holder.Options{Config: config.Fixed{}, Client: target.NewClient(target.ClientOptions{})}),
			members:       membership.New(membership.Options{Mesh: mesh, Peers: []membership.Peer{{Entry: "b", Zone: "y"}}}),
			announcements: map[job.TargetID]announcement{}, transfers: map[job.TargetID]job.EntryID{},
		}
		leaving := &job.Target{ID: "i-1", Pool: "p", Address: "10.0.0.1:80", Zone: "y"}
		qt.Assert(t, ts.AnnounceStop(t.Context(), leaving), qt.IsNil)
		qt.Assert(t, notified.Load(), qt.Equals, int64(1))
		net.SetPartitioned("a", "b", true)
		qt.Assert(t, ts.AnnounceStop(t.Context(), leaving), qt.IsNotNil)
		elsewhere := &job.Target{ID: "i-2", Pool: "p", Address: "10.0.0.2:80", Zone: "z"}
		qt.Assert(t, ts.AnnounceStop(t.Context(), elsewhere), qt.IsNil)
		net.Crash("a")
		net.Crash("b")
	})
}
