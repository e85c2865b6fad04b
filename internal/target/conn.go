package target

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/juju/errors"
)

// errSealed is returned for a write on a connection that was declared unused.
const errSealed = errors.ConstError("connection sealed before its first write")

// closingTime bounds how long a connection that was closed here counts until the target has
// closed it too: some round trips, and the pause of a busy VM.
const closingTime = 200 * time.Millisecond

// trackedConn knows whether any byte of the request at hand may have left.
type trackedConn struct {
	net.Conn
	// places are those of a link's connections; closing gives this one's back.
	places  chan struct{}
	closing sync.Once

	mu      sync.Mutex
	sealed  bool
	writing bool
	wrote   int64
}

// trackedDial makes a dialler's connections tracked ones, so many at a time. The transport
// counts a connection until it closes it; the target counts it until it has read that. One
// that was closed and one that takes its place would be one too many there for a moment,
// and a target at its limit turns somebody else away.
func trackedDial(dial DialFunc, connections int) DialFunc {
	places := make(chan struct{}, connections)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case places <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		c, err := dial(ctx, network, address)
		if err != nil {
			<-places
			return nil, err
		}
		return &trackedConn{Conn: c, places: places}, nil
	}
}

// halfCloser is a connection whose sending half can be closed by itself.
type halfCloser interface{ CloseWrite() error }

// Close implements net.Conn. The place is free once the target has closed its side as well,
// or closingTime has passed.
func (c *trackedConn) Close() error {
	var err error
	c.closing.Do(func() {
		half, ok := c.Conn.(halfCloser)
		if !ok || half.CloseWrite() != nil {
			err = c.Conn.Close()
			<-c.places
			return
		}
		go c.awaitEnd()
	})
	return err
}

// awaitEnd reads until the target has closed its side.
func (c *trackedConn) awaitEnd() {
	defer func() { <-c.places }()
	// A connection that can't be given a deadline is closed at once.
	if c.Conn.SetReadDeadline(time.Now().Add(closingTime)) == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	_ = c.Conn.Close()
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
