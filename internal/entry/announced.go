package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/malformed"
	"github.com/vanillagrade/vanillagrade/internal/runs"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// Load pattern: hundreds of targets announce themselves. Some announcements are
// wrong: another program wrote them, or a partition delayed them until after their
// incarnation had ended, or their name, address or pool belongs to another target.
// A wrong announcement looks like any other. Accepting it would take a target from
// its users, stop the tasks that run there and refuse the target's real
// announcements for a minute. So an announcement must be complete and name an
// existing pool. If it contradicts the registry, the entry asks the announced
// address which incarnation listens there.

// probeTimeout bounds the query that asks an address which incarnation of a target
// listens there: a round trip of 3 ms, plus twice the 100 ms for which a small VM may
// have used up its CPU share.
const probeTimeout = 250 * time.Millisecond

// validate checks an announcement by itself and counts it if it is malformed.
func (t *targets) validate(announced *job.Target) error {
	err := target.Check(*announced, announced.Zone)
	if err == nil {
		err = t.checkPool(announced)
	}
	if err == nil {
		err = t.checkStart(announced)
	}
	return t.countMalformed(err)
}

// countMalformed counts err as a malformed announcement unless it is nil, and returns it.
func (t *targets) countMalformed(err error) error {
	if err != nil {
		t.malformed.Record(time.Now(), malformed.Announcement, err)
	}
	return err
}

// checkPool refuses targets of a pool that the configuration does not name. A known
// target stays until it withdraws: a new configuration may drop its pool while it runs tasks.
func (t *targets) checkPool(announced *job.Target) error {
	file := t.config.Current()
	if file == nil || file.Pools == nil || slices.Contains(file.Pools, announced.Pool) || t.isKnown(announced) {
		return nil
	}
	return errors.NotValidf("service %q: not in configuration %d: target", announced.Pool, file.Number)
}

// checkStart refuses an announcement without the start of the process where other targets of
// the pool report it: such an announcement can't be told from one of a former process.
func (t *targets) checkStart(announced *job.Target) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if announced.StartedAt == 0 && t.reportsStart[announced.Pool] {
		return errors.NotValidf("announcement without the start of the process, which other targets of service %q report:", announced.Pool)
	}
	return nil
}

// isKnown reports whether the same target is held here or was announced through this
// entry.
func (t *targets) isKnown(announced *job.Target) bool {
	if held, ok := t.registry.Get(announced.ID); ok && sameTarget(&held, announced) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	last, ok := t.announcements[announced.ID]
	return ok && sameTarget(&last.target, announced)
}

// sameTarget reports whether two announcements are of the same target. The name, address
// and pool of a target never change.
func sameTarget(a, b *job.Target) bool {
	return a.ID == b.ID && a.Address == b.Address && a.Pool == b.Pool
}

// resolveConflict decides on an announcement that contradicts the registry: a held name
// with another address or a later start, or a held address with another name. The
// announcement is accepted if the announced incarnation answers at the address.
func (t *targets) resolveConflict(announced *job.Target) error {
	held, ok := t.registry.Get(announced.ID)
	if ok && held.Pool != announced.Pool {
		return errors.AlreadyExistsf("target %s of service %s", held.ID, held.Pool)
	}
	former, displaced := t.registry.Displaced(time.Now(), announced)
	moved := ok && held.Address != announced.Address
	restarted := ok && announced.RestartedSince(&held)
	if !displaced && !moved && !restarted {
		return nil
	}
	if !t.isListening(*announced) {
		return errors.AlreadyExistsf("%s does not answer as target %s, and target %s", announced.Address, announced.ID, cmp.Or(former, held.ID))
	}
	if displaced {
		// The target crashed and restarted at its address under a new name.
		t.log.Info("target replaced by a later incarnation at its address", "target", former, "later", announced.ID, "address", announced.Address)
		t.removeEnded(former)
	}
	return nil
}

// newListenCheck returns a function that reports whether an incarnation of a target listens
// at its address.
func newListenCheck(newClient func(job.Target) runs.TargetClient) func(job.Target) bool {
	return func(t job.Target) bool {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		client := newClient(t)
		defer client.Close()
		// A renewal without an epoch and without a lease changes nothing at the target.
		reply, err := client.Renew(ctx, runs.PollRequest{})
		// A target always reports its clock; another program that answers may not.
		if err != nil || reply.Clock == 0 || reply.Refusal != runs.Accepted && reply.Refusal != runs.Fenced {
			return false
		}
		return t.StartedAt == 0 || reply.StartedAt == 0 || reply.StartedAt == t.StartedAt
	}
}

// removeStopping stops new work on a target that has announced its planned stop, unless
// another target is held under its name.
func (t *targets) removeStopping(leaving *job.Target) error {
	if held, ok := t.registry.Get(leaving.ID); ok && (!sameTarget(&held, leaving) || held.RestartedSince(leaving)) {
		return errors.AlreadyExistsf("target %s of service %s at %s", held.ID, held.Pool, held.Address)
	}
	t.inventory.drop(leaving.ID)
	t.mu.Lock()
	if last, ok := t.announcements[leaving.ID]; ok && sameTarget(&last.target, leaving) {
		delete(t.announcements, leaving.ID)
	}
	delete(t.transfers, leaving.ID)
	t.mu.Unlock()
	t.remove(leaving, t.holder.RemoveStoppingTarget)
	return nil
}
