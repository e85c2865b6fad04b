package main

import (
	"io"
	"net"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// wire is the cable from one entry to another: a relay that can be cut.
type wire struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	down  bool
	conns map[net.Conn]bool
}

func newWire(ts *testscript.TestScript, to string) *wire {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	w := &wire{listener: l, to: to, conns: map[net.Conn]bool{}}
	go w.run()
	ts.Defer(func() { _ = l.Close(); w.set(true) })
	return w
}

func (w *wire) address() string { return w.listener.Addr().String() }

func (w *wire) run() {
	for {
		in, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.relay(in)
	}
}

func (w *wire) relay(in net.Conn) {
	out, err := net.Dial("tcp", w.to)
	if err != nil || !w.add(in, out) {
		_ = in.Close()
		if err == nil {
			_ = out.Close()
		}
		return
	}
	go w.copy(in, out)
	w.copy(out, in)
}

func (w *wire) copy(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	w.drop(to, from)
}

func (w *wire) add(conns ...net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range conns {
		w.conns[c] = true
	}
	return !w.down
}

func (w *wire) drop(conns ...net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(w.conns, c)
	}
}

func (w *wire) set(down bool) {
	w.mu.Lock()
	w.down = down
	var conns []net.Conn
	if down {
		for c := range w.conns {
			conns = append(conns, c)
		}
	}
	w.mu.Unlock()
	w.drop(conns...)
}
