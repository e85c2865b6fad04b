package vmmemory

import "syscall"

// Total returns the memory of this machine in bytes, or zero if it is unknown.
func Total() int64 {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}
