package register

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/consensus"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/storage"
	"github.com/vanillagrade/vanillagrade/internal/storage/storagetest"
)

// withFormedFleet runs body on a formed fleet with configuration 1 in effect.
func withFormedFleet(t *testing.T, voters, learners int, body func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, voters, learners)
		defer f.stopAll()
		time.Sleep(3 * time.Second)
		f.mustApply("v1", 1)
		f.assertInEffect(1, time.Second, f.entries...)
		body(t, f)
	})
}

// Two operators on two entries apply different files with the same number at the same
// time. If both succeeded, one of them would rely on a file that is nowhere in effect.
// The loser must get a conflict that identifies the accepted change, also when it
// repeats the call later.
func TestRacingOperatorsWithEqualNumbers(t *testing.T) {
	withFormedFleet(t, 3, 2, func(t *testing.T, f *fleet) {
		type result struct {
			a   Accepted
			err error
		}
		results := map[string]chan result{"x": make(chan result, 1), "y": make(chan result, 1)}
		for id, e := range map[string]job.EntryID{"x": "v1", "y": "l2"} {
			go func() {
				a, err := f.apply(e, id, fileOf(2, id))
				results[id] <- result{a, err}
			}()
		}
		x, y := <-results["x"], <-results["y"]
		winner, loser, loserID := x, y, "y"
		if x.err != nil {
			winner, loser, loserID = y, x, "x"
		}
		qt.Assert(t, winner.err, qt.IsNil)
		var conflict *Conflict
		qt.Assert(t, errors.As(loser.err, &conflict), qt.IsTrue, qt.Commentf("%v", loser.err))
		qt.Assert(t, *conflict, qt.Equals, Conflict{Number: 2, Digest: winner.a.Digest, ChangeID: winner.a.ChangeID})
		f.mustApply("l1", 3)
		_, err := f.apply("v3", loserID, fileOf(2, loserID))
		again := new(Conflict)
		qt.Assert(t, errors.As(err, &again), qt.IsTrue)
		qt.Assert(t, *again, qt.Equals, *conflict)
		f.assertInEffect(3, time.Second, f.entries...)
	})
}

// The answer to an apply is lost and the operator sends the change again, at once or
// after others have applied more changes. The answer must be that the change was
// accepted, not that it is too old.
func TestResendReturnsTheFirstOutcome(t *testing.T) {
	withFormedFleet(t, 3, 1, func(t *testing.T, f *fleet) {
		first, err := f.apply("v1", "mine", fileOf(2, "mine"))
		qt.Assert(t, err, qt.IsNil)
		for number := 3; number < 6; number++ {
			f.mustApply("v2", number)
		}
		for _, e := range f.entries {
			again, err := f.apply(e, "mine", fileOf(2, "mine"))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, again, qt.Equals, first)
		}
		_, err = f.apply("v3", "mine", fileOf(9, "other"))
		var conflict *Conflict
		qt.Assert(t, errors.As(err, &conflict), qt.IsTrue)
		qt.Assert(t, conflict.Reused, qt.IsTrue)
		f.assertInEffect(5, time.Second, f.entries...)
	})
}

// A network partition separates a voter and a learner of its zone for an hour. They
// must refuse changes, keep serving with their last file, report it as stale since the
// partition began, and catch up within seconds after the partition ends, without ever
// returning to an older file.
func TestVoterPartitionedForLong(t *testing.T) {
	withFormedFleet(t, 3, 3, func(t *testing.T, f *fleet) {
		f.cut(true, "v3", "l3")
		cutAt := time.Now()
		time.Sleep(time.Hour)
		for number := 2; number < 20; number++ {
			f.mustApply("l1", number)
		}
		for _, e := range []job.EntryID{"v3", "l3"} {
			_, err := f.apply(e, "lost", fileOf(50, "lost"))
			qt.Assert(t, errors.Is(err, ErrUnavailable), qt.IsTrue, qt.Commentf("%v", err))
			state := f.nodes[e].State()
			qt.Assert(t, state.Stale, qt.IsTrue)
			qt.Assert(t, state.StaleSince.Sub(cutAt).Abs() < 5*time.Second, qt.IsTrue)
			qt.Assert(t, state.Number, qt.Equals, uint64(1))
			qt.Assert(t, f.nodes[e].Current().Number, qt.Equals, uint64(1))
		}
		qt.Assert(t, f.nodes["v1"].State().Stale, qt.IsFalse)
		f.cut(false, "v3", "l3")
		f.assertInEffect(19, 4*time.Second, f.entries...)
		qt.Assert(t, f.nodes["v3"].State().Stale, qt.IsFalse)
		qt.Assert(t, f.nodes["l3"].State().Stale, qt.IsFalse)
		f.cut(true, "v1")
		f.mustApply("v3", 20)
	})
}

