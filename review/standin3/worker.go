//go:build review3

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker that follows PROTOCOL.md: a lease on its own steady clock, the
// highest fencing token seen, run numbers, and ends that are listed until they are acknowledged.
type worker struct {
	watch   *watch
	id      string
	service string
	zone    string
	address string
	control []string
	cpu     int
	memMB   int
	server  *http.Server

	mu      sync.Mutex
	started time.Time
	fence   uint64
	lease   int64
	running map[string]*run
	highest map[string]int
	ended   []end
	lastEnd int
	acked   int
	changed chan struct{}
	beatTo  string
	closed  bool
	seq     int
}

type run struct {
	number   int
	cpu      int
	memMB    int
	stopping bool
	timer    *time.Timer
}

type end struct {
	n    int
	task string
	run  int
	how  string
}

// call is the body of an order.
type call struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until_ms"`
	Fence uint64 `json:"fencing_token"`
	Acked int    `json:"ack_cursor"`
	Wait  int64  `json:"wait_ms"`
}

// The bounds of a small deployment.
const (
	maxHoldMS   = 1000
	stopTime    = 40 * time.Millisecond
	beatEvery   = 1500 * time.Millisecond
	endsAtOnce  = 500
	beatTimeout = time.Second
)

func startWorker(w *watch, id, service, zone, ip string, port int, control []string, cpu, memMB int) (*worker, error) {
	x := &worker{
		watch: w, id: id, service: service, zone: zone, control: control, cpu: cpu, memMB: memMB,
		started: time.Now(), running: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
		address: net.JoinHostPort(ip, strconv.Itoa(port)),
	}
	l, err := net.Listen("tcp", x.address)
	if err != nil {
		return nil, err
	}
	x.server = &http.Server{Handler: x, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = x.server.Serve(l) }()
	go x.beat()
	go x.expire()
	return x, nil
}

func (x *worker) clock() int64 { return time.Since(x.started).Milliseconds() + 1 }

func (x *worker) close() {
	x.mu.Lock()
	x.closed = true
	x.mu.Unlock()
	_ = x.server.Close()
}

func (x *worker) isClosed() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.closed
}

// expire ends everything when the lease has run out.
func (x *worker) expire() {
	for !x.isClosed() {
		time.Sleep(5 * time.Millisecond)
		x.mu.Lock()
		if x.clock() > x.lease {
			for task := range x.running {
				x.finish(task, "lapsed")
			}
		}
		x.mu.Unlock()
	}
}

// finish ends a run and lists its end; the caller holds the lock.
func (x *worker) finish(task, how string) {
	r := x.running[task]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(x.running, task)
	x.highest[task] = max(x.highest[task], r.number)
	x.lastEnd++
	x.ended = append(x.ended, end{x.lastEnd, task, r.number, how})
	close(x.changed)
	x.changed = make(chan struct{})
	x.watch.runEnded(x, task, r.number, how)
}

func (x *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		rw.WriteHeader(http.StatusOK)
		return
	}
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(rw, "unreadable", http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != x.id {
		x.answer(rw, http.StatusMisdirectedRequest, map[string]any{"clock_ms": x.clock()})
		return
	}
	status, body := x.carryOut(r.URL.Path, &c)
	if r.URL.Path == "/hold" && status == http.StatusOK {
		x.await(r, c.Wait)
		body = x.lists()
	}
	x.answer(rw, status, body)
}

func (x *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	raw, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(raw)
}

