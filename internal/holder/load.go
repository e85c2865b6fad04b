package holder

import (
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
)

// Load returns the current load of one pool, as reported to owners.
func (h *Holder) Load(name string) job.HolderLoad {
	h.mu.RLock()
	p := h.pools[name]
	h.mu.RUnlock()
	l := job.HolderLoad{Pool: name}
	if p != nil {
		l = p.load()
	}
	l.Entry, l.Zone = h.opts.Self.Entry, h.opts.Self.Zone
	return l
}

// priorityCounts returns the counts of jobs by priority, summed over all pools.
func (h *Holder) priorityCounts() map[int]scheduler.LevelCounts {
	var out map[int]scheduler.LevelCounts
	for _, p := range h.allPools() {
		p.mu.Lock()
		for priority, n := range p.sched.CountsByPriority() {
			if out == nil {
				out = map[int]scheduler.LevelCounts{}
			}
			out[priority] = out[priority].Plus(n)
		}
		p.mu.Unlock()
	}
	return out
}

// PriorityCounts returns the counts of jobs of one priority.
func (h *Holder) PriorityCounts(priority int) scheduler.LevelCounts {
	return h.priorityCounts()[priority]
}
