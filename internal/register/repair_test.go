package register

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/consensus"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/voters"
	"github.com/vanillagrade/vanillagrade/internal/storage/storagetest"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// enableRepair enables the repair of the voter set. An entry counts as alive while it
// runs.
func (f *fleet) enableRepair(want int) {
	since := map[job.EntryID]time.Time{}
	alive := map[job.EntryID]bool{}
	f.repair = &RepairOptions{Want: want, Disks: func() []voters.Disk {
		f.mu.Lock()
		defer f.mu.Unlock()
		var out []voters.Disk
		for _, e := range f.entries {
			running := f.nodes[e] != nil
			if running != alive[e] || since[e].IsZero() {
				alive[e], since[e] = running, time.Now()
			}
			liveness := voters.Dead
			if running {
				liveness = voters.Alive
			}
			out = append(out, voters.Disk{Entry: e, Zone: job.Zone(e), Liveness: liveness, Since: since[e]})
		}
		return out
	}}
}

// catchUp is the shortest time between the return of a VM and the next loss.
const catchUp = 6 * time.Second

// voterCount returns how many voters the entry knows of.
func (f *fleet) voterCount(e job.EntryID) int { return len(f.nodes[e].State().Voters) }

// newWidenedFleet starts five entries with disks, of which three form the register,
// and waits until they have added the other two as voters.
func newWidenedFleet(t *testing.T, events timeline.Sink) *fleet {
	f := &fleet{t: t, nodes: map[job.EntryID]*member{}, events: events}
	f.net = newNetwork()
	f.voters = []job.EntryID{"v1", "v2", "v3"}
	f.entries = []job.EntryID{"v1", "v2", "v3", "v4", "v5"}
	f.enableRepair(5)
	for _, e := range f.entries {
		f.start(e, &storagetest.FS{})
	}
	time.Sleep(8 * time.Second)
	qt.Assert(t, f.voterCount("v1"), qt.Equals, 5)
	return f
}

// The fleet has to tolerate two lost disks. It starts with three voters and adds two.
// Right after a change is acknowledged all entries lose power, and two of them lose
// their disks too, among them the one that received the change. The change must soon be
// in effect again and the emptied disks must vote again, before two more disks are lost
// in the same way.
func TestAcknowledgedChangeSurvivesTargetedDiskLoss(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newWidenedFleet(t, nil)
				defer f.stopAll()
				r := rand.New(rand.NewPCG(seed, 1))
				for round := range 3 {
					number := round + 1
					at := f.entries[r.IntN(len(f.entries))]
					f.mustApply(at, number)
					time.Sleep(time.Duration(r.IntN(40)) * time.Millisecond)
					f.losePowerAndDisks(r, at)
					begun := time.Now()
					f.assertConfirmed(uint64(number), catchUp)
					time.Sleep(catchUp - time.Since(begun))
					for _, e := range f.entries {
						qt.Assert(t, f.nodes[e].State().Voter, qt.IsTrue, qt.Commentf("%s does not vote in round %d: %s", e, round, f.nodes[e].State().Serving))
					}
				}
			})
		})
	}
}

// voterChangeRecorder records the causes of changes of the voters.
type voterChangeRecorder struct {
	mu     sync.Mutex
	causes []string
}

func (v *voterChangeRecorder) Record(ev timeline.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if ev.Kind == timeline.VotersChanged {
		v.causes = append(v.causes, string(ev.Peer)+" "+ev.Cause)
	}
}

// A fleet that has to tolerate two lost disks starts with three voters and adds two. The
// time line must show each change of the voters with its cause, so that an operator can
// find out later why a disk votes.
func TestChangesOfVotersAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		changes := &voterChangeRecorder{}
		f := newWidenedFleet(t, changes)
		defer f.stopAll()
		changes.mu.Lock()
		defer changes.mu.Unlock()
		slices.Sort(changes.causes)
		qt.Assert(t, changes.causes, qt.HasLen, 2)
		qt.Assert(t, changes.causes[0], qt.Matches, "v4 added: .+")
		qt.Assert(t, changes.causes[1], qt.Matches, "v5 added: .+")
	})
}

