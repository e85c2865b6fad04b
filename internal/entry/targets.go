package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
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
	mesh     peer.Mesh
	events   timeline.Sink
	log      *slog.Logger

	// changing is held while the registry and the holder change together. A
	// withdrawal between the two steps of a renewal would otherwise leave a
	// target with the holder that has no lease: it would get work for ever.
	changing sync.Mutex

	// passed are the targets that announced themselves through this entry.
	mu     sync.Mutex
	passed map[job.TargetID]passedOn
	// lastHolder is who held each pool in the last view; only setView uses it.
	lastHolder map[string]job.EntryID
}

// passedOn is one announcement and when it lapses.
type passedOn struct {
	target job.Target
	until  time.Time
}

// holderKey is what decides on the holder of a target: all targets of a pool in
// an availability zone have one holder, with one queue. Spread over the zone's
// three entries they lost slots to each other: with examples/cuenca.yaml 120
// of 408 slots stood idle on average while tasks waited at another holder.
// docs/CAPACITY.md says from which size on a pool needs several.
func holderKey(pool string) job.TargetID { return job.TargetID(pool) }

// holderOf returns the holder of a target; empty for none.
func holderOf(view *membership.Members, t *job.Target) job.EntryID {
	return view.Holder(t.Zone, holderKey(t.Pool))
}

func newTargets(e *Entry) *targets {
	t := &targets{
		self:     e.self,
		registry: target.NewRegistry(e.self.Zone, e.config),
		holder:   e.holder,
		members:  e.members,
		mesh:     e.links,
		events:   e.ring,
		log:      e.log,
		passed:   map[job.TargetID]passedOn{},
	}
	t.forward = handover.NewTargets(e.links, func(announced *job.Target) job.EntryID {
		view := t.members.View()
		return holderOf(&view, announced)
	}, heldHere{t})
	t.mesh.Handle(peer.TargetWithdraw, t.handleWithdraw)
	return t
}

// renewals is how many announcements a target makes in one lease, so that two
// may be lost without its lapsing.
const renewals = 3

// Announce implements api.Announcer: the announcement goes to the target's
// holder, which may be this entry.
func (t *targets) Announce(ctx context.Context, announced job.Target) (lease, renew time.Duration, err error) {
	lease, err = t.forward.ForwardTarget(ctx, announced)
	switch {
	case errors.Is(err, handover.ErrNoHolder) || errors.Is(err, peer.ErrNotSent) || errors.Is(err, peer.ErrNoAnswer):
		return 0, 0, errors.Annotate(api.ErrNoHolder, err.Error())
	case err != nil:
		return 0, 0, errors.Trace(err)
	}
	t.remember(announced, lease)
	return lease, lease / renewals, nil
}

func (t *targets) remember(announced job.Target, lease time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.passed[announced.ID] = passedOn{announced, time.Now().Add(lease)}
}

// Withdraw implements api.Announcer. The request names the target only, and a
// balancer may bring it to another entry than the announcements, so every entry
// of the zone drops the target: whoever holds it, and whoever would pass its
// last announcement on to a next holder. An entry that can't be reached drops
// it when its lease lapses.
func (t *targets) Withdraw(ctx context.Context, id job.TargetID) error {
	t.drop(id)
	ctx, cancel := context.WithTimeout(ctx, withdrawTime)
	defer cancel()
	view := t.members.View()
	var wg sync.WaitGroup
	for _, m := range view.List {
		if m.Entry == t.self.Entry || m.Zone != t.self.Zone || !m.Live() {
			continue
		}
		wg.Go(func() { _ = t.mesh.Call(ctx, m.Entry, peer.TargetWithdraw, id, nil) })
	}
	wg.Wait()
	return nil
}

// withdrawTime bounds how long a withdrawing target waits for the entries.
const withdrawTime = time.Second

// drop forgets a target that withdrew and stops new work on it at once.
func (t *targets) drop(id job.TargetID) {
	t.mu.Lock()
	delete(t.passed, id)
	t.mu.Unlock()
	t.withdraw(id)
}

func (t *targets) handleWithdraw(_ context.Context, _ job.Owner, body cbor.RawMessage) (any, error) {
	var id job.TargetID
	if err := cbor.Unmarshal(body, &id); err != nil {
		return nil, errors.Trace(err)
	}
	t.drop(id)
	return true, nil
}

