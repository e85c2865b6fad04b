package target

import "syscall"

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, which package syscall
// does not name. Unit: milliseconds.
const tcpUserTimeout = 0x12

// limitSilence bounds how long written data may stay unacknowledged. Keepalive
// probes are not sent while data waits for its acknowledgement, so without the
// bound a target that vanished while a task was written is noticed only after
// the kernel's retransmissions, about 15 minutes.
func limitSilence(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silentTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
