package api

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// closedByPeer reports whether the peer has closed or reset a connection. It only peeks at
// the received data, because the server reads the connection at the same time.
func closedByPeer(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	gone := false
	err = control.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		gone = err == nil && n == 0 || err == unix.ECONNRESET || err == unix.EPIPE
	})
	return err != nil || gone
}
