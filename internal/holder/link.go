package holder

import (
	"cmp"
	"context"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

// link is the state of one held target at one address. The pool's lock guards
// it.
type link struct {
	target job.Target
	// maxSize is the largest capacity that the target has announced.
	maxSize job.Size
	conn    Connection
	running int
	// removed is set when this entry no longer holds the target, or holds it at
	// another address.
	removed bool
	// planned is set once the target has announced a planned stop.
	planned bool
	// stopQueue lists the stop requests not sent to the target yet.
	stopQueue    []stopRequest
	sendingStops bool
}

type stopRequest struct {
	submission job.ID
	index      int
	// preempt is set for a run that may go on until the target has stopped it.
	preempt bool
}

func (p *pool) setTarget(t job.Target) {
	p.update(func(now time.Time, e *effects) {
		l := p.links[t.ID]
		if l != nil && l.target.Address != t.Address {
			l.removed = true
			p.release(l, e)
			l = nil
		}
		if l == nil {
			l = &link{conn: p.connect(t)}
			p.links[t.ID] = l
		}
		if t.RestartedSince(&l.target) {
			e.then(func() { l.followRestart(t.StartedAt) })
		}
		l.target = t
		l.maxSize = l.maxSize.Max(t.Capacity())
		l.removed, l.planned = false, false
		p.sched.SetTarget(now, t)
		if _, ok := l.conn.(Preempter); ok {
			p.sched.SetStoppable(t.ID)
		}
	})
}

// connect creates the connection to a target. If the target announces no number
// of connections, the configured default applies. The scheduler itself fills in
// missing slots and connections, again with each configuration.
func (p *pool) connect(t job.Target) Connection {
	var defaults config.TargetDefaults
	if p.file != nil {
		defaults = p.file.Targets
	}
	t.Connections = cmp.Or(t.Connections, defaults.Connections, config.DefaultConnections)
	return p.holder.opts.Connect(t)
}

func (p *pool) removeTarget(id job.TargetID, planned bool) (running int) {
	p.update(func(now time.Time, e *effects) {
		l := p.links[id]
		if l == nil {
			return
		}
		running = l.running
		l.removed, l.planned = true, l.planned || planned
		p.sched.RemoveTarget(now, id)
		p.release(l, e)
		p.returnUnplaceable(now, e)
	})
	return running
}

// release closes the idle connections of a removed target and forgets the link
// once no task runs on it; a busy connection closes when its task ends.
func (p *pool) release(l *link, e *effects) {
	if !l.removed {
		return
	}
	e.then(l.conn.Close)
	if l.running == 0 && p.links[l.target.ID] == l {
		delete(p.links, l.target.ID)
	}
}

// returnUnplaceable returns the queued tasks of each job that has a task too
// large for all remaining targets. These tasks would otherwise wait forever,
// even while another holder has free capacity.
func (p *pool) returnUnplaceable(now time.Time, e *effects) {
	for _, b := range p.batches {
		if b.reported || p.canPlace(b) {
			continue
		}
		p.returnQueued(now, b, job.NoTarget, "the last target for the task left this holder")
		p.finishIfDone(now, b, e)
	}
}

// canPlace reports whether each task of the batch fits on a remaining target.
func (p *pool) canPlace(b *batch) bool {
	for _, s := range b.sizes {
		fits := false
		for _, l := range p.links {
			fits = fits || !l.removed && s.Fits(l.maxSize)
		}
		if !fits {
			return false
		}
	}
	return true
}

// stopNotifier is a connection that is notified when a task must end. Its stop request may
// wait behind others, but the time by which the task must be over counts from the
// notification.
type stopNotifier interface {
	NotifyStop(submission job.ID, index int)
}

// restartFollower is a connection that outlives the process of its target.
type restartFollower interface {
	Restarted(startedAt int64)
}

// followRestart tells the connection that the target has announced a later process.
func (l *link) followRestart(startedAt int64) {
	if c, ok := l.conn.(restartFollower); ok {
		c.Restarted(startedAt)
	}
}

// startConfirmer is a connection that knows whether the target has accepted the start of a task.
type startConfirmer interface {
	Accepted(submission job.ID, index int) bool
}

// ran reports whether a task that was sent to the target may have run there.
func (l *link) ran(submission job.ID, index int) bool {
	c, ok := l.conn.(startConfirmer)
	return !ok || c.Accepted(submission, index)
}

// stop queues a request to the target to stop a task. One goroutine per target
// sends these requests one at a time, so that a wave of cancellations occupies
// only one connection.
func (l *link) stop(p *pool, submission job.ID, index int, e *effects) {
	if c, ok := l.conn.(stopNotifier); ok {
		c.NotifyStop(submission, index)
	}
	l.queueStop(p, stopRequest{submission: submission, index: index}, e)
}

func (l *link) queueStop(p *pool, r stopRequest, e *effects) {
	l.stopQueue = append(l.stopQueue, r)
	if l.sendingStops {
		return
	}
	l.sendingStops = true
	e.then(func() { go p.sendStopRequests(l) })
}

func (p *pool) sendStopRequests(l *link) {
	for {
		p.mu.Lock()
		if len(l.stopQueue) == 0 {
			l.sendingStops = false
			p.mu.Unlock()
			return
		}
		r := l.stopQueue[0]
		l.stopQueue = l.stopQueue[1:]
		p.mu.Unlock()
		p.holder.stats.stops.Add(1)
		if err := l.send(context.WithoutCancel(p.holder.ctx), r); err != nil {
			p.holder.opts.Log.Debug("stop request failed", "target", l.target.ID, "error", err)
		}
	}
}
