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

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func sample(id job.TargetID, address string) job.Target {
	return job.Target{ID: id, Pool: "thumbs", Address: address, Zone: "a", Slots: 8, Connections: 64}
}

func ids(ts []job.Target) []job.TargetID {
	out := []job.TargetID{}
	for _, t := range ts {
		out = append(out, t.ID)
	}
	return out
}

// A target with a wrong setting announces itself. Taken as it is, it would
// draw tasks that fail or pile up; refused without a word, its operator would
// look for the fault elsewhere.
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
	for want, spoil := range cases {
		t.Run(want, func(t *testing.T) {
			r := NewRegistry("a", config.Fixed{})
			bad := sample("t1", "10.0.0.1:80")
			spoil(&bad)
			_, _, err := r.Announce(start, bad)
			qt.Assert(t, err, qt.ErrorMatches, want+".* not valid")
			qt.Assert(t, r.Held(), qt.HasLen, 0)
		})
	}
}

// A target dies without a word. Its lease must end by itself, and one that
// goes on announcing must never lose its lease; the configuration's lease
// counts from the next announcement.
func TestLeasesLapseUnlessRenewed(t *testing.T) {
	r := NewRegistry("a", config.Fixed{File: &config.File{Targets: config.TargetDefaults{Lease: 3 * time.Second}}})
	for _, announced := range []job.Target{sample("dies", "10.0.0.1:81"), sample("lives", "10.0.0.1:82")} {
		lasts, renew, err := r.Announce(start, announced)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, lasts, qt.Equals, 3*time.Second)
		qt.Assert(t, renew, qt.Equals, time.Second)
	}
	_, _, err := r.Announce(at(2), sample("lives", "10.0.0.1:82"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Expire(at(2.9)), qt.HasLen, 0)
	qt.Assert(t, ids(r.Expire(at(3))), qt.DeepEquals, []job.TargetID{"dies"})
	qt.Assert(t, ids(r.Held()), qt.DeepEquals, []job.TargetID{"lives"})
	_, _, err = r.Announce(at(4), sample("dies", "10.0.0.1:81"))
	qt.Assert(t, err, qt.IsNil)
}

// A target withdraws through one entry while its last renewal is still on its
// way through another. Coming second, the renewal would bring the target back
// for a lease. After a second the target may return, and at another address at
// once: that is a new process.
func TestRenewalAfterWithdrawalDoesNotBringTheTargetBack(t *testing.T) {
	r := NewRegistry("a", config.Fixed{})
	_, _, _ = r.Announce(start, sample("t1", "10.0.0.1:80"))
	_, held := r.Withdraw(at(1), "t1")
	qt.Assert(t, held, qt.IsTrue)
	_, held = r.Withdraw(at(1), "t1")
	qt.Assert(t, held, qt.IsFalse)
	_, _, err := r.Announce(at(1.1), sample("t1", "10.0.0.1:80"))
	qt.Assert(t, errors.Is(err, ErrWithdrawn), qt.IsTrue)
	_, _, err = r.Announce(at(1.2), sample("t1", "10.0.0.1:81"))
	qt.Assert(t, err, qt.IsNil)
	_, _ = r.Withdraw(at(2), "t1")
	_, _, err = r.Announce(at(3), sample("t1", "10.0.0.1:81"))
	qt.Assert(t, err, qt.IsNil)
}

// A target restarts on another port, or two machines were given one id, or one
// process announces two ids. The first must work at once; the others would
// move the target back and forth, or give one process twice its slots.
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
		_, _, err := r.Announce(at(s.at), sample(s.id, s.address))
		if s.want == "" {
			qt.Assert(t, err, qt.IsNil)
		} else {
			qt.Assert(t, err, qt.ErrorMatches, s.want)
		}
		qt.Assert(t, r.Held()[0].Address, qt.Equals, s.heldAddress)
	}
	gone := r.Release(func(held *job.Target) bool { return held.ID == "t1" })
	qt.Assert(t, ids(gone), qt.DeepEquals, []job.TargetID{"t2", "t3"})
	qt.Assert(t, ids(r.Held()), qt.DeepEquals, []job.TargetID{"t1"})
}