// A voter's disk is lost and the VM restarts under the same name with an empty disk. It
// has lost the record of its votes, so its vote must not count until an operator has
// replaced the voter. Afterwards the loss of another voter must lose no data.
func TestDiskLostUnderSameName(t *testing.T) {
	withFormedFleet(t, 3, 1, func(t *testing.T, f *fleet) {
		f.crash("v3", storagetest.KeepAll)
		f.start("v3", &storagetest.FS{})
		f.assertInEffect(1, 4*time.Second, f.entries...)
		qt.Assert(t, f.nodes["v3"].State().Voter, qt.IsFalse)
		qt.Assert(t, f.nodes["v3"].State().Problem, qt.Matches, ".*replace-voter.*")
		f.cut(true, "v2")
		_, err := f.apply("v1", "two", fileOf(2, "two"))
		qt.Assert(t, errors.Is(err, ErrUnavailable), qt.IsTrue, qt.Commentf("one vote and an empty disk are no majority"))
		f.cut(false, "v2")
		time.Sleep(3 * time.Second)
		qt.Assert(t, f.nodes["l1"].ReplaceVoter(context.Background(), "v3", "v3"), qt.IsNil)
		f.crash("v1", storagetest.KeepAll)
		f.mustApply("v3", 3)
		f.assertInEffect(3, 4*time.Second, "v2", "v3", "l1")
		qt.Assert(t, f.nodes["v3"].State().Voter, qt.IsTrue)
		qt.Assert(t, f.nodes["v3"].State().Problem, qt.Equals, "")
	})
}

// A voter's VM is lost permanently and another entry with an empty disk replaces it;
// right afterwards a second voter is lost. The file accepted before must remain
// accepted, and the remaining voters must be able to accept changes.
func TestSecondLossRightAfterARepair(t *testing.T) {
	withFormedFleet(t, 4, 1, func(t *testing.T, f *fleet) {
		// v4 joins as a spare: it has a disk but is no voter yet.
		qt.Assert(t, f.nodes["v1"].ReplaceVoter(context.Background(), "v4", "v4"), qt.IsNil)
		f.mustApply("v2", 2)
		f.crash("v4", storagetest.KeepNone)
		f.start("v5", &storagetest.FS{})
		f.entries = append(f.entries, "v5")
		time.Sleep(3 * time.Second)
		qt.Assert(t, f.nodes["v1"].ReplaceVoter(context.Background(), "v4", "v5"), qt.IsNil)
		f.crash("v1", storagetest.KeepNone)
		f.mustApply("l1", 3)
		f.assertInEffect(3, 4*time.Second, "v2", "v3", "v5", "l1")
		qt.Assert(t, f.nodes["v5"].State().Voter, qt.IsTrue)
		old := f.start("v4", &storagetest.FS{})
		time.Sleep(4 * time.Second)
		qt.Assert(t, old.State().Voter, qt.IsFalse)
		qt.Assert(t, old.Current().Number, qt.Equals, uint64(3))
	})
}

// All voters lose power at once after hundreds of changes, and the network comes back
// later than the entries. Each must start with the last file that it accepted, serve
// with it at once, and accept changes again when a majority is reachable.
func TestRestartAfterManyChanges(t *testing.T) {
	withFormedFleet(t, 3, 1, func(t *testing.T, f *fleet) {
		for number := 2; number <= 500; number++ {
			f.mustApply(f.entries[number%4], number)
		}
		f.assertInEffect(500, time.Second, f.entries...)
		disks := map[job.EntryID]*storagetest.FS{}
		for _, e := range f.voters {
			disks[e] = f.crash(e, storagetest.KeepNone)
		}
		f.crash("l1", storagetest.KeepNone)
		f.cut(true, "v1")
		f.cut(true, "v2")
		for e, fs := range disks {
			m := f.start(e, fs)
			qt.Assert(t, m.Current().Number, qt.Equals, uint64(500))
		}
		f.start("l1", nil)
		time.Sleep(10 * time.Second)
		f.cut(false, "v1")
		f.cut(false, "v2")
		time.Sleep(4 * time.Second)
		f.mustApply("l1", 501)
		f.assertInEffect(501, time.Second, f.entries...)
		_, err := f.apply("v1", "change-400", fileOf(400, "a"))
		qt.Assert(t, err, qt.IsNil, qt.Commentf("a resend after the restart"))
	})
}

