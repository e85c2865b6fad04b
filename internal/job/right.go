package job

import "time"

// Right is an entry's right to act for the owner of transient work. It ends once the
// owner or the entry itself was paused or unreachable for so long that the work may have
// been abandoned and started elsewhere. Once ended, it is never regained.
type Right interface {
	// Valid reports whether the right is valid at this moment. Check it immediately
	// before starting any work.
	Valid() bool
	// Remaining returns how long work under the right may continue if the right is not
	// renewed.
	Remaining() time.Duration
	// Lost returns a channel that is closed once the end of the right is detected.
	Lost() <-chan struct{}
}

// RightValid reports whether r is valid. Nil, for work that needs no right, is always valid.
func RightValid(r Right) bool { return r == nil || r.Valid() }
