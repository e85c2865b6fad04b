package api

import (
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// queueMost bounds the connections that a stopping listener takes in: the
	// kernel's queue holds 4,096 at most.
	queueMost = 4096
	// lastRequestTime is how long open connections may still bring a request,
	// whose answer tells the caller that the connection ends: above the few
	// milliseconds that a request takes from a caller.
	lastRequestTime = 20 * time.Millisecond
	// lingerTime bounds how long a connection whose end was sent is read on:
	// several round trips to a caller.
	lingerTime = 100 * time.Millisecond
	// lingerBytes is the buffer of what a lingering connection discards.
	lingerBytes = 4 << 10
)

// stopListener is a listener that ends without resetting anybody.
//
// When a process closes its listener, the kernel resets the connections that
// wait to be accepted, and closing a connection with unread bytes resets it too.
// Callers that had written a request then see a reset and can't tell whether it
// ran. So at a stop the listener takes what waits and refuses in one step, and
// its connections end with the end of their stream.
type stopListener struct {
	net.Listener
	log      *slog.Logger
	stopping atomic.Bool
	// waited are the connections that waited to be accepted at the stop.
	waited chan net.Conn
	// lingering counts the connections whose end the caller has not seen yet.
	lingering sync.WaitGroup
}

func newStopListener(l net.Listener) *stopListener {
	return &stopListener{Listener: l, log: slog.Default(), waited: make(chan net.Conn, queueMost)}
}

// Accept implements net.Listener. After a stop it returns the connections that
// waited and then net.ErrClosed.
func (l *stopListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil && l.stopping.Load() {
		conn, err = <-l.waited, nil
		if conn == nil {
			return nil, net.ErrClosed
		}
	}
	if err != nil {
		return nil, err
	}
	return &stopConn{Conn: conn, listener: l}, nil
}

// stop refuses new connections. Accept ends once what waited is handed out.
func (l *stopListener) stop() {
	l.stopping.Store(true)
	defer close(l.waited)
	defer l.Close()
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return
	}
	if err := l.takeAll(tcp); err != nil {
		l.log.Warn("connections that wait to be accepted are lost with the listener", "address", l.Addr().String(), "error", err)
	}
}

// takeAll accepts what waits, and has the kernel refuse the next connection
// right after it finds none. The two calls follow each other without a switch
// to another thread: whoever gets between them is reset.
func (l *stopListener) takeAll(tcp *net.TCPListener) error {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.Trace(err)
	}
	var taken []int
	err = raw.Control(func(fd uintptr) {
		dropArrivals(fd)
		for len(taken) < queueMost {
			conn, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err == nil {
				taken = append(taken, conn)
			} else if err != unix.EINTR && err != unix.ECONNABORTED {
				break
			}
		}
		_ = unix.Shutdown(int(fd), unix.SHUT_RDWR) // the close that follows does the same, later
	})
	for _, fd := range taken {
		l.handOut(fd)
	}
	return errors.Trace(err)
}

// dropArrivals has the kernel drop every packet that arrives for the listener
// itself, where it can: then nobody gets between the last accept and the close,
// and a caller that tries sends its first packet again, to be refused. Without
// it the listener is open for some microseconds more.
func dropArrivals(fd uintptr) {
	dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
	program := unix.SockFprog{Len: 1, Filter: &dropAll}
	_ = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
}

// handOut passes on an accepted descriptor.
func (l *stopListener) handOut(fd int) {
	f := os.NewFile(uintptr(fd), "accepted")
	defer f.Close()
	conn, err := net.FileConn(f)
	if err != nil {
		l.log.Warn("a connection that waited to be accepted is lost", "error", err)
		return
	}
	l.waited <- conn
}

// stopConn is a connection that ends without a reset once its listener stops.
type stopConn struct {
	net.Conn
	listener *stopListener
}

// Close implements net.Conn. While stopping it sends the end of the stream and
// leaves the rest to linger, because unread bytes would turn the end into a reset.
func (c *stopConn) Close() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || !c.listener.stopping.Load() || tcp.CloseWrite() != nil {
		return c.Conn.Close()
	}
	c.listener.lingering.Go(func() { linger(tcp) })
	return nil
}

// linger reads on until the caller has seen the end of the stream.
func linger(conn *net.TCPConn) {
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(lingerTime)) // fails only on a closed connection
	discard := make([]byte, lingerBytes)
	for {
		if _, err := conn.Read(discard); err != nil {
			return
		}
	}
}

// Closing makes each answer that is given while draining holds close its
// connection, so that callers move on to where they are served.
func Closing(next http.Handler, draining func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&closingWriter{ResponseWriter: w, draining: draining}, r)
	})
}

// closingWriter looks again when the answer is written, for requests that
// began before the stop.
type closingWriter struct {
	http.ResponseWriter
	draining func() bool
	began    bool
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(code int) {
	if w.draining() {
		w.Header().Set("Connection", "close")
	}
	w.began = true
	w.ResponseWriter.WriteHeader(code)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(p []byte) (int, error) {
	if !w.began {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
