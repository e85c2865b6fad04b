package register

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/voters"
	"github.com/vanillagrade/vanillagrade/internal/storage/storagetest"
)

const (
	// suspectAfter and deadAfter are the times without contact after which the
	// membership suspects an entry and declares it dead.
	suspectAfter = time.Second
	deadAfter    = 2750 * time.Millisecond
)

// replacementSeries is a fleet whose VMs are permanently replaced, one round after the
// other.
type replacementSeries struct {
	*fleet
	r         *rand.Rand
	created   int
	startedAt map[job.EntryID]time.Time
	stoppedAt map[job.EntryID]time.Time
	// draining holds the entries with a planned stop in progress.
	draining map[job.EntryID]bool
}

func newSeries(t *testing.T, seed uint64, disks, want int) *replacementSeries {
	s := &replacementSeries{
		fleet:     &fleet{t: t, nodes: map[job.EntryID]*member{}, net: newNetwork()},
		r:         rand.New(rand.NewPCG(seed, uint64(want))),
		startedAt: map[job.EntryID]time.Time{}, stoppedAt: map[job.EntryID]time.Time{}, draining: map[job.EntryID]bool{},
	}
	s.repair = &RepairOptions{Want: want, Disks: s.listDisks}
	for range disks {
		s.entries = append(s.entries, s.newName())
	}
	s.voters = slices.Clone(s.entries[:3])
	for _, e := range s.entries {
		s.add(e)
	}
	s.voters = nil
	return s
}

func (s *replacementSeries) newName() job.EntryID {
	s.created++
	return job.EntryID(fmt.Sprintf("v%02d", s.created))
}

func (s *replacementSeries) add(e job.EntryID) { s.restart(e, &storagetest.FS{}) }

// listDisks lists the disks as the membership sees them: it detects unresponsive entries
// only after some time.
func (s *replacementSeries) listDisks() []voters.Disk {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []voters.Disk
	for _, e := range s.entries {
		d := voters.Disk{Entry: e, Zone: job.Zone(e), Liveness: voters.Alive, Since: s.startedAt[e]}
		if s.draining[e] {
			d.Liveness = voters.Draining
		}
		if at, gone := s.stoppedAt[e]; gone {
			switch silent := time.Since(at); {
			case silent >= deadAfter:
				d.Liveness, d.Since = voters.Dead, at.Add(deadAfter)
			case silent >= suspectAfter:
				d.Liveness, d.Since = voters.Suspect, at.Add(suspectAfter)
			}
		}
		out = append(out, d)
	}
	return out
}

// replace removes entries permanently and starts an entry with a new name and an empty
// disk for each of them. It returns when they no longer count as lost.
func (s *replacementSeries) replace(lost []job.EntryID, gap, catchUp time.Duration) {
	for _, e := range lost {
		s.lose(e)
	}
	time.Sleep(gap)
	for range lost {
		s.addNext()
	}
	time.Sleep(catchUp)
}

func (s *replacementSeries) lose(e job.EntryID) {
	s.crash(e, storagetest.KeepAll)
	s.recordStop(e)
}

// addNext starts an entry with a new name and an empty disk.
func (s *replacementSeries) addNext() {
	e := s.newName()
	s.mu.Lock()
	s.entries = append(s.entries, e)
	s.mu.Unlock()
	s.add(e)
}

// stopPlanned performs a planned stop of an entry.
func (s *replacementSeries) stopPlanned(e job.EntryID) {
	s.mu.Lock()
	s.draining[e] = true
	s.mu.Unlock()
	s.nodes[e].TransferVote(s.t.Context())
	s.lose(e)
}

// alive lists the running entries in random order.
func (s *replacementSeries) alive() []job.EntryID {
	var out []job.EntryID
	for _, e := range s.entries {
		if s.nodes[e] != nil {
			out = append(out, e)
		}
	}
	s.r.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// powerOff crashes all entries at once and restarts them with their disks.
func (s *replacementSeries) powerOff() { s.powerOffWithout(nil) }

// powerOffWithout is powerOff with some disks lost.
func (s *replacementSeries) powerOffWithout(lost []job.EntryID) {
	running := s.alive()
	disks := map[job.EntryID]*storagetest.FS{}
	for _, e := range running {
		disks[e] = s.crash(e, storagetest.KeepNone)
		s.recordStop(e)
	}
	for _, e := range lost {
		disks[e] = &storagetest.FS{}
	}
	time.Sleep(time.Second)
	for _, e := range running {
		s.restart(e, disks[e])
	}
}

// recordStop records the time at which an entry stopped.
func (s *replacementSeries) recordStop(e job.EntryID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stoppedAt[e] = time.Now()
}

// restart starts an entry with the given disk and records the time.
func (s *replacementSeries) restart(e job.EntryID, disk *storagetest.FS) {
	s.mu.Lock()
	s.startedAt[e] = time.Now()
	delete(s.stoppedAt, e)
	s.mu.Unlock()
	s.start(e, disk)
}

// Guards against replacing a voter only after the next loss that the fleet has to tolerate.
func TestVotersReplacedInSeriesKeepTheirMajority(t *testing.T) {
	cases := []struct {
		name                  string
		disks, want, together int
		gap, catchUp          time.Duration
	}{
		{"one of three", 3, 3, 1, time.Second, 4 * time.Second},
		{"one of three, replaced at once", 3, 3, 1, 100 * time.Millisecond, 4 * time.Second},
		{"one of three beside a spare", 4, 3, 1, time.Second, 4 * time.Second},
		{"two of five", 5, 5, 2, time.Second, 6 * time.Second},
		{"two of five beside a spare", 6, 5, 2, 2 * time.Second, 6 * time.Second},
	}
	for _, c := range cases {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%s/%d", c.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSeries(t, seed, c.disks, c.want)
					defer s.stopAll()
					time.Sleep(10 * time.Second)
					const rounds = 4
					for round := range rounds {
						s.mustApply(s.alive()[0], round+1)
						s.replace(s.alive()[:c.together], c.gap, c.catchUp)
					}
					s.powerOff()
					s.assertConfirmedOn(s.alive(), rounds, 12*time.Second)
				})
			})
		}
	}
}

