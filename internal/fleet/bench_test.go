package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

const benchFile = `number: 1
services:
  - {name: s, pool: p, urgency: interactive, repeatable: false, deadline: 60s}
limits: {max_queued_tasks: 200000}
`

func benchFleet(b *testing.B, zones, entries, targets int) *Fleet {
	b.Helper()
	file, err := config.Parse("bench", []byte(benchFile))
	if err != nil {
		b.Fatal(err)
	}
	var names []job.Zone
	for i := range zones {
		names = append(names, job.Zone(fmt.Sprintf("z%d", i+1)))
	}
	f, err := Start(Options{Zones: names, EntriesPerZone: entries, TargetsPerZone: targets, Pool: "p", Config: config.Fixed{File: file}})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = f.Stop() })
	ctx, cancel := context.WithTimeout(b.Context(), 30*time.Second)
	defer cancel()
	if err := f.WaitReady(ctx, zones*targets*config.DefaultSlots); err != nil {
		b.Fatal(err)
	}
	return f
}

func post(client *http.Client, url, body string) error {
	response, err := client.Post(url, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%d: %s", response.StatusCode, answer)
	}
	return err
}

// BenchmarkAddedTime sends 50 ms tasks one at a time, alternately to a target
// directly and through an entry, and reports the latency that the entry adds.
func BenchmarkAddedTime(b *testing.B) {
	f := benchFleet(b, 1, 1, 4)
	client := &http.Client{}
	direct := hdrhistogram.New(1, 10_000_000, 3)
	through := hdrhistogram.New(1, 10_000_000, 3)
	timed := func(h *hdrhistogram.Histogram, url, body string) {
		began := time.Now()
		if err := post(client, url, body); err != nil {
			b.Fatal(err)
		}
		_ = h.RecordValue(time.Since(began).Microseconds())
	}
	targets := f.TargetAddresses()
	entry := "http://" + f.CallerAddresses("")[0] + "/v1/jobs"
	i := 0
	for b.Loop() {
		i++
		timed(direct, fmt.Sprintf("http://%s/v1/tasks/direct-%d/0", targets[i%len(targets)], i), `{"sleep_ms":50}`)
		timed(through, entry, `{"service":"s","tasks":[{"payload":{"sleep_ms":50}}]}`)
	}
	b.ReportMetric(float64(direct.ValueAtQuantile(50)), "direct-p50-µs")
	b.ReportMetric(float64(direct.ValueAtQuantile(99)), "direct-p99-µs")
	b.ReportMetric(float64(through.ValueAtQuantile(50)-direct.ValueAtQuantile(50)), "added-p50-µs")
	b.ReportMetric(float64(through.ValueAtQuantile(99)-direct.ValueAtQuantile(99)), "added-p99-µs")
}

// BenchmarkStarts sends jobs of tasks without work from parallel callers and
// reports the starts per second. Callers and targets share the processors with
// the entry, so the result is a lower bound for an entry alone.
func BenchmarkStarts(b *testing.B) {
	for _, size := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("tasks=%d", size), func(b *testing.B) {
			f := benchFleet(b, 1, 1, 8)
			body := `{"service":"s","tasks":[` + string(bytes.Repeat([]byte(`{"payload":{}},`), size-1)) + `{"payload":{}}]}`
			url := "http://" + f.CallerAddresses("")[0] + "/v1/jobs"
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
			const callers = 16
			b.ResetTimer()
			began := time.Now()
			var wg sync.WaitGroup
			for c := range callers {
				wg.Go(func() {
					for i := c; i < b.N; i += callers {
						if err := post(client, url, body); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N*size)/time.Since(began).Seconds(), "starts/s")
		})
	}
}
