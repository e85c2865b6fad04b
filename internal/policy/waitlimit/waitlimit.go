// Package waitlimit decides what part of a job's slack, the time that its latency
// objective leaves, the job may be expected to wait for its start.
//
// Load pattern: more jobs with an objective arrive than the targets can run, of kinds
// that differ in how many slots each needs at once and in how long it can wait. Two
// problems arise. First, estimates are never exact: more urgent work that arrives later
// goes first, and run times are off. If every job that is expected to meet its objective
// were admitted, many would wait and then be abandoned. Second, kinds that need few
// slots, or can wait long, take each slot that becomes free before a wide kind with
// little slack ever finds enough of them: the callers of that kind are nearly always
// refused while the others' are served.
//
// Both are corrected by feedback. The part shrinks as admitted jobs start too late to
// meet their objective, and a kind gets a larger part the smaller its share of admitted
// jobs is compared to the other kinds.
package waitlimit

const (
	// lateWeight and admittedWeight are the weights of one job in the moving averages:
	// they cover some tens of jobs, about a second of one holder's jobs under load.
	lateWeight     = 0.03
	admittedWeight = 0.1
	// latePenalty is how much the part shrinks per share of jobs that started too late:
	// at a fifth of them no further job may wait.
	latePenalty = 4
	// fairnessGain is how much the part of a kind changes with the distance of its
	// admitted share from the mean.
	fairnessGain = 3
	// minPart is the part that is always granted: estimates are no more precise than
	// this.
	minPart = 0.1
	// lowerMaxPart is the largest part for a level below the first while the levels
	// compete for every slot: more urgent work that arrives later goes first, and with the
	// whole slack many admitted jobs would be abandoned.
	lowerMaxPart = 0.4
)

// Tracker tracks how many jobs were admitted and how many admitted jobs started too late.
// The zero value is a pool without history.
type Tracker struct {
	lateShare float64
	admitted  map[string]float64
}

// Started records that an admitted job has started or was abandoned, and whether that was
// too late for its objective.
func (b *Tracker) Started(late bool) { updateMean(&b.lateShare, late, lateWeight) }

// Decided records whether a job of a kind was admitted.
func (b *Tracker) Decided(kind string, admitted bool) {
	if b.admitted == nil {
		b.admitted = map[string]float64{}
	}
	admittedShare := b.admittedShare(kind)
	updateMean(&admittedShare, admitted, admittedWeight)
	b.admitted[kind] = admittedShare
}

func updateMean(mean *float64, yes bool, step float64) {
	x := 0.0
	if yes {
		x = 1
	}
	*mean += step * (x - *mean)
}

// admittedShare is the share of a kind's recent jobs that were admitted.
func (b *Tracker) admittedShare(kind string) float64 {
	if s, known := b.admitted[kind]; known {
		return s
	}
	return 1
}

// Part returns the part of its slack that a job of a kind may be expected to wait.
func (b *Tracker) Part(kind string) float64 {
	part := max(minPart, 1-latePenalty*b.lateShare)
	part += fairnessGain * (b.meanAdmittedShare() - b.admittedShare(kind))
	return min(1, max(minPart, part))
}

// meanAdmittedShare is the mean admitted share of all kinds.
func (b *Tracker) meanAdmittedShare() float64 {
	sum := 0.0
	for _, s := range b.admitted {
		sum += s
	}
	if len(b.admitted) == 0 {
		return 1
	}
	return sum / float64(len(b.admitted))
}

// Forget drops the kinds that are no longer services.
func (b *Tracker) Forget(gone func(kind string) bool) {
	for kind := range b.admitted {
		if gone(kind) {
			delete(b.admitted, kind)
		}
	}
}

// Levels has one tracker for each priority level of a pool, the most urgent first.
type Levels []Tracker

// Part returns the part of its slack that a job of a kind may be expected to wait. Late
// starts of a level reduce the part of that level and of the less urgent ones. shortfall is
// the part of its entitlement that the level did not receive: a level that receives less
// may wait longer, so that more of its jobs are admitted, and one that borrows may not.
// pressure is how much the levels compete, from 0 to 1: the more they do, the less a level
// below the first may wait.
func (l Levels) Part(level int, kind string, shortfall, pressure float64) float64 {
	late := 0.0
	for i := range l[:level+1] {
		late = max(late, l[i].lateShare)
	}
	t := &l[level]
	part := max(minPart, 1-latePenalty*late)
	part += fairnessGain * (shortfall + t.meanAdmittedShare() - t.admittedShare(kind))
	most := 1.0
	if level > 0 {
		most -= (1 - lowerMaxPart) * pressure
	}
	return min(most, max(minPart, part))
}

// Forget drops the kinds that are no longer services.
func (l Levels) Forget(gone func(kind string) bool) {
	for i := range l {
		l[i].Forget(gone)
	}
}
