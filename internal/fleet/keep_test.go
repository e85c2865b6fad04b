package fleet

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// keptOwner returns an entry that votes, and so has a disk, and whether it
// holds targets.
func (f *Fleet) keptOwner(holds bool) job.EntryID {
	for _, name := range f.voters() {
		if (f.member(name).entry.Load(testPool).Slots > 0) == holds {
			return name
		}
	}
	return ""
}

// maxAttempts bounds how often a test's caller comes back.
const maxAttempts = 100

// untilAnswered sends later attempts to an entry until one has an outcome other
// than "come back later".
func untilAnswered(t *testing.T, address, body string) *reply {
	t.Helper()
	for n := 2; n < maxAttempts; n++ {
		r, err := send(http.DefaultClient, address, attempt(body, n))
		qt.Assert(t, err, qt.IsNil)
		if r.status != http.StatusServiceUnavailable {
			return r
		}
		qt.Assert(t, r.other.Run, qt.Equals, "may have run")
		t.Logf("attempt %d: %+v", n, r.other)
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("no outcome after all attempts")
	return nil
}

// The entry that accepted a spill forecast dies with its VM while targets held
// by another entry run it, and is restarted. The caller that comes back through
// another entry gets the whole forecast; no task started twice.
func TestSyncedJobIsDrivenOnAfterARestart(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a", "b", "c"}, EntriesPerZone: 2, TargetsPerZone: 2})
	owner := f.keptOwner(false)
	if owner == "" {
		t.Fatal("every voter holds targets: name the pool so that one does not")
	}
	body := jobBody("forecast", "spill", 4, 600)
	f.killOnceStarted(t, owner, body, 4)
	qt.Assert(t, f.Restart(owner), qt.IsNil)
	other := f.entries[0]
	if other.name == owner {
		other = f.entries[1]
	}
	r := untilAnswered(t, other.listen.Caller.Addr().String(), body)
	qt.Assert(t, r.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", r.other))
	qt.Assert(t, whole(r, "forecast", 4), qt.IsTrue)
	qt.Assert(t, f.Ledger.Starts(), qt.Equals, uint64(4))
	qt.Assert(t, f.Stop(), qt.IsNil)
}

// The entry that accepted a replicated job is lost for good. The entry that
// keeps the copy drives it on, and the caller that comes back gets the answer.
func TestReplicatedJobOutlivesItsOwner(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a"}, EntriesPerZone: 3, TargetsPerZone: 2})
	owner := f.entryWithoutTargets()
	body := jobBody("copy", "report", 4, 600)
	f.killOnceStarted(t, owner, body, 4)
	for _, m := range f.entries {
		if m.name == owner {
			continue
		}
		r := untilAnswered(t, m.listen.Caller.Addr().String(), body)
		qt.Assert(t, r.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", r.other))
		qt.Assert(t, whole(r, "copy", 4), qt.IsTrue)
	}
	qt.Assert(t, f.Ledger.Starts(), qt.Equals, uint64(4))
	qt.Assert(t, f.Stop(), qt.IsNil)
}

// The owner of a kept job is also the holder of the targets that run it, and
// dies. Its results are lost with it. The caller gets a clear failure that does
// not say "not run", and nothing starts a second time.
func TestKeptJobWhoseResultsAreLostFails(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a"}, EntriesPerZone: 1, TargetsPerZone: 2})
	owner := f.Names()[0]
	body := jobBody("gone", "spill", 4, 600)
	address := f.CallerAddresses("")[0]
	f.killOnceStarted(t, owner, body, 4)
	qt.Assert(t, f.Restart(owner), qt.IsNil)
	qt.Assert(t, f.WaitReady(t.Context(), 16), qt.IsNil)
	r := untilAnswered(t, address, body)
	qt.Assert(t, r.other.Outcome, qt.Equals, job.Failed)
	qt.Assert(t, r.other.Run, qt.Equals, "may have run")
	qt.Assert(t, f.Ledger.Starts(), qt.Equals, uint64(4))
	qt.Assert(t, f.Stop(), qt.IsNil)
}
