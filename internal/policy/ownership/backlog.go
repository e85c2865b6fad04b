package ownership

import "time"

const (
	// Backlog is how much running time an entry needs after a pause to read the messages
	// that were sent before or during the pause: a VM with 0.2 of a core reads some
	// hundreds of requests in that time, at 0.2 ms each.
	Backlog = 250 * time.Millisecond
	// Settle is the running time for reading after a shorter pause: a hang-up or a
	// cancellation from that pause is read within it.
	Settle = 50 * time.Millisecond
	// maxCountedGap is how much of the time between two periodic checks counts as running
	// time: the period of the checks.
	maxCountedGap = 50 * time.Millisecond
	// BrokenOff is the shortest gap between two checks that counts as a pause: twice the
	// tenth of a second for which a small VM's CPU quota may be used up, plus one check
	// period.
	BrokenOff = 250 * time.Millisecond
)

// Unread tracks whether an entry may still have to read messages that are as old as a
// pause. Only running time counts, not elapsed time: a second pause may follow the first,
// and the CPU quota may be used up. Unread reads no clock; the caller must hold a lock.
type Unread struct{ left time.Duration }

// Paused records a pause after which the messages that are read may be old.
func (u *Unread) Paused() { u.left = Backlog }

// Ran records the time between two checks. A pause that is too short for a lease to
// expire counts as well: the messages sent during it must be read before anything is
// proved or started. Otherwise two such pauses in quick succession have the effect of a
// long one.
func (u *Unread) Ran(gap time.Duration) {
	switch {
	case gap >= BrokenOff && u.left > 0:
		u.left = Backlog
	case gap >= BrokenOff:
		u.left = Settle
	case u.left > 0:
		u.left -= min(gap, maxCountedGap)
	}
}

// Old reports whether messages that are read now may be as old as the pause.
func (u *Unread) Old() bool { return u.left > 0 }
