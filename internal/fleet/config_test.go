package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// An operator applies a file that lowers a limit and removes a service while a
// job runs. Every entry must use the file soon and without a restart, and the
// running job must complete under the file with which it was accepted.
func TestNewConfigurationActsOnRunningEntries(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a", "b", "c"}, EntriesPerZone: 1, TargetsPerZone: 1})
	addresses := f.CallerAddresses("")
	running := make(chan *reply)
	go func() {
		r, err := send(http.DefaultClient, addresses[0], jobBody("old", "alerts", 3, 500))
		qt.Check(t, err, qt.IsNil)
		running <- r
	}()
	f.waitRunning(1)
	second := strings.Replace(testFile, "number: 1", "number: 2\nlimits: {max_job_tasks: 2}", 1)
	second = strings.Replace(second, "name: alerts", "name: alarms", 1)
	_, err := f.entries[2].entry.Apply(t.Context(), "second", []byte(second))
	qt.Assert(t, err, qt.IsNil)
	for i, address := range addresses {
		qt.Assert(t, wait(t.Context(), func() bool { return f.entries[i].entry.Configuration() == 2 }), qt.IsNil)
		r, err := send(http.DefaultClient, address, jobBody(fmt.Sprintf("large-%d", i), "thumbs", 3, 1))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.other.Reason, qt.Equals, job.TooManyTasks)
		r, err = send(http.DefaultClient, address, jobBody(fmt.Sprintf("dropped-%d", i), "alerts", 1, 1))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.other.Reason, qt.Equals, job.UnknownService)
	}
	r := <-running
	qt.Assert(t, r.status, qt.Equals, http.StatusOK)
	qt.Assert(t, whole(r, "old", 3), qt.IsTrue)
	qt.Assert(t, f.Stop(), qt.IsNil)
}

// A zone with one of three voters is partitioned. It must keep serving with its
// current file, report that the file may be stale, and refuse to apply a new one.
// The other zones accept a new file, which must take effect in the zone soon after
// the partition ends.
func TestPartitionedZoneKeepsItsConfigurationAndCatchesUp(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a", "b", "c"}, EntriesPerZone: 1, TargetsPerZone: 1, Partitionable: true})
	f.SetZonePartitioned("a", true)
	second := strings.Replace(testFile, "number: 1", "number: 2", 1)
	_, err := f.entries[1].entry.Apply(t.Context(), "second", []byte(second))
	qt.Assert(t, err, qt.IsNil)
	r, err := send(http.DefaultClient, f.CallerAddresses("a")[0], jobBody("on", "thumbs", 2, 1))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.status, qt.Equals, http.StatusOK)
	qt.Assert(t, f.entries[0].entry.Configuration(), qt.Equals, uint64(1))
	_, err = f.entries[0].entry.Apply(t.Context(), "minority", []byte(strings.Replace(testFile, "number: 1", "number: 3", 1)))
	qt.Assert(t, err, qt.IsNotNil)
	f.SetZonePartitioned("a", false)
	began := time.Now()
	qt.Assert(t, wait(t.Context(), func() bool { return f.entries[0].entry.Configuration() >= 2 }), qt.IsNil)
	t.Logf("in effect %v after the partition", time.Since(began))
	qt.Assert(t, f.Stop(), qt.IsNil)
}
