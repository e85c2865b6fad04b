package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// leastTime is how much processor time one measurement takes at least; the
// clock of the operating system then adds under 1%.
const leastTime = 300 * time.Millisecond

// processorTime returns the user and system time of this process, the
// collector's included.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		// The call fails only for a wrong argument.
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// perCall returns the processor time of one call of f, which is called with
// rising numbers until least has been spent.
func perCall(least time.Duration, f func(i int)) time.Duration {
	runtime.GC()
	began := processorTime()
	const step = 16
	for calls := 0; ; {
		for range step {
			f(calls)
			calls++
		}
		if spent := processorTime() - began; spent >= least {
			return spent / time.Duration(calls)
		}
	}
}

// heapOf returns the heap that what build returns keeps.
func heapOf(build func() any) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	return max(0, float64(after)-float64(before))
}

func heap() uint64 {
	// The first collection runs finalizers' objects free, the second counts.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
