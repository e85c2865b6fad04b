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

// scenario runs body on a fleet that is formed and has configuration 1 in force.
func scenario(t *testing.T, voters, learners int, body func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, voters, learners)
		defer f.stopAll()
		time.Sleep(3 * time.Second)
		f.mustApply("v1", 1)
		f.inForce(1, time.Second, f.entries...)
		body(t, f)
	})
}

// Two operators on two entries apply different files with one number at the same
// moment. If both were told yes, one of them would believe in a file that is
// nowhere in force; the loser must hear who won, now and when asking again later.
func TestRacingOperatorsWithEqualNumbers(t *testing.T) {
	scenario(t, 3, 2, func(t *testing.T, f *fleet) {
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
		f.inForce(3, time.Second, f.entries...)
	})
}

// The answer to an apply is lost and the operator sends the change again, at
// once or after others have applied more. It must hear that its own change was
// accepted, not that it is too old.
func TestResendReturnsTheFirstOutcome(t *testing.T) {
	scenario(t, 3, 1, func(t *testing.T, f *fleet) {
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
		f.inForce(5, time.Second, f.entries...)
	})
}

// A network partition separates a voter, and a learner of its zone, for an hour.
// They must refuse changes, keep serving by their last file, report it as stale
// since the partition began, and catch up within seconds after the cut, without ever going back.
func TestVoterCutOffForLong(t *testing.T) {
	scenario(t, 3, 3, func(t *testing.T, f *fleet) {
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
		f.inForce(19, 4*time.Second, f.entries...)
		qt.Assert(t, f.nodes["v3"].State().Stale, qt.IsFalse)
		qt.Assert(t, f.nodes["l3"].State().Stale, qt.IsFalse)
		f.cut(true, "v1")
		f.mustApply("v3", 20)
	})
}

// A voter's disk is lost and the VM comes back under its old name with an empty
// one. It has forgotten what it voted for, so its vote must not count until an
// operator has replaced it; then the loss of another voter must lose nothing.
func TestDiskLostUnderAnOldName(t *testing.T) {
	scenario(t, 3, 1, func(t *testing.T, f *fleet) {
		f.crash("v3", storagetest.KeepAll)
		f.start("v3", &storagetest.FS{})
		f.inForce(1, 4*time.Second, f.entries...)
		qt.Assert(t, f.nodes["v3"].State().Voter, qt.IsFalse)
		qt.Assert(t, f.nodes["v3"].State().Problem, qt.Matches, ".*replace-voter.*")
		f.cut(true, "v2")
		_, err := f.apply("v1", "two", fileOf(2, "two"))
		qt.Assert(t, errors.Is(err, ErrUnavailable), qt.IsTrue, qt.Commentf("one vote and a forgetful disk are no majority"))
		f.cut(false, "v2")
		time.Sleep(3 * time.Second)
		qt.Assert(t, f.nodes["l1"].ReplaceVoter(context.Background(), "v3", "v3"), qt.IsNil)
		f.crash("v1", storagetest.KeepAll)
		f.mustApply("v3", 3)
		f.inForce(3, 4*time.Second, "v2", "v3", "l1")
		qt.Assert(t, f.nodes["v3"].State().Voter, qt.IsTrue)
		qt.Assert(t, f.nodes["v3"].State().Problem, qt.Equals, "")
	})
}

// A voter's VM is lost for good and another entry with an empty disk takes its
// place; right after, a second voter is lost. The file that was accepted before
// must stand, and the two that are left must be able to go on.
func TestSecondLossRightAfterARepair(t *testing.T) {
	scenario(t, 4, 1, func(t *testing.T, f *fleet) {
		// v4 has a disk but is brought in as a spare: it is no voter yet.
		qt.Assert(t, f.nodes["v1"].ReplaceVoter(context.Background(), "v4", "v4"), qt.IsNil)
		f.mustApply("v2", 2)
		f.crash("v4", storagetest.KeepNone)
		f.start("v5", &storagetest.FS{})
		f.entries = append(f.entries, "v5")
		time.Sleep(3 * time.Second)
		qt.Assert(t, f.nodes["v1"].ReplaceVoter(context.Background(), "v4", "v5"), qt.IsNil)
		f.crash("v1", storagetest.KeepNone)
		f.mustApply("l1", 3)
		f.inForce(3, 4*time.Second, "v2", "v3", "v5", "l1")
		qt.Assert(t, f.nodes["v5"].State().Voter, qt.IsTrue)
		old := f.start("v4", &storagetest.FS{})
		time.Sleep(4 * time.Second)
		qt.Assert(t, old.State().Voter, qt.IsFalse)
		qt.Assert(t, old.Current().Number, qt.Equals, uint64(3))
	})
}

