package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/speed"
)

// MeasuredSpeed is the estimated speed of a target on which this holder measured tasks.
type MeasuredSpeed struct {
	Target job.Target
	speed.Estimate
}

// UseSpeed makes the speed of a target start from a record. It returns false if the target is
// unknown or the holder's own measurements are more certain.
func (p *Pool) UseSpeed(now time.Time, id job.TargetID, e speed.Estimate) bool {
	t := p.targets[id]
	if t == nil || t.removed || p.opts.NoSpeedRecords || !p.fleet.UseRecord(&t.health, &e) {
		return false
	}
	p.updateUnevenTargets(now)
	p.rerank(now, t)
	return true
}

// Speeds returns the speeds of the targets on which at least minReportedSamples tasks were
// measured here, in the order of their ids. While the targets of the pool differ by less than
// unevenPace, it returns only those with a record, which may be wrong.
func (p *Pool) Speeds(now time.Time) []MeasuredSpeed {
	var out []MeasuredSpeed
	for _, t := range p.targets {
		if t.removed || t.health.Measured() < minReportedSamples || !p.unevenTargets && !t.health.Recorded() {
			continue
		}
		e := p.fleet.Speed(&t.health)
		e.Age = max(0, now.Sub(t.lastMeasured))
		out = append(out, MeasuredSpeed{t.announced, e})
	}
	slices.SortFunc(out, func(a, b MeasuredSpeed) int { return cmp.Compare(a.Target.ID, b.Target.ID) })
	return out
}

// minReportedSamples is the number of tasks from which the speed of a target is reported:
// below it, chance explains a factor of 2.
const minReportedSamples = 5

// TakeSpeedCorrection returns the record of a target that measurements have contradicted, and
// the speed by these measurements. It returns each correction once.
func (p *Pool) TakeSpeedCorrection(id job.TargetID) (record, measured speed.Estimate, corrected bool) {
	t := p.targets[id]
	if t == nil {
		return record, measured, false
	}
	if record, corrected = t.health.TakeCorrected(); !corrected {
		return record, measured, false
	}
	return record, p.fleet.Speed(&t.health), true
}

// keepSpeed makes a target that has restarted start from the speed of its former process,
// unless its address or its size has changed.
func (p *Pool) keepSpeed(now time.Time, t *target, former speed.Estimate, announced *job.Target) {
	if !t.lastMeasured.IsZero() {
		former.Age = max(0, now.Sub(t.lastMeasured))
	}
	same := announced.Address == t.announced.Address && speed.KindOf(announced) == speed.KindOf(&t.announced)
	if same && p.unevenTargets && !p.opts.NoSpeedRecords {
		p.fleet.UseRecord(&t.health, &former)
	}
}
