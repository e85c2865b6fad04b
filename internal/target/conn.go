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

// errSealed is returned for a write on a sealed connection.
const errSealed = errors.ConstError("connection sealed before its first write")

// closeWaitTimeout bounds how long a connection that was closed here still counts while the
// target has not closed its side: a few round trips plus a pause of a busy VM.
const closeWaitTimeout = 200 * time.Millisecond

// trackedConn records whether any byte of the current request may have been sent.
type trackedConn struct {
	net.Conn
	// permits limits the connections of the link. Closing the connection returns
	// its permit.
	permits   chan struct{}
	closeOnce sync.Once

	mu      sync.Mutex
	sealed  bool
	writing bool
	written int64
}

// trackedDial wraps dial so that it returns tracked connections and at most the given number
// are open at a time. The transport counts a connection until it closes it, the target until
// it has read the close. Without the wait for the target's close, a closed connection and its
// replacement would briefly count as two there, and a target at its limit would reject
// another entry's connection.
func trackedDial(dial DialFunc, connections int) DialFunc {
	permits := make(chan struct{}, connections)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case permits <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		c, err := dial(ctx, network, address)
		if err != nil {
			<-permits
			return nil, err
		}
		return &trackedConn{Conn: c, permits: permits}, nil
	}
}

// halfCloser is a connection whose write side can be closed separately.
type halfCloser interface{ CloseWrite() error }

// Close implements net.Conn. It returns the permit once the target has closed its side as
// well, or after closeWaitTimeout.
func (c *trackedConn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		half, ok := c.Conn.(halfCloser)
		if !ok || half.CloseWrite() != nil {
			err = c.Conn.Close()
			<-c.permits
			return
		}
		go c.awaitPeerClose()
	})
	return err
}

// awaitPeerClose reads until the target has closed its side.
func (c *trackedConn) awaitPeerClose() {
	defer func() { <-c.permits }()
	// If the deadline can't be set, the connection is closed immediately.
	if c.Conn.SetReadDeadline(time.Now().Add(closeWaitTimeout)) == nil {
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
	c.written += int64(n)
	c.mu.Unlock()
	return n, err
}

// resetCount resets the byte count for a new request. The connection carries one
// request at a time.
func (c *trackedConn) resetCount() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = 0
}

// seal fails all later writes and reports whether the connection is unused by the current
// request, so that the target provably received nothing of it. When the transport reports an
// error, it may still be about to write the request, so a check without sealing would prove
// nothing.
func (c *trackedConn) seal() (unused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return !c.writing && c.written == 0
}

// requestTracker tracks one request through the transport.
type requestTracker struct {
	// isUnwanted is called once the request has a connection.
	isUnwanted func() bool

	mu          sync.Mutex
	wasUnwanted bool
	conn        *trackedConn
	reused      bool
	sent        bool
}

// trace returns the hooks that record the connection of the request.
func (f *requestTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: f.gotConn}
}

func (f *requestTracker) gotConn(info httptrace.GotConnInfo) {
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
	c.resetCount()
	f.conn = c
	f.reused = info.Reused
	if f.wasUnwanted = f.isUnwanted(); f.wasUnwanted {
		c.seal()
	}
}

// cancelled reports whether the task was unwanted when the request got its
// connection.
func (f *requestTracker) cancelled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wasUnwanted
}

// unsent reports, after an error, whether no byte of the request was or ever will
// be sent.
func (f *requestTracker) unsent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil && !f.conn.seal() {
		f.sent = true
	}
	return !f.sent
}

// reusedConn reports whether the request got a connection that had been used
// before. An unsent request then says nothing about the target's state.
func (f *requestTracker) reusedConn() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reused
}
