//go:build reviewcase

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// startSpread is the time within which all machines start at the first start of the system.
	startSpread = 300 * time.Millisecond
	// killAfter is when the first core process is killed, restartDelay how long it is down.
	killAfter    = 200 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	// serveWithin is far more than ack_ms, recovery_s and catch_up_s together.
	serveWithin = 40 * time.Second
)

// playFirstStart starts the system for the first time. The core process that starts first is killed
// before the last one has started, and the platform starts it again with its disk as it is. It
// reports whether no request is served for 40 s.
func playFirstStart(f *fleet, trouble bool) bool {
	cores := f.of(true)
	note("platform: starts %s", cores[0].name)
	f.start(cores[0])
	for _, m := range f.of(false) {
		f.start(m)
	}
	time.Sleep(killAfter)
	if trouble {
		note("platform: kills the process of %s", cores[0].name)
		cores[0].signal(syscall.SIGKILL)
		<-cores[0].exited
	}
	time.Sleep(startSpread - killAfter)
	for _, m := range cores[1:] {
		note("platform: starts %s", m.name)
		f.start(m)
	}
	if trouble {
		time.Sleep(restartDelay - (startSpread - killAfter))
		note("platform: starts %s again, bootstrap is false", cores[0].name)
		f.start(cores[0])
	}
	all := time.Now()
	for n := range workersCount {
		newWorker(n, f)
	}
	acknowledged := make(chan bool, 1)
	go func() { acknowledged <- f.offerConfiguration(all.Add(serveWithin)) }()
	served, answers := 0, map[int]int{}
	for n := 0; time.Since(all) < serveWithin && served < 20; n++ {
		code := f.sendShortJob(n)
		answers[code]++
		if code == http.StatusOK {
			served++
		}
		time.Sleep(200 * time.Millisecond)
	}
	note("clients: %d requests served within %.1f s of the start of the last process; answers by status (0: none): %v", served, time.Since(all).Seconds(), answers)
	if served == 0 {
		note("operator: configuration acknowledged: %v", <-acknowledged)
		note("Fault: no request was served")
	}
	return served == 0
}

// offerConfiguration sends the first configuration until it is acknowledged or the time is over.
func (f *fleet) offerConfiguration(until time.Time) bool {
	client := &http.Client{Timeout: time.Second}
	answers := map[int]int{}
	for n := 0; time.Now().Before(until); n++ {
		at := f.controls()[n%len(f.controls())]
		code := 0
		if resp, err := client.Post("http://"+at+"/config/put", "application/json", strings.NewReader(firstConfiguration)); err == nil {
			resp.Body.Close()
			code = resp.StatusCode
		}
		if answers[code]++; answers[code] <= 2 || answers[code]%50 == 0 {
			note("operator: sends configuration 1 to %s and gets %d (0: no answer), %d times so far", at, code, answers[code])
		}
		if code == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// sendShortJob hands in a job of one short task and returns the status of its answer; 0 for none.
func (f *fleet) sendShortJob(n int) int {
	edges := f.of(false)
	m := edges[n%len(edges)]
	id := fmt.Sprintf("%016x", rand.Uint64())
	body := `{"spec":"work 60 cpu 16000","steps":[{"count":1,"cpu":16000,"mem_mb":64,"estimated_ms":60}],"best_effort":true}`
	req, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s%s", m.ip, frontPort, prefix, id), strings.NewReader(body))
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "1500")
	client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode
}
