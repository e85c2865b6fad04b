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
	// suspected and declared are after which silence the membership suspects an
	// entry and declares it dead.
	suspected = time.Second
	declared  = 2750 * time.Millisecond
)

// series is a fleet whose VMs are replaced for good, one round after the other.
type series struct {
	*fleet
	r     *rand.Rand
	made  int
	begun map[job.EntryID]time.Time
	ended map[job.EntryID]time.Time
	// draining are the entries that are about to stop as planned.
	draining map[job.EntryID]bool
}

func newSeries(t *testing.T, seed uint64, disks, want int) *series {
	s := &series{
		fleet: &fleet{t: t, nodes: map[job.EntryID]*member{}, net: newNetwork()},
		r:     rand.New(rand.NewPCG(seed, uint64(want))),
		begun: map[job.EntryID]time.Time{}, ended: map[job.EntryID]time.Time{}, draining: map[job.EntryID]bool{},
	}
	s.mend = &Mend{Want: want, Disks: s.seen}
	for range disks {
		s.entries = append(s.entries, s.name())
	}
	s.voters = slices.Clone(s.entries[:3])
	for _, e := range s.entries {
		s.add(e)
	}
	s.voters = nil
	return s
}

func (s *series) name() job.EntryID {
	s.made++
	return job.EntryID(fmt.Sprintf("v%02d", s.made))
}

func (s *series) add(e job.EntryID) { s.comeBack(e, &storagetest.FS{}) }

// seen is what the membership tells of the disks: silence shows after a while only.
func (s *series) seen() []voters.Disk {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []voters.Disk
	for _, e := range s.entries {
		d := voters.Disk{Entry: e, Zone: job.Zone(e), Liveness: voters.Alive, Since: s.begun[e]}
		if s.draining[e] {
			d.Liveness = voters.Draining
		}
		if at, gone := s.ended[e]; gone {
			switch silent := time.Since(at); {
			case silent >= declared:
				d.Liveness, d.Since = voters.Dead, at.Add(declared)
			case silent >= suspected:
				d.Liveness, d.Since = voters.Suspect, at.Add(suspected)
			}
		}
		out = append(out, d)
	}
	return out
}

// replace loses entries for good and has an empty disk of another name start for each
// of them. It returns when they count as lost no more.
func (s *series) replace(lost []job.EntryID, gap, catchUp time.Duration) {
	for _, e := range lost {
		s.lose(e)
	}
	time.Sleep(gap)
	for range lost {
		s.addNext()
	}
	time.Sleep(catchUp)
}

func (s *series) lose(e job.EntryID) {
	s.crash(e, storagetest.KeepAll)
	s.setEnded(e)
}

// addNext starts an empty disk of a new name.
func (s *series) addNext() {
	e := s.name()
	s.mu.Lock()
	s.entries = append(s.entries, e)
	s.mu.Unlock()
	s.add(e)
}

// stopPlanned has an entry stop as planned.
func (s *series) stopPlanned(e job.EntryID) {
	s.mu.Lock()
	s.draining[e] = true
	s.mu.Unlock()
	s.nodes[e].Retire(s.t.Context())
	s.lose(e)
}

// alive lists the entries that run, in random order.
func (s *series) alive() []job.EntryID {
	var out []job.EntryID
	for _, e := range s.entries {
		if s.nodes[e] != nil {
			out = append(out, e)
		}
	}
	s.r.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// powerOff stops all entries at once and starts them again from their disks.
func (s *series) powerOff() { s.powerOffWithout(nil) }

// powerOffWithout does so with the disks of some lost.
func (s *series) powerOffWithout(lost []job.EntryID) {
	running := s.alive()
	disks := map[job.EntryID]*storagetest.FS{}
	for _, e := range running {
		disks[e] = s.crash(e, storagetest.KeepNone)
		s.setEnded(e)
	}
	for _, e := range lost {
		disks[e] = &storagetest.FS{}
	}
	time.Sleep(time.Second)
	for _, e := range running {
		s.comeBack(e, disks[e])
	}
}

// setEnded notes that an entry has ended.
func (s *series) setEnded(e job.EntryID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended[e] = time.Now()
}

// comeBack starts an entry again.
func (s *series) comeBack(e job.EntryID, disk *storagetest.FS) {
	s.mu.Lock()
	s.begun[e] = time.Now()
	delete(s.ended, e)
	s.mu.Unlock()
	s.start(e, disk)
}

// Guards against a voter that is replaced only after the next loss that the fleet has to bear.
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
					s.confirmedOn(s.alive(), rounds, 12*time.Second)
				})
			})
		}
	}
}

// Guards against a planned replacement that leaves the set one loss short until it is mended.
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
					s.confirmedOn(s.alive(), 2, 12*time.Second)
				})
			})
		}
	}
}

// losses are the ways in which n entries are lost and replaced or come back. Each returns
// when the next ones may be lost.
var losses = map[string]func(s *series, n int, catchUp time.Duration){
	"replaced": func(s *series, n int, catchUp time.Duration) {
		s.replace(s.alive()[:n], s.upTo(2*time.Second), catchUp)
	},
	"replaced as planned": func(s *series, n int, catchUp time.Duration) {
		for _, e := range s.alive()[:n] {
			s.addNext()
			time.Sleep(catchUp)
			s.stopPlanned(e)
		}
	},
	"disks lost": func(s *series, n int, catchUp time.Duration) {
		s.away(s.alive()[:n], s.upTo(5*time.Second), false)
		time.Sleep(catchUp)
	},
	"away for a while": func(s *series, n int, catchUp time.Duration) {
		s.away(s.alive()[:n], s.upTo(8*time.Second), true)
		time.Sleep(catchUp)
	},
	"all power lost, and disks": func(s *series, n int, catchUp time.Duration) {
		s.powerOffWithout(s.alive()[:n])
		time.Sleep(catchUp)
	},
}

// away ends entries within a moment and has them come back, with their disks or with
// empty ones.
func (s *series) away(entries []job.EntryID, d time.Duration, keep bool) {
	disks := map[job.EntryID]*storagetest.FS{}
	for _, e := range entries {
		disks[e] = &storagetest.FS{}
		if found := s.crash(e, storagetest.KeepNone); keep {
			disks[e] = found
		}
		s.setEnded(e)
		time.Sleep(s.upTo(300 * time.Millisecond))
	}
	time.Sleep(d)
	for _, e := range entries {
		s.comeBack(e, disks[e])
	}
}

func (s *series) upTo(d time.Duration) time.Duration { return time.Duration(s.r.Int64N(int64(d))) }

// Guards against losses of different kinds in series that the voters don't outlive.
func TestVotersOutliveLossesOfAllKindsInSeries(t *testing.T) {
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
						time.Sleep(s.upTo(50 * time.Millisecond))
						name := names[s.r.IntN(len(names))]
						t.Log(name)
						losses[name](s, 1+s.r.IntN(size.want/2), size.catchUp)
					}
					s.confirmedOn(s.alive(), rounds, 12*time.Second)
				})
			})
		}
	}
}

// lossSeeds is how many courses each size is tried in.
const lossSeeds = 8
