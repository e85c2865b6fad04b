package ownership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

var (
	start = time.Unix(1000, 0)
	owner = job.Owner{Entry: "o", Incarnation: 1}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Proofs arrive every quarter of a second and are half a second old, as in normal
// operation. Work continues as long as they arrive.
func TestTimelyProofsKeepLease(t *testing.T) {
	var table Table
	first := table.Renew(at(500), owner, at(0))
	for ms := 500; ms < 60_000; ms += 50 {
		if ms%250 == 0 {
			qt.Assert(t, table.Renew(at(ms), owner, at(ms-500)) == first, qt.IsTrue)
		}
		qt.Assert(t, first.Valid(at(ms)), qt.IsTrue, qt.Commentf("%d ms", ms))
	}
	qt.Assert(t, first.Resumed(), qt.IsFalse)
}

// An entry pauses for three seconds. Then it reads, in any order, the old and new proofs
// that arrived meanwhile. None of them revives the lease under which it accepted earlier
// work; work that is handed over afterwards has a lease of its own.
func TestExpiredLeaseStaysExpired(t *testing.T) {
	for name, proofs := range map[string][]int{
		"nothing":            nil,
		"old proofs":         {100, 300},
		"a new proof":        {2990},
		"old and new proofs": {100, 2990, 300},
	} {
		t.Run(name, func(t *testing.T) {
			var table Table
			before := table.Renew(at(0), owner, at(0))
			for _, ms := range proofs {
				table.Renew(at(3000), owner, at(ms))
			}
			qt.Assert(t, before.Valid(at(3000)), qt.IsFalse)
			select {
			case <-before.Lost():
			default:
				t.Fatal("Lost is not closed although the lease expired")
			}
			after := table.Renew(at(3010), owner, at(3000))
			qt.Assert(t, after.Valid(at(3010)), qt.IsTrue)
			qt.Assert(t, after.Resumed(), qt.IsTrue)
			qt.Assert(t, before.Valid(at(3010)), qt.IsFalse)
		})
	}
}

// A proof that was in flight or unread for longer than a term gives no lease; nor does a
// clock reading that this clock has not reached yet.
func TestOldAndInvalidProofsGiveNoLease(t *testing.T) {
	var table Table
	qt.Assert(t, table.Renew(at(3000), owner, at(3000).Add(-Term-time.Millisecond)), qt.IsNil)
	qt.Assert(t, table.Renew(at(3000), owner, at(3001)), qt.IsNil)
	qt.Assert(t, table.Lookup(at(3000), owner), qt.IsNil)
}

// Proofs may overtake each other: an older one does not shorten the lease.
func TestOlderProofDoesNotShortenLease(t *testing.T) {
	var table Table
	l := table.Renew(at(600), owner, at(500))
	table.Renew(at(700), owner, at(100))
	qt.Assert(t, l.Proof().Equal(at(500)), qt.IsTrue)
	qt.Assert(t, l.WorkDeadline().Equal(at(500).Add(MaxWorkAfterProof)), qt.IsTrue)
}

// The next incarnation of an owner inherits nothing from the lease of the previous one.
func TestEachIncarnationHasItsOwnLease(t *testing.T) {
	var table Table
	first := table.Renew(at(0), owner, at(0))
	later := owner
	later.Incarnation++
	table.Renew(at(900), later, at(900))
	table.Renew(at(1800), later, at(1800))
	qt.Assert(t, first.Valid(at(1800)), qt.IsFalse)
	qt.Assert(t, table.Lookup(at(1800), later), qt.IsNotNil)
}

func TestSweepReportsExpiredOwnersOnce(t *testing.T) {
	var table Table
	table.Renew(at(0), owner, at(0))
	qt.Assert(t, table.Sweep(at(900)), qt.HasLen, 0)
	qt.Assert(t, table.Sweep(at(1000)), qt.DeepEquals, map[job.Owner]time.Duration{owner: time.Second})
	qt.Assert(t, table.Sweep(at(1050)), qt.HasLen, 0)
}

// The times are consistent: work for an owner ends before its callers resubmit elsewhere,
// also at a target whose clock is 2% slow.
func TestWorkEndsBeforeCallersResubmit(t *testing.T) {
	const resubmitDelay = 1300 * time.Millisecond
	const stopTime = 150 * time.Millisecond
	qt.Assert(t, Term+stopTime <= MaxWorkAfterProof, qt.IsTrue)
	qt.Assert(t, time.Duration(float64(MaxWorkAfterProof)*1.02) < resubmitDelay, qt.IsTrue)
}

// Guards against a lease that expires between two heartbeats of a pair that seldom shares work,
// and against requests at each check.
func TestNewerProofIsRequestedInTime(t *testing.T) {
	begin := time.Unix(1000, 0)
	l := NewLease(begin, false)
	requests := 0
	for age := time.Duration(0); age <= Term+200*time.Millisecond; age += 10 * time.Millisecond {
		if l.RequestDue(begin.Add(age)) {
			requests++
			qt.Check(t, age >= RefreshAge && age <= Term, qt.IsTrue, qt.Commentf("at %v", age))
		}
		l.Valid(begin.Add(age))
	}
	qt.Check(t, requests, qt.Equals, 5)
	qt.Check(t, l.Renew(begin.Add(time.Hour), begin.Add(time.Hour)), qt.IsFalse)
}
