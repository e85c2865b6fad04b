package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillagrade/vanillagrade/internal/handover"
	"github.com/vanillagrade/vanillagrade/internal/holder"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/runs"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
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
			silent := e.members.Silent(owner.Entry, owner.Incarnation)
			if owner.Entry == e.self.Entry || silent <= handover.OwnerSilence {
				continue
			}
			e.tellSilent(owner, silent)
			e.holder.Abandon(owner)
		}
	})
}

// tellSilent records that the work of an owner is given up, and how old the last word of
// it is.
func (e *Entry) tellSilent(owner job.Owner, silent time.Duration) {
	cause := fmt.Sprintf("no word of its life %d for %d ms; its transient work here is stopped", owner.Incarnation, silent.Milliseconds())
	e.events.Record(timeline.Event{Kind: timeline.OwnerSilent, Peer: owner.Entry, Took: silent, Reason: job.OwnerLost, Cause: cause})
}
