package fleet

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// findVoter returns a voter, which has a data folder, that holds targets or holds
// none, as requested.
func (f *Fleet) findVoter(holds bool) job.EntryID {
	for _, name := range f.voters() {
		if (f.member(name).entry.Load(testPool).Slots > 0) == holds {
			return name
		}
	}
	return ""
}

// maxAttempts bounds how often a test's caller resends a job.
const maxAttempts = 100

// resendUntilAnswered sends further attempts to an entry until the response is
// not 503 Service Unavailable.
func resendUntilAnswered(t *testing.T, address, body string) *reply {
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

// The VM of the entry that accepted a synced job is lost while targets of another
// entry run the job, and the entry is restarted. The caller that resends the job
// through another entry must receive the complete answer, and no task may start
// twice.
func TestSyncedJobIsDrivenOnAfterARestart(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a", "b", "c"}, EntriesPerZone: 2, TargetsPerZone: 2})
	owner := f.findVoter(false)
	if owner == "" {
		t.Fatal("every voter holds targets: choose a pool name for which one voter holds none")
	}
	body := jobBody("forecast", "spill", 4, 600)
	f.killOnceStarted(t, owner, body, 4)
	qt.Assert(t, f.Restart(owner), qt.IsNil)
	other := f.entries[0]
	if other.name == owner {
		other = f.entries[1]
	}
	r := resendUntilAnswered(t, other.listen.Caller.Addr().String(), body)
	qt.Assert(t, r.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", r.other))
	qt.Assert(t, whole(r, "forecast", 4), qt.IsTrue)
	qt.Assert(t, f.Starts.Starts(), qt.Equals, uint64(4))
	qt.Assert(t, f.Stop(), qt.IsNil)
}

// The entry that accepted a replicated job is lost permanently. The entry with the
// copy must continue the job, and the caller that resends it must receive the
// answer.
func TestReplicatedJobOutlivesItsOwner(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a"}, EntriesPerZone: 3, TargetsPerZone: 2})
	owner := f.entryWithoutTargets()
	body := jobBody("copy", "report", 4, 600)
	f.killOnceStarted(t, owner, body, 4)
	for _, m := range f.entries {
		if m.name == owner {
			continue
		}
		r := resendUntilAnswered(t, m.listen.Caller.Addr().String(), body)
		qt.Assert(t, r.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", r.other))
		qt.Assert(t, whole(r, "copy", 4), qt.IsTrue)
	}
	qt.Assert(t, f.Starts.Starts(), qt.Equals, uint64(4))
	qt.Assert(t, f.Stop(), qt.IsNil)
}

// The owner of a kept job, which also holds the targets that run it, is killed, so
// the results are lost. The caller must receive a failure with "may have run", and
// no task may start twice.
func TestKeptJobWhoseResultsAreLostFails(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a"}, EntriesPerZone: 1, TargetsPerZone: 2})
	owner := f.Names()[0]
	body := jobBody("gone", "spill", 4, 600)
	address := f.CallerAddresses("")[0]
	f.killOnceStarted(t, owner, body, 4)
	qt.Assert(t, f.Restart(owner), qt.IsNil)
	qt.Assert(t, f.WaitReady(t.Context(), 16), qt.IsNil)
	r := resendUntilAnswered(t, address, body)
	qt.Assert(t, r.other.Outcome, qt.Equals, job.Failed)
	qt.Assert(t, r.other.Run, qt.Equals, "may have run")
	qt.Assert(t, f.Starts.Starts(), qt.Equals, uint64(4))
	qt.Assert(t, f.Stop(), qt.IsNil)
}
