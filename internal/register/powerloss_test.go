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
)

const (
	// recoveryTime is how long a VM that came back still counts as lost: until then no
	// other VM is lost.
	recoveryTime = 4 * time.Second
	// resumeTimeout is the time within which changes and reads must succeed after all
	// VMs are back.
	resumeTimeout = 12 * time.Second
	// maxStartTime is the longest time within which VMs start after a power loss.
	maxStartTime = 3 * time.Second
)

// powerLossFleet is a fleet whose VMs all lose power while some disks are wiped.
type powerLossFleet struct {
	*fleet
	r        *rand.Rand
	founders []job.EntryID
	tolerate int
	number   int
	// diskCreated is when each disk was created.
	diskCreated map[job.EntryID]time.Time
	// removed holds the disks of VMs that are gone.
	removed map[job.EntryID]*storagetest.FS
	// earlyReads waits for the reads that run while the VMs start.
	earlyReads sync.WaitGroup
}

func newPowerLossFleet(t *testing.T, seed uint64, tolerate, disks, learners int) *powerLossFleet {
	f := &fleet{t: t, nodes: map[job.EntryID]*member{}, net: newNetwork()}
	d := &powerLossFleet{fleet: f, r: rand.New(rand.NewPCG(seed, uint64(tolerate))), tolerate: tolerate, diskCreated: map[job.EntryID]time.Time{}, removed: map[job.EntryID]*storagetest.FS{}}
	for i := range disks {
		f.entries = append(f.entries, job.EntryID(fmt.Sprintf("v%d", i+1)))
	}
	d.founders = slices.Clone(f.entries[:3])
	for i := range learners {
		f.entries = append(f.entries, job.EntryID(fmt.Sprintf("l%d", i+1)))
	}
	f.enableRepair(2*tolerate + 1)
	f.voters = d.founders
	inner := f.repair.Disks
	f.repair.Disks = func() []voters.Disk {
		return slices.DeleteFunc(inner(), func(x voters.Disk) bool { return !hasDisk(x.Entry) })
	}
	for _, e := range f.entries {
		var fs *storagetest.FS
		if hasDisk(e) {
			fs = d.slowDown(&storagetest.FS{})
		}
		f.start(e, fs)
	}
	f.voters = nil // entries that start later don't know who formed the register
	time.Sleep(8 * time.Second)
	qt.Assert(t, f.voterCount("v1"), qt.Equals, 2*tolerate+1)
	return d
}

// slowDown makes each sync of a disk last some milliseconds, so that the power loss
// occurs during writes.
func (d *powerLossFleet) slowDown(fs *storagetest.FS) *storagetest.FS {
	if fs != nil {
		fs.Slow(time.Duration(1+d.r.IntN(20)) * time.Millisecond)
	}
	return fs
}

func hasDisk(e job.EntryID) bool { return e[0] == 'v' }

// running lists the entries that run, in a fixed order.
func (d *powerLossFleet) running() []job.EntryID {
	return slices.DeleteFunc(slices.Clone(d.entries), func(e job.EntryID) bool { return d.nodes[e] == nil })
}

// voterNames lists the voters of the version in effect.
func (d *powerLossFleet) voterNames() []job.EntryID {
	for _, e := range d.running() {
		if hasDisk(e) {
			if s := d.nodes[e].State(); s.Voter {
				return s.VoterEntries()
			}
		}
	}
	d.t.Fatal("no entry votes")
	return nil
}

// victims selects n voters that lose their disks: at random, at random but including the
// one that has just acknowledged a change, or those with the oldest disks.
func (d *powerLossFleet) victims(n int, acknowledged job.EntryID) []job.EntryID {
	candidates := slices.DeleteFunc(d.voterNames(), func(e job.EntryID) bool { return d.nodes[e] == nil })
	slices.Sort(candidates)
	d.r.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	switch d.r.IntN(3) {
	case 0:
		slices.SortStableFunc(candidates, func(a, b job.EntryID) int { return d.diskCreated[a].Compare(d.diskCreated[b]) })
	case 1:
		if i := slices.Index(candidates, acknowledged); i > 0 {
			candidates[0], candidates[i] = candidates[i], candidates[0]
		}
	}
	return candidates[:min(n, len(candidates))]
}

