package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/membership"
	"github.com/vanillagrade/vanillagrade/internal/policy/split"
)

// loadOf returns a report about a holder that has free slots unless its zone is cordoned.
func loadOf(entry job.EntryID, cordoned bool) membership.Load {
	l := job.HolderLoad{Entry: entry, Zone: "a", Pool: "p", Targets: 1, Slots: 8, Free: 8, Cordoned: cordoned}
	if cordoned {
		l.Slots, l.Free = 0, 0
	}
	return membership.Load{HolderLoad: l}
}

func (h *holders) splitOne() split.Plan {
	return h.splitter.SplitFor(time.Time{}, "p", split.Precedence{}, make([]job.BatchTask, 1))
}

// Guards against dropping a holder's report because it comes right after the one before: after a
// cordon is withdrawn, the owner would take the zone for cordoned until the next heartbeat.
func TestReportRightAfterAnotherCounts(t *testing.T) {
	h := newHolders(job.Owner{Entry: "self", Zone: "a"}, nil, nil, nil)
	now := time.Unix(1000, 0)
	for i, cordoned := range []bool{false, true, false, true, false} {
		l := loadOf("other", cordoned)
		l.Direct = true
		h.recordLoads(now.Add(time.Duration(i)*100*time.Microsecond), []membership.Load{l})
		qt.Check(t, h.splitOne().Reason == job.ZoneCordoned, qt.Equals, cordoned, qt.Commentf("report %d", i))
	}
}

// Guards against counting a report again when a copy of it arrives from another entry: what was
// sent to its holder since would be forgotten, and all jobs would go there.
func TestCopyOfAReportDoesNotCount(t *testing.T) {
	h := newHolders(job.Owner{Entry: "self", Zone: "a"}, nil, nil, nil)
	now := time.Unix(1000, 0)
	first := loadOf("other", false)
	first.Direct = true
	h.recordLoads(now, []membership.Load{first})
	for range 8 {
		h.splitOne()
	}
	full := h.splitOne().Wait
	qt.Assert(t, full > 0, qt.IsTrue)
	copied := loadOf("other", false)
	copied.Age = 20 * time.Millisecond
	h.recordLoads(now.Add(21*time.Millisecond), []membership.Load{copied})
	qt.Check(t, h.splitOne().Wait >= full, qt.IsTrue)
}
