//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	service = "huvo11a"
	// hopelessTasks and hopelessSpec are the size of a job that can never be done: its body is
	// 4.1 KB, below max_body_bytes, and its spec has the 4,000 bytes that are allowed.
	hopelessTasks = 100000
	hopelessSpec  = 4000
	// hopelessJobs are sent a second apart. Each is sent again 1.3 s after a broken channel, to the
	// next daemon, maxSends times in all.
	hopelessJobs = 3
	maxSends     = 9
	resendDelay  = 1300 * time.Millisecond
	timeLimit    = 1500 * time.Millisecond
	// endsOfAFault and machinesOfAFault are the figures of the rule.
	endsOfAFault     = 3
	machinesOfAFault = 2
)

// startFleet starts a small deployment with workers and waits until each edge has served a job.
func startFleet(rec *recorder, dir string, edges []int, workers int) (*fleet, *runs, func(), bool) {
	f := newFleet(rec, dir, edges)
	f.start()
	r := newRuns(rec)
	var all []*worker
	stop := func() {
		f.close()
		for _, w := range all {
			w.close()
		}
	}
	if !putConfiguration(f, configuration(1, service), 20*time.Second) {
		return f, r, stop, false
	}
	for i := range workers {
		all = append(all, newWorker(r, i, fmt.Sprintf("127.0.0.%d", 2+i), zones[i%len(zones)], service, f.controls()))
	}
	return f, r, stop, awaitService(f, 25*time.Second)
}

// thumb is the body of an ordinary job.
func thumb() []byte {
	return jobOfSteps("60ms", map[string]any{"count": 4, "cpu": 14000, "mem_mb": 64, "estimated_ms": 60})
}

// playHopeless sends jobs that can never be done beside ordinary ones.
func playHopeless(rec *recorder, dir string, trouble bool) int {
	f, _, stop, ok := startFleet(rec, dir, []int{3, 2, 2}, 9)
	defer stop()
	f.memoryMB.Store(284)
	if !ok {
		return exitCannotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	var served, broken atomic.Int64
	for k := range 5 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				to := f.edges()[(k+n)%len(f.edges())]
				a := submit(context.Background(), f, to, fmt.Sprintf("%08x%08x", 0xbb000000+k, n), thumb(), timeLimit)
				switch {
				case a.err != nil && !strings.Contains(a.err.Error(), "refused"):
					broken.Add(1)
				case a.err == nil && a.code == http.StatusOK:
					served.Add(1)
				}
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	for k := range hopelessJobs {
		if !trouble {
			break
		}
		wg.Go(func() { sendHopeless(f, k) })
		time.Sleep(time.Second)
	}
	wg.Wait()
	often := 0
	for _, m := range f.machines {
		m.mu.Lock()
		ends, peak := m.ends, m.peakMB
		m.mu.Unlock()
		rec.event("machine", map[string]any{"name": m.name, "ended_by_itself": ends, "peak_mb": peak})
		if ends >= endsOfAFault {
			often++
		}
	}
	rec.event("result", map[string]any{"machines_with_three_ends": often, "ordinary_jobs_served": served.Load(), "ordinary_jobs_broken_off": broken.Load()})
	if often >= machinesOfAFault {
		return exitBroken
	}
	return exitHeld
}

// sendHopeless sends one hopeless job, and again after a broken channel, until it has an answer.
func sendHopeless(f *fleet, k int) {
	body := jobOfSteps(strings.Repeat("x", hopelessSpec), map[string]any{"count": hopelessTasks, "cpu": 14000, "mem_mb": 64, "estimated_ms": 60})
	id := fmt.Sprintf("%016x", 0xdead0000+k)
	for n := range maxSends {
		a := submit(context.Background(), f, f.edges()[(k+n)%len(f.edges())], id, body, timeLimit)
		if a.err == nil && a.code != http.StatusBadGateway && a.code != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(resendDelay)
	}
}
