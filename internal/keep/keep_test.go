package keep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer/peertest"
	"github.com/vanillagrade/vanillagrade/internal/storage"
)

var (
	owner  = job.Owner{Entry: "a1", Incarnation: 1, Zone: "a"}
	keeper = job.Owner{Entry: "b1", Incarnation: 1, Zone: "b"}
)

func forecast() *job.Submission {
	s := &job.Submission{ID: "forecast", CallerID: true, Service: "spill", Tasks: make([]job.TaskSpec, 3)}
	s.Digest = s.ContentDigest()
	return s
}

func anyOwner(job.Owner) bool { return true }

// newNetwork connects a keeper without a disk with an owner and returns the
// network, the keeper and the owner's node. It is for use under virtual time.
func newNetwork(t *testing.T) (*peertest.Network, *Keeper, *peertest.Node) {
	t.Helper()
	net := &peertest.Network{Delay: time.Millisecond}
	keeperSide, ownerSide := net.Join(keeper), net.Join(owner)
	k, err := New(nil)
	qt.Assert(t, err, qt.IsNil)
	Serve(keeperSide, k)
	return net, k, ownerSide
}

func openLog(t *testing.T, dir string) (*Keeper, *storage.SubmissionLog) {
	t.Helper()
	log, err := storage.OpenSubmissionLog(dir, storage.OS{})
	qt.Assert(t, err, qt.IsNil)
	k, err := New(log)
	qt.Assert(t, err, qt.IsNil)
	return k, log
}

// An entry with a disk accepts a spill forecast, hands out two of its tasks and
// crashes. After its restart the forecast must still be there, and only the third
// task may start. A caller that asks again must receive the answer, even after a
// second restart.
func TestSyncedSubmissionSurvivesARestart(t *testing.T) {
	ctx := t.Context()
	dir := t.TempDir()
	k, log := openLog(t, dir)
	qt.Assert(t, k.Accept(ctx, owner, forecast()), qt.IsNil)
	qt.Assert(t, k.Grant(ctx, "forecast", []int{0, 2}), qt.IsNil)
	qt.Assert(t, log.Close(), qt.IsNil)

	k, log = openLog(t, dir)
	open := k.Orphans(anyOwner)
	qt.Assert(t, open, qt.HasLen, 1)
	qt.Assert(t, open[0].Owner, qt.Equals, owner)
	qt.Assert(t, open[0].Submission.Digest, qt.Equals, forecast().Digest)
	qt.Assert(t, open[0].Granted, qt.ContentEquals, []int{0, 2})
	qt.Assert(t, errors.Is(k.Grant(ctx, "forecast", []int{1, 2}), ErrGranted), qt.IsTrue)
	qt.Assert(t, k.Grant(ctx, "forecast", []int{1}), qt.IsNil)
	answer := job.Fail("forecast", job.OwnerLost, "a result is lost")
	qt.Assert(t, k.Finish(ctx, "forecast", open[0].Submission.Digest, answer), qt.IsNil)
	qt.Assert(t, log.Close(), qt.IsNil)

	k, log = openLog(t, dir)
	defer log.Close()
	qt.Assert(t, k.Orphans(anyOwner), qt.HasLen, 0)
	got, digest, ok := k.Answer("forecast")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, digest, qt.Equals, forecast().Digest)
	qt.Assert(t, got.Reason, qt.Equals, job.OwnerLost)
}

// A submission is refused for load after it was kept, with the answer "not run".
// It must not be resumed after a crash, and the caller may send it again.
func TestRefusedSubmissionIsForgotten(t *testing.T) {
	ctx := t.Context()
	dir := t.TempDir()
	k, log := openLog(t, dir)
	qt.Assert(t, k.Accept(ctx, owner, forecast()), qt.IsNil)
	qt.Assert(t, k.Finish(ctx, "forecast", forecast().Digest, job.Refuse("forecast", job.Overloaded, "", 0)), qt.IsNil)
	qt.Assert(t, log.Close(), qt.IsNil)
	k, log = openLog(t, dir)
	defer log.Close()
	qt.Assert(t, k.Orphans(anyOwner), qt.HasLen, 0)
	qt.Assert(t, k.Accept(ctx, owner, forecast()), qt.IsNil)
}

// A partition makes the keeper consider the owner of a submission lost and resume
// the submission, while the owner is healthy and hands out the remaining tasks.
// Both request the same tasks; each task must be granted to only one of them.
func TestTwoOwnersAreGrantedEachTaskOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, k, ownerSide := newNetwork(t)
		remote := &Remote{Mesh: ownerSide, Entry: keeper.Entry}
		qt.Assert(t, remote.Accept(t.Context(), owner, forecast()), qt.IsNil)
		qt.Assert(t, remote.Grant(t.Context(), "forecast", []int{0}), qt.IsNil)
		net.SetPartitioned("a1", "b1", true)
		qt.Assert(t, errors.Is(remote.Grant(t.Context(), "forecast", []int{1}), ErrNotKept), qt.IsTrue)
		qt.Assert(t, k.Grant(t.Context(), "forecast", []int{1}), qt.IsNil)
		net.SetPartitioned("a1", "b1", false)
		qt.Assert(t, errors.Is(remote.Grant(t.Context(), "forecast", []int{1}), ErrGranted), qt.IsTrue)
		qt.Assert(t, remote.Grant(t.Context(), "forecast", []int{2}), qt.IsNil)
		qt.Assert(t, errors.Is(k.Grant(t.Context(), "forecast", []int{2}), ErrGranted), qt.IsTrue)
		time.Sleep(time.Second)
	})
}

// The keeper's response to an acceptance is lost. The owner cannot know whether
// the keeper will resume the submission, so it must not be called "not run".
func TestLostAcceptanceIsUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, k, ownerSide := newNetwork(t)
		net.SetBlocked("b1", "a1", true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := (&Remote{Mesh: ownerSide, Entry: keeper.Entry}).Accept(ctx, owner, forecast())
		qt.Assert(t, errors.Is(err, ErrUncertain), qt.IsTrue)
		qt.Assert(t, k.Orphans(anyOwner), qt.HasLen, 1)
		time.Sleep(time.Second)
	})
}

// A service requires a disk, but the chosen entry has none. The entry must refuse
// the submission instead of keeping it only in memory.
func TestKeeperWithoutDiskRefusesSynced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, ownerSide := newNetwork(t)
		err := (&Remote{Mesh: ownerSide, Entry: keeper.Entry, Synced: true}).Accept(t.Context(), owner, forecast())
		qt.Assert(t, errors.Is(err, ErrNotKept), qt.IsTrue)
		time.Sleep(time.Second)
	})
}
