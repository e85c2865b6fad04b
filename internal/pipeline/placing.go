package pipeline

import (
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// When targets change hands, or a load report is old, a holder gives tasks back
// unstarted. A job with tasks elsewhere would then fail although its targets are
// well, and the work done for it would be lost. Such tasks wait for a holder
// instead: placeAgainAfter is a fraction of a heartbeat, placeBound a target's
// default lease, after which targets that nobody announced again are gone.
const (
	placeAgainAfter = 50 * time.Millisecond
	placeBound      = 4 * time.Second
)

// maxRefusals bounds how many rounds of refusals a submission collects of which
// nothing was accepted. Loads are at most one heartbeat old, so a second offer
// answers an old view and a third a holder that left meanwhile; more would only
// add messages while every holder is full.
const maxRefusals = 3

// placing decides, for one submission, where unstarted tasks may be offered and
// when they go nowhere. It is pure; its flight holds a lock.
type placing struct {
	// open are holders with a batch of the submission that is not reported. A
	// holder takes one batch of a submission at a time.
	open map[job.EntryID]handed
	// refused are holders that gave tasks back since the last acceptance.
	refused map[job.EntryID]bool
	// refusal is the last of these refusals, refusals their number.
	refusal  job.TaskOutcome
	refusals int
	// since is when tasks first had no holder; zero when all have one.
	since time.Time
	// fluxSince is when holders had first given the tasks back maxRefusals times
	// because targets change hands; zero once one has taken them.
	fluxSince time.Time
}

// handed is a batch on its way.
type handed struct {
	tasks int
	at    time.Time
}

func newPlacing() placing {
	return placing{open: map[job.EntryID]handed{}, refused: map[job.EntryID]bool{}}
}

// working returns the holders that have tasks of the submission.
func (p *placing) working() []job.EntryID {
	var out []job.EntryID
	for h := range p.open {
		out = append(out, h)
	}
	return out
}

// without returns the holders that can't be offered tasks now.
func (p *placing) without() []job.EntryID {
	out := p.working()
	for h := range p.refused {
		if _, open := p.open[h]; !open {
			out = append(out, h)
		}
	}
	return out
}

// committed reports whether tasks of the submission run or have run, so that a
// refusal of the others for load would waste them.
func (p *placing) committed(done int) bool { return done > 0 || len(p.open) > 0 }

func (p *placing) offered(now time.Time, parts []Part) {
	p.since = time.Time{}
	for _, part := range parts {
		p.open[part.Holder] = handed{len(part.Tasks), now}
	}
}

// reported notes that a holder's batch has ended, or came back unstarted.
func (p *placing) reported(from job.EntryID, outcomes []job.TaskOutcome) {
	delete(p.open, from)
	for i := range outcomes {
		if outcomes[i].Status == job.TaskNotStarted {
			p.refused[from] = true
			p.refusal = outcomes[i]
			p.refusals++
			return
		}
	}
	clear(p.refused)
	p.fluxSince = time.Time{}
}

// unplaced decides on tasks without a holder: they wait, or end with the
// returned outcome.
func (p *placing) unplaced(now time.Time, reason job.Reason, done int) (end job.TaskOutcome, wait bool) {
	end = p.ending(reason)
	if reason == job.Infeasible && len(p.refused) == 0 && len(p.open) == 0 {
		return end, false
	}
	if p.since.IsZero() {
		p.since = now
	}
	if len(p.open) > 0 {
		return end, true
	}
	if !p.committed(done) && !p.inFlux(now) {
		return end, false
	}
	// Holders that refused may have room by the next try.
	clear(p.refused)
	return end, now.Sub(p.since) < placeBound
}

// exhausted reports whether enough holders have refused tasks of which nothing runs
// anywhere. Under load each refused job would otherwise ask every holder there is,
// and the asking would take the processor time that starts need.
func (p *placing) exhausted(done int) bool {
	return p.refusals >= maxRefusals && !p.committed(done)
}

// inFlux reports whether tasks came back because targets or holders are just
// changing hands, which is over in moments. A refusal for load is not: its caller
// is told at once when to come back. While a holder passes its targets on, holders
// that know of each other give the tasks back to one another within a millisecond;
// so maxRefusals of them only make the tasks pause, for placeBound in all.
func (p *placing) inFlux(now time.Time) bool {
	switch p.refusal.Reason {
	case job.TargetRefused:
		return p.refusals < maxRefusals
	case job.NoTarget, job.Draining, job.HolderLost:
	default:
		return false
	}
	if p.refusals < maxRefusals {
		return true
	}
	if p.fluxSince.IsZero() {
		p.fluxSince = now
	}
	p.refusals = 1
	return now.Sub(p.fluxSince) < placeBound
}

// ending words the end of tasks that found no holder: by the last holder's
// refusal, if there was one.
func (p *placing) ending(reason job.Reason) job.TaskOutcome {
	if p.refusals > 0 {
		return p.refusal
	}
	detail := "no target of the service's pool is known"
	if reason == job.Infeasible {
		detail = "no known target of the service's pool could ever hold a task of this size"
	}
	return job.TaskOutcome{Status: job.TaskNotStarted, Reason: reason, Detail: detail}
}
