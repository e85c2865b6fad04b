package vmclock

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A VM is suspended for three seconds, which its monotonic clock does not count. Clock must
// count them.
func TestClockCountsSuspension(t *testing.T) {
	suspended := time.Duration(0)
	c := Clock{Suspended: func() time.Duration { return suspended }}
	before := c.Now()
	suspended = 3 * time.Second
	qt.Assert(t, c.Now().Sub(before) >= 3*time.Second, qt.IsTrue)
}

func TestClockWithoutSuspensionIsMonotonic(t *testing.T) {
	var c Clock
	before := c.Now()
	qt.Assert(t, c.Now().Before(before), qt.IsFalse)
}

// This machine is not suspended while the test runs.
func TestSuspendedIsZeroWithoutSuspension(t *testing.T) {
	suspended := Suspended()
	if suspended == nil {
		t.Log("no clock here counts suspension")
		return
	}
	time.Sleep(20 * time.Millisecond)
	qt.Assert(t, suspended() < 20*time.Millisecond, qt.IsTrue, qt.Commentf("%v", suspended()))
}

func TestReadingsConvertBackToTheirTimes(t *testing.T) {
	zero := time.Now()
	r := NewTimestampCodec(zero)
	at := zero.Add(1234567 * time.Microsecond)
	qt.Assert(t, r.Decode(r.Encode(at)).Equal(at), qt.IsTrue)
	qt.Assert(t, r.Encode(zero), qt.Equals, Timestamp(1))
}
