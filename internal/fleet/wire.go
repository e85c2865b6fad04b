package fleet

import (
	"net"
	"sync"

	"github.com/juju/errors"
)

// wire is the way from one entry to another's peer listener. It can be cut
// like a network: bytes stop, in both directions, and nobody is told. Closed
// sockets would be noticed at once, which a real cut is not.
type wire struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	open  *sync.Cond
	cut   bool
	done  bool
	conns map[net.Conn]bool
}

func newWire(target string) (*wire, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	w := &wire{listener: l, target: target, conns: map[net.Conn]bool{}}
	w.open = sync.NewCond(&w.mu)
	go w.accept()
	return w, nil
}

func (w *wire) address() string { return w.listener.Addr().String() }

func (w *wire) accept() {
	for {
		near, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.join(near)
	}
}

// join dials the far side once the wire is whole and copies both ways.
func (w *wire) join(near net.Conn) {
	if !w.track(near) {
		return
	}
	far, err := net.Dial("tcp", w.target)
	if err != nil || !w.track(far) {
		near.Close()
		return
	}
	go w.copy(far, near)
	w.copy(near, far)
}

func (w *wire) track(c net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		c.Close()
		return false
	}
	w.conns[c] = true
	return w.whole()
}

// whole waits until the wire is not cut; the caller holds the lock.
func (w *wire) whole() bool {
	for w.cut && !w.done {
		w.open.Wait()
	}
	return !w.done
}

func (w *wire) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			w.mu.Lock()
			ok := w.whole()
			w.mu.Unlock()
			if !ok {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// set cuts or restores the wire.
func (w *wire) set(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
	w.open.Broadcast()
}

func (w *wire) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	w.listener.Close()
	for c := range w.conns {
		c.Close()
	}
	w.open.Broadcast()
}
