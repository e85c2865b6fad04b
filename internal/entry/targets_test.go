package entry

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/holder"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// A stopping target's withdrawal arrives while its last renewal is still being
// processed. In either order the holder must not keep a target without a lease:
// such a target would receive work until the entry is restarted.
func TestRenewalAndWithdrawalAtOnce(t *testing.T) {
	h := holder.New(holder.Options{Config: config.Fixed{}, Client: target.NewClient(target.ClientOptions{})})
	ts := &targets{registry: target.NewRegistry("a", config.Fixed{}), holder: h, events: timeline.Discard{}}
	held := localTargets{ts}
	for i := range 2000 {
		id := job.TargetID(strconv.Itoa(i))
		announced := job.Target{ID: id, Pool: "p", Address: "10.0.0.1:" + strconv.Itoa(1000+i), Zone: "a"}
		_, err := held.Announce(announced)
		qt.Assert(t, err, qt.IsNil)
		var both sync.WaitGroup
		for range 8 {
			both.Go(func() {
				for range 3 {
					_, _ = held.Announce(announced)
				}
			})
		}
		both.Go(func() { held.remove(&job.Target{ID: id}, held.holder.RemoveStoppingTarget) })
		both.Wait()
	}
	ts.expireLeases(time.Now().Add(time.Hour))
	qt.Assert(t, ts.registry.Held(), qt.HasLen, 0)
	qt.Assert(t, h.Load("p").Targets, qt.Equals, 0)
}

// A target is transferred to another holder while it runs tasks for this one. Without the
// number of running tasks, the next holder would fill the target according to its last
// announcement and be refused.
func TestReleasedTargetCarriesWhatRunsOnIt(t *testing.T) {
	h := holder.New(holder.Options{Config: config.Fixed{}, Connect: func(job.Target) holder.Connection { return busyConn{} }})
	ts := &targets{registry: target.NewRegistry("a", config.Fixed{}), holder: h, events: timeline.Discard{}, log: slog.New(slog.DiscardHandler), transfers: map[job.TargetID]job.EntryID{}}
	_, err := localTargets{ts}.Announce(job.Target{ID: "t1", Pool: "p", Address: "10.0.0.1:80", Zone: "a"})
	qt.Assert(t, err, qt.IsNil)
	h.Offer(&job.Batch{Submission: "j", Service: "p", Tasks: []job.BatchTask{{Index: 0}, {Index: 1}}}, func([]job.TaskOutcome) {})
	var released []job.Target
	ts.transfers["t1"] = "other"
	ts.transferIdle(func(target job.Target, to job.EntryID) {
		qt.Check(t, to, qt.Equals, job.EntryID("other"))
		released = append(released, target)
	})
	qt.Assert(t, released, qt.HasLen, 1)
	qt.Assert(t, released[0].Running, qt.Equals, 2)
	h.Close()
}

// busyConn is a connection whose tasks run until the holder closes.
type busyConn struct{}

func (busyConn) Start(ctx context.Context, _ target.Task) target.Result {
	<-ctx.Done()
	return target.Result{Status: job.TaskErred, Reason: job.TargetLost}
}

func (busyConn) Stop(context.Context, job.ID, int) error { return nil }

func (busyConn) Close() {}

// Hundreds of workers are replaced each day, each under a new name. An entry must
// forget their announcements when the leases expire. Otherwise the announcements would
// fill the memory of an entry that runs for a year.
func TestAnnouncementsAreForgottenWithTheirLease(t *testing.T) {
	h := holder.New(holder.Options{Config: config.Fixed{}, Client: target.NewClient(target.ClientOptions{})})
	ts := &targets{registry: target.NewRegistry("a", config.Fixed{}), holder: h, events: timeline.Discard{}, announcements: map[job.TargetID]announcement{}}
	for i := range 100 {
		ts.recordAnnouncement(job.Target{ID: job.TargetID(strconv.Itoa(i))}, "h", time.Minute)
	}
	ts.expireLeases(time.Now())
	qt.Assert(t, ts.announcements, qt.HasLen, 100)
	ts.expireLeases(time.Now().Add(2 * time.Minute))
	qt.Assert(t, ts.announcements, qt.HasLen, 0)
}