// All voters lose power at once after hundreds of changes, and the network comes
// back later than the entries. Each must start with the last file that it
// accepted, serve by it at once, and take changes again when a majority is back.
func TestRestartAfterManyChanges(t *testing.T) {
	scenario(t, 3, 1, func(t *testing.T, f *fleet) {
		for number := 2; number <= 500; number++ {
			f.mustApply(f.entries[number%4], number)
		}
		f.inForce(500, time.Second, f.entries...)
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
		f.inForce(501, time.Second, f.entries...)
		_, err := f.apply("v1", "change-400", fileOf(400, "a"))
		qt.Assert(t, err, qt.IsNil, qt.Commentf("a resend after the restart"))
	})
}

// A voter's record comes back with a flipped bit. It can't know what it voted
// for, so it must not vote, must say why, and must serve like any learner.
func TestCorruptRecordDoesNotVote(t *testing.T) {
	scenario(t, 3, 0, func(t *testing.T, f *fleet) {
		fs := f.crash("v3", storagetest.KeepAll)
		fs.Change("data/register.record", func(b []byte) []byte {
			b[len(b)/2] ^= 1
			return b
		})
		m := f.start("v3", fs)
		f.mustApply("v1", 2)
		f.inForce(2, 4*time.Second, "v1", "v2", "v3")
		qt.Assert(t, m.State().Voter, qt.IsFalse)
		qt.Assert(t, m.State().Problem, qt.Matches, ".*corrupt record.*")
		f.crash("v2", storagetest.KeepAll)
		_, err := f.apply("v1", "three", fileOf(3, "three"))
		qt.Assert(t, errors.Is(err, ErrUnavailable), qt.IsTrue)
	})
}

// The disks of two voters are full for a while. No change may be acknowledged,
// since only one disk would hold it; the operator hears that the outcome is
// open or that nothing was accepted, and once there is space the fleet goes on.
func TestFullDisksAcknowledgeNothing(t *testing.T) {
	scenario(t, 3, 1, func(t *testing.T, f *fleet) {
		f.nodes["v1"].fs.Fill(true)
		f.nodes["v2"].fs.Fill(true)
		_, err := f.apply("v3", "two", fileOf(2, "two"))
		qt.Assert(t, errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown), qt.IsTrue, qt.Commentf("%v", err))
		qt.Assert(t, f.nodes["v1"].State().Problem, qt.Matches, ".*no space left.*")
		f.inForce(1, time.Second, f.entries...)
		f.nodes["v1"].fs.Fill(false)
		f.nodes["v2"].fs.Fill(false)
		time.Sleep(5 * time.Second)
		f.mustApply("l1", 3)
		f.inForce(3, 2*time.Second, f.entries...)
		qt.Assert(t, f.nodes["v1"].State().Problem, qt.Equals, "")
	})
}

// A voter loses power at any operation of its disk while changes are applied,
// and comes back with whatever the disk had got. What an operator was told is
// accepted must be in force afterwards on every entry.
func TestCrashAtEveryDiskOperation(t *testing.T) {
	for _, keep := range storagetest.Keeps {
		for at := 1; at <= 20; at++ {
			scenario(t, 3, 0, func(t *testing.T, f *fleet) {
				f.nodes["v2"].fs.CrashAt(at)
				f.mustApply("v1", 2)
				f.mustApply("v3", 3)
				f.start("v2", f.crash("v2", keep))
				f.inForce(3, 4*time.Second, f.entries...)
				f.crash("v1", keep)
				f.mustApply("v2", 4)
				f.inForce(4, 4*time.Second, "v2", "v3")
			})
		}
	}
}

// A voter dies when the others have voted for its operator's change but before
// it could tell anybody that the change was chosen. The operator may have been
// told yes, so the change must come into force without anybody's doing.
func TestProposerDiesBeforeItTells(t *testing.T) {
	scenario(t, 3, 1, func(t *testing.T, f *fleet) {
		answer := make(chan error, 1)
		go func() {
			_, err := f.apply("v1", "two", fileOf(2, "two"))
			answer <- err
		}()
		// Prepare, promise and accept take a millisecond each; the votes are
		// on their way back.
		time.Sleep(3500 * time.Microsecond)
		f.cut(true, "v1")
		fs := f.crash("v1", storagetest.KeepNone)
		for _, e := range []job.EntryID{"v2", "v3", "l1"} {
			number, _ := f.nodes[e].Summary()
			qt.Assert(t, number, qt.Equals, uint64(1))
		}
		f.inForce(2, 5*time.Second, "v2", "v3", "l1")
		err := <-answer
		qt.Assert(t, err == nil || errors.Is(err, ErrUnknown), qt.IsTrue, qt.Commentf("%v", err))
		f.cut(false, "v1")
		f.start("v1", fs)
		f.inForce(2, 4*time.Second, f.entries...)
	})
}

