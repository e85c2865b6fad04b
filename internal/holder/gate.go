package holder

import (
	"context"
	"sync"

	"github.com/juju/errors"
)

// gate counts the batches inside and, once shut, lets no more in. Counting and
// shutting share one lock: a batch that came in between would be cut off by a
// stop that believes to have waited for all.
type gate struct {
	mu     sync.Mutex
	shut   bool
	inside int
	empty  chan struct{}
}

func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		return false
	}
	g.inside++
	return true
}

// hold counts once more for a batch that is inside. Its report goes out without
// a lock, and its last task may end elsewhere at the same moment: without a
// count of its own, a stop could end the process before the report is sent.
func (g *gate) hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inside++
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inside--
	if g.inside == 0 && g.empty != nil {
		close(g.empty)
		g.empty = nil
	}
}

// close shuts the gate and returns a channel that is closed when none is
// inside.
func (g *gate) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = true
	if g.empty == nil {
		g.empty = make(chan struct{})
	}
	empty := g.empty
	if g.inside == 0 {
		close(g.empty)
		g.empty = nil
	}
	return empty
}

// Drain refuses new batches and waits until every accepted one has ended, its
// last task at its target included. The targets stay held meanwhile.
func (h *Holder) Drain(ctx context.Context) error {
	select {
	case <-h.gate.close():
		return nil
	case <-ctx.Done():
		h.gate.mu.Lock()
		defer h.gate.mu.Unlock()
		return errors.Annotatef(ctx.Err(), "%d batches and reports are still out", h.gate.inside)
	}
}
