package target

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/juju/errors"
)

// errSealed is returned for a write on a connection that was declared unused.
const errSealed = errors.ConstError("connection sealed before its first write")

// trackedConn knows whether any byte of the request at hand may have left.
type trackedConn struct {
	net.Conn

	mu      sync.Mutex
	sealed  bool
	writing bool
	wrote   int64
}

// trackedDial makes a dialler's connections tracked ones.
func trackedDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: c}, nil
	}
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writing = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writing = false
	c.wrote += int64(n)
	c.mu.Unlock()
	return n, err
}

// begin starts the account of a new request. The connection carries one
// request at a time.
func (c *trackedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = 0
}

// seal lets no later write through and reports whether none came before: then
// the target provably got nothing. The transport may still hold the request
// when it reports an error, so looking without sealing would prove nothing.
func (c *trackedConn) seal() (unused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return !c.writing && c.wrote == 0
}

// flight follows one request through the transport.
type flight struct {
	// unwanted is asked when the request has its connection.
	unwanted func() bool

	mu     sync.Mutex
	taken  bool
	conn   *trackedConn
	reused bool
	sent   bool
}

// trace returns the hooks that tell the flight which connection it took.
func (f *flight) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: f.gotConn}
}

func (f *flight) gotConn(info httptrace.GotConnInfo) {
	c, tracked := info.Conn.(*trackedConn)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil && !f.conn.seal() {
		f.sent = true
	}
	if !tracked {
		f.sent = true
		return
	}
	c.begin()
	f.conn = c
	f.reused = info.Reused
	if f.taken = f.unwanted(); f.taken {
		c.seal()
	}
}

// withdrawn reports whether the task was unwanted when it had its connection.
func (f *flight) withdrawn() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.taken
}

// unsent reports, after an error, whether no byte of the request has left or
// ever will.
func (f *flight) unsent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil && !f.conn.seal() {
		f.sent = true
	}
	return !f.sent
}

// stale reports whether the request met a connection that had been used
// before: an unsent request then says nothing about the target.
func (f *flight) stale() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reused
}
