package ownership

import "time"

const (
	// Backlog is for how long an entry that went on after a pause reads what was sent
	// before or in it, in time that it runs: a VM of 0.2 of a core reads some hundreds of
	// requests in it, 0.2 ms each.
	Backlog = 250 * time.Millisecond
	// ranAtMost is how much of the time between two looks counts as time that the entry
	// ran: the period of its looks.
	ranAtMost = 50 * time.Millisecond
	// brokenOff is a gap after which the count begins anew: while it lasted nothing was
	// read.
	brokenOff = 250 * time.Millisecond
)

// Unread follows what an entry may still have to read that is as old as a pause. Time that
// passes does not count: a second pause may follow the first, and a share of a processor
// may be used up. It is pure; its owner holds a lock.
type Unread struct{ left time.Duration }

// Paused notes a pause after which what is read may be old.
func (u *Unread) Paused() { u.left = Backlog }

// Ran notes the time between two looks.
func (u *Unread) Ran(gap time.Duration) {
	switch {
	case u.left <= 0:
	case gap >= brokenOff:
		u.left = Backlog
	default:
		u.left -= min(gap, ranAtMost)
	}
}

// Old reports whether what is read now may be as old as the pause.
func (u *Unread) Old() bool { return u.left > 0 }
