//go:build !linux

package target

import "syscall"

// limitSilence does nothing where TCP_USER_TIMEOUT is not known.
func limitSilence(_, _ string, _ syscall.RawConn) error { return nil }
