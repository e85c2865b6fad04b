package ownership

import "time"

const (
	// Backlog is for how long an entry that went on after a pause reads what was sent
	// before or in it, in time that it runs: a VM of 0.2 of a core reads some hundreds of
	// requests in it, 0.2 ms each.
	Backlog = 250 * time.Millisecond
	// Settle is for how long an entry reads first after a shorter pause: a hang-up, or a
	// cancellation, of that time is read within it.
	Settle = 50 * time.Millisecond
	// ranAtMost is how much of the time between two looks counts as time that the entry
	// ran: the period of its looks.
	ranAtMost = 50 * time.Millisecond
	// BrokenOff is the shortest gap between two looks that counts as a pause: twice the
	// tenth of a second for which a small VM's share of its processor may be used up, and
	// a look.
	BrokenOff = 250 * time.Millisecond
)

// Unread follows what an entry may still have to read that is as old as a pause. Time that
// passes does not count: a second pause may follow the first, and a share of a processor
// may be used up. It is pure; its owner holds a lock.
type Unread struct{ left time.Duration }

// Paused notes a pause after which what is read may be old.
func (u *Unread) Paused() { u.left = Backlog }

// Ran notes the time between two looks. A pause that is too short to end a right is one all
// the same: what was sent in it must be read before anything is proved or begun, or two such
// pauses, a moment apart, do what a long one does.
func (u *Unread) Ran(gap time.Duration) {
	switch {
	case gap >= BrokenOff && u.left > 0:
		u.left = Backlog
	case gap >= BrokenOff:
		u.left = Settle
	case u.left > 0:
		u.left -= min(gap, ranAtMost)
	}
}

// Old reports whether what is read now may be as old as the pause.
func (u *Unread) Old() bool { return u.left > 0 }
