package holder

import (
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// cordonedDetail explains the outcome of tasks that a cordoned holder returns.
const cordonedDetail = "the availability zone is cordoned"

// SetCordoned sets whether the zone is cordoned. While it is, the holder starts no task and
// returns what is queued and what it is offered as not started. Running tasks continue, and the
// targets remain held.
func (h *Holder) SetCordoned(cordoned bool) {
	h.mu.Lock()
	h.cordoned = cordoned
	pools := h.sortedPools()
	h.mu.Unlock()
	for _, p := range pools {
		p.update(func(time.Time, *effects) { p.cordoned = cordoned })
	}
}

// returnAllQueued returns the queued tasks of all batches, so that their owners can place them
// in other zones.
func (p *pool) returnAllQueued(now time.Time, e *effects) {
	for _, b := range p.batches {
		if b.reported {
			continue
		}
		p.returnQueued(now, b, job.ZoneCordoned, cordonedDetail)
		p.finishIfDone(now, b, e)
	}
}
