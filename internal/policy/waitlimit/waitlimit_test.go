package waitlimit

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFullSlackWhileJobsStartInTime(t *testing.T) {
	var b Tracker
	for range 100 {
		b.Decided("a", true)
		b.Started(false)
	}
	qt.Assert(t, b.Part("a"), qt.Equals, 1.0)
	qt.Assert(t, b.Part("new"), qt.Equals, 1.0)
}

// Admitted jobs start too late, so their callers waited in vain and fewer may wait; when
// jobs start in time again, more may.
func TestPartFollowsLateStarts(t *testing.T) {
	var b Tracker
	for range 40 {
		b.Started(true)
	}
	qt.Assert(t, b.Part("a"), qt.Equals, minPart)
	for range 200 {
		b.Started(false)
	}
	qt.Assert(t, b.Part("a") > 0.9, qt.IsTrue)
}

// A wide kind is nearly always refused while a narrow one is admitted. So that callers of
// the wide kind don't see only refusals, it may wait longer and the narrow one less.
func TestKindsAreBalanced(t *testing.T) {
	var b Tracker
	for range 100 {
		b.Started(true)
		b.Decided("wide", false)
		b.Decided("narrow", true)
	}
	qt.Assert(t, b.Part("wide"), qt.Equals, 1.0)
	qt.Assert(t, b.Part("narrow"), qt.Equals, minPart)
	b.Forget(func(kind string) bool { return kind == "wide" })
	qt.Assert(t, b.Part("narrow"), qt.Equals, minPart)
	qt.Assert(t, b.meanAdmittedShare(), qt.Equals, b.admittedShare("narrow"))
}

// Late starts of a flood of the least urgent service must not cause refusals of the most
// urgent one; the opposite direction is wanted.
func TestLateStartsOfALevelDoNotLimitMoreUrgentOnes(t *testing.T) {
	l := make(Levels, 2)
	for range 40 {
		l[1].Started(true)
	}
	qt.Check(t, l.Part(0, "a", 0, 1), qt.Equals, 1.0)
	qt.Check(t, l.Part(1, "b", 0, 1), qt.Equals, minPart)
	qt.Check(t, l.Part(1, "b", 0.5, 1), qt.Equals, lowerMaxPart)
	for range 40 {
		l[0].Started(true)
		l[1].Started(false)
	}
	qt.Check(t, l.Part(1, "b", 0, 1), qt.Equals, minPart)
}
