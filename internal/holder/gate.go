package holder

import (
	"context"
	"sync"

	"github.com/juju/errors"
)

// gate counts the active batches and, once closed, admits no new ones. Counting
// and closing share one lock: otherwise Drain could miss a batch that enters
// while the gate closes, and the stop would cut that batch off.
type gate struct {
	mu     sync.Mutex
	closed bool
	active int
	empty  chan struct{}
}

func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.active++
	return true
}

// addReport counts the report of an active batch. The report is sent without
// the lock, while the last task of the batch may end in another goroutine:
// without its own count, a stop could end the process before the report is sent.
func (g *gate) addReport() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active++
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	if g.active == 0 && g.empty != nil {
		close(g.empty)
		g.empty = nil
	}
}

// close closes the gate and returns a channel that is closed once no batch or
// report is active.
func (g *gate) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.empty == nil {
		g.empty = make(chan struct{})
	}
	empty := g.empty
	if g.active == 0 {
		close(g.empty)
		g.empty = nil
	}
	return empty
}

// Drain refuses new batches and waits until every accepted batch has ended,
// including its last task on a target. The entry keeps its targets meanwhile.
func (h *Holder) Drain(ctx context.Context) error {
	select {
	case <-h.gate.close():
		return nil
	case <-ctx.Done():
		h.gate.mu.Lock()
		defer h.gate.mu.Unlock()
		return errors.Annotatef(ctx.Err(), "%d batches and reports are still in progress", h.gate.active)
	}
}
