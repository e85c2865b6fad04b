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
	// returned is how long a VM that came back counts as lost: only then may the
	// next ones be.
	returned = 4 * time.Second
	// resumes is when changes and reads must go on after all VMs are back.
	resumes = 12 * time.Second
	// starting is the longest time within which VMs start after a loss of power.
	starting = 3 * time.Second
)

// dark is a fleet whose VMs all lose power while disks are wiped.
type dark struct {
	*fleet
	r        *rand.Rand
	founders []job.EntryID
	tolerate int
	number   int
	// age is when each disk was new.
	age map[job.EntryID]time.Time
	// away are VMs that are gone.
	away map[job.EntryID]*storagetest.FS
	// early are the reads while the VMs start.
	early sync.WaitGroup
}

func newDark(t *testing.T, seed uint64, tolerate, disks, learners int) *dark {
	f := &fleet{t: t, nodes: map[job.EntryID]*member{}, net: newNetwork()}
	d := &dark{fleet: f, r: rand.New(rand.NewPCG(seed, uint64(tolerate))), tolerate: tolerate, age: map[job.EntryID]time.Time{}, away: map[job.EntryID]*storagetest.FS{}}
	for i := range disks {
		f.entries = append(f.entries, job.EntryID(fmt.Sprintf("v%d", i+1)))
	}
	d.founders = slices.Clone(f.entries[:3])
	for i := range learners {
		f.entries = append(f.entries, job.EntryID(fmt.Sprintf("l%d", i+1)))
	}
	f.mending(2*tolerate + 1)
	f.voters = d.founders
	inner := f.mend.Disks
	f.mend.Disks = func() []voters.Disk {
		return slices.DeleteFunc(inner(), func(x voters.Disk) bool { return !isDisk(x.Entry) })
	}
	for _, e := range f.entries {
		var fs *storagetest.FS
		if isDisk(e) {
			fs = d.disk(&storagetest.FS{})
		}
		f.start(e, fs)
	}
	f.voters = nil // whoever starts later is not told who formed the register
	time.Sleep(8 * time.Second)
	qt.Assert(t, f.voterCount("v1"), qt.Equals, 2*tolerate+1)
	return d
}

// disk gives a disk its speed: each sync takes some milliseconds, so that the loss of
// power meets writes under way.
func (d *dark) disk(fs *storagetest.FS) *storagetest.FS {
	if fs != nil {
		fs.Slow(time.Duration(1+d.r.IntN(20)) * time.Millisecond)
	}
	return fs
}

func isDisk(e job.EntryID) bool { return e[0] == 'v' }

// present lists the entries that run, in a fixed order.
func (d *dark) present() []job.EntryID {
	return slices.DeleteFunc(slices.Clone(d.entries), func(e job.EntryID) bool { return d.nodes[e] == nil })
}

// names lists the voters of the version in force.
func (d *dark) names() []job.EntryID {
	for _, e := range d.present() {
		if isDisk(e) {
			if s := d.nodes[e].State(); s.Voter {
				return s.VoterEntries()
			}
		}
	}
	d.t.Fatal("nobody votes")
	return nil
}

// victims draws n voters whose disks are to be lost: by lot, the one that has just
// acknowledged among them, or those whose disks have lasted longest.
func (d *dark) victims(n int, acknowledged job.EntryID) []job.EntryID {
	candidates := slices.DeleteFunc(d.names(), func(e job.EntryID) bool { return d.nodes[e] == nil })
	slices.Sort(candidates)
	d.r.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	switch d.r.IntN(3) {
	case 0:
		slices.SortStableFunc(candidates, func(a, b job.EntryID) int { return d.age[a].Compare(d.age[b]) })
	case 1:
		if i := slices.Index(candidates, acknowledged); i > 0 {
			candidates[0], candidates[i] = candidates[i], candidates[0]
		}
	}
	return candidates[:min(n, len(candidates))]
}

// acknowledge has one more change acknowledged, by any entry.
func (d *dark) acknowledge() job.EntryID {
	present := d.present()
	at := present[d.r.IntN(len(present))]
	d.number++
	d.mustApply(at, d.number)
	return at
}

// powerLost takes power from all entries, those without a disk too, and wipes the
// disks of some. They are all back within a moment, in any order.
func (d *dark) powerLost(wiped []job.EntryID) {
	disks := map[job.EntryID]*storagetest.FS{}
	present := d.present()
	for _, e := range present {
		disks[e] = d.crash(e, storagetest.Keeps[d.r.IntN(len(storagetest.Keeps))])
	}
	time.Sleep(time.Duration(d.r.IntN(1500)) * time.Millisecond)
	d.r.Shuffle(len(present), func(i, j int) { present[i], present[j] = present[j], present[i] })
	within := time.Duration(d.r.IntN(int(starting)))
	for _, e := range present {
		time.Sleep(within / time.Duration(len(present)))
		if slices.Contains(wiped, e) {
			disks[e], d.age[e] = &storagetest.FS{}, time.Now()
		}
		d.start(e, d.disk(disks[e]))
		d.readEarly(e)
	}
}

