package pace

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// One run stalls, one is nine times slower than elsewhere, and one takes only twice as
// long as declared. The first two are moved. The last is not: the caller would wait for
// the whole run again.
func TestMove(t *testing.T) {
	const expected = 900 * time.Millisecond
	at := FirstPoll(expected)
	qt.Assert(t, Move(expected, at, 0), qt.IsTrue)
	qt.Assert(t, Move(expected, at, 3), qt.IsTrue)
	qt.Assert(t, Move(expected, at, 20), qt.IsTrue)
	qt.Assert(t, Move(expected, at, 85), qt.IsFalse)
	qt.Assert(t, Move(expected, at, 100), qt.IsFalse)
	qt.Assert(t, at < 2*expected, qt.IsTrue)
}
