//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runs records the runs of all workers and finds two of one task at the same time.
type runs struct {
	rec *recorder

	mu      sync.Mutex
	running map[string][]string // the workers that run a task now
	started map[string]int      // starts of each job
	done    map[string]bool
	doubled []string
}

func newRuns(rec *recorder) *runs {
	return &runs{rec: rec, running: map[string][]string{}, started: map[string]int{}, done: map[string]bool{}}
}

func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

func (r *runs) begin(task, worker string, number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started[jobOf(task)]++
	r.running[task] = append(r.running[task], worker)
	r.rec.event("run", map[string]any{"task": task, "run": number, "worker": worker})
	if len(r.running[task]) > 1 {
		r.doubled = append(r.doubled, task)
		r.rec.event("TWICE", map[string]any{"task": task, "workers": r.running[task]})
	}
}

func (r *runs) end(task, worker, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var left []string
	for _, w := range r.running[task] {
		if w != worker {
			left = append(left, w)
		}
	}
	r.running[task] = left
	if how == "done" {
		r.done[task] = true
	}
	r.rec.event("end", map[string]any{"task": task, "worker": worker, "how": how})
}

func (r *runs) startsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started[id]
}

const (
	maxHold     = 1000
	workerCPU   = 32000
	workerMem   = 65536
	heartbeatMS = 1500
)

// worker is a target as PROTOCOL.md describes it.
type worker struct {
	runs     *runs
	rec      *recorder
	id, zone string
	service  string
	address  string
	controls []string
	server   *http.Server
	born     time.Time

	mu         sync.Mutex
	state      string
	epoch      uint64
	leaseEnd   int64
	running    map[string]*taskRun
	highestRun map[string]int
	ended      []endedRun
	lastEnd    int
	changed    chan struct{}
	seq        int
	nextBeat   string
	closed     chan struct{}
}

type taskRun struct {
	number, cpu int
	timer       *time.Timer
}

type endedRun struct {
	n    int
	task string
	run  int
	how  string
}

// workOf returns how long a task takes: the spec of the stand-in's jobs begins with it.
func workOf(spec string) time.Duration {
	d, err := time.ParseDuration(strings.SplitN(spec, " ", 2)[0])
	if err != nil {
		return 60 * time.Millisecond
	}
	return d
}

