package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/malformed"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// Start times of the processes of one target, in Unix milliseconds.
const (
	formerStart = 1_700_000_000_000
	laterStart  = formerStart + 60_000
)

func startedTarget(startedAt int64) job.Target {
	t := testTarget("t5", "p", "10.0.0.5:80")
	t.StartedAt = startedAt
	return t
}

// Guards against a target that is refused for a minute after it has restarted under its id.
func TestTargetThatRestartsAfterItsEndIsHeldAtOnce(t *testing.T) {
	ends := map[string]func(*targets){
		"planned stop": func(ts *targets) {
			leaving := startedTarget(formerStart)
			qt.Assert(t, ts.AnnounceStop(t.Context(), &leaving), qt.IsNil)
		},
		"withdrawn": func(ts *targets) { qt.Assert(t, ts.Withdraw(t.Context(), "t5"), qt.IsNil) },
		"ended":     func(ts *targets) { ts.removeEnded("t5") },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			ts := newTestTargets(t, map[string]job.TargetID{"10.0.0.5:80": "t5"})
			_, _, err := ts.announce(t.Context(), startedTarget(formerStart))
			qt.Assert(t, err, qt.IsNil)
			end(ts)
			_, _, err = ts.announce(t.Context(), startedTarget(formerStart))
			qt.Check(t, errors.Is(err, target.ErrWithdrawn), qt.IsTrue, qt.Commentf("%v", err))
			_, _, err = ts.announce(t.Context(), startedTarget(laterStart))
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, ts.registry.Holds("t5"), qt.IsTrue)
		})
	}
}

// Guards against a late announcement of a former process that renews, stops or replaces the one
// that runs under its id now.
func TestLateAnnouncementOfAFormerProcessChangesNothing(t *testing.T) {
	ts := newTestTargets(t, map[string]job.TargetID{"10.0.0.5:80": "t5"})
	for _, startedAt := range []int64{formerStart, laterStart} {
		_, _, err := ts.announce(t.Context(), startedTarget(startedAt))
		qt.Assert(t, err, qt.IsNil)
	}
	late := startedTarget(formerStart)
	_, _, err := ts.announce(t.Context(), late)
	qt.Check(t, errors.Is(err, errors.AlreadyExists), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, ts.AnnounceStop(t.Context(), &late), qt.IsNotNil)
	held, ok := ts.registry.Get("t5")
	qt.Check(t, ok && held.StartedAt == laterStart, qt.IsTrue, qt.Commentf("%+v", held))
}

// Guards against an announcement with a false later start: the target's own announcements would
// be refused from then on.
func TestLaterStartIsBelievedOnlyIfItsAddressConfirmsIt(t *testing.T) {
	ts := newTestTargets(t, map[string]job.TargetID{"10.0.0.5:80": "t5"})
	_, _, err := ts.announce(t.Context(), startedTarget(formerStart))
	qt.Assert(t, err, qt.IsNil)
	ts.isListening = func(at job.Target) bool { return at.StartedAt == formerStart }
	_, _, err = ts.announce(t.Context(), startedTarget(laterStart))
	qt.Check(t, errors.Is(err, errors.AlreadyExists), qt.IsTrue, qt.Commentf("%v", err))
	_, _, err = ts.announce(t.Context(), startedTarget(formerStart))
	qt.Check(t, err, qt.IsNil)
}

// Guards against an announcement by another writer that lacks the start of the process.
func TestAnnouncementWithoutStartIsRefusedWhereOthersReportIt(t *testing.T) {
	ts := newTestTargets(t, nil)
	_, _, err := ts.announce(t.Context(), startedTarget(formerStart))
	qt.Assert(t, err, qt.IsNil)
	_, _, err = ts.announce(t.Context(), startedTarget(0))
	qt.Check(t, errors.Is(err, errors.NotValid), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, ts.malformed.Total(malformed.Announcement), qt.Equals, uint64(1))
	other := testTarget("t6", "q", "10.0.0.6:80")
	_, _, err = ts.announce(t.Context(), other)
	qt.Check(t, err, qt.IsNil)
}
