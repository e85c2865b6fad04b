package fleet

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/standin"
)

// cordonTimeout is how long a cordon may take until it is in force everywhere.
const cordonTimeout = 5 * time.Second

// awaitCordons waits until exactly the given zones are cordoned at all entries.
func (f *Fleet) awaitCordons(t *testing.T, zones ...job.Zone) {
	t.Helper()
	deadline := time.Now().Add(cordonTimeout)
	for _, m := range f.entries {
		for !slices.Equal(m.entry.CordonedZones(), zones) {
			qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s: %v", m.name, m.entry.CordonedZones()))
			time.Sleep(time.Millisecond)
		}
	}
}

// Guards against an evacuation after which work still starts in the zone, callers of its entries
// are not served, or a fleet without an open zone makes callers wait for nothing.
func TestCordonedZoneIsEmptiedAndServedByOthers(t *testing.T) {
	trackers := map[int]*standin.StartTracker{}
	f := startTest(t, Options{Zones: []job.Zone{"a", "b"}, EntriesPerZone: 2, TargetsPerZone: 2, ModifyTarget: func(i int, o *standin.Options) {
		trackers[i] = standin.NewStartTracker()
		o.Starts = trackers[i]
	}})
	inZone := func() uint64 { return trackers[0].Starts() + trackers[1].Starts() }
	operator := f.OperatorAddresses()[3] + "/v1/cordons"
	caller := f.CallerAddresses("a")[0]
	serve := func(name string, n int) {
		t.Helper()
		for i := range n {
			id := fmt.Sprintf("%s-%d", name, i)
			r, err := send(http.DefaultClient, caller, jobBody(id, "alerts", 4, 5))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, whole(r, id, 4), qt.IsTrue, qt.Commentf("%+v", r.other))
		}
	}
	serve("before", 2)
	qt.Assert(t, inZone() > 0, qt.IsTrue)
	qt.Assert(t, do(http.MethodPut, operator+"/nowhere", ""), qt.Equals, http.StatusNotFound)
	qt.Assert(t, do(http.MethodPut, operator+"/a", ""), qt.Equals, http.StatusNoContent)
	f.awaitCordons(t, "a")
	started := inZone()
	serve("during", 8)
	qt.Assert(t, inZone(), qt.Equals, started)

	qt.Assert(t, do(http.MethodPut, operator+"/a", ""), qt.Equals, http.StatusNoContent)
	qt.Assert(t, do(http.MethodPut, operator+"/b", ""), qt.Equals, http.StatusNoContent)
	f.awaitCordons(t, "a", "b")
	begun := time.Now()
	r, err := send(http.DefaultClient, caller, jobBody("none", "alerts", 1, 5))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, []string{string(r.other.Reason), r.other.Run}, qt.DeepEquals, []string{"zone_cordoned", "not run"})
	qt.Assert(t, r.other.RetryAfterMS > 0, qt.IsTrue)
	qt.Assert(t, time.Since(begun) < time.Second, qt.IsTrue)

	var cordons struct{ Zones []job.Zone }
	qt.Assert(t, getJSON(operator, &cordons), qt.Equals, http.StatusOK)
	qt.Assert(t, cordons.Zones, qt.DeepEquals, []job.Zone{"a", "b"})
	qt.Assert(t, do(http.MethodDelete, operator+"/b", ""), qt.Equals, http.StatusNoContent)
	qt.Assert(t, do(http.MethodDelete, operator+"/a", ""), qt.Equals, http.StatusNoContent)
	f.awaitCordons(t)
	serve("after", 8)
	qt.Assert(t, inZone() > started, qt.IsTrue)
	qt.Assert(t, f.Stop(), qt.IsNil)
}

// Guards against an evacuation that a restart undoes: an entry of the cordoned zone that starts
// again must not start work on its targets.
func TestCordonOutlivesARestart(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a", "b"}, EntriesPerZone: 1, TargetsPerZone: 1})
	operator := f.OperatorAddresses()[1] + "/v1/cordons"
	qt.Assert(t, do(http.MethodPut, operator+"/a", ""), qt.Equals, http.StatusNoContent)
	f.awaitCordons(t, "a")
	name := f.Names()[0]
	f.Kill(name)
	qt.Assert(t, f.Restart(name), qt.IsNil)
	f.awaitCordons(t, "a")
	deadline := time.Now().Add(cordonTimeout)
	for f.member(name).entry.Load(testPool).Targets == 0 {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
		time.Sleep(time.Millisecond)
	}
	load := f.member(name).entry.Load(testPool)
	qt.Assert(t, load.Cordoned, qt.IsTrue)
	qt.Assert(t, load.Slots, qt.Equals, 0)
	qt.Assert(t, f.Stop(), qt.IsNil)
}