// An entry without a disk restarts while no voter can be reached. It must get
// the configuration from any entry that holds it, and say that it is stale.
func TestLearnerStartsWithoutVoters(t *testing.T) {
	scenario(t, 3, 2, func(t *testing.T, f *fleet) {
		f.cut(true, "l1", "l2")
		f.crash("l2", storagetest.KeepNone)
		f.start("l2", nil)
		f.inForce(1, 3*time.Second, "l1", "l2")
		time.Sleep(10 * time.Second)
		qt.Assert(t, f.nodes["l2"].State().Stale, qt.IsTrue)
		qt.Assert(t, f.nodes["l2"].State().Serving, qt.Matches, "configuration 1,.*; stale: .*")
	})
}

// A voter's disk is so slow that the change is chosen long before it is written
// there. Were it in force at once, a crash would bring the old file back.
func TestNothingIsInForceBeforeItIsSynced(t *testing.T) {
	scenario(t, 3, 0, func(t *testing.T, f *fleet) {
		f.nodes["v3"].fs.Slow(20 * time.Second)
		f.mustApply("v1", 2)
		f.inForce(2, 10*time.Second, "v1", "v2")
		f.inForce(1, 0, "v3")
		m := f.start("v3", f.crash("v3", storagetest.KeepNone))
		qt.Assert(t, m.Current().Number, qt.Equals, uint64(1))
		f.inForce(2, 4*time.Second, "v3")
	})
}

// A voter's disk is full for good. It can't vote, but callers of this entry must
// not be served by old quotas until somebody comes to look at it.
func TestFullDiskStillFollows(t *testing.T) {
	scenario(t, 3, 0, func(t *testing.T, f *fleet) {
		f.nodes["v3"].fs.Fill(true)
		f.mustApply("v1", 2)
		f.inForce(2, 5*time.Second, f.entries...)
		f.mustApply("v2", 3)
		f.inForce(3, 5*time.Second, f.entries...)
		f.nodes["v3"].fs.Fill(false)
		time.Sleep(5 * time.Second)
		m := f.start("v3", f.crash("v3", storagetest.KeepNone))
		qt.Assert(t, m.Current().Number, qt.Equals, uint64(3), qt.Commentf("written once there was space, without another change"))
	})
}

// An entry is started with the data folder of another fleet. It must not take
// part in this one, nor overwrite its own configuration, and must say why it
// does not follow.
func TestDataFolderOfAnotherFleet(t *testing.T) {
	scenario(t, 3, 0, func(t *testing.T, f *fleet) {
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
		f.inForce(2, 0, f.voters...)
	})
}

// An entry comes back with an empty disk while it reaches only an entry without
// one, and has the configuration from there. Once it reaches the voters the whole
// value must get onto its disk, or its next start would have nothing to serve by.
func TestEmptyDiskIsFilledAfterALearnersHelp(t *testing.T) {
	scenario(t, 3, 1, func(t *testing.T, f *fleet) {
		f.crash("v3", storagetest.KeepAll)
		f.cut(true, "v3", "l1")
		f.start("v3", &storagetest.FS{})
		f.inForce(1, 3*time.Second, "v3")
		qt.Assert(t, f.nodes["v3"].State().Voter, qt.IsFalse)
		f.cut(false, "v3", "l1")
		time.Sleep(4 * time.Second)
		f.cut(true, "v3")
		m := f.start("v3", f.crash("v3", storagetest.KeepNone))
		qt.Assert(t, m.Current(), qt.IsNotNil)
		qt.Assert(t, m.Current().Number, qt.Equals, uint64(1))
	})
}

// A learner asks the voter that first told it of a change; that voter is cut off
// before it answers. The others have the change too, and their word must be
// followed at once: waiting for the silent one, the learner would serve by the
// old file for longer than a change may take.
func TestPullFromASilentPeerHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		defer f.stopAll()
		f.mustApply("v1", 1)
		f.inForce(1, time.Second, "l1")
		f.net.SetDrop(func(from, to job.EntryID, kind peer.Kind, answer bool) bool {
			return from == "v1" && to == "l1" && kind == peer.ConfigPull && answer
		})
		// The learner hears of the change from v1 only, and then from the others.
		f.nodes["l1"].Observe("v1", 2, "")
		f.mustApply("v2", 2)
		f.inForce(2, 300*time.Millisecond, "l1")
	})
}
