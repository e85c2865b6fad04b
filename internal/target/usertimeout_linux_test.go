package target

import (
	"net"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A target's machine loses power and sends no FIN, RST or acknowledgement. Only the
// socket's own timeouts end the wait; without them, its jobs would hang for minutes.
func TestConnectionsDetectUnresponsivePeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	c, err := NewClient(ClientOptions{}).opts.Dial(t.Context(), "tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = c.Close() }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	limit := int(unresponsiveTimeout.Milliseconds())
	qt.Assert(t, raw.Control(func(fd uintptr) {
		options := []struct{ level, option, want int }{
			{syscall.IPPROTO_TCP, tcpUserTimeout, limit},
			{syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1},
			{syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, limit / 2000},
			{syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, limit / 4000},
			{syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, 2},
		}
		for _, o := range options {
			got, err := syscall.GetsockoptInt(int(fd), o.level, o.option)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, got, qt.Equals, o.want)
		}
	}), qt.IsNil)
}
