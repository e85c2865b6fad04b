package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// traffic sums the messages and bytes that all entries sent to each other, by kind
// of message.
func (f *Fleet) traffic(b *testing.B) (messages, bytes map[string]float64) {
	b.Helper()
	messages, bytes = map[string]float64{}, map[string]float64{}
	for _, address := range f.OperatorAddresses() {
		response, err := http.Get("http://" + address + "/debug/vars")
		if err != nil {
			b.Fatal(err)
		}
		var vars map[string]json.RawMessage
		err = json.NewDecoder(response.Body).Decode(&vars)
		response.Body.Close()
		if err != nil {
			b.Fatal(err)
		}
		for name, sum := range map[string]map[string]float64{
			"messages_useful": messages, "messages_wasted": messages, "bytes_useful": bytes, "bytes_wasted": bytes,
		} {
			var counts map[string]float64
			if err := json.Unmarshal(vars[name], &counts); err != nil {
				b.Fatal(err)
			}
			for kind, n := range counts {
				sum[kind] += n
			}
		}
	}
	return messages, bytes
}

// BenchmarkMessagesPerJob sends jobs with a caller's id, all first attempts, one by
// one to the three entries of a zone in rotation. It reports the messages between
// entries per job, without heartbeats and keepalives.
func BenchmarkMessagesPerJob(b *testing.B) {
	for _, tasks := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			f := benchFleet(b, 1, 3, 30)
			entries := f.CallerAddresses("")
			client := &http.Client{}
			before, beforeBytes := f.traffic(b)
			jobs := 0
			for b.Loop() {
				jobs++
				url := "http://" + entries[jobs%len(entries)] + "/v1/jobs"
				if err := post(client, url, jobBody(fmt.Sprintf("m-%d-%d", tasks, jobs), "s", tasks, 1)); err != nil {
					b.Fatal(err)
				}
			}
			after, afterBytes := f.traffic(b)
			for kind, n := range after {
				if sent := n - before[kind]; sent > 0 && kind != "heartbeat" && kind != "keepalive" {
					b.ReportMetric(sent/float64(jobs), kind+"/job")
					b.ReportMetric((afterBytes[kind]-beforeBytes[kind])/float64(jobs), kind+"-B/job")
				}
			}
		})
	}
}

// BenchmarkRestTraffic reports what one entry sends per second while idle, in the
// most expensive layouts of six or seven entries.
func BenchmarkRestTraffic(b *testing.B) {
	const span = 5 * time.Second
	for _, layout := range [][2]int{{1, 7}, {3, 2}, {7, 1}} {
		b.Run(fmt.Sprintf("%dx%d", layout[0], layout[1]), func(b *testing.B) {
			f := benchFleet(b, layout[0], layout[1], 8)
			entries := float64(layout[0] * layout[1])
			before, beforeBytes := f.traffic(b)
			for b.Loop() {
				time.Sleep(span)
			}
			after, afterBytes := f.traffic(b)
			for kind, n := range after {
				each := entries * span.Seconds() * float64(b.N)
				b.ReportMetric((n-before[kind])/each, kind+"/s")
				b.ReportMetric((afterBytes[kind]-beforeBytes[kind])/each, kind+"-B/s")
			}
		})
	}
}
