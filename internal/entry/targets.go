package entry

import (
	"context"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/holder"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// expireEvery is how often lapsed leases are looked for. A target that died
// gets no new work one lease and this much after its last announcement.
const expireEvery = 250 * time.Millisecond

// targets takes the announcements of targets and keeps the holder's set of
// them in step with the leases.
type targets struct {
	registry *target.Registry
	holder   *holder.Holder
	events   timeline.Sink
}

func newTargets(zone job.Zone, view config.View, h *holder.Holder, events timeline.Sink) *targets {
	return &targets{registry: target.NewRegistry(zone, view), holder: h, events: events}
}

// Announce implements api.Announcer.
func (t *targets) Announce(_ context.Context, announced job.Target) (lease, renew time.Duration, err error) {
	return t.hold(announced)
}

// hold takes or renews the lease of a target that this entry holds.
func (t *targets) hold(announced job.Target) (lease, renew time.Duration, err error) {
	lease, renew, err = t.registry.Announce(time.Now(), announced)
	if err != nil {
		return 0, 0, err
	}
	t.holder.SetTarget(announced)
	return lease, renew, nil
}

// Withdraw implements api.Announcer.
func (t *targets) Withdraw(_ context.Context, id job.TargetID) error {
	t.leave(id)
	return nil
}

// leave stops new work on a target that said it is leaving.
func (t *targets) leave(id job.TargetID) {
	if _, held := t.registry.Withdraw(time.Now(), id); !held {
		return
	}
	t.holder.RemoveTarget(id)
	t.events.Record(timeline.Event{Kind: timeline.TargetLeaving, Target: id, Cause: "the target withdrew"})
}

// expire ends leases that ran out, until ctx ends.
func (t *targets) expire(ctx context.Context) error {
	tick := time.NewTicker(expireEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			t.lapse(now)
		}
	}
}

func (t *targets) lapse(now time.Time) {
	for _, lapsed := range t.registry.Expire(now) {
		t.holder.RemoveTarget(lapsed.ID)
		t.events.Record(timeline.Event{Kind: timeline.TargetLapsed, Target: lapsed.ID, Cause: "its lease ran out without a renewal"})
	}
}
