package peer

import (
	"sync"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// remote is one known peer and its link, if there is one.
type remote struct {
	Peer
	// removed is closed when the peer is removed.
	removed chan struct{}
	// replaceMu is held while one link replaces another, so that no request of
	// the new link is read before reading from the old one has ended.
	replaceMu sync.Mutex
	mu        sync.RWMutex
	link      *link
	// refused is set if the peer's machine refused the last connection.
	refused atomic.Bool
	// probing is set while this entry probes whether the peer's process is running.
	probing atomic.Bool
	// persistent is set while the link is to be kept open permanently. neededUntil
	// is when the last demand for the link ends and lastFailure when opening it
	// failed last, both in Unix nanoseconds.
	persistent               atomic.Bool
	neededUntil, lastFailure atomic.Int64
	// wake wakes the goroutine that opens the link when it is needed. changed is
	// closed and replaced when a link comes up or breaks.
	wake    chan struct{}
	changed chan struct{}
}

func newRemote(p Peer) *remote {
	return &remote{Peer: p, removed: make(chan struct{}), wake: make(chan struct{}, 1), changed: make(chan struct{})}
}

// address returns where the peer accepts links. It changes when the peer's VM is
// replaced.
func (r *remote) address() string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.Address
}

// current returns the open link, or nil.
func (r *remote) current() *link {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.link
}

func (l *Links) remote(id job.EntryID) *remote {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.remotes[id]
}

func (l *Links) all() []*remote {
	l.mu.RLock()
	defer l.mu.RUnlock()
	out := make([]*remote, 0, len(l.remotes))
	for _, r := range l.remotes {
		out = append(out, r)
	}
	return out
}

// Add adds an entry to link with, or updates the address of a known one.
func (l *Links) Add(p Peer) {
	if p.Entry == l.opts.Self.Entry {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.remotes[p.Entry]; r != nil {
		r.mu.Lock()
		r.Address = p.Address
		r.mu.Unlock()
		return
	}
	r := newRemote(p)
	r.persistent.Store(l.persistentIDs == nil || l.persistentIDs[p.Entry])
	l.remotes[p.Entry] = r
	if l.startLoop != nil && !l.closed {
		l.startLoop(r)
	}
}

// Remove removes an entry that is permanently gone and closes its link.
func (l *Links) Remove(id job.EntryID) {
	l.mu.Lock()
	r := l.remotes[id]
	delete(l.remotes, id)
	l.mu.Unlock()
	if r == nil {
		return
	}
	close(r.removed)
	if k := r.current(); k != nil {
		k.abort()
	}
}

func (r *remote) setLink(k *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.link = k
	r.signalChange()
}

// signalChange wakes all goroutines that wait for a change of the link. The caller
// holds r.mu.
func (r *remote) signalChange() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// state returns the open link, or nil, and a channel that is closed when that
// changes.
func (r *remote) state() (*link, <-chan struct{}) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.link, r.changed
}

// clearLink removes k and reports whether k was still the current link.
func (r *remote) clearLink(k *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != k {
		return false
	}
	r.link = nil
	r.signalChange()
	return true
}

func (r *remote) checkOwner(o job.Owner) error {
	if o.Entry != r.Entry || o.Zone != r.Zone {
		return errors.Annotatef(ErrHandshake, "it says that it is %s in zone %s, settings say %s in %s", o.Entry, o.Zone, r.Entry, r.Zone)
	}
	return nil
}
