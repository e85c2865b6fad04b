package main

import (
	"io"
	"net"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// link is the network link from one entry to another: a TCP relay that can be broken.
type link struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	down  bool
	conns map[net.Conn]bool
}

func newLink(ts *testscript.TestScript, to string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	w := &link{listener: l, to: to, conns: map[net.Conn]bool{}}
	go w.run()
	ts.Defer(func() { _ = l.Close(); w.setDown(true) })
	return w
}

func (w *link) address() string { return w.listener.Addr().String() }

func (w *link) run() {
	for {
		in, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.relay(in)
	}
}

func (w *link) relay(in net.Conn) {
	out, err := net.Dial("tcp", w.to)
	if err != nil || !w.addConns(in, out) {
		_ = in.Close()
		if err == nil {
			_ = out.Close()
		}
		return
	}
	go w.copy(in, out)
	w.copy(out, in)
}

func (w *link) copy(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	w.closeConns(to, from)
}

func (w *link) addConns(conns ...net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range conns {
		w.conns[c] = true
	}
	return !w.down
}

func (w *link) closeConns(conns ...net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(w.conns, c)
	}
}

func (w *link) setDown(down bool) {
	w.mu.Lock()
	w.down = down
	var conns []net.Conn
	if down {
		for c := range w.conns {
			conns = append(conns, c)
		}
	}
	w.mu.Unlock()
	w.closeConns(conns...)
}
