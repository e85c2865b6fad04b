package register

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/consensus"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/storage/storagetest"
)

// cordonBound is the time within which a cordon must be in force on all connected entries.
const cordonBound = 5 * time.Second

func (f *fleet) setCordon(e job.EntryID, zone job.Zone, active bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return f.nodes[e].SetCordon(ctx, zone, active)
}

func (f *fleet) mustSetCordon(e job.EntryID, zone job.Zone, active bool) {
	f.t.Helper()
	qt.Assert(f.t, f.setCordon(e, zone, active), qt.IsNil)
}

func (f *fleet) assertCordoned(within time.Duration, entries []job.EntryID, zones ...job.Zone) {
	f.t.Helper()
	time.Sleep(within)
	synctest.Wait()
	for _, e := range entries {
		qt.Assert(f.t, slices.Equal(f.nodes[e].CordonedZones(), zones), qt.IsTrue, qt.Commentf("on %s: %v", e, f.nodes[e].CordonedZones()))
	}
}

// Guards against an entry that goes on starting work in a zone after the operator was told that
// the zone is being emptied: also one that missed the change while it was partitioned, and one
// that starts later.
func TestCordonIsInForceEverywhere(t *testing.T) {
	withFormedFleet(t, 3, 3, func(t *testing.T, f *fleet) {
		f.mustSetCordon("l1", "z", true)
		qt.Assert(t, slices.Equal(f.nodes["l1"].CordonedZones(), []job.Zone{"z"}), qt.IsTrue)
		f.assertCordoned(100*time.Millisecond, f.entries, "z")
		f.cut(true, "l2", "v3")
		f.mustSetCordon("v1", "y", true)
		f.mustSetCordon("l3", "z", false)
		f.cut(false, "l2", "v3")
		f.assertCordoned(cordonBound, f.entries, "y")
		f.crash("l1", storagetest.KeepAll)
		f.start("l1", nil)
		f.assertCordoned(time.Second, []job.EntryID{"l1"}, "y")
	})
}

// Guards against an evacuation and a configuration of which one is lost when both are sent at
// the same time, and against repetitions that fail.
func TestCordonsAndConfigurationsAtOnce(t *testing.T) {
	withFormedFleet(t, 3, 2, func(t *testing.T, f *fleet) {
		done := make(chan error, 3)
		go func() { _, err := f.apply("v1", "two", fileOf(2, "a")); done <- err }()
		go func() { done <- f.setCordon("v2", "z", true) }()
		go func() { done <- f.setCordon("l1", "y", true) }()
		for range 3 {
			qt.Assert(t, <-done, qt.IsNil)
		}
		f.mustSetCordon("l2", "z", true)
		f.assertInEffect(2, time.Second, f.entries...)
		f.assertCordoned(0, f.entries, "y", "z")
	})
}

// Guards against an acknowledged evacuation that is lost with two disks: those of the voter that
// acknowledged it and of another one are lost while all others lose power.
func TestAcknowledgedCordonSurvivesDiskLossAndPowerLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWidenedFleet(t, nil)
		defer f.stopAll()
		f.mustApply("v1", 1)
		f.mustSetCordon("v1", "y", true)
		f.mustSetCordon("v1", "y", false)
		f.mustSetCordon("v2", "z", true)
		disks := map[job.EntryID]*storagetest.FS{}
		for _, e := range f.entries {
			disks[e] = f.crash(e, storagetest.KeepNone)
		}
		disks["v2"], disks["v4"] = &storagetest.FS{}, &storagetest.FS{}
		for _, e := range f.entries {
			f.start(e, disks[e])
		}
		f.assertCordoned(cordonBound, f.entries, "z")
		f.mustSetCordon("v4", "z", false)
		f.assertCordoned(time.Second, f.entries)
	})
}

// olderRelease is the mesh of an entry whose release does not keep cordons, as it appears to
// others.
type olderRelease struct{ peer.Mesh }

func (m olderRelease) Call(ctx context.Context, to job.EntryID, kind peer.Kind, req, answer any) error {
	if pull, ok := req.(pullRequest); ok {
		pull.KeepsCordons = false
		req = pull
	}
	return m.Mesh.Call(ctx, to, kind, req, answer)
}

