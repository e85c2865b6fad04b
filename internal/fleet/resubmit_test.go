package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// attempt returns the body of the n-th attempt for the same job.
func attempt(body string, n int) string {
	return strings.Replace(body, `"attempt":1`, fmt.Sprintf(`"attempt":%d`, n), 1)
}

// A client times out early and resends its job through other entries, in its own
// and another availability zone, while the job runs and after it has ended. Every
// attempt must receive the same complete answer, and no task may run twice.
func TestSameIDThroughSeveralEntries(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a", "b"}, EntriesPerZone: 2, TargetsPerZone: 2})
	body := jobBody("again", "alerts", 3, 200)
	addresses := f.CallerAddresses("")
	replies := make([]*reply, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			if i > 0 {
				for f.Starts.Starts() == 0 {
					time.Sleep(time.Millisecond)
				}
			}
			r, err := send(http.DefaultClient, address, attempt(body, 1+i))
			qt.Check(t, err, qt.IsNil)
			replies[i] = r
		})
	}
	wg.Wait()
	for i, address := range addresses {
		qt.Assert(t, replies[i].status, qt.Equals, http.StatusOK, qt.Commentf("%+v", replies[i].other))
		qt.Assert(t, whole(replies[i], "again", 3), qt.IsTrue)
		r, err := send(http.DefaultClient, address, attempt(body, 9))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", r.other))
		qt.Assert(t, r.complete.Results, qt.DeepEquals, replies[0].complete.Results)
		r, err = send(http.DefaultClient, address, attempt(jobBody("again", "alerts", 4, 1), 2))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.other.Reason, qt.Equals, job.IDReused)
	}
	qt.Assert(t, f.Starts.Starts(), qt.Equals, uint64(3))
	qt.Assert(t, f.Stop(), qt.IsNil)
}

// A retrying load balancer sends one job to two entries at the same time, without
// an attempt number. The job must run only once.
func TestSameIDAtTwoEntriesAtOnce(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a", "b"}, EntriesPerZone: 2, TargetsPerZone: 2})
	addresses := f.CallerAddresses("")
	const jobs = 20
	var wg sync.WaitGroup
	for i := range jobs {
		for _, address := range []string{addresses[i%4], addresses[(i+1)%4]} {
			wg.Go(func() {
				id := fmt.Sprintf("twice-%d", i)
				body := strings.Replace(jobBody(id, "alerts", 2, 5), `"attempt":1,`, "", 1)
				r, err := send(http.DefaultClient, address, body)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, r.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", r.other))
				qt.Check(t, whole(r, id, 2), qt.IsTrue)
			})
		}
	}
	wg.Wait()
	qt.Assert(t, f.Starts.Starts(), qt.Equals, uint64(2*jobs))
	qt.Assert(t, f.Stop(), qt.IsNil)
}

// An entry's VM is lost while the entry owns a job whose tasks run on another
// entry's targets. The caller resends the job through the remaining entries and
// must receive the complete answer from the existing results. No task may start
// again.
func TestResubmissionAfterOwnerLoss(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a"}, EntriesPerZone: 3, TargetsPerZone: 2})
	owner := f.entryWithoutTargets()
	body := jobBody("orphan", "alerts", 4, 700)
	f.killOnceStarted(t, owner, body, 4)
	for _, m := range f.entries {
		if m.name == owner {
			continue
		}
		r, err := send(http.DefaultClient, m.listen.Caller.Addr().String(), attempt(body, 2))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", r.other))
		qt.Assert(t, whole(r, "orphan", 4), qt.IsTrue)
	}
	qt.Assert(t, f.Starts.Starts(), qt.Equals, uint64(4))
	qt.Assert(t, f.Stop(), qt.IsNil)
}

// killOnceStarted sends a job to an entry and kills the entry once the given number
// of tasks has started. It ignores the caller's broken connection, and fails the
// test if an answer arrives earlier.
func (f *Fleet) killOnceStarted(t *testing.T, owner job.EntryID, body string, tasks uint64) {
	t.Helper()
	address := f.member(owner).listen.Caller.Addr().String()
	early := make(chan string, 1)
	go func() {
		r, err := send(http.DefaultClient, address, body)
		early <- fmt.Sprintf("%+v, %v", r, err)
	}()
	for f.Starts.Starts() < tasks {
		select {
		case answer := <-early:
			t.Fatalf("%d of %d tasks had started when the answer came: %s", f.Starts.Starts(), tasks, answer)
		case <-time.After(time.Millisecond):
		}
	}
	f.Kill(owner)
}

// entryWithoutTargets returns an entry that holds no target.
func (f *Fleet) entryWithoutTargets() job.EntryID {
	for _, m := range f.entries {
		if m.entry.Load(testPool).Slots == 0 {
			return m.name
		}
	}
	return ""
}

// A zone is partitioned from the others. A resubmission there may have run on the
// other side, so it must be neither started nor reported as "not run". A first
// attempt must be served.
func TestResubmissionInPartitionedZone(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a", "b"}, EntriesPerZone: 1, TargetsPerZone: 2, Partitionable: true})
	addresses := f.CallerAddresses("")
	body := jobBody("crossing", "alerts", 1, 5)
	r, err := send(http.DefaultClient, addresses[1], body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.status, qt.Equals, http.StatusOK)
	f.SetZonePartitioned("a", true)
	r, err = send(http.DefaultClient, addresses[0], attempt(body, 2))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, r.other.Run, qt.Equals, "may have run")
	qt.Assert(t, r.other.Reason, qt.Equals, job.ZoneUnreachable)
	r, err = send(http.DefaultClient, addresses[0], jobBody("fresh", "alerts", 1, 5))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.status, qt.Equals, http.StatusOK)
	qt.Assert(t, f.Starts.Starts(), qt.Equals, uint64(2))
	qt.Assert(t, f.Stop(), qt.IsNil)
}

// A caller resends its job after the service was removed from the file. The job
// did run, so the caller must receive its answer instead of a refusal with "not
// run". A job with an unknown id is refused with "not run", unless it is a later
// attempt and the fleet started too recently to know of earlier ones.
func TestResubmissionAfterItsServiceWasDropped(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a", "b"}, EntriesPerZone: 1, TargetsPerZone: 1})
	body := jobBody("dropped", "alerts", 2, 1)
	addresses := f.CallerAddresses("")
	r, err := send(http.DefaultClient, addresses[0], body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.status, qt.Equals, http.StatusOK)
	second := strings.Replace(strings.Replace(testFile, "number: 1", "number: 2", 1), "name: alerts", "name: alarms", 1)
	_, err = f.entries[0].entry.Apply(t.Context(), "second", []byte(second))
	qt.Assert(t, err, qt.IsNil)
	for i, address := range addresses {
		qt.Assert(t, wait(t.Context(), func() bool { return f.entries[i].entry.Configuration() == 2 }), qt.IsNil)
		r, err = send(http.DefaultClient, address, attempt(body, 2))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", r.other))
		qt.Assert(t, whole(r, "dropped", 2), qt.IsTrue)
		r, err = send(http.DefaultClient, address, strings.Replace(jobBody("never", "alerts", 1, 1), `"attempt":1,`, "", 1))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.other.Reason, qt.Equals, job.UnknownService)
		qt.Assert(t, r.other.Run, qt.Equals, "not run")
		r, err = send(http.DefaultClient, address, attempt(jobBody("young", "alerts", 1, 1), 2))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.other.Reason, qt.Equals, job.UnknownService)
		qt.Assert(t, r.other.Run, qt.Equals, "may have run")
	}
	qt.Assert(t, f.Stop(), qt.IsNil)
}
