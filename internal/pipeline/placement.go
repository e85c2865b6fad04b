package pipeline

import (
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// A holder returns tasks unstarted when its targets have moved to another holder
// or when the owner's load report was out of date. If the tasks were then failed,
// a job with tasks at other holders would fail although its targets are healthy,
// and the work done for it would be lost. Such tasks therefore wait for a holder.
// placeRetryDelay is a fraction of a heartbeat. placeTimeout is the default lease
// of a target, after which targets that were not announced again are gone.
const (
	placeRetryDelay = 50 * time.Millisecond
	placeTimeout    = 4 * time.Second
)

// maxRefusals limits the refusals that a submission collects while none of its
// tasks is accepted. Load reports are at most one heartbeat old, so a second offer
// covers an outdated report and a third a holder that has stopped in the meantime.
// More offers would only add messages while every holder is full.
const maxRefusals = 3

// placement decides for one submission which holders may be offered unstarted
// tasks and when tasks without a holder end. It does no I/O and no locking; its
// flight holds a lock.
type placement struct {
	// open contains the holders whose batch of the submission is not yet reported. A
	// holder accepts one batch of a submission at a time.
	open map[job.EntryID]openBatch
	// refused contains the holders that returned tasks unstarted since the last
	// acceptance or wait.
	refused map[job.EntryID]bool
	// refusal is the last such outcome, and refusals counts them.
	refusal  job.TaskOutcome
	refusals int
	// unplacedSince is when tasks were first without a holder; zero if all have one.
	unplacedSince time.Time
	// movingSince is when maxRefusals was first reached because targets are moving
	// between holders; zero once a holder has accepted the tasks.
	movingSince time.Time
}

// openBatch is a batch that was offered and is not yet reported.
type openBatch struct {
	tasks int
	at    time.Time
}

func newPlacement() placement {
	return placement{open: map[job.EntryID]openBatch{}, refused: map[job.EntryID]bool{}}
}

// openHolders returns the holders that have an open batch of the submission.
func (p *placement) openHolders() []job.EntryID {
	var out []job.EntryID
	for h := range p.open {
		out = append(out, h)
	}
	return out
}

// excluded returns the holders that cannot be offered tasks at present.
func (p *placement) excluded() []job.EntryID {
	out := p.openHolders()
	for h := range p.refused {
		if _, open := p.open[h]; !open {
			out = append(out, h)
		}
	}
	return out
}

// committed reports whether tasks of the submission are at a holder or have
// results, so that refusing the other tasks for load would waste that work.
func (p *placement) committed(done int) bool { return done > 0 || len(p.open) > 0 }

func (p *placement) offered(now time.Time, parts []Part) {
	p.unplacedSince = time.Time{}
	for _, part := range parts {
		p.open[part.Holder] = openBatch{len(part.Tasks), now}
	}
}

// reported records that a holder's batch has ended or was returned unstarted.
func (p *placement) reported(from job.EntryID, outcomes []job.TaskOutcome) {
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
	p.movingSince = time.Time{}
}

// unplaced decides whether tasks without a holder wait or end with the returned
// outcome.
func (p *placement) unplaced(now time.Time, reason job.Reason, done int) (end job.TaskOutcome, wait bool) {
	end = p.endOutcome(reason)
	if reason == job.Infeasible && len(p.refused) == 0 && len(p.open) == 0 {
		return end, false
	}
	if p.unplacedSince.IsZero() {
		p.unplacedSince = now
	}
	if len(p.open) > 0 {
		return end, true
	}
	if !p.committed(done) && !p.targetsMoving(now) {
		return end, false
	}
	// Holders that refused may have free slots at the next attempt.
	clear(p.refused)
	return end, now.Sub(p.unplacedSince) < placeTimeout
}

// exhausted reports whether maxRefusals is reached while no task of the submission
// is accepted. Without this limit, each refused job would be offered to every holder
// under load, and the offers would use the processor time that starts need.
func (p *placement) exhausted(done int) bool {
	return p.refusals >= maxRefusals && !p.committed(done)
}

// targetsMoving reports whether tasks were returned because targets are moving
// between holders, which takes only moments. A refusal for load is different: the
// caller is then refused at once with a retry delay. While a holder hands its
// targets over, the other holders return the tasks to the owner within a
// millisecond and maxRefusals is soon reached. The tasks then wait instead of
// failing, for placeTimeout in all.
func (p *placement) targetsMoving(now time.Time) bool {
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
	if p.movingSince.IsZero() {
		p.movingSince = now
	}
	p.refusals = 1
	return now.Sub(p.movingSince) < placeTimeout
}

// endOutcome returns the outcome of tasks for which there is no holder: the last
// holder's refusal, if there was one.
func (p *placement) endOutcome(reason job.Reason) job.TaskOutcome {
	if p.refusals > 0 {
		return p.refusal
	}
	detail := "no target of the service's pool is known"
	if reason == job.Infeasible {
		detail = "no known target of the service's pool could ever hold a task of this size"
	}
	return job.TaskOutcome{Status: job.TaskNotStarted, Reason: reason, Detail: detail}
}
