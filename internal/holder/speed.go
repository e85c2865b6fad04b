package holder

import (
	"fmt"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/speed"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// UseSpeed makes the speed of a held target start from a record, unless the holder's own
// measurements are more certain.
func (h *Holder) UseSpeed(id job.TargetID, e speed.Estimate) {
	h.mu.RLock()
	p := h.poolOf[id]
	h.mu.RUnlock()
	if p == nil {
		return
	}
	used := false
	p.update(func(now time.Time, _ *effects) { used = p.sched.UseSpeed(now, id, e) })
	if !used {
		return
	}
	source := "its machine"
	if e.OfKind {
		source = "other targets of its kind"
	}
	p.record(timeline.Event{Kind: timeline.TargetSpeedUsed, Target: id, Cause: fmt.Sprintf("the record of %s: %s", source, describeSpeed(&e))})
}

// Speeds returns the speeds that were measured on the targets of all pools.
func (h *Holder) Speeds() []scheduler.MeasuredSpeed {
	var out []scheduler.MeasuredSpeed
	for _, p := range h.allPools() {
		p.mu.Lock()
		out = append(out, p.sched.Speeds(time.Now())...)
		p.mu.Unlock()
	}
	return out
}

// recordSpeedCorrection records that measurements have contradicted the speed record of a
// target.
func (p *pool) recordSpeedCorrection(id job.TargetID) {
	if record, measured, corrected := p.sched.TakeSpeedCorrection(id); corrected {
		p.record(timeline.Event{Kind: timeline.TargetSpeedCorrected, Target: id, Cause: fmt.Sprintf("recorded %s; measured %s", describeSpeed(&record), describeSpeed(&measured))})
	}
}

func describeSpeed(e *speed.Estimate) string {
	return fmt.Sprintf("%.2f times the typical run time, %.0f samples, last %s ago", e.Factor(), e.Samples, e.Age.Round(time.Second))
}
