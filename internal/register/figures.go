package register

import "time"

// maxSpread bounds what is taken for the time in which a change came into force here.
// A process that starts learns of changes of days ago.
const maxSpread = time.Minute

// spreadTime returns how long after its proposal the change came into force here, by
// the clocks of both entries; zero if that can't be said.
func (s *snapshot) spreadTime() time.Duration {
	if s.AcceptedAt == 0 {
		return 0
	}
	took := s.since.Sub(time.UnixMilli(s.AcceptedAt))
	if took < 0 || took > maxSpread {
		return 0
	}
	return took
}

// Round returns the highest round of agreement that this entry's disk has seen; zero
// without a disk that votes.
func (r *Register) Round() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.node == nil {
		return 0
	}
	return r.node.Round
}

// VoterFigures are how the last look at the voters saw them; zero on an entry that
// does not vote.
type VoterFigures struct {
	// Heard counts the voters that are heard, with the disks that the register names.
	Heard int64
	// LossesLeft is how many of them may be lost until no majority is left; negative
	// when none is.
	LossesLeft int64
	// Spares counts the disks that are heard and do not vote.
	Spares int64
}

// VoterFigures returns the figures of the voters.
func (r *Register) VoterFigures() VoterFigures {
	return VoterFigures{Heard: r.votersHeard.Load(), LossesLeft: r.votersToLose.Load(), Spares: r.spareDisks.Load()}
}
