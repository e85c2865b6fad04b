package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// minMeasureTime is the minimum processor time of one measurement. It keeps the
// error from the operating system's clock under 1%.
const minMeasureTime = 300 * time.Millisecond

// cpuTime returns the user and system time of this process, including that of
// the garbage collector.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		// The call fails only for an invalid argument.
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cpuPerCall returns the mean processor time of one call of f. It calls f with
// increasing numbers until the process has spent minTime.
func cpuPerCall(minTime time.Duration, f func(i int)) time.Duration {
	runtime.GC()
	start := cpuTime()
	const step = 16
	for calls := 0; ; {
		for range step {
			f(calls)
			calls++
		}
		if spent := cpuTime() - start; spent >= minTime {
			return spent / time.Duration(calls)
		}
	}
}

// retainedHeap returns the heap, in bytes, that the result of build retains.
func retainedHeap(build func() any) float64 {
	before := heapBytes()
	result := build()
	after := heapBytes()
	runtime.KeepAlive(result)
	return max(0, float64(after)-float64(before))
}

func heapBytes() uint64 {
	// The first collection runs finalizers; the second frees their objects.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
