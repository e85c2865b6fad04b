package entry

import (
	"context"
	"log/slog"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/api"
	"github.com/vanillagrade/vanillagrade/internal/handover"
	"github.com/vanillagrade/vanillagrade/internal/holder"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/membership"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// expireEvery is how often lapsed leases are looked for. A target that died
// gets no new work one lease and this much after its last announcement.
const expireEvery = 250 * time.Millisecond

// targets takes the announcements of targets and keeps the holder's set of
// them in step with the leases.
type targets struct {
	self     job.Owner
	registry *target.Registry
	holder   *holder.Holder
	members  *membership.Membership
	forward  *handover.Targets
	events   timeline.Sink
	log      *slog.Logger
}

func newTargets(e *Entry) *targets {
	t := &targets{
		self:     e.self,
		registry: target.NewRegistry(e.self.Zone, e.config),
		holder:   e.holder,
		members:  e.members,
		events:   e.ring,
		log:      e.log,
	}
	t.forward = handover.NewTargets(e.links, e.members.HolderOf, heldHere{t})
	return t
}

// renewals is how many announcements a target makes in one lease, so that two
// may be lost without its lapsing.
const renewals = 3

// Announce implements api.Announcer: the announcement goes to the target's
// holder, which may be this entry.
func (t *targets) Announce(ctx context.Context, announced job.Target) (lease, renew time.Duration, err error) {
	lease, err = t.forward.ForwardTarget(ctx, announced, false)
	switch {
	case errors.Is(err, handover.ErrNoHolder) || errors.Is(err, peer.ErrNotSent) || errors.Is(err, peer.ErrNoAnswer):
		return 0, 0, errors.Annotate(api.ErrNoHolder, err.Error())
	case err != nil:
		return 0, 0, errors.Trace(err)
	}
	return lease, lease / renewals, nil
}

// Withdraw implements api.Announcer. The request does not say the target's
// availability zone; targets announce to entries of their own.
func (t *targets) Withdraw(ctx context.Context, id job.TargetID) error {
	_, err := t.forward.ForwardTarget(ctx, job.Target{ID: id, Zone: t.self.Zone}, true)
	return errors.Trace(err)
}

// heldHere is the part of the targets that this entry holds, as the hand-over
// of announcements sees it.
type heldHere struct{ *targets }

// Announce implements handover.Registry.
func (t heldHere) Announce(announced job.Target) (time.Duration, error) {
	lease, _, err := t.registry.Announce(time.Now(), announced)
	if err != nil {
		return 0, errors.Trace(err)
	}
	t.holder.SetTarget(announced)
	return lease, nil
}

// Withdraw implements handover.Registry: no new work from now on.
func (t heldHere) Withdraw(id job.TargetID) {
	if _, held := t.registry.Withdraw(time.Now(), id); !held {
		return
	}
	t.holder.RemoveTarget(id)
	t.events.Record(timeline.Event{Kind: timeline.TargetLeaving, Target: id, Cause: "the target withdrew"})
}

// passOnTime bounds the passing on of one target to its new holder; the
// target's next announcement reaches it anyway.
const passOnTime = 500 * time.Millisecond

// setView passes the targets on that another entry now holds.
func (t *targets) setView(view membership.Members) {
	keep := func(id job.TargetID) bool { return view.Holder(t.self.Zone, id) == t.self.Entry }
	for _, released := range t.registry.Release(keep) {
		t.holder.RemoveTarget(released.ID)
		t.events.Record(timeline.Event{Kind: timeline.HolderChanged, Target: released.ID, Peer: view.Holder(t.self.Zone, released.ID), Cause: "the entries of the availability zone changed"})
		go t.passOn(released)
	}
}

// passOn saves the time until the target's next announcement.
func (t *targets) passOn(released job.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), passOnTime)
	defer cancel()
	if _, err := t.forward.ForwardTarget(ctx, released, false); err != nil {
		t.log.Info("a target was not passed on; its next announcement reaches its holder", "target", released.ID, "error", err)
	}
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
