package registrar

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

func claimant(entry job.EntryID, number uint64) Claimant {
	return Claimant{job.Owner{Entry: entry, Incarnation: 1, Zone: "z"}, number}
}

// A registrar that has not synced, or stands in for another, grants a claim and
// hears of an earlier one afterwards, or the other way round. Were one record to
// take the other's place, a withdrawal or a death would leave nothing, this
// registrar would call the id unseen, and the job would start again.
func TestRecordsOfTwoClaimantsStay(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, withdrawn := range []Claimant{claimant("a", 1), claimant("b", 1)} {
		table := newTable()
		qt.Assert(t, table.claim(now, &claimRequest{ID: "x", By: claimant("b", 1)}), qt.HasLen, 0)
		table.take(now, Record{ID: "x", By: claimant("a", 1)})
		table.settle("x", withdrawn, nil)
		held := table.claim(now, &claimRequest{ID: "x", By: claimant("c", 1)})
		qt.Assert(t, held, qt.HasLen, 1)
		qt.Assert(t, held[0].By, qt.Not(qt.Equals), withdrawn)
	}
}

// An entry gave an id up and claims it again for another caller, while one that
// was told of the first claim's end still asks to replace it. Were it allowed
// to, both would start the job.
func TestReplacingAnOldClaimLeavesTheNewOne(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTable()
	first, second := claimant("a", 1), claimant("a", 2)
	qt.Assert(t, table.claim(now, &claimRequest{ID: "x", By: first}), qt.HasLen, 0)
	qt.Assert(t, table.claim(now, &claimRequest{ID: "x", By: second}), qt.HasLen, 0)
	held := table.claim(now, &claimRequest{ID: "x", By: claimant("b", 1), Replace: []Claimant{first}})
	qt.Assert(t, held, qt.HasLen, 1)
	qt.Assert(t, held[0].By, qt.Equals, second)
	qt.Assert(t, table.claim(now, &claimRequest{ID: "x", By: first}), qt.HasLen, 1)
	table.settle("x", first, nil) // the end of the first claim arrives late
	qt.Assert(t, table.records["x"][0].By, qt.Equals, second)
	qt.Assert(t, table.claim(now, &claimRequest{ID: "x", By: claimant("b", 1), Replace: []Claimant{second}}), qt.HasLen, 0)
}

// Three claims of one id meet. The entry in the middle has given it up to one
// rival when the other asks: were that one told to join, the three could wait
// for each other in a circle and their callers would never get an answer.
func TestGivenUpClaimNamesWhoHasIt(t *testing.T) {
	self := claimant("m", 1).Owner
	o := newOwned(self)
	e, isNew := o.begin("x", job.Digest{})
	qt.Assert(t, isNew, qt.IsTrue)
	first, second, larger := claimant("a", 1).Owner, claimant("b", 1).Owner, claimant("z", 1).Owner
	qt.Assert(t, o.yield(larger, "x").Verdict, qt.Equals, yieldMine)
	qt.Assert(t, o.yield(second, "x").Verdict, qt.Equals, yieldYours)
	qt.Assert(t, o.yield(second, "x").Verdict, qt.Equals, yieldYours)
	qt.Assert(t, o.yield(first, "x"), qt.Equals, yieldReply{Verdict: yieldMoved, To: second})
	o.drop(e)
	qt.Assert(t, o.yield(first, "x").Verdict, qt.Equals, yieldUnknown)
}

// Millions of submissions pass through. Records and answers must stay within
// their bytes; that an id was started must be known longer than its answer, and
// records that went too early must be told.
func TestMemoryIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	table, o := newTable(), newOwned(claimant("a", 1).Owner)
	for i := range 1000 {
		id := job.ID(rune('a' + i))
		table.claim(now.Add(time.Duration(i)), &claimRequest{ID: id, By: claimant("a", uint64(i))})
		e, _ := o.begin(id, job.Digest{})
		o.start(e, nil)
		o.settle(now.Add(time.Duration(i)), id, job.Answer{Outcome: job.Complete, Detail: "0123456789"})
	}
	const limit = 100 * (recordBytes + 4)
	short := table.expire(now.Add(time.Second), time.Minute, limit)
	qt.Assert(t, table.bytes <= limit && len(table.records) >= 100, qt.IsTrue)
	qt.Assert(t, short.After(now.Add(time.Minute)), qt.IsTrue)
	o.expire(now.Add(time.Second), time.Minute, 500)
	qt.Assert(t, o.bytes, qt.Equals, 500)
	qt.Assert(t, len(o.entries), qt.Equals, 1000)
	qt.Assert(t, table.expire(now.Add(time.Hour), time.Minute, limit).IsZero(), qt.IsTrue)
	o.expire(now.Add(time.Hour), time.Minute, 500)
	qt.Assert(t, len(table.records)+len(o.entries)+len(o.answers)+table.bytes+o.bytes, qt.Equals, 0)
}
