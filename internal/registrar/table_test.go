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

// A registrar that has not synced, or that replaces another, grants a claim and
// later receives the record of an earlier one, or the reverse. If one record
// replaced the other, a withdrawal or the death of its claimant would leave no
// record. The registrar would report the id as unseen and the job would start again.
func TestRecordsOfTwoClaimantsStay(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, withdrawn := range []Claimant{claimant("a", 1), claimant("b", 1)} {
		table := newTable()
		qt.Assert(t, table.claim(now, &claimRequest{ID: "x", By: claimant("b", 1)}), qt.HasLen, 0)
		table.merge(now, Record{ID: "x", By: claimant("a", 1)})
		table.settle("x", withdrawn, nil)
		held := table.claim(now, &claimRequest{ID: "x", By: claimant("c", 1)})
		qt.Assert(t, held, qt.HasLen, 1)
		qt.Assert(t, held[0].By, qt.Not(qt.Equals), withdrawn)
	}
}

// An entry withdraws its claim of an id and claims it again for another caller.
// Another entry that knows of the withdrawal then asks to replace the first claim.
// If it replaced the second one, both entries would start the job.
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
	table.settle("x", first, nil) // the settle message of the first claim arrives late
	qt.Assert(t, table.records["x"][0].By, qt.Equals, second)
	qt.Assert(t, table.claim(now, &claimRequest{ID: "x", By: claimant("b", 1), Replace: []Claimant{second}}), qt.HasLen, 0)
}

// Three claims of one id compete. The middle entry has yielded its claim to one
// rival when the other rival asks. If it asked the other rival to join it, the three
// entries could wait for each other in a cycle and their callers would never receive
// an answer.
func TestYieldedClaimNamesNewOwner(t *testing.T) {
	self := claimant("m", 1).Owner
	o := newOwnerTable(self)
	e, isNew := o.begin("x", job.Digest{})
	qt.Assert(t, isNew, qt.IsTrue)
	first, second, larger := claimant("a", 1).Owner, claimant("b", 1).Owner, claimant("z", 1).Owner
	qt.Assert(t, o.yield(larger, "x").Result, qt.Equals, yieldRefused)
	qt.Assert(t, o.yield(second, "x").Result, qt.Equals, yieldGranted)
	qt.Assert(t, o.yield(second, "x").Result, qt.Equals, yieldGranted)
	qt.Assert(t, o.yield(first, "x"), qt.Equals, yieldReply{Result: yieldRedirected, To: second})
	o.drop(e)
	qt.Assert(t, o.yield(first, "x").Result, qt.Equals, yieldUnknown)
}

// Records and answers must stay within their memory limits after any number of
// submissions. The table must know that an id was started even after its answer is
// dropped, and expire must report records that were removed early.
func TestMemoryIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	table, o := newTable(), newOwnerTable(claimant("a", 1).Owner)
	for i := range 1000 {
		id := job.ID(rune('a' + i))
		table.claim(now.Add(time.Duration(i)), &claimRequest{ID: id, By: claimant("a", uint64(i))})
		e, _ := o.begin(id, job.Digest{})
		o.start(e, nil)
		o.settle(now.Add(time.Duration(i)), id, job.Answer{Outcome: job.Complete, Detail: "0123456789"})
	}
	const limit = 100 * (recordOverhead + 4)
	short := table.expire(now.Add(time.Second), time.Minute, limit)
	qt.Assert(t, table.bytes <= limit && len(table.records) >= 100, qt.IsTrue)
	qt.Assert(t, short.After(now.Add(time.Minute)), qt.IsTrue)
	o.expire(now.Add(time.Second), time.Minute, 500)
	qt.Assert(t, o.bytes, qt.Equals, 500)
	qt.Assert(t, len(o.submissions), qt.Equals, 1000)
	qt.Assert(t, table.expire(now.Add(time.Hour), time.Minute, limit).IsZero(), qt.IsTrue)
	o.expire(now.Add(time.Hour), time.Minute, 500)
	qt.Assert(t, len(table.records)+len(o.submissions)+len(o.answers)+table.bytes+o.bytes, qt.Equals, 0)
}
