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
	lost  = job.Owner{Entry: "a1", Incarnation: 1, Zone: "a"}
	other = job.Owner{Entry: "b1", Incarnation: 1, Zone: "b"}
)

func forecast() *job.Submission {
	s := &job.Submission{ID: "forecast", CallerID: true, Service: "spill", Tasks: make([]job.TaskSpec, 3)}
	s.Digest = s.ContentDigest()
	return s
}

func everybody(job.Owner) bool { return true }

// network joins a keeper without a disk and an owner, and returns the owner's
// side. It is used under virtual time.
func network(t *testing.T) (*peertest.Network, *Keeper, *peertest.Node) {
	t.Helper()
	net := &peertest.Network{Delay: time.Millisecond}
	keeperSide, ownerSide := net.Join(other), net.Join(lost)
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

// An entry with a disk accepts a spill forecast, hands two of its tasks out and
// dies. After its restart the forecast is still there, and exactly the third
// task may start; the caller that comes back gets the answer, also after a
// second restart.
func TestSyncedSubmissionSurvivesARestart(t *testing.T) {
	ctx := t.Context()
	dir := t.TempDir()
	k, log := openLog(t, dir)
	qt.Assert(t, k.Accept(ctx, lost, forecast()), qt.IsNil)
	qt.Assert(t, k.Grant(ctx, "forecast", []int{0, 2}), qt.IsNil)
	qt.Assert(t, log.Close(), qt.IsNil)

	k, log = openLog(t, dir)
	open := k.Open(everybody)
	qt.Assert(t, open, qt.HasLen, 1)
	qt.Assert(t, open[0].Owner, qt.Equals, lost)
	qt.Assert(t, open[0].Submission.Digest, qt.Equals, forecast().Digest)
	qt.Assert(t, open[0].Granted, qt.ContentEquals, []int{0, 2})
	qt.Assert(t, errors.Is(k.Grant(ctx, "forecast", []int{1, 2}), ErrGranted), qt.IsTrue)
	qt.Assert(t, k.Grant(ctx, "forecast", []int{1}), qt.IsNil)
	answer := job.Fail("forecast", job.OwnerLost, "a result is lost")
	qt.Assert(t, k.Finish(ctx, "forecast", open[0].Submission.Digest, answer), qt.IsNil)
	qt.Assert(t, log.Close(), qt.IsNil)

	k, log = openLog(t, dir)
	defer log.Close()
	qt.Assert(t, k.Open(everybody), qt.HasLen, 0)
	got, digest, ok := k.Answer("forecast")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, digest, qt.Equals, forecast().Digest)
	qt.Assert(t, got.Reason, qt.Equals, job.OwnerLost)
}

// A submission is refused for load after it was kept, and its caller is told
// "not run". A crash must not drive it on, and the caller may send it again.
func TestRefusedSubmissionIsForgotten(t *testing.T) {
	ctx := t.Context()
	dir := t.TempDir()
	k, log := openLog(t, dir)
	qt.Assert(t, k.Accept(ctx, lost, forecast()), qt.IsNil)
	qt.Assert(t, k.Finish(ctx, "forecast", forecast().Digest, job.Refuse("forecast", job.Overloaded, "", 0)), qt.IsNil)
	qt.Assert(t, log.Close(), qt.IsNil)
	k, log = openLog(t, dir)
	defer log.Close()
	qt.Assert(t, k.Open(everybody), qt.HasLen, 0)
	qt.Assert(t, k.Accept(ctx, lost, forecast()), qt.IsNil)
}

// A cut makes the keeper take a submission's owner for lost and drive it on,
// while the owner, which is well, hands out the rest. Both ask for every task;
// each task must be granted to one of them only.
func TestTwoDriversAreGrantedEachTaskOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, k, ownerSide := network(t)
		remote := &Remote{Mesh: ownerSide, Entry: other.Entry}
		qt.Assert(t, remote.Accept(t.Context(), lost, forecast()), qt.IsNil)
		qt.Assert(t, remote.Grant(t.Context(), "forecast", []int{0}), qt.IsNil)
		net.CutBoth("a1", "b1", true)
		qt.Assert(t, errors.Is(remote.Grant(t.Context(), "forecast", []int{1}), ErrNotKept), qt.IsTrue)
		qt.Assert(t, k.Grant(t.Context(), "forecast", []int{1}), qt.IsNil)
		net.CutBoth("a1", "b1", false)
		qt.Assert(t, errors.Is(remote.Grant(t.Context(), "forecast", []int{1}), ErrGranted), qt.IsTrue)
		qt.Assert(t, remote.Grant(t.Context(), "forecast", []int{2}), qt.IsNil)
		qt.Assert(t, errors.Is(k.Grant(t.Context(), "forecast", []int{2}), ErrGranted), qt.IsTrue)
		time.Sleep(time.Second)
	})
}

// The answer of an acceptance is lost. The owner can't know whether the keeper
// will drive the submission on, so it must not be called "not run".
func TestLostAcceptanceIsUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, k, ownerSide := network(t)
		net.Cut("b1", "a1", true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := (&Remote{Mesh: ownerSide, Entry: other.Entry}).Accept(ctx, lost, forecast())
		qt.Assert(t, errors.Is(err, ErrUncertain), qt.IsTrue)
		qt.Assert(t, k.Open(everybody), qt.HasLen, 1)
		time.Sleep(time.Second)
	})
}

// A service asks for a disk and the asked entry has none. It must say so in
// place of keeping the submission in its memory only.
func TestKeeperWithoutDiskRefusesSynced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, ownerSide := network(t)
		err := (&Remote{Mesh: ownerSide, Entry: other.Entry, Synced: true}).Accept(t.Context(), lost, forecast())
		qt.Assert(t, errors.Is(err, ErrNotKept), qt.IsTrue)
		time.Sleep(time.Second)
	})
}
