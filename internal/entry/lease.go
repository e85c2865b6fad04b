package entry

import (
	"github.com/cespare/xxhash/v2"

	"github.com/vanillagrade/vanillagrade/internal/holder"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/runs"
)

// connector returns a function that connects to targets that run tasks under a lease. It
// returns nil without Options.NewTargetClient: the holder then uses the targets' HTTP interface.
func (e *Entry) connector() func(job.Target) holder.Connection {
	if e.opts.NewTargetClient == nil {
		return nil
	}
	salt := uint16(xxhash.Sum64String(string(e.self.Entry)))
	return func(t job.Target) holder.Connection {
		return runs.NewSession(runs.Options{
			Client:    e.opts.NewTargetClient(t),
			Target:    t.ID,
			StartedAt: t.StartedAt,
			Salt:      salt,
			Lease:     e.opts.Lease,
			Gone:      func() { e.targets.removeEnded(t.ID) },
			Yielded:   func() { e.targets.yield(t.ID) },
			Ended:     func() { e.holder.TargetEnded(t.ID) },
			Events:    e.events,
			Log:       e.log,
			Calls:     &e.calls,
		})
	}
}