// losePowerAndDisks cuts the power of all entries. The targeted entry and a random other
// one lose their disks.
func (f *fleet) losePowerAndDisks(r *rand.Rand, targeted job.EntryID) {
	others := slices.DeleteFunc(slices.Clone(f.entries), func(e job.EntryID) bool { return e == targeted })
	wiped := []job.EntryID{targeted, others[r.IntN(len(others))]}
	disks := map[job.EntryID]*storagetest.FS{}
	for _, e := range f.entries {
		disks[e] = f.crash(e, storagetest.Keeps[r.IntN(len(storagetest.Keeps))])
	}
	time.Sleep(time.Second)
	founders := f.voters
	for _, e := range f.entries {
		if slices.Contains(wiped, e) {
			// An entry with an empty disk does not know who formed the register.
			f.voters = nil
			f.start(e, &storagetest.FS{})
			f.voters = founders
			continue
		}
		f.start(e, disks[e])
	}
}

// assertConfirmed asserts that each entry confirms the number in time, and that no
// entry confirms another one.
func (f *fleet) assertConfirmed(number uint64, within time.Duration) {
	f.t.Helper()
	f.assertConfirmedOn(f.entries, number, within)
}

func (f *fleet) assertConfirmedOn(entries []job.EntryID, number uint64, within time.Duration) {
	f.t.Helper()
	deadline := time.Now().Add(within)
	for _, e := range entries {
		for {
			ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
			got, err := f.nodes[e].Confirm(ctx)
			cancel()
			if err == nil {
				qt.Assert(f.t, got.Number, qt.Equals, number, qt.Commentf("confirmed on %s", e))
				break
			}
			if time.Now().After(deadline) {
				f.t.Fatalf("%s can't confirm any number: %v; %s", e, err, f.nodes[e].State().Serving)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// In a fleet of three voters in three zones and a spare, one voter's VM is lost. The
// spare must replace it without an operator. If the VM returns later, it is the spare.
func TestLostVoterIsReplacedBySpare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, nodes: map[job.EntryID]*member{}}
		f.net = newNetwork()
		f.voters = []job.EntryID{"v1", "v2", "v3"}
		f.entries = []job.EntryID{"v1", "v2", "v3", "v4"}
		f.enableRepair(3)
		for _, e := range f.entries {
			f.start(e, &storagetest.FS{})
		}
		defer f.stopAll()
		time.Sleep(3 * time.Second)
		f.mustApply("v1", 1)
		disk := f.crash("v3", storagetest.KeepAll)
		time.Sleep(voters.ReplaceDelay + 3*time.Second)
		state := f.nodes["v1"].State()
		qt.Assert(t, slices.Contains(state.VoterEntries(), "v4"), qt.IsTrue)
		qt.Assert(t, slices.Contains(state.VoterEntries(), "v3"), qt.IsFalse)
		f.start("v3", disk)
		f.mustApply("v2", 2)
		f.assertInEffect(2, 5*time.Second, "v1", "v2", "v3", "v4")
	})
}

// Guards against replacing a voter whose last known disk identity is out of date, as if its
// disk were lost.
func TestOutdatedDiskIdentityReplacesNoVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		changes := &voterChangeRecorder{}
		f := newWidenedFleet(t, changes)
		defer f.stopAll()
		before := f.nodes["v1"].State().Version
		f.nodes["v1"].recordDisk(consensus.Voter{Entry: "v3", Identity: "the disk before this one"}, true)
		time.Sleep(catchUp)
		qt.Assert(t, f.nodes["v1"].State().Version, qt.Equals, before)
		changes.mu.Lock()
		defer changes.mu.Unlock()
		qt.Assert(t, changes.causes, qt.HasLen, 2)
	})
}
