package registrar

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/membership"
)

// zoneCompleteness holds the completeness of all entries of one zone.
type zoneCompleteness struct {
	now          time.Time
	incarnations []job.Incarnation
	all          []*completeness
}

func newZoneCompleteness(n int, retain time.Duration) *zoneCompleteness {
	z := &zoneCompleteness{now: exploreTime, incarnations: make([]job.Incarnation, n)}
	for i := range n {
		z.incarnations[i] = 1
		z.all = append(z.all, newCompleteness(z.now, z.name(i), retain))
	}
	z.updateViews()
	z.sync()
	return z
}

func (z *zoneCompleteness) name(i int) job.EntryID { return job.EntryID(fmt.Sprintf("e%02d", i)) }

// updateViews applies the current view to all entries.
func (z *zoneCompleteness) updateViews() {
	view := membership.Members{Self: membership.Member{Zone: "z"}}
	for i, life := range z.incarnations {
		view.List = append(view.List, membership.Member{Entry: z.name(i), Zone: "z", Incarnation: life, State: membership.Alive})
	}
	for _, m := range z.all {
		m.applyView(z.now, &view, true)
	}
}

// sync makes every entry collect records from all others and returns the number of
// losses in the replies.
func (z *zoneCompleteness) sync() (sentLosses int) {
	replies := make([]syncReply, len(z.all))
	for i, m := range z.all {
		m.fillSyncReply(z.now, &replies[i])
	}
	z.now = z.now.Add(time.Millisecond)
	for i, m := range z.all {
		var others []syncReply
		for j := range replies {
			if j != i {
				others = append(others, replies[j])
				sentLosses += len(replies[j].Losses)
			}
		}
		m.complete(z.now, others)
	}
	for _, m := range z.all {
		for i, other := range z.all {
			m.recordSynced(z.name(i), other.setDigest())
		}
	}
	return sentLosses
}

// Eleven entries of a zone are restarted in turn, two at a time, so that each round
// loses the records of some ids. Every later sync reports these losses from each
// entry to each other. The number of losses must not grow by this: within ten
// restarts, the replies would fill the links of small VMs and delay task starts by
// seconds. A loss must also not last longer than the records would have.
func TestLossesSentInEverySyncDoNotMultiply(t *testing.T) {
	const entries, rounds, retain = 11, 8, time.Minute
	z := newZoneCompleteness(entries, retain)
	for round := range rounds {
		z.incarnations[2*round%entries]++
		z.incarnations[(2*round+1)%entries]++
		z.updateViews()
		told := z.sync()
		qt.Assert(t, told <= (round+1)*entries*(entries-1), qt.IsTrue, qt.Commentf("round %d: %d losses in the replies", round, told))
		z.now = z.now.Add(time.Second)
	}
	lost, registrar := lostID(t, z)
	qt.Assert(t, registrar.certainty(z.now, lost), qt.Equals, Lost)
	for end := z.now.Add(retain + 2*lossTolerance); z.now.Before(end); z.now = z.now.Add(time.Second) {
		z.sync()
	}
	qt.Assert(t, z.sync(), qt.Equals, 0)
}

// lostID returns an id whose registrars were both lost in the last round, and the
// completeness of one of them.
func lostID(t *testing.T, z *zoneCompleteness) (job.ID, *completeness) {
	last := z.all[0].losses[len(z.all[0].losses)-1]
	for i := range 10_000 {
		id := job.ID(fmt.Sprint("job-", i))
		if !last.covers(id) {
			continue
		}
		for j, m := range z.all {
			if storesRecord(z.name(j), last.base, id) {
				return id, m
			}
		}
	}
	t.Fatal("no id is covered by the loss")
	return "", nil
}

// A zone loses two entries at once more than maxLosses times. Every id must then
// count as lost, so that no lost id counts as never started.
func TestTooManyLossesApplyToEveryID(t *testing.T) {
	m := newCompleteness(exploreTime, "e00", time.Hour)
	for i := range maxLosses + 1 {
		base := []job.EntryID{"e00", job.EntryID(fmt.Sprintf("f%03d", i))}
		m.addLoss(loss{base: base, dead: base, until: exploreTime.Add(time.Duration(i) * time.Minute)})
	}
	qt.Assert(t, m.losses, qt.HasLen, 1)
	qt.Assert(t, m.losses[0].covers("any"), qt.IsTrue)
	qt.Assert(t, m.losses[0].until, qt.Equals, exploreTime.Add(maxLosses*time.Minute))
	m.addLoss(loss{base: []job.EntryID{"e00", "g"}, dead: []job.EntryID{"g"}, until: exploreTime.Add(time.Minute)})
	qt.Assert(t, m.losses, qt.HasLen, 1)
}