// A voter restarts with a flipped bit in its record. It can't know its earlier votes,
// so it must not vote, must report why, and must serve like any learner.
func TestCorruptRecordDoesNotVote(t *testing.T) {
	withFormedFleet(t, 3, 0, func(t *testing.T, f *fleet) {
		fs := f.crash("v3", storagetest.KeepAll)
		fs.Change("data/register.record", func(b []byte) []byte {
			b[len(b)/2] ^= 1
			return b
		})
		m := f.start("v3", fs)
		f.mustApply("v1", 2)
		f.assertInEffect(2, 4*time.Second, "v1", "v2", "v3")
		qt.Assert(t, m.State().Voter, qt.IsFalse)
		qt.Assert(t, m.State().Problem, qt.Matches, ".*corrupt record.*")
		f.crash("v2", storagetest.KeepAll)
		_, err := f.apply("v1", "three", fileOf(3, "three"))
		qt.Assert(t, errors.Is(err, ErrUnavailable), qt.IsTrue)
	})
}

// The disks of two voters are temporarily full. No change may be acknowledged, since
// only one disk would hold it. The operator must get the error that the outcome is
// unknown or that nothing was accepted, and the fleet must resume once there is space.
func TestFullDisksAcknowledgeNothing(t *testing.T) {
	withFormedFleet(t, 3, 1, func(t *testing.T, f *fleet) {
		f.nodes["v1"].fs.SetFull(true)
		f.nodes["v2"].fs.SetFull(true)
		_, err := f.apply("v3", "two", fileOf(2, "two"))
		qt.Assert(t, errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown), qt.IsTrue, qt.Commentf("%v", err))
		qt.Assert(t, f.nodes["v1"].State().Problem, qt.Matches, ".*no space left.*")
		f.assertInEffect(1, time.Second, f.entries...)
		f.nodes["v1"].fs.SetFull(false)
		f.nodes["v2"].fs.SetFull(false)
		time.Sleep(5 * time.Second)
		f.mustApply("l1", 3)
		f.assertInEffect(3, 2*time.Second, f.entries...)
		qt.Assert(t, f.nodes["v1"].State().Problem, qt.Equals, "")
	})
}

// A voter loses power at each operation of its disk while changes are applied, and
// restarts with the content that the disk kept. Every change that was acknowledged to
// an operator must afterwards be in effect on every entry.
func TestCrashAtEveryDiskOperation(t *testing.T) {
	for _, keep := range storagetest.Keeps {
		for at := 1; at <= 20; at++ {
			withFormedFleet(t, 3, 0, func(t *testing.T, f *fleet) {
				f.nodes["v2"].fs.CrashAt(at)
				f.mustApply("v1", 2)
				f.mustApply("v3", 3)
				f.start("v2", f.crash("v2", keep))
				f.assertInEffect(3, 4*time.Second, f.entries...)
				f.crash("v1", keep)
				f.mustApply("v2", 4)
				f.assertInEffect(4, 4*time.Second, "v2", "v3")
			})
		}
	}
}

// A voter crashes after the others have voted for its operator's change but before it
// could announce that the change was chosen. The operator may have received the
// acknowledgement, so the change must take effect without any further action.
func TestProposerCrashesBeforeAnnouncing(t *testing.T) {
	withFormedFleet(t, 3, 1, func(t *testing.T, f *fleet) {
		answer := make(chan error, 1)
		go func() {
			_, err := f.apply("v1", "two", fileOf(2, "two"))
			answer <- err
		}()
		// Prepare, promise and accept take a millisecond each; the votes are in
		// transit.
		time.Sleep(3500 * time.Microsecond)
		f.cut(true, "v1")
		fs := f.crash("v1", storagetest.KeepNone)
		for _, e := range []job.EntryID{"v2", "v3", "l1"} {
			number, _ := f.nodes[e].Summary()
			qt.Assert(t, number, qt.Equals, uint64(1))
		}
		f.assertInEffect(2, 5*time.Second, "v2", "v3", "l1")
		err := <-answer
		qt.Assert(t, err == nil || errors.Is(err, ErrUnknown), qt.IsTrue, qt.Commentf("%v", err))
		f.cut(false, "v1")
		f.start("v1", fs)
		f.assertInEffect(2, 4*time.Second, f.entries...)
	})
}

// An entry without a disk restarts while no voter is reachable. It must get the
// configuration from any entry that holds it, and report it as stale.
func TestLearnerStartsWithoutVoters(t *testing.T) {
	withFormedFleet(t, 3, 2, func(t *testing.T, f *fleet) {
		f.cut(true, "l1", "l2")
		f.crash("l2", storagetest.KeepNone)
		f.start("l2", nil)
		f.assertInEffect(1, 3*time.Second, "l1", "l2")
		time.Sleep(10 * time.Second)
		qt.Assert(t, f.nodes["l2"].State().Stale, qt.IsTrue)
		qt.Assert(t, f.nodes["l2"].State().Serving, qt.Matches, "configuration 1,.*; stale: .*")
	})
}

