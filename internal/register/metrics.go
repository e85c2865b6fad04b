package register

import "time"

// maxPropagation bounds the reported propagation time of a change. A process that
// has just started may receive a change that is days old.
const maxPropagation = time.Minute

// propagationTime returns the time from the proposal of the change until it took
// effect here, by the clocks of both entries; zero if it can't be determined.
func (s *snapshot) propagationTime() time.Duration {
	if s.AcceptedAt == 0 {
		return 0
	}
	took := s.since.Sub(time.UnixMilli(s.AcceptedAt))
	if took < 0 || took > maxPropagation {
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

// VoterMetrics holds the results of the last assessment of the voters; zero on an
// entry that does not vote.
type VoterMetrics struct {
	// Reachable counts the reachable voters whose disks are those that the register lists.
	Reachable int64
	// LossesLeft is how many of them may still be lost without losing the majority;
	// negative when there is no majority.
	LossesLeft int64
	// Spares counts the reachable disks that do not vote.
	Spares int64
}

// VoterMetrics returns the metrics of the voters.
func (r *Register) VoterMetrics() VoterMetrics {
	return VoterMetrics{Reachable: r.reachableVoters.Load(), LossesLeft: r.lossesLeft.Load(), Spares: r.spareDisks.Load()}
}
