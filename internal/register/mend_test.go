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

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/voters"
	"github.com/vanillagrade/vanillagrade/internal/storage/storagetest"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// mending has the fleet mend its voters. An entry counts as alive while it runs.
func (f *fleet) mending(want int) {
	since := map[job.EntryID]time.Time{}
	alive := map[job.EntryID]bool{}
	f.mend = &Mend{Want: want, Disks: func() []voters.Disk {
		f.mu.Lock()
		defer f.mu.Unlock()
		var out []voters.Disk
		for _, e := range f.entries {
			runs := f.nodes[e] != nil
			if runs != alive[e] || since[e].IsZero() {
				alive[e], since[e] = runs, time.Now()
			}
			liveness := voters.Dead
			if runs {
				liveness = voters.Alive
			}
			out = append(out, voters.Disk{Entry: e, Zone: job.Zone(e), Liveness: liveness, Since: since[e]})
		}
		return out
	}}
}

// catchUp is how long after the return of a VM the next may be lost.
const catchUp = 6 * time.Second

// voterCount returns how many voters the entry knows of.
func (f *fleet) voterCount(e job.EntryID) int { return len(f.nodes[e].State().Voters) }

// newWidenedFleet starts five entries with disks, of which three form the register,
// and lets them widen it to five voters.
func newWidenedFleet(t *testing.T, events timeline.Sink) *fleet {
	f := &fleet{t: t, nodes: map[job.EntryID]*member{}, events: events}
	f.net = newNetwork()
	f.voters = []job.EntryID{"v1", "v2", "v3"}
	f.entries = []job.EntryID{"v1", "v2", "v3", "v4", "v5"}
	f.mending(5)
	for _, e := range f.entries {
		f.start(e, &storagetest.FS{})
	}
	time.Sleep(8 * time.Second)
	qt.Assert(t, f.voterCount("v1"), qt.Equals, 5)
	return f
}

// The fleet has to bear two lost disks and starts with three voters. It widens
// itself to five, and then two disks are lost together right after a change was
// acknowledged, while all others lose power: aimed at those that took it. The
// change must be in force again soon, and the lost disks be given their places
// back, before two more are lost in the same way.
func TestAcknowledgedChangeOutlivesAimedWipes(t *testing.T) {
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
					f.strike(r, at)
					begun := time.Now()
					f.confirmed(uint64(number), catchUp)
					time.Sleep(catchUp - time.Since(begun))
					for _, e := range f.entries {
						qt.Assert(t, f.nodes[e].State().Voter, qt.IsTrue, qt.Commentf("%s does not vote in round %d: %s", e, round, f.nodes[e].State().Serving))
					}
				}
			})
		})
	}
}

// voterChanges keeps the causes of changes of the voters.
type voterChanges struct {
	mu     sync.Mutex
	causes []string
}

func (v *voterChanges) Record(ev timeline.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if ev.Kind == timeline.VotersChanged {
		v.causes = append(v.causes, string(ev.Peer)+" "+ev.Cause)
	}
}

// A fleet that has to bear two lost disks forms with three and widens itself. Who later
// asks why another disk votes finds each change of the voters in the time line, with its
// cause.
func TestChangesOfVotersAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		changes := &voterChanges{}
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

// strike takes power from all entries; the first and another one lose their disks.
func (f *fleet) strike(r *rand.Rand, aimed job.EntryID) {
	others := slices.DeleteFunc(slices.Clone(f.entries), func(e job.EntryID) bool { return e == aimed })
	wiped := []job.EntryID{aimed, others[r.IntN(len(others))]}
	disks := map[job.EntryID]*storagetest.FS{}
	for _, e := range f.entries {
		disks[e] = f.crash(e, storagetest.Keeps[r.IntN(len(storagetest.Keeps))])
	}
	time.Sleep(time.Second)
	founders := f.voters
	for _, e := range f.entries {
		if slices.Contains(wiped, e) {
			// An emptied disk is not told who formed the register.
			f.voters = nil
			f.start(e, &storagetest.FS{})
			f.voters = founders
			continue
		}
		f.start(e, disks[e])
	}
}

// confirmed wants each entry to confirm the number within the time, and no entry
// ever to confirm an older one.
func (f *fleet) confirmed(number uint64, within time.Duration) {
	f.t.Helper()
	f.confirmedOn(f.entries, number, within)
}

func (f *fleet) confirmedOn(entries []job.EntryID, number uint64, within time.Duration) {
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

// Three voters of three zones and a spare: one VM is gone for good, and the spare
// takes its place without an operator; the one that returns later is the spare.
func TestLostVoterIsReplacedBySpare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, nodes: map[job.EntryID]*member{}}
		f.net = newNetwork()
		f.voters = []job.EntryID{"v1", "v2", "v3"}
		f.entries = []job.EntryID{"v1", "v2", "v3", "v4"}
		f.mending(3)
		for _, e := range f.entries {
			f.start(e, &storagetest.FS{})
		}
		defer f.stopAll()
		time.Sleep(3 * time.Second)
		f.mustApply("v1", 1)
		disk := f.crash("v3", storagetest.KeepAll)
		time.Sleep(voters.AwayTime + 3*time.Second)
		names := f.nodes["v1"].State()
		qt.Assert(t, slices.Contains(names.VoterEntries(), "v4"), qt.IsTrue)
		qt.Assert(t, slices.Contains(names.VoterEntries(), "v3"), qt.IsFalse)
		f.start("v3", disk)
		f.mustApply("v2", 2)
		f.inForce(2, 5*time.Second, "v1", "v2", "v3", "v4")
	})
}

// Guards against a voter that is taken for emptied because of what was last heard of its disk.
func TestStaleWordOfADiskIsNoLostDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		changes := &voterChanges{}
		f := newWidenedFleet(t, changes)
		defer f.stopAll()
		before := f.nodes["v1"].State().Version
		f.nodes["v1"].noteDisk("v3", "the disk before this one")
		time.Sleep(catchUp)
		qt.Assert(t, f.nodes["v1"].State().Version, qt.Equals, before)
		changes.mu.Lock()
		defer changes.mu.Unlock()
		qt.Assert(t, changes.causes, qt.HasLen, 2)
	})
}