// await waits for an end that is not acknowledged, at most wait milliseconds.
func (x *worker) await(r *http.Request, wait int64) {
	timer := time.NewTimer(time.Duration(min(wait, 2000)) * time.Millisecond)
	defer timer.Stop()
	for {
		x.mu.Lock()
		has, changed := len(x.ended) > 0, x.changed
		x.mu.Unlock()
		if has || wait == 0 {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (x *worker) lists() map[string]any {
	x.mu.Lock()
	defer x.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for task, r := range x.running {
		running = append(running, []any{task, r.number, "", 50, r.cpu})
	}
	for i, e := range x.ended {
		if i == endsAtOnce {
			break
		}
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock_ms": x.clock(), "running": running, "ended": ended}
}

// carryOut does what an order says.
func (x *worker) carryOut(path string, c *call) (int, map[string]any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	body := map[string]any{"clock_ms": x.clock()}
	refuse := func(reason string) (int, map[string]any) {
		body["reason"] = reason
		return http.StatusConflict, body
	}
	if x.closed {
		return http.StatusServiceUnavailable, body
	}
	if c.Fence < x.fence {
		return refuse("fence")
	}
	x.fence = c.Fence
	switch path {
	case "/hold":
		x.extend(c.Until)
		x.acked = max(x.acked, c.Acked)
		for len(x.ended) > 0 && x.ended[0].n <= x.acked {
			x.ended = x.ended[1:]
		}
	case "/run-stop":
		r := x.running[c.Task]
		if r == nil || r.number != c.Run {
			x.highest[c.Task] = max(x.highest[c.Task], c.Run)
			break
		}
		if !r.stopping {
			r.stopping = true
			time.AfterFunc(stopTime, func() {
				x.mu.Lock()
				defer x.mu.Unlock()
				if x.running[c.Task] == r {
					x.finish(c.Task, "stopped")
				}
			})
		}
	case "/run-start":
		r := x.running[c.Task]
		switch {
		case r != nil && r.number == c.Run:
			return http.StatusOK, body
		case c.Until <= x.clock():
			return refuse("late")
		case c.Run <= x.highest[c.Task] || r != nil:
			x.extend(c.Until)
			return refuse("old")
		}
		s := parseSpec(c.Spec)
		cpu, mem := s.cpu, s.memMB
		for _, other := range x.running {
			cpu, mem = cpu+other.cpu, mem+other.memMB
		}
		x.extend(c.Until)
		if cpu > x.cpu || mem > x.memMB {
			return refuse("room")
		}
		fresh := &run{number: c.Run, cpu: s.cpu, memMB: s.memMB}
		x.running[c.Task] = fresh
		fresh.timer = time.AfterFunc(s.work, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if x.running[c.Task] == fresh && !fresh.stopping {
				x.finish(c.Task, "done")
			}
		})
		x.watch.runStarted(x, c.Task, c.Run, c.Spec)
	default:
		return http.StatusNotFound, body
	}
	return http.StatusOK, body
}

// extend extends the lease, by maxHoldMS from now at most. It never shortens it.
func (x *worker) extend(until int64) {
	x.lease = max(x.lease, min(until, x.clock()+maxHoldMS))
}

// beat sends heartbeats until the worker is closed.
func (x *worker) beat() {
	client := &http.Client{Timeout: beatTimeout}
	next := rand.IntN(len(x.control))
	for !x.isClosed() {
		x.mu.Lock()
		x.seq++
		to := x.beatTo
		raw, _ := json.Marshal(map[string]any{
			"service": x.service, "address": x.address, "zone": x.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_left_ms": 0, "capacity": map[string]int{"cpu": x.cpu, "mem_mb": x.memMB, "gpu": 0},
			"labels": []string{"a", "r1-" + x.zone}, "clock_ms": x.clock(), "seq": x.seq,
		})
		x.mu.Unlock()
		ok := false
		for try := 0; try <= len(x.control) && !ok && !x.isClosed(); try++ {
			if to == "" {
				to = x.control[next%len(x.control)]
				next++
			}
			ok = x.sendBeat(client, to, raw)
			to = ""
		}
		time.Sleep(beatEvery + time.Duration(rand.IntN(60)-30)*time.Millisecond)
	}
}

func (x *worker) sendBeat(client *http.Client, to string, raw []byte) bool {
	resp, err := client.Post(fmt.Sprintf("http://%s/instances/%s/heartbeat", to, x.id), "application/json", bytes.NewReader(raw))
	if err != nil {
		x.setBeatTo("")
		return false
	}
	defer resp.Body.Close()
	var answer struct {
		Address string `json:"heartbeat_addr"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	if resp.StatusCode/100 != 2 {
		x.setBeatTo("")
		return false
	}
	if answer.Address != "" {
		x.setBeatTo(answer.Address)
	}
	return true
}

func (x *worker) setBeatTo(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.beatTo = address
}

// heartbeatAddress returns the address that the last answer to a heartbeat has named.
func (x *worker) heartbeatAddress() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.beatTo
}

// spec is what a stand-in of a task does: "w=MILLISECONDS c=CPU m=MEMORY".
type spec struct {
	work       time.Duration
	cpu, memMB int
}

func parseSpec(text string) spec {
	var s spec
	for _, field := range strings.Fields(text) {
		name, value, _ := strings.Cut(field, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "w":
			s.work = time.Duration(n) * time.Millisecond
		case "c":
			s.cpu = n
		case "m":
			s.memMB = n
		}
	}
	return s
}
