package entry

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// An entry is paused for three seconds, runs for a tenth of a second, in which it reads only
// part of the unread messages, and is paused again for a shorter time. A request that it
// reads then may be four seconds old: its caller has sent the job to another entry, and the
// job would run twice.
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

// An offer is delayed because its holder is paused or the connection is interrupted. The
// owner considers the holder lost and has the job run elsewhere. After the two have
// reconnected, the holder reads the offer from the earlier connection. The owner is alive
// now, but the offer is still old: the holder would run the job in parallel with its second
// run.
func TestOldOfferIsRefusedAfterItsOwnerReconnects(t *testing.T) {
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

// A request stays unread in an entry that is paused for 0.9 s, runs for 60 ms and is paused
// again for 0.8 s. The entry renews its right in between, so neither pause ends the right.
// But the request is 1.7 s old. Its caller lost the entry during the first pause, and the
// job has been running elsewhere for 0.4 s: the caller would pay for two runs.
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
