//go:build reviewcase

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	longWork, shortWork, queuedWork = 3500, 800, 3000
	queuedJobs, moreShort           = 8, 2
	// shortLead is how long before the kill the short tasks begin, queuedLead how long before it the
	// jobs are sent that wait for them.
	shortLead, queuedLead = 300 * time.Millisecond, 150 * time.Millisecond
	// edgeDown is how long the killed process is down.
	edgeDown = 500 * time.Millisecond
	// cutAfter is how long after the kill workers are cut off, cutFor how long they are, cutWorkers
	// how many of the twelve.
	cutAfter, cutFor, cutWorkers = 560 * time.Millisecond, 2 * time.Second, 2
)

// playLease fills all workers, each with a long task and a short one, and sends jobs to an edge
// machine that holds no workers. They wait at the machines that do. The process of that edge
// machine is killed; its clients send their jobs again to others, resend_ms later. Half a second
// after the kill the short tasks end and tasks of the killed machine's jobs start in their places;
// then two workers are cut off, and run on. It reports whether a task runs twice at the same time.
func playLease(f *fleet, trouble bool) bool {
	f.startAll()
	var workers []*worker
	for n := range workersCount {
		workers = append(workers, newWorker(n, f))
	}
	f.awaitReady()
	time.Sleep(9 * time.Second)
	edges := f.of(false)
	free := f.withoutWorkers(workers)
	if len(free) < 2 {
		unable("fewer than two edge machines are without workers")
	}
	killed, other := free[0], free[1]
	var clients sync.WaitGroup
	send := func(to, count, work int) (sent []*job) {
		for range count {
			j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), work: work, tasks: 1, resendAfter: resendAfter}
			sent = append(sent, j)
			clients.Go(func() { j.submit(f, to) })
		}
		return sent
	}
	send(other, workersCount, longWork)
	time.Sleep(shortLead)
	send(other, workersCount+moreShort, shortWork)
	time.Sleep(shortLead - queuedLead)
	jobs := send(killed, queuedJobs, queuedWork)
	time.Sleep(queuedLead)
	if trouble {
		at := f.killFor(edges[killed], edgeDown)
		time.Sleep(time.Until(at.Add(cutAfter)))
		cut := 0
		for _, w := range workers {
			if cut < cutWorkers && w.startedSince(at, jobs) {
				cut++
				w.setCut(true)
				time.AfterFunc(cutFor, func() { w.setCut(false) })
			}
		}
		note("network: %d of %d workers are cut off", cut, len(workers))
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	return judgeTwice()
}

// withoutWorkers returns the places of the edge machines to which no worker sends its pings.
func (f *fleet) withoutWorkers(workers []*worker) (free []int) {
	holds := map[string]bool{}
	for _, w := range workers {
		at, _, _ := net.SplitHostPort(w.beatAt)
		holds[at] = true
	}
	for i, m := range f.of(false) {
		if !holds[m.ip] {
			free = append(free, i)
		}
	}
	return free
}

// killFor kills the process of a machine and has it started again after a while. It returns when
// it was killed.
func (f *fleet) killFor(m *machine, down time.Duration) time.Time {
	note("platform: kills the process of %s", m.name)
	m.signal(syscall.SIGKILL)
	at := time.Now()
	<-m.exited
	time.AfterFunc(down, func() {
		note("platform: starts %s again", m.name)
		f.start(m)
	})
	return at
}

// startedSince reports whether a task of one of the jobs runs on the worker that began after the
// given time, and none that began before.
func (w *worker) startedSince(since time.Time, jobs []*job) bool {
	runsMu.Lock()
	defer runsMu.Unlock()
	late, early := false, false
	for _, r := range runs {
		if r.worker != w.id || !r.ended.IsZero() {
			continue
		}
		for _, j := range jobs {
			if strings.HasPrefix(r.task, j.id+".") {
				late, early = late || r.began.After(since), early || r.began.Before(since)
			}
		}
	}
	return late && !early
}

// judgeTwice reports whether two runs of one task were alive at the same time.
func judgeTwice() (broken bool) {
	runsMu.Lock()
	defer runsMu.Unlock()
	at := func(t time.Time) float64 { return t.Sub(begun).Seconds() }
	for i, later := range runs {
		for _, r := range runs[:i] {
			if r.task != later.task || !r.ended.IsZero() && !later.began.Before(r.ended) {
				continue
			}
			broken = true
			note("TWICE: %s ran on %s from %.3f to %.3f, and on %s from %.3f", r.task, r.worker, at(r.began), at(r.ended), later.worker, at(later.began))
		}
	}
	return broken
}
