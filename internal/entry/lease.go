package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillagrade/vanillagrade/internal/handover"
	"github.com/vanillagrade/vanillagrade/internal/holder"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/runs"
)

// connect returns the way to targets that run tasks under a lease; nil where
// targets answer each task by itself.
func (e *Entry) connect() func(job.Target) holder.Connection {
	if e.opts.Orders == nil {
		return nil
	}
	salt := uint16(xxhash.Sum64String(string(e.self.Entry)))
	return func(t job.Target) holder.Connection {
		return runs.NewSession(runs.Options{
			Orders:  e.opts.Orders(t),
			Target:  t.ID,
			Salt:    salt,
			Lease:   e.opts.Lease,
			Gone:    func() { e.targets.drop(t.ID) },
			Yielded: func() { e.targets.yield(t.ID) },
			Events:  e.events,
			Log:     e.log,
		})
	}
}

// silenceEvery is how often the owners of work here are looked through.
const silenceEvery = 100 * time.Millisecond

// dropTheSilent stops the transient work of owners that are not heard any more,
// until ctx ends. Its caller sends the submission again through another entry,
// and two runs of a task must never be alive together.
func (e *Entry) dropTheSilent(ctx context.Context) error {
	return every(ctx, silenceEvery, func(time.Time) {
		for _, owner := range e.holder.Owners() {
			if owner.Entry == e.self.Entry || e.members.Silent(owner.Entry, owner.Incarnation) <= handover.OwnerSilence {
				continue
			}
			e.log.Warn("owner silent, its transient work is stopped", "owner", owner.Entry, "incarnation", owner.Incarnation)
			e.holder.Abandon(owner)
		}
	})
}