// acknowledge applies one more change on a random entry and returns that entry.
func (d *powerLossFleet) acknowledge() job.EntryID {
	running := d.running()
	at := running[d.r.IntN(len(running))]
	d.number++
	d.mustApply(at, d.number)
	return at
}

// losePower cuts the power of all entries, including those without a disk, and wipes the
// given disks. All entries restart within maxStartTime, in random order.
func (d *powerLossFleet) losePower(wiped []job.EntryID) {
	disks := map[job.EntryID]*storagetest.FS{}
	running := d.running()
	for _, e := range running {
		disks[e] = d.crash(e, storagetest.Keeps[d.r.IntN(len(storagetest.Keeps))])
	}
	time.Sleep(time.Duration(d.r.IntN(1500)) * time.Millisecond)
	d.r.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	within := time.Duration(d.r.IntN(int(maxStartTime)))
	for _, e := range running {
		time.Sleep(within / time.Duration(len(running)))
		if slices.Contains(wiped, e) {
			disks[e], d.diskCreated[e] = &storagetest.FS{}, time.Now()
		}
		d.start(e, d.slowDown(disks[e]))
		d.readEarly(e)
	}
}

// readEarly reads from an entry that has just started while others may still be down.
// The read may fail, but must not return an older number.
func (d *powerLossFleet) readEarly(e job.EntryID) {
	node, least := d.nodes[e], uint64(d.number)
	d.earlyReads.Go(func() {
		for range 20 {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			got, err := node.Confirm(ctx)
			cancel()
			if err == nil && got.Number < least {
				d.t.Errorf("%s confirms number %d after %d was acknowledged", e, got.Number, least)
			}
			if err == nil {
				return
			}
		}
	})
}

// wipe crashes one entry and restarts it with an empty disk while the others keep power.
func (d *powerLossFleet) wipe(e job.EntryID) {
	d.crash(e, storagetest.KeepNone)
	time.Sleep(time.Duration(200+d.r.IntN(800)) * time.Millisecond)
	d.diskCreated[e] = time.Now()
	d.start(e, d.slowDown(&storagetest.FS{}))
}

// assertServes asserts that every entry reads back the last acknowledged change and
// never an older one, and that the next change is acknowledged.
func (d *powerLossFleet) assertServes() {
	d.t.Helper()
	d.earlyReads.Wait()
	since := time.Now()
	for _, e := range d.running() {
		d.assertReadBack(e, since.Add(resumeTimeout))
	}
	for d.nextChangeFails() {
		if time.Since(since) > resumeTimeout {
			d.t.Fatalf("no change is acknowledged %v after the VMs are back", resumeTimeout)
		}
	}
}

