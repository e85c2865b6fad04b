package target

import "syscall"

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, which package syscall does not
// define. Its unit is milliseconds.
const tcpUserTimeout = 0x12

// setUserTimeout bounds how long written data may stay unacknowledged. TCP sends no
// keepalive probes while data is unacknowledged. Without this limit, the loss of a
// target while a task is being written would be detected only after the kernel's
// retransmissions, which take about 15 minutes.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unresponsiveTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