// Guards against a planned replacement after which the set tolerates one loss less until its
// repair.
func TestPlannedReplacementLeavesNoGap(t *testing.T) {
	sizes := []struct{ disks, want, together int }{{3, 3, 1}, {5, 5, 2}}
	for _, size := range sizes {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%d voters/%d", size.want, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSeries(t, seed, size.disks, size.want)
					defer s.stopAll()
					time.Sleep(10 * time.Second)
					s.mustApply(s.alive()[0], 1)
					voting := s.alive()
					s.addNext()
					time.Sleep(4 * time.Second)
					s.stopPlanned(voting[0])
					s.replace(voting[1:1+size.together], time.Second, 6*time.Second)
					s.mustApply(s.alive()[0], 2)
					s.powerOff()
					s.assertConfirmedOn(s.alive(), 2, 12*time.Second)
				})
			})
		}
	}
}

// losses are the ways in which n entries are lost and then replaced or restarted. Each
// returns when the next entries may be lost.
var losses = map[string]func(s *replacementSeries, n int, catchUp time.Duration){
	"replaced": func(s *replacementSeries, n int, catchUp time.Duration) {
		s.replace(s.alive()[:n], s.randomUpTo(2*time.Second), catchUp)
	},
	"replaced as planned": func(s *replacementSeries, n int, catchUp time.Duration) {
		for _, e := range s.alive()[:n] {
			s.addNext()
			time.Sleep(catchUp)
			s.stopPlanned(e)
		}
	},
	"disks lost": func(s *replacementSeries, n int, catchUp time.Duration) {
		s.restartAfter(s.alive()[:n], s.randomUpTo(5*time.Second), false)
		time.Sleep(catchUp)
	},
	"away for a while": func(s *replacementSeries, n int, catchUp time.Duration) {
		s.restartAfter(s.alive()[:n], s.randomUpTo(8*time.Second), true)
		time.Sleep(catchUp)
	},
	"all power lost, and disks": func(s *replacementSeries, n int, catchUp time.Duration) {
		s.powerOffWithout(s.alive()[:n])
		time.Sleep(catchUp)
	},
}

// restartAfter crashes entries shortly one after the other and restarts them after d, with
// their disks or with empty ones.
func (s *replacementSeries) restartAfter(entries []job.EntryID, d time.Duration, keep bool) {
	disks := map[job.EntryID]*storagetest.FS{}
	for _, e := range entries {
		disks[e] = &storagetest.FS{}
		if found := s.crash(e, storagetest.KeepNone); keep {
			disks[e] = found
		}
		s.recordStop(e)
		time.Sleep(s.randomUpTo(300 * time.Millisecond))
	}
	time.Sleep(d)
	for _, e := range entries {
		s.restart(e, disks[e])
	}
}

func (s *replacementSeries) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(s.r.Int64N(int64(d)))
}

// Guards against losing the majority or an acknowledged change in a series of losses of
// different kinds.
func TestVotersSurviveMixedLossesInSeries(t *testing.T) {
	sizes := []struct {
		disks, want int
		catchUp     time.Duration
	}{{3, 3, 4 * time.Second}, {4, 3, 4 * time.Second}, {5, 5, 6 * time.Second}, {6, 5, 6 * time.Second}}
	names := slices.Sorted(maps.Keys(losses))
	for _, size := range sizes {
		for seed := range uint64(lossSeeds) {
			t.Run(fmt.Sprintf("%d disks/%d", size.disks, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSeries(t, seed, size.disks, size.want)
					defer s.stopAll()
					time.Sleep(10 * time.Second)
					const rounds = 6
					for round := range rounds {
						s.mustApply(s.alive()[0], round+1)
						time.Sleep(s.randomUpTo(50 * time.Millisecond))
						name := names[s.r.IntN(len(names))]
						t.Log(name)
						losses[name](s, 1+s.r.IntN(size.want/2), size.catchUp)
					}
					s.assertConfirmedOn(s.alive(), rounds, 12*time.Second)
				})
			})
		}
	}
}

// lossSeeds is the number of seeds that each size is tested with.
const lossSeeds = 8
