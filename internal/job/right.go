package job

import "time"

// Right is an entry's right to act for the owner of transient work. It ends when the
// owner, or the entry itself, stood still or was out of reach for so long that the work
// may have been given up and begun elsewhere; it never comes back.
type Right interface {
	// Holds reports whether the right stands at this moment. Whoever starts something
	// asks right before.
	Holds() bool
	// Left returns for how long what runs under the right may run on, unless it is
	// confirmed again.
	Left() time.Duration
	// Lost is closed once it has been noticed that the right has ended.
	Lost() <-chan struct{}
}

// Holds reports whether a right stands; work without one needs none.
func Holds(r Right) bool { return r == nil || r.Holds() }
