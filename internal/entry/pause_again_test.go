package entry

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// An entry stands still for three seconds, runs for a tenth of a second, in which it reads
// a part of what lay unread, and stands still again for a shorter while. What it reads then
// may be four seconds old: its caller has sent the job elsewhere, and would have it run
// twice.
func TestRequestsFromBeforeAPauseAreRefusedAfterTheNextOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPausableEntry(t)
		defer p.close()
		time.Sleep(time.Second)
		p.pause(3 * time.Second)
		time.Sleep(100 * time.Millisecond)
		_, fresh := p.entry.rights.ownRight(0)
		qt.Check(t, fresh, qt.IsFalse)
		p.pause(800 * time.Millisecond)
		_, fresh = p.entry.rights.ownRight(0)
		qt.Check(t, fresh, qt.IsFalse)
	})
}

// An offer leaves its owner and is held up: its holder stands still, or the connection is
// cut. The owner gives the holder up and has the job run elsewhere. When the two have found
// each other again the offer is read at last, from the earlier connection. That the owner
// is alive now does not make the offer new: the holder would run the job beside its second
// run.
func TestAnOldOfferIsRefusedThoughItsOwnerIsHeardAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPausableEntry(t)
		defer p.close()
		time.Sleep(time.Second)
		life := job.Owner{Entry: "o", Incarnation: 1, Zone: "y"}
		old := p.entry.rights.Reading()
		qt.Check(t, p.entry.rights.Right(life, old, 0), qt.Not(qt.IsNil))
		p.pause(3 * time.Second)
		p.net.SetDelay(time.Millisecond)
		time.Sleep(5 * time.Second)
		fresh := p.entry.rights.Reading()
		qt.Check(t, p.entry.rights.Right(life, fresh, 0), qt.Not(qt.IsNil))
		qt.Check(t, p.entry.rights.Right(life, old, 0), qt.IsNil)
	})
}

// A request lies unread in an entry that stands still for 0.9 s, runs for 60 ms and stands
// still for 0.8 s again. The entry has proved to itself in between that it runs, so neither
// pause ends its right. But the request is 1.7 s old, and its caller, who lost the entry at
// the first pause, has had the job run elsewhere for 0.4 s: it pays for two runs.
func TestRequestsFromBeforeTwoShortPausesAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPausableEntry(t)
		defer p.close()
		time.Sleep(time.Second)
		p.pause(900 * time.Millisecond)
		time.Sleep(60 * time.Millisecond)
		p.pause(800 * time.Millisecond)
		_, fresh := p.entry.rights.ownRight(0)
		qt.Check(t, fresh, qt.IsFalse)
	})
}
