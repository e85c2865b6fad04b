//go:build !linux

package target

import "syscall"

// setUserTimeout does nothing on systems other than Linux.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
