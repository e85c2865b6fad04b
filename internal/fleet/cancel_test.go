package fleet

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/api"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Many jobs are cancelled at once, each through another entry than the one that
// received it. Each waiting caller must receive the cancellation at once, tasks
// that have not started must never start, and the slots must be free for other
// jobs.
func TestWaveOfCancellations(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a"}, EntriesPerZone: 2, TargetsPerZone: 1})
	addresses := f.CallerAddresses("")
	const jobs = 30
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Go(func() {
			r, err := send(http.DefaultClient, addresses[i%2], jobBody(fmt.Sprintf("wave-%d", i), "thumbs", 4, 5000))
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, r.other.Outcome, qt.Equals, job.Cancelled, qt.Commentf("%+v", r))
		})
	}
	f.waitRunning(jobs)
	for i := range jobs {
		request, err := http.NewRequest(http.MethodDelete, fmt.Sprintf("http://%s/v1/jobs/wave-%d", addresses[(i+1)%2], i), nil)
		qt.Assert(t, err, qt.IsNil)
		response, err := http.DefaultClient.Do(request)
		qt.Assert(t, err, qt.IsNil)
		response.Body.Close()
		qt.Assert(t, response.StatusCode, qt.Equals, http.StatusAccepted)
	}
	wg.Wait()
	started := f.Starts.Starts()
	r, err := send(http.DefaultClient, addresses[0], jobBody("after", "thumbs", 8, 1))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", r.other))
	qt.Assert(t, f.Starts.Starts(), qt.Equals, started+8)
	qt.Assert(t, f.Stop(), qt.IsNil)
}

// waitRunning waits until the entries process n submissions.
func (f *Fleet) waitRunning(n int) {
	running := 0
	for running < n {
		running = 0
		for _, m := range f.entries {
			running += m.entry.DrivenSubmissions()
		}
		time.Sleep(time.Millisecond)
	}
}

// A caller queries the status of a job at an entry that does not own it, while
// the job runs and after it has ended, and the status of an unknown job.
func TestJobStatusFromAnotherEntry(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a", "b"}, EntriesPerZone: 1, TargetsPerZone: 1})
	addresses := f.CallerAddresses("")
	done := make(chan *reply)
	go func() {
		r, err := send(http.DefaultClient, addresses[0], jobBody("where", "thumbs", 1, 300))
		qt.Check(t, err, qt.IsNil)
		done <- r
	}()
	f.waitRunning(1)
	var status api.JobStatus
	qt.Assert(t, getJSON(addresses[1]+"/v1/jobs/where", &status), qt.Equals, http.StatusOK)
	qt.Assert(t, status.State, qt.Equals, api.StateRunning)
	qt.Assert(t, (<-done).status, qt.Equals, http.StatusOK)
	qt.Assert(t, getJSON(addresses[1]+"/v1/jobs/where", &status), qt.Equals, http.StatusOK)
	qt.Assert(t, status.Outcome, qt.Equals, job.Complete)
	qt.Assert(t, getJSON(addresses[1]+"/v1/jobs/never", &status), qt.Equals, http.StatusNotFound)
	qt.Assert(t, f.Stop(), qt.IsNil)
}
