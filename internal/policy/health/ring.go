package health

import (
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/estimate"
)

const (
	// ringSize is the number of targets whose last outcome with one kind is kept. Two
	// thirds of them, eleven failures, show that a kind fails everywhere.
	ringSize = 16
	// maxKinds bounds the number of rings, since callers choose the kinds. Kinds beyond
	// it share one ring.
	maxKinds = 1024
)

// outcomeRing holds the last outcome of a kind of task on each of the most recent
// targets.
type outcomeRing struct {
	entries [ringSize]entry
	next    int
}

type entry struct {
	id     job.TargetID
	failed bool
}

func (f *Fleet) outcomeRing(kind estimate.Kind) *outcomeRing {
	r := f.kinds[kind]
	if r != nil {
		return r
	}
	if len(f.kinds) >= maxKinds {
		kind = estimate.Kind{}
		if r = f.kinds[kind]; r != nil {
			return r
		}
	}
	r = &outcomeRing{}
	f.kinds[kind] = r
	return r
}

// put replaces the target's older outcome, so that one target that is used often doesn't
// fill the ring with its own failures.
func (r *outcomeRing) put(id job.TargetID, failed bool) {
	for i := range r.entries {
		if r.entries[i].id == id {
			r.entries[i].failed = failed
			return
		}
	}
	r.entries[r.next] = entry{id, failed}
	r.next = (r.next + 1) % ringSize
}

// failing returns the share of the other targets that failed.
func (r *outcomeRing) failing(except job.TargetID) float64 {
	n, failures := 0, 0
	for i := range r.entries {
		e := &r.entries[i]
		if e.id == "" || e.id == except {
			continue
		}
		n++
		if e.failed {
			failures++
		}
	}
	if n == 0 {
		return 0
	}
	return float64(failures) / float64(n)
}
