package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/api"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/pipeline"
	"github.com/vanillagrade/vanillagrade/internal/register"
)

var _ api.Dispatcher = (*Entry)(nil)

// Submit implements api.Dispatcher.
func (e *Entry) Submit(ctx context.Context, s *job.Submission) job.Answer {
	return e.chain(ctx, &pipeline.Flow{Submission: s})
}

// warmupTime is how long a new incarnation waits for the first heartbeats of holders,
// which arrive within a second, before it lets the balancer send callers. Without it,
// each restart would refuse some submissions with no_target. The wait is bounded because
// a fleet without any target must report that itself.
const warmupTime = 2 * time.Second

// knowsTargets reports whether tasks of any service could be placed.
func (e *Entry) knowsTargets() bool {
	for _, pool := range e.wantedPools() {
		if e.holders.knownSlots(pool) > 0 {
			return true
		}
	}
	return false
}

// Ready implements api.Dispatcher.
func (e *Entry) Ready() error {
	if e.draining.Load() {
		return errors.New("draining")
	}
	if e.config.Current() == nil {
		return errors.New("no configuration has been accepted yet")
	}
	if time.Since(e.started) < warmupTime && !e.knowsTargets() {
		return errors.New("just started, no target is known yet")
	}
	return nil
}

// firstConfigTimeout is how long after its start an entry delays submissions until it has a
// configuration. It receives the one in effect within a few exchanges with the entries that
// it discovers. After a power loss of all VMs callers return at that moment. Refusing them at
// once would lose most of them to save a wait of a tenth of a second.
const firstConfigTimeout = 500 * time.Millisecond

// AwaitConfiguration waits for the first configuration until firstConfigTimeout after the
// start, and reports whether there is one.
func (e *Entry) AwaitConfiguration(ctx context.Context) bool {
	if e.config.Current() != nil {
		return true
	}
	left := firstConfigTimeout - time.Since(e.started)
	if left <= 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return e.register.AwaitFirst(ctx)
}

// Apply submits a declarative file for acceptance, as an operator's request does.
func (e *Entry) Apply(ctx context.Context, changeID string, body []byte) (register.Accepted, error) {
	return e.register.Apply(ctx, changeID, body)
}

// Configuration returns the number of the configuration in effect; 0 before the first.
func (e *Entry) Configuration() uint64 {
	if file := e.config.Current(); file != nil {
		return file.Number
	}
	return 0
}
