package split

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Holders of several releases and with several configurations report to one owner. A missing
// or unknown priority must neither hide a holder nor make it look free.
func TestPriorityWaitsOfDifferentHolders(t *testing.T) {
	ms := time.Millisecond
	earlier := load("e2", "z1", 80, 0, 40*ms)
	current := load("e3", "z1", 80, 10, 100*ms)
	current.Priorities = []job.PriorityLoad{{Priority: 0, Wait: 0}, {Priority: 2, Wait: 90 * ms}}
	to := func(priority int, loads ...job.HolderLoad) job.EntryID {
		by := Precedence{Urgency: job.UrgencyInteractive, Priority: priority}
		return splitter(loads...).SplitFor(now, pool, by, tasks(4)).Parts[0].Entry
	}
	qt.Check(t, to(0, earlier, current), qt.Equals, job.EntryID("e3"))
	qt.Check(t, to(2, earlier, current), qt.Equals, job.EntryID("e2"), qt.Commentf("free slots that are kept for others"))
	qt.Check(t, to(1, earlier, current), qt.Equals, job.EntryID("e2"), qt.Commentf("a priority that the holder does not know"))
	qt.Check(t, to(9, earlier, current), qt.Equals, job.EntryID("e2"))
	batch := Precedence{Urgency: job.UrgencyBatch, Priority: 0}
	wait, free := batch.waitAt(&current)
	qt.Check(t, wait, qt.Equals, 100*ms)
	qt.Check(t, free, qt.Equals, 10)
}
