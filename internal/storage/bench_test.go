package storage_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/storage"
	"github.com/vanillagrade/vanillagrade/internal/storage/storagetest"
)

// BenchmarkAppend measures the cost of `keep: synced` for a submission of 2 KB by the
// number of concurrent callers, on the disk of the machine and on an in-memory file
// system whose sync takes 5 ms. The baseline is a map in memory.
func BenchmarkAppend(b *testing.B) {
	body := make([]byte, 2048)
	for _, callers := range []int{1, 16, 256} {
		synced := func(b *testing.B, dir string, fs storage.FS) {
			l, err := storage.OpenSubmissionLog(dir, fs)
			qt.Assert(b, err, qt.IsNil)
			measure(b, callers, func(id string) {
				qt.Check(b, l.Append(context.Background(), accepted(id, string(body))), qt.IsNil)
				qt.Check(b, l.Append(context.Background(), forgotten(id)), qt.IsNil)
			})
			s := l.Stats()
			b.ReportMetric(float64(s.Records)/float64(s.Batches), "records/sync")
			qt.Assert(b, l.Close(), qt.IsNil)
		}
		b.Run(fmt.Sprintf("synced/callers=%d", callers), func(b *testing.B) {
			synced(b, b.TempDir(), storage.OS{})
		})
		b.Run(fmt.Sprintf("synced-5ms/callers=%d", callers), func(b *testing.B) {
			fs := &storagetest.FS{}
			fs.Slow(5 * time.Millisecond)
			synced(b, dir, fs)
		})
		b.Run(fmt.Sprintf("memory/callers=%d", callers), func(b *testing.B) {
			var mu sync.Mutex
			kept := map[string]storage.Record{}
			measure(b, callers, func(id string) {
				mu.Lock()
				kept[id] = accepted(id, string(body))
				mu.Unlock()
				mu.Lock()
				delete(kept, id)
				mu.Unlock()
			})
		})
	}
}

// measure runs b.N operations of two records each, by callers that start the next one
// at once, and reports the time of one record.
func measure(b *testing.B, callers int, operation func(id string)) {
	var next atomic.Int64
	times := make([][]time.Duration, callers)
	var wg sync.WaitGroup
	b.ResetTimer()
	for c := range callers {
		wg.Go(func() {
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				start := time.Now()
				operation(fmt.Sprint(i))
				times[c] = append(times[c], time.Since(start)/2)
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	all := slices.Concat(times...)
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Nanoseconds())/1e6, "p50-ms")
	b.ReportMetric(float64(all[len(all)*99/100].Nanoseconds())/1e6, "p99-ms")
	b.ReportMetric(2*float64(b.N)/b.Elapsed().Seconds(), "records/s")
}