func (m olderRelease) Send(to job.EntryID, kind peer.Kind, body any) error {
	if pull, ok := body.(pullRequest); ok {
		pull.KeepsCordons = false
		body = pull
	}
	return m.Mesh.Send(to, kind, body)
}

// newerView is the mesh of an entry that asks such an entry.
type newerView struct {
	peer.Mesh
	older job.EntryID
}

func (m newerView) Call(ctx context.Context, to job.EntryID, kind peer.Kind, req, answer any) error {
	err := m.Mesh.Call(ctx, to, kind, req, answer)
	if pulled, ok := answer.(*pullResponse); ok && to == m.older {
		pulled.KeepsCordons = false
	}
	return err
}

// Guards against a fleet in the middle of an upgrade whose older voters drop an acknowledged
// cordon: it must be refused until all voters keep it, and no older entry may vote afterwards.
func TestVoterOfOlderReleaseRefusesCordons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, net: newNetwork(), nodes: map[job.EntryID]*member{}}
		f.voters = []job.EntryID{"v1", "v2", "v3"}
		f.entries = []job.EntryID{"v1", "v2", "v3", "v4"}
		older := job.EntryID("v3")
		f.wrap = func(m peer.Mesh) peer.Mesh {
			if m.Self().Entry == older {
				return olderRelease{m}
			}
			return newerView{m, older}
		}
		for _, e := range f.entries {
			f.start(e, &storagetest.FS{})
		}
		defer f.stopAll()
		time.Sleep(3 * time.Second)
		f.mustApply("v1", 1)
		err := f.setCordon("v1", "z", true)
		qt.Assert(t, errors.Is(err, ErrCordonsUnsupported), qt.IsTrue, qt.Commentf("%v", err))
		f.assertCordoned(time.Second, f.entries)

		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		qt.Assert(t, f.nodes["v1"].ReplaceVoter(ctx, "v3", "v4"), qt.IsNil)
		f.mustSetCordon("v1", "z", true)
		err = f.nodes["v1"].ReplaceVoter(ctx, "v4", "v3")
		qt.Assert(t, errors.Is(err, ErrCordonsUnsupported), qt.IsTrue, qt.Commentf("%v", err))
		f.assertCordoned(time.Second, []job.EntryID{"v1", "v2", "v4"}, "z")
	})
}

// Guards against an older release that starts on a disk with cordons and drops them: it refuses
// records of the format that such a disk has.
func TestRecordFormatTellsCordons(t *testing.T) {
	cordon := consensus.Command{Kind: consensus.SetCordon, Cordon: consensus.Cordon{Zone: "z", Active: true}}
	empty := consensus.Record{}
	chosen := consensus.Record{Chosen: empty.Chosen.Apply(&cordon)}
	accepted := consensus.Record{Accepted: &consensus.Proposal{Command: cordon}}
	qt.Assert(t, formatOf(&empty), qt.Equals, uint32(recordFormat))
	qt.Assert(t, formatOf(&chosen), qt.Equals, uint32(cordonRecordFormat))
	qt.Assert(t, formatOf(&accepted), qt.Equals, uint32(cordonRecordFormat))
}

// Guards against a cordon of a zone without a name, and one whose name fills the register.
func TestInvalidZoneIsRefused(t *testing.T) {
	withFormedFleet(t, 1, 0, func(t *testing.T, f *fleet) {
		for _, zone := range []job.Zone{"", job.Zone(make([]byte, maxZoneName+1))} {
			qt.Assert(t, errors.Is(f.setCordon("v1", zone, true), errors.NotValid), qt.IsTrue)
		}
	})
}

// Guards against an operator who is told that a zone is being emptied although no majority has
// accepted it.
func TestCordonWithoutMajorityIsNotAcknowledged(t *testing.T) {
	withFormedFleet(t, 3, 1, func(t *testing.T, f *fleet) {
		f.cut(true, "v1", "l1")
		err := f.setCordon("l1", "z", true)
		qt.Assert(t, err, qt.IsNotNil)
		f.cut(false, "v1", "l1")
		f.mustSetCordon("v2", "z", true)
		f.mustSetCordon("v2", "z", false)
		f.assertCordoned(cordonBound, f.entries)
	})
}