func (d *powerLossFleet) assertReadBack(e job.EntryID, deadline time.Time) {
	d.t.Helper()
	for {
		ctx, cancel := context.WithTimeout(d.t.Context(), time.Second)
		got, err := d.nodes[e].Confirm(ctx)
		cancel()
		if err == nil {
			qt.Assert(d.t, got.Number, qt.Equals, uint64(d.number), qt.Commentf("read back on %s", e))
			return
		}
		if time.Now().After(deadline) {
			d.t.Fatalf("%s can't read back number %d: %v; %s", e, d.number, err, d.nodes[e].State().Serving)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (d *powerLossFleet) nextChangeFails() bool {
	running := d.running()
	ctx, cancel := context.WithTimeout(d.t.Context(), time.Second)
	defer cancel()
	next := d.number + 1
	_, err := d.nodes[running[d.r.IntN(len(running))]].Apply(ctx, fmt.Sprintf("change-%d", next), []byte(fileOf(next, "a")))
	if err != nil {
		return true
	}
	d.number = next
	return false
}

// powerLossMoments are the moments at which the power is lost. Each leaves the fleet
// fully repaired, so that they can run one after the other.
var powerLossMoments = map[string]func(*powerLossFleet){
	"right after an acknowledgement": func(d *powerLossFleet) {
		at := d.acknowledge()
		time.Sleep(time.Duration(d.r.IntN(2)*d.r.IntN(40)) * time.Millisecond)
		d.losePower(d.victims(d.tolerate, at))
		d.assertServes()
	},
	"right after the lost disks were replaced": func(d *powerLossFleet) {
		for _, e := range d.victims(d.tolerate, "") {
			d.wipe(e)
		}
		time.Sleep(recoveryTime)
		at := d.acknowledge()
		d.losePower(d.victims(d.tolerate, at))
		d.assertServes()
	},
	"while a lost disk is replaced": func(d *powerLossFleet) {
		at := d.acknowledge()
		lost := d.victims(d.tolerate, at)
		d.wipe(lost[0])
		time.Sleep(time.Duration(d.r.IntN(1500)) * time.Millisecond)
		d.losePower(lost[1:])
		d.assertServes()
	},
	"while a VM that is gone is replaced, and right after": func(d *powerLossFleet) {
		gone := d.victims(1, "")[0]
		at := d.acknowledge()
		d.removed[gone] = d.crash(gone, storagetest.KeepNone)
		time.Sleep(voters.ReplaceDelay - time.Second + time.Duration(d.r.IntN(2500))*time.Millisecond)
		d.losePower(d.victims(d.tolerate-1, at))
		d.assertServes()
		time.Sleep(voters.ReplaceDelay + recoveryTime)
		qt.Assert(d.t, slices.Contains(d.voterNames(), gone), qt.IsFalse)
		at = d.acknowledge()
		d.losePower(d.victims(d.tolerate, at))
		d.assertServes()
		d.start(gone, d.slowDown(d.removed[gone]))
		delete(d.removed, gone)
	},
	"before the answer to a change": func(d *powerLossFleet) {
		next := d.number + 1
		ctx, cancel := context.WithTimeout(d.t.Context(), time.Second)
		defer cancel()
		answered := make(chan error, 1)
		node := d.nodes[d.running()[0]]
		go func() {
			_, err := node.Apply(ctx, fmt.Sprintf("change-%d", next), []byte(fileOf(next, "a")))
			answered <- err
		}()
		time.Sleep(time.Duration(d.r.IntN(120)) * time.Millisecond)
		d.losePower(d.victims(d.tolerate, ""))
		if <-answered == nil {
			d.number = next
		} else {
			// The change may be in effect or not. Sent again, it must be acknowledged.
			for since := time.Now(); d.nextChangeFails(); {
				qt.Assert(d.t, time.Since(since) < resumeTimeout, qt.IsTrue)
			}
		}
		d.assertServes()
	},
}

// All VMs lose power and as many disks are lost as the fleet has to tolerate, at any
// moment: after an acknowledgement, during a repair of the voter set, and right after a
// repair. Guards against losing an acknowledged change, reading back an older one, and
// being unable to apply changes afterwards.
func TestAcknowledgedChangeSurvivesTotalPowerLoss(t *testing.T) {
	fleets := []struct{ tolerate, disks, learners int }{{1, 4, 2}, {2, 6, 2}}
	for _, size := range fleets {
		for name, moment := range powerLossMoments {
			t.Run(fmt.Sprintf("%d lost of %d disks %s", size.tolerate, size.disks, name), func(t *testing.T) {
				for seed := range uint64(powerLossSeeds) {
					synctest.Test(t, func(t *testing.T) {
						d := newPowerLossFleet(t, seed, size.tolerate, size.disks, size.learners)
						defer d.stopAll()
						for range 3 {
							moment(d)
							time.Sleep(recoveryTime)
						}
					})
				}
			})
		}
	}
}

// powerLossSeeds is the number of seeds that each moment is tested with.
const powerLossSeeds = 6