// heldHere is the part of the targets that this entry holds, as the hand-over
// of announcements sees it.
type heldHere struct{ *targets }

// Announce implements handover.Registry.
func (t heldHere) Announce(announced job.Target) (time.Duration, error) {
	t.changing.Lock()
	defer t.changing.Unlock()
	lease, _, err := t.registry.Announce(time.Now(), announced)
	if err != nil {
		return 0, errors.Trace(err)
	}
	t.holder.SetTarget(announced)
	return lease, nil
}

// withdraw stops new work on a target from now on.
func (t *targets) withdraw(id job.TargetID) {
	t.changing.Lock()
	defer t.changing.Unlock()
	if _, held := t.registry.Withdraw(time.Now(), id); !held {
		return
	}
	t.holder.RemoveTarget(id)
	t.events.Record(timeline.Event{Kind: timeline.TargetLeaving, Target: id, Cause: "the target withdrew"})
}

// passOnTime bounds the passing on of one target to its new holder; the
// target's next announcement reaches it anyway.
const passOnTime = 500 * time.Millisecond

// setView passes the targets on that another entry now holds: those held here,
// and those that announced themselves here and whose holder is gone.
func (t *targets) setView(view membership.Members) {
	// The last entry of a zone keeps its targets while it stops: there is nobody
	// to pass them to, and its queue must end on them.
	keep := func(held *job.Target) bool {
		holder := holderOf(&view, held)
		return holder == t.self.Entry || holder == ""
	}
	for _, released := range t.release(keep) {
		t.events.Record(timeline.Event{Kind: timeline.HolderChanged, Target: released.ID, Peer: holderOf(&view, &released), Cause: "the entries of the availability zone changed"})
		go t.passOn(released)
	}
	for _, announced := range t.stillAnnounced(time.Now()) {
		if holder := holderOf(&view, &announced); holder != t.lastHolder[announced.Pool] {
			go t.passOn(announced)
		}
	}
	t.noteHolders(&view)
}

// release gives up the held targets that keep does not name. What runs on them
// now is told to the next holder: a target's own count is a renewal old.
func (t *targets) release(keep func(*job.Target) bool) []job.Target {
	t.changing.Lock()
	defer t.changing.Unlock()
	released := t.registry.Release(keep)
	for i := range released {
		released[i].Running = t.holder.RemoveTarget(released[i].ID)
	}
	return released
}

// stillAnnounced returns the targets whose last announcement here holds.
func (t *targets) stillAnnounced(now time.Time) []job.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetLapsed(now)
	var out []job.Target
	for _, p := range t.passed {
		out = append(out, p.target)
	}
	return out
}

// forgetLapsed drops announcements whose lease has run out, so that targets that
// are replaced every day don't fill the memory; the caller holds t.mu.
func (t *targets) forgetLapsed(now time.Time) {
	for id, p := range t.passed {
		if now.After(p.until) {
			delete(t.passed, id)
		}
	}
}

// noteHolders remembers who holds each pool in this view.
func (t *targets) noteHolders(view *membership.Members) {
	t.lastHolder = map[string]job.EntryID{}
	for _, announced := range t.stillAnnounced(time.Now()) {
		t.lastHolder[announced.Pool] = holderOf(view, &announced)
	}
}

// passOn saves the time until the target's next announcement.
func (t *targets) passOn(released job.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), passOnTime)
	defer cancel()
	if _, err := t.forward.ForwardTarget(ctx, released); err != nil {
		t.log.Info("a target was not passed on; its next announcement reaches its holder", "target", released.ID, "error", err)
	}
}

// expire ends leases that ran out, until ctx ends.
func (t *targets) expire(ctx context.Context) error {
	return every(ctx, expireEvery, t.lapse)
}

func (t *targets) lapse(now time.Time) {
	t.mu.Lock()
	t.forgetLapsed(now)
	t.mu.Unlock()
	t.changing.Lock()
	defer t.changing.Unlock()
	for _, lapsed := range t.registry.Expire(now) {
		t.holder.RemoveTarget(lapsed.ID)
		t.events.Record(timeline.Event{Kind: timeline.TargetLapsed, Target: lapsed.ID, Cause: "its lease ran out without a renewal"})
	}
}