func newWorker(r *runs, n int, ip, zone, service string, controls []string) *worker {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	w := &worker{
		runs: r, rec: r.rec, id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), zone: zone, service: service, address: l.Addr().String(),
		controls: controls, born: time.Now(), state: "ready", running: map[string]*taskRun{}, highestRun: map[string]int{},
		changed: make(chan struct{}), closed: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.heartbeats(n)
	go w.lease()
	return w
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

func (w *worker) close() {
	close(w.closed)
	_ = w.server.Close()
}

func (w *worker) lease() {
	for {
		select {
		case <-w.closed:
			return
		case <-time.After(5 * time.Millisecond):
		}
		w.mu.Lock()
		if w.clock() > w.leaseEnd {
			for task := range w.running {
				w.finish(task, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// finish ends a run; the caller holds the lock.
func (w *worker) finish(task, how string) {
	r := w.running[task]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(w.running, task)
	w.runs.end(task, w.id, how)
	w.lastEnd++
	w.ended = append(w.ended, endedRun{w.lastEnd, task, r.number, how})
	close(w.changed)
	w.changed = make(chan struct{})
}

type order struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Spec    string `json:"spec"`
	Until   int64  `json:"until_ms"`
	Fencing uint64 `json:"fencing_token"`
	Acked   int    `json:"ack_cursor"`
	Wait    int64  `json:"wait_ms"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Method == http.MethodGet {
		rw.WriteHeader(http.StatusOK)
		return
	}
	var o order
	if err := json.Unmarshal(raw, &o); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	if o.Fencing < w.epoch {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.epoch = o.Fencing
	switch r.URL.Path {
	case "/run-start":
		if reason := w.start(&o); reason != "" {
			w.answer(rw, http.StatusConflict, map[string]any{"reason": reason})
			return
		}
		w.answer(rw, http.StatusOK, map[string]any{})
	case "/run-stop":
		w.highestRun[o.Task] = max(w.highestRun[o.Task], o.Run)
		if x := w.running[o.Task]; x != nil && x.number == o.Run {
			w.finish(o.Task, "stopped")
		}
		w.answer(rw, http.StatusOK, map[string]any{})
	case "/hold":
		w.hold(rw, r, &o)
	default:
		w.mu.Unlock()
		http.NotFound(rw, r)
	}
}

// answer writes a response; it is called with the lock held and releases it.
func (w *worker) answer(rw http.ResponseWriter, code int, body map[string]any) {
	body["clock_ms"] = w.clock()
	w.mu.Unlock()
	raw, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	rw.WriteHeader(code)
	_, _ = rw.Write(raw)
}

func (w *worker) extend(until int64) {
	w.leaseEnd = max(w.leaseEnd, min(until, w.clock()+maxHold))
}

func (w *worker) start(o *order) (reason string) {
	if o.Until <= w.clock() {
		return "late"
	}
	if x := w.running[o.Task]; x != nil && x.number == o.Run {
		w.extend(o.Until)
		return ""
	}
	w.extend(o.Until)
	if o.Run <= w.highestRun[o.Task] {
		return "old"
	}
	const cpu = 14000
	if (len(w.running)+1)*cpu > workerCPU {
		return "room"
	}
	w.highestRun[o.Task] = o.Run
	w.runs.begin(o.Task, w.id, o.Run)
	var x *taskRun
	x = &taskRun{number: o.Run, cpu: cpu, timer: time.AfterFunc(workOf(o.Spec), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[o.Task] == x {
			w.finish(o.Task, "done")
		}
	})}
	w.running[o.Task] = x
	return ""
}

// hold renews the lease and lists the runs; it is called with the lock held and releases it.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o *order) {
	if o.Until > 0 {
		w.extend(o.Until)
	}
	var open []endedRun
	for _, e := range w.ended {
		if e.n > o.Acked {
			open = append(open, e)
		}
	}
	w.ended = open
	if len(open) == 0 && o.Wait > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	running, ended := []any{}, []any{}
	for task, x := range w.running {
		running = append(running, []any{task, x.number, "", 50, x.cpu})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	w.answer(rw, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

func (w *worker) heartbeats(n int) {
	client := &http.Client{Timeout: time.Second}
	for k := n; ; k++ {
		w.mu.Lock()
		to := w.nextBeat
		w.seq++
		beat := map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": w.state, "cold_left_ms": 0,
			"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMem, "gpu": 0}, "labels": []string{"a", "r1-1"}, "clock_ms": w.clock(), "seq": w.seq,
		}
		w.mu.Unlock()
		if to == "" {
			to = w.controls[k%len(w.controls)]
		}
		next, ok := postBeat(client, to, w.id, beat)
		w.mu.Lock()
		w.nextBeat = ""
		if ok {
			w.nextBeat = next
		}
		w.mu.Unlock()
		pause := heartbeatMS * time.Millisecond
		if !ok {
			pause = 100 * time.Millisecond
		}
		select {
		case <-w.closed:
			return
		case <-time.After(pause):
		}
	}
}

func postBeat(client *http.Client, to, id string, beat map[string]any) (next string, ok bool) {
	raw, _ := json.Marshal(beat)
	resp, err := client.Post("http://"+to+"/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(raw))
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	var answer struct {
		Address string `json:"heartbeat_addr"`
	}
	body, _ := io.ReadAll(resp.Body)
	_ = json.Unmarshal(body, &answer)
	return answer.Address, resp.StatusCode/100 == 2
}
