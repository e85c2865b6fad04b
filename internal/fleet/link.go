package fleet

import (
	"net"
	"sync"

	"github.com/juju/errors"
)

// link forwards connections from one entry to another's peer listener. It can
// be cut to simulate a network partition: bytes stop in both directions while
// the sockets stay open. The entries would notice closed sockets at once, which
// does not happen in a real partition.
type link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed *sync.Cond
	cut     bool
	closed  bool
	conns   map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	l := &link{listener: listener, target: target, conns: map[net.Conn]bool{}}
	l.changed = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(near)
	}
}

// forward dials the far side once the link is not cut, and copies in both
// directions.
func (l *link) forward(near net.Conn) {
	if !l.track(near) {
		return
	}
	far, err := net.Dial("tcp", l.target)
	if err != nil || !l.track(far) {
		near.Close()
		return
	}
	go l.copy(far, near)
	l.copy(near, far)
}

func (l *link) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.Close()
		return false
	}
	l.conns[c] = true
	return l.waitRestored()
}

// waitRestored waits until the link is not cut and reports whether it is still
// open. The caller must hold the lock.
func (l *link) waitRestored() bool {
	for l.cut && !l.closed {
		l.changed.Wait()
	}
	return !l.closed
}

func (l *link) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			l.mu.Lock()
			ok := l.waitRestored()
			l.mu.Unlock()
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

// setCut cuts or restores the link.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	l.changed.Broadcast()
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.listener.Close()
	for c := range l.conns {
		c.Close()
	}
	l.changed.Broadcast()
}
