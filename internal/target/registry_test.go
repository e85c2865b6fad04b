package target

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

var start = time.Unix(1000, 0)

func atSecond(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func testTarget(id job.TargetID, address string) job.Target {
	return job.Target{ID: id, Pool: "thumbs", Address: address, Zone: "a", Slots: 8, Connections: 64}
}

func ids(ts []job.Target) []job.TargetID {
	out := []job.TargetID{}
	for _, t := range ts {
		out = append(out, t.ID)
	}
	return out
}

// A target with a wrong setting announces itself. If it were accepted, tasks would
// fail or pile up there. The refusal must name the wrong value, so that the operator
// finds the fault.
func TestBadAnnouncementsAreRefusedByName(t *testing.T) {
	cases := map[string]func(*job.Target){
		"announcement without id":      func(t *job.Target) { t.ID = "" },
		"id of 129 bytes":              func(t *job.Target) { t.ID = job.TargetID(make([]byte, 129)) },
		"id .*":                        func(t *job.Target) { t.ID = "a\nb" },
		"announcement without service": func(t *job.Target) { t.Pool = "" },
		`address "worker1:80"`:         func(t *job.Target) { t.Address = "worker1:80" },
		`address "10.0.0.1"`:           func(t *job.Target) { t.Address = "10.0.0.1" },
		`address "10.0.0.1:0"`:         func(t *job.Target) { t.Address = "10.0.0.1:0" },
		`address "0.0.0.0:80"`:         func(t *job.Target) { t.Address = "0.0.0.0:80" },
		`availability_zone "b"`:        func(t *job.Target) { t.Zone = "b" },
		`availability_zone ""`:         func(t *job.Target) { t.Zone = "" },
		"slots -1":                     func(t *job.Target) { t.Slots = -1 },
		"slots 100000":                 func(t *job.Target) { t.Slots = 100000 },
		"connections -1":               func(t *job.Target) { t.Connections = -1 },
		"processors 99999":             func(t *job.Target) { t.Processors = 99999 },
		"milli_processors -1":          func(t *job.Target) { t.MilliProcessors = -1 },
		"milli_processors 4096001":     func(t *job.Target) { t.MilliProcessors = 4096001 },
		"rack of 200 bytes":            func(t *job.Target) { t.Rack = string(make([]byte, 200)) },
		"memory_mb -5":                 func(t *job.Target) { t.MemoryMB = -5 },
		"accelerators -1":              func(t *job.Target) { t.Accelerators = -1 },
		"running -1":                   func(t *job.Target) { t.Running = -1 },
	}
	for want, setInvalid := range cases {
		t.Run(want, func(t *testing.T) {
			r := NewRegistry("a", config.Fixed{})
			bad := testTarget("t1", "10.0.0.1:80")
			setInvalid(&bad)
			_, _, err := r.Announce(start, bad)
			qt.Assert(t, err, qt.ErrorMatches, want+".* not valid")
			qt.Assert(t, r.Held(), qt.HasLen, 0)
		})
	}
}

// A target dies without withdrawing. Its lease must expire by itself, while a target
// that keeps announcing itself must never lose its lease. The lease time is that of
// the configuration.
func TestLeasesExpireUnlessRenewed(t *testing.T) {
	r := NewRegistry("a", config.Fixed{File: &config.File{Targets: config.TargetDefaults{Lease: 3 * time.Second}}})
	for _, announced := range []job.Target{testTarget("dies", "10.0.0.1:81"), testTarget("lives", "10.0.0.1:82")} {
		lasts, renew, err := r.Announce(start, announced)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, lasts, qt.Equals, 3*time.Second)
		qt.Assert(t, renew, qt.Equals, time.Second)
	}
	_, _, err := r.Announce(atSecond(2), testTarget("lives", "10.0.0.1:82"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Expire(atSecond(2.9)), qt.HasLen, 0)
	qt.Assert(t, ids(r.Expire(atSecond(3))), qt.DeepEquals, []job.TargetID{"dies"})
	qt.Assert(t, ids(r.Held()), qt.DeepEquals, []job.TargetID{"lives"})
	_, _, err = r.Announce(atSecond(4), testTarget("dies", "10.0.0.1:81"))
	qt.Assert(t, err, qt.IsNil)
}

// A target withdraws through one entry while its last renewal is still in transit
// through another. If the renewal arrived second, it would restore the target for a
// lease. The target may return after a second, or immediately at another address,
// because that is a new process.
func TestRenewalAfterWithdrawalDoesNotBringTheTargetBack(t *testing.T) {
	r := NewRegistry("a", config.Fixed{})
	_, _, _ = r.Announce(start, testTarget("t1", "10.0.0.1:80"))
	_, held := r.Withdraw(atSecond(1), "t1")
	qt.Assert(t, held, qt.IsTrue)
	_, held = r.Withdraw(atSecond(1), "t1")
	qt.Assert(t, held, qt.IsFalse)
	_, _, err := r.Announce(atSecond(1.1), testTarget("t1", "10.0.0.1:80"))
	qt.Assert(t, errors.Is(err, ErrWithdrawn), qt.IsTrue)
	_, _, err = r.Announce(atSecond(1.2), testTarget("t1", "10.0.0.1:81"))
	qt.Assert(t, err, qt.IsNil)
	_, _ = r.Withdraw(atSecond(2), "t1")
	_, _, err = r.Announce(atSecond(3), testTarget("t1", "10.0.0.1:81"))
	qt.Assert(t, err, qt.IsNil)
}

// A target restarts on another port, two machines have the same id, or one process
// announces two ids. The first case must work immediately. The others must be refused,
// because the target would move back and forth or the slots of one process would count
// twice.
func TestMovesAndConflicts(t *testing.T) {
	r := NewRegistry("a", config.Fixed{})
	steps := []struct {
		at          float64
		id          job.TargetID
		address     string
		want        string
		heldAddress string
	}{
		{0, "t1", "10.0.0.1:80", "", "10.0.0.1:80"},
		{1, "t1", "10.0.0.1:81", "", "10.0.0.1:81"},
		{1.5, "t1", "10.0.0.1:80", ".*two targets announce one id.*", "10.0.0.1:81"},
		{2, "t2", "10.0.0.1:81", "target t1 at 10.0.0.1:81 already exists", "10.0.0.1:81"},
		{2.5, "t2", "10.0.0.1:80", "", "10.0.0.1:81"},
		{4.5, "t1", "10.0.0.1:82", "", "10.0.0.1:82"},
		{5, "t3", "10.0.0.1:81", "", "10.0.0.1:82"},
		{7, "t4", "10.0.0.1:80", "target t2 at 10.0.0.1:80 already exists", "10.0.0.1:82"},
	}
	for _, s := range steps {
		_, _, err := r.Announce(atSecond(s.at), testTarget(s.id, s.address))
		if s.want == "" {
			qt.Assert(t, err, qt.IsNil)
		} else {
			qt.Assert(t, err, qt.ErrorMatches, s.want)
		}
		qt.Assert(t, r.Held()[0].Address, qt.Equals, s.heldAddress)
	}
	released := r.Release(func(held *job.Target) bool { return held.ID == "t1" })
	qt.Assert(t, ids(released), qt.DeepEquals, []job.TargetID{"t2", "t3"})
	qt.Assert(t, ids(r.Held()), qt.DeepEquals, []job.TargetID{"t1"})
}
