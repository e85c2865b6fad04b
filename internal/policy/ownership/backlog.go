package ownership

import "time"

const (
	// LongPauseReadTime is how much running time an entry needs after a pause to read the messages
	// that were sent before or during the pause: a VM with 0.2 of a core reads a few
	// hundred requests in that time, at 0.2 ms each.
	LongPauseReadTime = 250 * time.Millisecond
	// ShortPauseReadTime is the running time for reading after a shorter pause: a hang-up or a
	// cancellation from that pause is read within it.
	ShortPauseReadTime = 50 * time.Millisecond
	// maxCountedGap is how much of the time between two periodic checks counts as running
	// time: the period of the checks.
	maxCountedGap = 50 * time.Millisecond
	// MinPause is the shortest gap between two checks that counts as a pause: twice the
	// tenth of a second for which a small VM's CPU quota may be used up, plus one check
	// period.
	MinPause = 250 * time.Millisecond
)

// UnreadTracker tracks whether an entry may still have to read messages that are as old as a
// pause. Only running time counts, not elapsed time: a second pause may follow the first,
// and the CPU quota may be used up. UnreadTracker reads no clock; the caller must hold a lock.
type UnreadTracker struct{ left time.Duration }

// Paused records a pause after which the messages that are read may be old.
func (u *UnreadTracker) Paused() { u.left = LongPauseReadTime }

// Advance records the time between two checks. A pause that is too short for a lease to
// expire counts as well: the messages sent during it must be read before anything is
// proved or started. Otherwise two such pauses in quick succession have the effect of a
// long one.
func (u *UnreadTracker) Advance(gap time.Duration) {
	switch {
	case gap >= MinPause && u.left > 0:
		u.left = LongPauseReadTime
	case gap >= MinPause:
		u.left = ShortPauseReadTime
	case u.left > 0:
		u.left -= min(gap, maxCountedGap)
	}
}

// Pending reports whether messages that are read now may be as old as the pause.
func (u *UnreadTracker) Pending() bool { return u.left > 0 }
