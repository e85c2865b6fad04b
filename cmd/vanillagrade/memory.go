package main

import (
	"math"
	"runtime/debug"

	"github.com/vanillagrade/vanillagrade/internal/policy/memory"
	"github.com/vanillagrade/vanillagrade/internal/settings"
)

// limitHeap sets the soft limit of the garbage collector unless the environment sets one
// (GOMEMLIMIT).
func limitHeap(s *settings.Entry) {
	if debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(memory.Share(s.Memory()).Heap)
	}
}
