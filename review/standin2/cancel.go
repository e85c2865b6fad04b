//go:build reviewcase

package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The figures of the pages that the case uses.
const (
	resendAfter  = 1300 * time.Millisecond // resend_ms
	cancelBound  = 4000 * time.Millisecond // cancel_ms
	stopBound    = 50 * time.Millisecond   // stop_ms
	waitMillis   = 6000                    // X-Deadline-Ms
	lateResend   = 4500 * time.Millisecond // "seconds after the 2xx response"
	maxSendings  = 4
	jobCount     = 16
	workMillis   = 3500
	jobTasks     = 2
	workersCount = 12
)

// tolerance covers the time that a record may lag behind what it tells.
const tolerance = 200 * time.Millisecond

// job is one job of a client, with what its client has seen.
type job struct {
	id string
	// work is how long each of its tasks works, in milliseconds.
	work, tasks int
	// resendAfter is how long after its answer a re-sent request arrives.
	resendAfter time.Duration

	mu          sync.Mutex
	cancelledAt time.Time
	complete    bool
	answers     []string
}

// submit hands a job in. After no response, a broken channel, a 502 or a 504 it sends the job again
// resend_ms later, to another daemon, as the pages say. The request of every other cancelled job
// arrives seconds later.
func (j *job) submit(f *fleet, first int) {
	edges := f.of(false)
	client := &http.Client{Timeout: (waitMillis + 500) * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	spec := fmt.Sprintf("work %d cpu %d", j.work, 16000)
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":16000,"mem_mb":64,"estimated_ms":%d}],"best_effort":true}`, spec, j.tasks, j.work)
	for n := range maxSendings {
		m := edges[(first+n)%len(edges)]
		note("client: sends job %s to %s, sending %d", j.id, m.name, n+1)
		req, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s%s", m.ip, frontPort, prefix, j.id), strings.NewReader(body))
		req.Host = host
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("X-Deadline-Ms", fmt.Sprint(waitMillis))
		resp, err := client.Do(req)
		code, text := 0, ""
		if err == nil {
			raw, readErr := io.ReadAll(resp.Body)
			resp.Body.Close()
			code, text, err = resp.StatusCode, string(bytes.TrimSpace(raw)), readErr
		}
		if err != nil {
			code, text = 0, err.Error()
		}
		note("client: job %s, sending %d, gets %d %s", j.id, n+1, code, text)
		j.mu.Lock()
		j.answers = append(j.answers, fmt.Sprint(code))
		j.complete = j.complete || code == http.StatusOK
		j.mu.Unlock()
		if code != 0 && code != http.StatusBadGateway && code != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(j.resendAfter)
	}
}

// cancel cancels a job at a daemon other than the first one, until it is answered with 2xx or 410.
func (j *job) cancel(f *fleet, first int) {
	edges := f.of(false)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := range 4 {
		m := edges[(first+2+n)%len(edges)]
		note("canceller: cancels job %s at %s", j.id, m.name)
		req, _ := http.NewRequest(http.MethodDelete, fmt.Sprintf("http://%s:%d%s%s", m.ip, frontPort, prefix, j.id), nil)
		req.Host = host
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		resp.Body.Close()
		note("canceller: job %s gets %d", j.id, resp.StatusCode)
		if resp.StatusCode/100 == 2 {
			j.mu.Lock()
			j.cancelledAt = time.Now()
			j.mu.Unlock()
			return
		}
		if resp.StatusCode == http.StatusGone {
			return
		}
	}
}

// playCancel hands in jobs that nobody has to keep. While they run, a quarter of them are cancelled
// by another client of the same customer. It reports whether a task of a cancelled job runs, or
// starts, later than the pages allow.
func playCancel(f *fleet, trouble bool) bool {
	f.startAll()
	for n := range workersCount {
		newWorker(n, f)
	}
	f.awaitReady()
	// The rules hold for machines that are in touch: contact_ms, and as long again for the core.
	time.Sleep(9 * time.Second)
	var jobs []*job
	var clients sync.WaitGroup
	for n := range jobCount {
		j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), work: workMillis, tasks: jobTasks, resendAfter: resendAfter}
		if n%8 == 4 {
			j.resendAfter = lateResend
		}
		jobs = append(jobs, j)
		clients.Go(func() { j.submit(f, n) })
		if trouble && n%4 == 0 {
			clients.Go(func() {
				time.Sleep(600 * time.Millisecond)
				j.cancel(f, n)
			})
		}
		time.Sleep(500 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(time.Second)
	return judgeCancel(jobs)
}

func judgeCancel(jobs []*job) (broken bool) {
	runsMu.Lock()
	defer runsMu.Unlock()
	acknowledged, complete := 0, 0
	for _, j := range jobs {
		j.mu.Lock()
		at := j.cancelledAt
		if j.complete {
			complete++
		}
		j.mu.Unlock()
		if at.IsZero() {
			continue
		}
		acknowledged++
		for _, r := range runs {
			if !strings.HasPrefix(r.task, j.id+".") {
				continue
			}
			until := r.ended
			if until.IsZero() {
				until = time.Now()
			}
			if r.began.Sub(at) > cancelBound+tolerance || until.Sub(at) > cancelBound+stopBound+tolerance {
				broken = true
				note("UNASKED: job %s was cancelled, acknowledged at %.3f; run %d of %s began %.3f s and ended %.3f s after that",
					j.id, at.Sub(begun).Seconds(), r.number, r.task, r.began.Sub(at).Seconds(), until.Sub(at).Seconds())
			}
		}
	}
	note("%d jobs, %d complete, %d cancels acknowledged with 2xx", len(jobs), complete, acknowledged)
	if len(jobs) == 0 || complete == 0 {
		unable("no job was served")
	}
	return broken
}