// A voter's disk is so slow that a change is chosen long before this disk has synced
// it. If the change took effect before the sync, a crash would bring back the old file.
func TestNothingTakesEffectBeforeSync(t *testing.T) {
	withFormedFleet(t, 3, 0, func(t *testing.T, f *fleet) {
		f.nodes["v3"].fs.Slow(20 * time.Second)
		f.mustApply("v1", 2)
		f.assertInEffect(2, 10*time.Second, "v1", "v2")
		f.assertInEffect(1, 0, "v3")
		m := f.start("v3", f.crash("v3", storagetest.KeepNone))
		qt.Assert(t, m.Current().Number, qt.Equals, uint64(1))
		f.assertInEffect(2, 4*time.Second, "v3")
	})
}

// A voter's disk stays full. The voter can't vote, but it must still receive changes:
// otherwise it would serve callers with old quotas until an operator intervenes.
func TestFullDiskStillFollows(t *testing.T) {
	withFormedFleet(t, 3, 0, func(t *testing.T, f *fleet) {
		f.nodes["v3"].fs.SetFull(true)
		f.mustApply("v1", 2)
		f.assertInEffect(2, 5*time.Second, f.entries...)
		f.mustApply("v2", 3)
		f.assertInEffect(3, 5*time.Second, f.entries...)
		f.nodes["v3"].fs.SetFull(false)
		time.Sleep(5 * time.Second)
		m := f.start("v3", f.crash("v3", storagetest.KeepNone))
		qt.Assert(t, m.Current().Number, qt.Equals, uint64(3), qt.Commentf("written once there was space, without another change"))
	})
}

// An entry starts with the data folder of another fleet. It must not participate in
// this fleet nor overwrite its own configuration, and must report why it does not
// follow this fleet's changes.
func TestDataFolderOfAnotherFleet(t *testing.T) {
	withFormedFleet(t, 3, 0, func(t *testing.T, f *fleet) {
		f.mustApply("v1", 2)
		fs := &storagetest.FS{}
		store, err := storage.Open("data", fs)
		qt.Assert(t, err, qt.IsNil)
		v := consensus.Value{Version: 1, Lineage: 42, Voters: []consensus.Voter{{Entry: "x", Identity: "x#0"}}}
		qt.Assert(t, saveRecord(store, consensus.Record{Self: v.Voters[0], Chosen: v}), qt.IsNil)
		m := f.start("x", fs)
		m.Observe("v1", 2, "digest")
		time.Sleep(4 * time.Second)
		qt.Assert(t, m.State().Problem, qt.Matches, ".*another fleet.*")
		qt.Assert(t, m.Current(), qt.IsNil)
		f.assertInEffect(2, 0, f.voters...)
	})
}

// An entry restarts with an empty disk while it reaches only an entry without a disk,
// and pulls the configuration from that one. Once it reaches the voters, the complete
// value must be written to its disk; otherwise its next start would have no
// configuration to serve with.
func TestEmptyDiskIsFilledAfterPullFromLearner(t *testing.T) {
	withFormedFleet(t, 3, 1, func(t *testing.T, f *fleet) {
		f.crash("v3", storagetest.KeepAll)
		f.cut(true, "v3", "l1")
		f.start("v3", &storagetest.FS{})
		f.assertInEffect(1, 3*time.Second, "v3")
		qt.Assert(t, f.nodes["v3"].State().Voter, qt.IsFalse)
		f.cut(false, "v3", "l1")
		time.Sleep(4 * time.Second)
		f.cut(true, "v3")
		m := f.start("v3", f.crash("v3", storagetest.KeepNone))
		qt.Assert(t, m.Current(), qt.IsNotNil)
		qt.Assert(t, m.Current().Number, qt.Equals, uint64(1))
	})
}

// A learner pulls a change from the voter that announced it first, and that voter
// becomes unreachable before it answers. The learner must pull from the next voter that
// announces the change at once: if it waited for the unresponsive one, it would serve
// with the old file for longer than a change may take.
func TestPullFromUnresponsivePeerDelaysNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		defer f.stopAll()
		f.mustApply("v1", 1)
		f.assertInEffect(1, time.Second, "l1")
		f.net.SetDrop(func(from, to job.EntryID, kind peer.Kind, answer bool) bool {
			return from == "v1" && to == "l1" && kind == peer.ConfigPull && answer
		})
		// The learner learns of the change from v1 first, and then from the others.
		f.nodes["l1"].Observe("v1", 2, "")
		f.mustApply("v2", 2)
		f.assertInEffect(2, 300*time.Millisecond, "l1")
	})
}