// readEarly asks an entry that has just started, before the others have: it may be
// unable to say, but never says what is older.
func (d *dark) readEarly(e job.EntryID) {
	node, least := d.nodes[e], uint64(d.number)
	d.early.Go(func() {
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

// wipe loses one disk while the others keep power.
func (d *dark) wipe(e job.EntryID) {
	d.crash(e, storagetest.KeepNone)
	time.Sleep(time.Duration(200+d.r.IntN(800)) * time.Millisecond)
	d.age[e] = time.Now()
	d.start(e, d.disk(&storagetest.FS{}))
}

// served wants what was acknowledged to be read back on every entry, nothing older
// ever, and the next change to be acknowledged.
func (d *dark) served() {
	d.t.Helper()
	d.early.Wait()
	since := time.Now()
	for _, e := range d.present() {
		d.readBack(e, since.Add(resumes))
	}
	for d.changeFails() {
		if time.Since(since) > resumes {
			d.t.Fatalf("no change is acknowledged %v after the VMs are back", resumes)
		}
	}
}

func (d *dark) readBack(e job.EntryID, deadline time.Time) {
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

func (d *dark) changeFails() bool {
	present := d.present()
	ctx, cancel := context.WithTimeout(d.t.Context(), time.Second)
	defer cancel()
	next := d.number + 1
	_, err := d.nodes[present[d.r.IntN(len(present))]].Apply(ctx, fmt.Sprintf("change-%d", next), []byte(fileOf(next, "a")))
	if err != nil {
		return true
	}
	d.number = next
	return false
}

// moments are when the power is lost. Each leaves the fleet whole again, so that one
// follows the other.
var moments = map[string]func(*dark){
	"right after an acknowledgement": func(d *dark) {
		at := d.acknowledge()
		time.Sleep(time.Duration(d.r.IntN(2)*d.r.IntN(40)) * time.Millisecond)
		d.powerLost(d.victims(d.tolerate, at))
		d.served()
	},
	"right after the lost disks were mended": func(d *dark) {
		for _, e := range d.victims(d.tolerate, "") {
			d.wipe(e)
		}
		time.Sleep(returned)
		at := d.acknowledge()
		d.powerLost(d.victims(d.tolerate, at))
		d.served()
	},
	"while a lost disk is mended": func(d *dark) {
		at := d.acknowledge()
		lost := d.victims(d.tolerate, at)
		d.wipe(lost[0])
		time.Sleep(time.Duration(d.r.IntN(1500)) * time.Millisecond)
		d.powerLost(lost[1:])
		d.served()
	},
	"while a VM that is gone is replaced, and right after": func(d *dark) {
		gone := d.victims(1, "")[0]
		at := d.acknowledge()
		d.away[gone] = d.crash(gone, storagetest.KeepNone)
		time.Sleep(voters.AwayTime - time.Second + time.Duration(d.r.IntN(2500))*time.Millisecond)
		d.powerLost(d.victims(d.tolerate-1, at))
		d.served()
		time.Sleep(voters.AwayTime + returned)
		qt.Assert(d.t, slices.Contains(d.names(), gone), qt.IsFalse)
		at = d.acknowledge()
		d.powerLost(d.victims(d.tolerate, at))
		d.served()
		d.start(gone, d.disk(d.away[gone]))
		delete(d.away, gone)
	},
	"before the answer to a change": func(d *dark) {
		next := d.number + 1
		ctx, cancel := context.WithTimeout(d.t.Context(), time.Second)
		defer cancel()
		answered := make(chan error, 1)
		node := d.nodes[d.present()[0]]
		go func() {
			_, err := node.Apply(ctx, fmt.Sprintf("change-%d", next), []byte(fileOf(next, "a")))
			answered <- err
		}()
		time.Sleep(time.Duration(d.r.IntN(120)) * time.Millisecond)
		d.powerLost(d.victims(d.tolerate, ""))
		if <-answered == nil {
			d.number = next
		} else {
			// It may be in force or not; sent again, it is acknowledged.
			for since := time.Now(); d.changeFails(); {
				qt.Assert(d.t, time.Since(since) < resumes, qt.IsTrue)
			}
		}
		d.served()
	},
}

// As many disks as the fleet has to bear are lost while all other VMs lose power too,
// at any moment: after an acknowledgement, while the voters are mended, right after
// that. An operator would find that a change which was acknowledged is gone, that an
// older one is read back, or that nothing can be changed any more.
func TestAcknowledgedChangeOutlivesLossOfAllPower(t *testing.T) {
	fleets := []struct{ tolerate, disks, learners int }{{1, 4, 2}, {2, 6, 2}}
	for _, size := range fleets {
		for name, moment := range moments {
			t.Run(fmt.Sprintf("%d lost of %d disks %s", size.tolerate, size.disks, name), func(t *testing.T) {
				for seed := range uint64(darkSeeds) {
					synctest.Test(t, func(t *testing.T) {
						d := newDark(t, seed, size.tolerate, size.disks, size.learners)
						defer d.stopAll()
						for range 3 {
							moment(d)
							time.Sleep(returned)
						}
					})
				}
			})
		}
	}
}

// darkSeeds is how many courses each moment is tried in.
const darkSeeds = 6
