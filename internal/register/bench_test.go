package register

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/consensus"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer/peertest"
	"github.com/vanillagrade/vanillagrade/internal/storage"
)

// zoneDelay is the message delay between availability zones. The benchmarks run in real
// time: voters sync to the real disk of the machine, and the in-memory network delays
// each message by zoneDelay.
const zoneDelay = 1500 * time.Microsecond

// slowDisk is the real disk with a longer sync: the machine that the published results
// come from syncs in about 0.1 ms, while the disks of small VMs need several.
type slowDisk struct {
	storage.OS
	extraSync time.Duration
}

type slowFile struct {
	storage.File
	extraSync time.Duration
}

func (s slowDisk) Create(name string) (storage.File, error) {
	f, err := s.OS.Create(name)
	return slowFile{f, s.extraSync}, err
}

func (s slowDisk) SyncDir(dir string) error {
	time.Sleep(s.extraSync)
	return s.OS.SyncDir(dir)
}

func (f slowFile) Sync() error {
	time.Sleep(f.extraSync)
	return f.File.Sync()
}

// newRealDiskFleet starts voters with real disks, and learners.
func newRealDiskFleet(b *testing.B, voters, learners int, extraSync time.Duration) *fleet {
	f := &fleet{t: b, net: &peertest.Network{Delay: zoneDelay}, nodes: map[job.EntryID]*member{}}
	for i := range voters {
		f.voters = append(f.voters, job.EntryID(fmt.Sprintf("v%d", i+1)))
	}
	f.entries = slices.Clone(f.voters)
	for i := range learners {
		f.entries = append(f.entries, job.EntryID(fmt.Sprintf("l%d", i+1)))
	}
	for i, e := range f.entries {
		opts := Options{Mesh: f.net.Join(job.Owner{Entry: e, Incarnation: 1}), Voters: f.voters, Entries: f.entries}
		if i < voters {
			store, err := storage.Open(b.TempDir(), slowDisk{extraSync: extraSync})
			qt.Assert(b, err, qt.IsNil)
			opts.Store = store
		}
		ctx, cancel := context.WithCancel(context.Background())
		m := &member{Register: New(opts), stop: cancel, done: make(chan struct{})}
		f.nodes[e] = m
		go func() {
			defer close(m.done)
			_ = m.Run(ctx)
		}()
	}
	b.Cleanup(func() {
		for e, m := range f.nodes {
			f.net.Crash(e)
			m.stop()
			<-m.done
		}
	})
	for i := 0; ; i++ {
		if _, err := f.apply("v1", "first", fileOf(1, "a")); err == nil {
			return f
		}
		qt.Assert(b, i < 10, qt.IsTrue)
	}
}

// reportLatency reports the median and the 99th percentile of times.
func reportLatency(b *testing.B, what string, times []time.Duration) {
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, what+"-p50-ms")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, what+"-p99-ms")
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func BenchmarkApply(b *testing.B) {
	for _, c := range []struct {
		voters int
		sync   time.Duration
	}{{3, 0}, {5, 0}, {3, 5 * time.Millisecond}, {5, 5 * time.Millisecond}} {
		b.Run(fmt.Sprintf("voters=%d/sync+%s", c.voters, c.sync), func(b *testing.B) {
			f := newRealDiskFleet(b, c.voters, 7-c.voters, c.sync)
			var times []time.Duration
			number := 1
			cpu := cpuTime()
			for b.Loop() {
				number++
				start := time.Now()
				f.mustApply("v1", number)
				times = append(times, time.Since(start))
			}
			b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(len(times)*len(f.entries)), "cpu-µs/change/entry")
			reportLatency(b, "apply", times)
		})
	}
}

// BenchmarkSpread measures the time from the call of Apply until the file is in effect
// on every entry.
func BenchmarkSpread(b *testing.B) {
	for _, entries := range []int{7, 300} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			f := newRealDiskFleet(b, 3, entries-3, 0)
			var times []time.Duration
			number := 1
			for b.Loop() {
				number++
				start := time.Now()
				f.mustApply("v1", number)
				for _, e := range f.entries {
					for n, _ := f.nodes[e].Summary(); n < uint64(number); n, _ = f.nodes[e].Summary() {
						time.Sleep(200 * time.Microsecond)
					}
				}
				times = append(times, time.Since(start))
			}
			reportLatency(b, "in-force", times)
		})
	}
}

// BenchmarkRecover measures the time from the start of a voter until it serves,
// depending on the number of changes in its record.
func BenchmarkRecover(b *testing.B) {
	for _, changes := range []int{10, 500, 50000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			store, err := storage.Open(b.TempDir(), storage.OS{})
			qt.Assert(b, err, qt.IsNil)
			v := consensus.Value{Version: 1, Lineage: 1, Voters: []consensus.Voter{{Entry: "v1", Identity: "x"}}}
			for n := 1; n <= changes; n++ {
				body := []byte(fileOf(n, "a"))
				id := fmt.Sprintf("01JE%022d", n)
				v = v.Apply(&consensus.Command{Kind: consensus.Configure, Body: pack(body), Change: consensus.Change{ID: id, Number: uint64(n), Digest: consensus.DigestOf(body)}})
			}
			qt.Assert(b, saveRecord(store, consensus.Record{Self: v.Voters[0], Chosen: v}), qt.IsNil)
			for b.Loop() {
				net := &peertest.Network{}
				r := New(Options{Mesh: net.Join(job.Owner{Entry: "v1"}), Store: store, Voters: []job.EntryID{"v1"}})
				qt.Assert(b, r.Current().Number, qt.Equals, uint64(changes))
			}
			body, err := storage.OS{}.ReadFile(store.Dir() + "/register.record")
			qt.Assert(b, err, qt.IsNil)
			b.ReportMetric(float64(len(body)), "record-bytes")
		})
	}
}

// BenchmarkConfirm measures reads that a majority confirms, by eight readers at one voter, alone
// and while changes are accepted at another.
func BenchmarkConfirm(b *testing.B) {
	for _, changing := range []bool{false, true} {
		b.Run(fmt.Sprintf("changing=%t", changing), func(b *testing.B) {
			f := newRealDiskFleet(b, 3, 4, 0)
			done := make(chan struct{})
			var changes atomic.Int64
			var writer sync.WaitGroup
			if changing {
				writer.Go(func() {
					for number := 2; ; number++ {
						select {
						case <-done:
							return
						default:
						}
						if _, err := f.apply("v2", fmt.Sprint(number), fileOf(number, "a")); err == nil {
							changes.Add(1)
						}
					}
				})
			}
			b.SetParallelism(8)
			start := time.Now()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					_, _ = f.nodes["v1"].Confirm(b.Context())
				}
			})
			took := time.Since(start).Seconds()
			close(done)
			writer.Wait()
			b.ReportMetric(float64(b.N)/took, "reads/s")
			b.ReportMetric(float64(changes.Load())/took, "changes/s")
		})
	}
}
