package runs

import (
	"time"

	"github.com/juju/errors"
)

// Load pattern: targets restart under their id, some or all of them at once, while requests to
// them are in transit. The new process runs nothing and has seen no epoch, and its clock and the
// numbers of its ends begin anew. It carries out whatever arrives, requests meant for the former
// process included. So a run that the new process does not list is over only once that process
// has accepted a newer epoch, and epochs have to grow from one process to the next.

// errOtherProcess is returned for the answer of a process other than the one that the poll was
// meant for.
const errOtherProcess = errors.ConstError("another process of the target has answered")

// Restarted tells the session that the target has announced a later start of its process. The
// target itself is asked before anything changes.
func (s *Session) Restarted(startedAt int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if startedAt > s.startedAt && !s.deposed {
		s.resyncLocked()
	}
}

// observeIncarnation compares the process that has answered a poll with the known one. It reports
// whether the answer may be processed. The caller holds the lock.
func (s *Session) observeIncarnation(l *PollReply) bool {
	switch {
	case l.StartedAt == s.startedAt || l.StartedAt == 0:
		return true
	case s.startedAt == 0:
		s.startedAt = l.StartedAt
		return true
	case l.StartedAt > s.startedAt:
		s.followRestart(l)
	}
	return false
}

// followRestart goes on with the new process of the target. Its runs are kept if the new process
// lists them under a newer epoch; all others were lost with the former process. The caller holds
// the lock.
func (s *Session) followRestart(l *PollReply) {
	s.opts.Log.Info("target restarted", "target", s.opts.Target, "started_at_ms", l.StartedAt, "before_ms", s.startedAt, "runs", len(s.runs), "epoch", s.epoch)
	s.startedAt = l.StartedAt
	s.clock = clock{}
	s.clock.update(time.Now(), l.Clock)
	s.lastSeenEnd, s.lastAckedEnd = 0, 0
	if s.deposed {
		// A newer epoch would take the target back, so the runs end with their lease.
		s.restartEpoch = s.epoch + 1
		s.scheduleExpiry()
		return
	}
	if s.epoch > 0 {
		s.claimEpoch()
		s.restartEpoch = s.epoch
	}
	lost := false
	for _, r := range s.runs {
		lost = lost || r.accepted()
		r.acceptedBefore = r.accepted()
		r.restarted, r.confirmedAt, r.doubtEpoch = true, time.Time{}, s.epoch
	}
	if lost && s.opts.Ended != nil {
		go s.opts.Ended()
	}
	s.pollNow()
}
