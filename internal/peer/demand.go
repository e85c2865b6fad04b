package peer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Load pattern: hundreds of entries, each of which works with a few dozen others. A link
// for every pair would mean thousands of connections, all opened when the fleet starts, in
// the same second in which callers arrive, and kept alive ever after. A large fleet therefore
// keeps only the links that carry heartbeats open. All others are opened on demand and closed
// when they have been idle for a while.

const (
	// demandPeriod is how long a link that was opened on demand stays open while it
	// is idle.
	demandPeriod = 20 * time.Second
	// linkOpenTimeout is how long a call waits for a link to be opened: a few round trips
	// plus a pause of a busy VM.
	linkOpenTimeout = 300 * time.Millisecond
	// failureBackoff is how long calls fail without waiting, counted from the last time
	// that the link could not be opened.
	failureBackoff = time.Second
)

// errWillDialBack ends the handshake of an entry that asked for a link which this entry
// has to dial.
const errWillDialBack = errors.ConstError("peer: dialled back")

// SetPersistent sets the entries to which links are kept open permanently; nil means all.
// Links to other entries are opened on demand.
func (l *Links) SetPersistent(ids []job.EntryID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.persistentIDs = nil
	if ids != nil {
		l.persistentIDs = make(map[job.EntryID]bool, len(ids))
		for _, id := range ids {
			l.persistentIDs[id] = true
		}
	}
	for id, r := range l.remotes {
		r.persistent.Store(l.persistentIDs == nil || l.persistentIDs[id])
		r.signal()
	}
}

// sparse reports whether only some links are kept open permanently.
func (l *Links) sparse() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.persistentIDs != nil
}

func (r *remote) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// demand requests that the link be open for the given period.
func (r *remote) demand(period time.Duration) {
	r.neededUntil.Store(time.Now().Add(period).UnixNano())
	r.signal()
}

// needed reports whether the link should be open now.
func (r *remote) needed() bool { return r.persistent.Load() || r.isDemanded() }

func (r *remote) isDemanded() bool { return time.Now().UnixNano() < r.neededUntil.Load() }

// failedRecently reports whether opening the link failed within failureBackoff.
func (r *remote) failedRecently() bool {
	return time.Since(time.Unix(0, r.lastFailure.Load())) < failureBackoff
}

// waitUntilNeeded waits until the link is needed. It returns false if ctx ends first.
func (r *remote) waitUntilNeeded(ctx context.Context) bool {
	for !r.needed() {
		select {
		case <-ctx.Done():
			return false
		case <-r.wake:
		}
	}
	return ctx.Err() == nil
}

// linkTo returns the link to an entry for a call. If not all links are kept open, it has
// the link opened. It returns nil if there is no link within linkOpenTimeout.
func (l *Links) linkTo(ctx context.Context, to job.EntryID) *link {
	r := l.remote(to)
	if r == nil {
		return nil
	}
	if k := r.current(); k != nil {
		return k
	}
	if !l.sparse() || r.failedRecently() {
		return nil
	}
	r.demand(l.demandPeriod)
	timer := time.NewTimer(linkOpenTimeout)
	defer timer.Stop()
	for {
		k, changed := r.state()
		if k != nil {
			return k
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// dialGracePeriod is how long an entry waits to be dialled for a persistent link before it
// asks for it. The other side usually keeps the same link open and dials by itself.
const dialGracePeriod = 150 * time.Millisecond

// dialRequestLoop asks the peer to dial this entry while the link is needed. The entry with
// the smaller name dials, and it may not need the link itself.
func (l *Links) dialRequestLoop(ctx context.Context, r *remote) {
	delay := minRedialDelay
	for r.waitUntilNeeded(ctx) {
		k, changed := r.state()
		wait := delay
		switch {
		case k != nil || !l.sparse():
			wait, delay = 0, minRedialDelay
		case delay == minRedialDelay && !r.isDemanded():
			wait, delay = dialGracePeriod, 2*minRedialDelay
		default:
			l.requestDial(ctx, r)
			delay = min(2*delay, maxRedialDelay)
		}
		if !r.waitForChange(ctx, changed, wait) {
			return
		}
	}
}

// waitForChange waits until the link or the need for it changes, or until wait has passed.
// A wait of zero means no limit. It returns false if ctx ends first.
func (r *remote) waitForChange(ctx context.Context, changed <-chan struct{}, wait time.Duration) bool {
	var timeout <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-r.wake:
	case <-timeout:
	}
	return true
}

// requestDial opens a connection whose hello makes the peer dial this entry.
func (l *Links) requestDial(ctx context.Context, r *remote) {
	if k, err := l.open(ctx, r); err == nil { // unexpected: the peer should refuse the handshake
		_ = k.conn.CloseNow()
	}
}
