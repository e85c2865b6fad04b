package holder

import "github.com/vanillagrade/vanillagrade/internal/job"

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
