package holder

import (
	"context"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

const (
	// busyHold is for how long a target that said it is full gets no more than
	// it was running: about the time of a short task. Without it, tasks would
	// go back and forth between the queue and a target that has fewer slots
	// than it announces, as fast as the network carries them.
	busyHold = 100 * time.Millisecond
	// orphanHold is how long queued tasks wait for a pool whose last target
	// was set aside. A target that lives announces again within a third of
	// the default lease.
	orphanHold = config.DefaultLease / 2
	// noClamp is the clamp of a target whose announced slots count.
	noClamp = -1
)

// link is one held target at one address. The pool's lock guards it.
type link struct {
	target  job.Target
	conn    Connection
	running int
	// removed is set when this entry does not hold the target any more, or
	// holds it at another address.
	removed bool
	// aside is set when the target could not be reached or said that it is
	// leaving; it ends with its next announcement.
	aside bool
	// clamp is how many slots count at the moment.
	clamp int
	// stopping are the tasks that the target is still to be asked to stop.
	stopping []stopRequest
	asking   bool
}

type stopRequest struct {
	submission job.ID
	index      int
}

func (p *pool) setTarget(t job.Target) {
	p.change(func(now time.Time, e *effects) {
		t = p.withDefaults(t)
		l := p.links[t.ID]
		if l != nil && l.target.Address != t.Address {
			l.removed = true
			p.release(l, e)
			l = nil
		}
		if l == nil {
			l = &link{conn: p.holder.opts.Connect(t), clamp: noClamp}
			p.links[t.ID] = l
			p.adopt(l, t, e)
		}
		l.target = t
		l.removed = false
		l.aside = false
		p.apply(now, l)
	})
}

func (p *pool) withDefaults(t job.Target) job.Target {
	if t.Slots <= 0 {
		t.Slots = config.DefaultSlots
	}
	if t.Connections <= 0 {
		t.Connections = config.DefaultConnections
	}
	return t
}

// adopt leaves room for what an earlier holder started on the target, by the
// target's own count. The count lags; where it is too low the target refuses,
// which proves that nothing started.
func (p *pool) adopt(l *link, t job.Target, e *effects) {
	if t.Running > 0 {
		p.clampTo(l, max(0, t.Slots-t.Running), e)
	}
}

// apply tells the scheduler what may be started on a target now.
func (p *pool) apply(now time.Time, l *link) {
	t := l.target
	if l.clamp != noClamp {
		t.Slots = min(t.Slots, l.clamp)
	}
	if l.removed || l.aside || t.Slots == 0 {
		p.sched.RemoveTarget(now, t.ID)
		return
	}
	p.sched.SetTarget(now, t)
}

func (p *pool) clampTo(l *link, slots int, e *effects) {
	l.clamp = slots
	e.then(func() {
		time.AfterFunc(busyHold, func() {
			p.change(func(now time.Time, _ *effects) {
				l.clamp = noClamp
				if p.links[l.target.ID] == l {
					p.apply(now, l)
				}
			})
		})
	})
}

// setAside draws the conclusion from a refusal for all other tasks. A target
// that is down would otherwise look idle and draw every task in turn.
func (p *pool) setAside(now time.Time, l *link, r target.Refusal, e *effects) {
	if p.links[l.target.ID] != l || l.removed {
		return
	}
	switch r {
	case target.Busy:
		if l.clamp == noClamp {
			p.clampTo(l, l.running, e)
		}
	case target.Unreachable, target.Leaving:
		if l.aside {
			return
		}
		l.aside = true
		p.record(timeline.Event{Kind: timeline.TargetSuspect, Target: l.target.ID, Cause: "refused a task; set aside until it announces again"})
		e.then(l.conn.Close)
		p.watchOrphans()
	case target.NoRefusal, target.Abandoned:
		return
	}
	p.apply(now, l)
}

func (p *pool) removeTarget(id job.TargetID) {
	p.change(func(now time.Time, e *effects) {
		l := p.links[id]
		if l == nil {
			return
		}
		l.removed = true
		p.apply(now, l)
		p.release(l, e)
		if len(p.sched.Targets()) == 0 {
			p.giveBackAll(now, e)
		}
	})
}

// release closes the idle connections of a target that is gone and has nothing
// running; a busy connection closes when its task ends.
func (p *pool) release(l *link, e *effects) {
	if !l.removed {
		return
	}
	e.then(l.conn.Close)
	if l.running == 0 && p.links[l.target.ID] == l {
		delete(p.links, l.target.ID)
	}
}

// watchOrphans gives queued tasks back when their pool stays without targets.
// They would otherwise wait here while another holder has free slots.
func (p *pool) watchOrphans() {
	if p.orphans != nil {
		return
	}
	p.orphans = time.AfterFunc(orphanHold, func() {
		p.change(func(now time.Time, e *effects) {
			p.orphans = nil
			if len(p.sched.Targets()) == 0 {
				p.giveBackAll(now, e)
			}
		})
	})
}

func (p *pool) giveBackAll(now time.Time, e *effects) {
	for _, b := range p.batches {
		if b.reported {
			continue
		}
		p.giveBack(now, b, job.NoTarget, "the last target of pool "+p.name+" left this holder")
		p.conclude(now, b, e)
	}
}

// stop asks the target to stop a task. One goroutine a target asks for one
// task at a time, so that a wave of cancellations takes one connection.
func (l *link) stop(p *pool, submission job.ID, index int, e *effects) {
	l.stopping = append(l.stopping, stopRequest{submission, index})
	if l.asking {
		return
	}
	l.asking = true
	e.then(func() { go p.askToStop(l) })
}

func (p *pool) askToStop(l *link) {
	for {
		p.mu.Lock()
		if len(l.stopping) == 0 {
			l.asking = false
			p.mu.Unlock()
			return
		}
		r := l.stopping[0]
		l.stopping = l.stopping[1:]
		p.mu.Unlock()
		p.holder.stats.stops.Add(1)
		if err := l.conn.Stop(context.WithoutCancel(p.holder.ctx), r.submission, r.index); err != nil {
			p.holder.opts.Log.Debug("stop request failed", "target", l.target.ID, "error", err)
		}
	}
}
