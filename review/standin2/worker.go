//go:build reviewcase

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker. It follows the pages: a lease for all that runs, the highest
// fencing token seen, run numbers, and ends that are listed until they are acknowledged. It guards
// its capacity, and it counts what fits by cpu alone.
type worker struct {
	id, zone, address string
	cpu               int
	controls          []string
	born              time.Time

	mu       sync.Mutex
	token    uint64
	leaseEnd int64
	running  map[string]*run
	highest  map[string]int
	ended    []end
	lastEnd  int
	changed  chan struct{}
	beatAt   string
	beats    int
	// cut is set while a partition cuts the worker off; what runs there goes on.
	cut bool
}

type run struct {
	number, cpu int
	timer       *time.Timer
}

type end struct {
	number int
	task   string
	run    int
	how    string
}

const workerCPU = 32000

func newWorker(n int, f *fleet) *worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("%v", err)
	}
	w := &worker{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: zones[n%len(zones)], address: l.Addr().String(), cpu: workerCPU,
		controls: f.controls(), born: time.Now(), running: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	go func() { _ = http.Serve(l, w) }()
	go w.beat()
	go w.lapse()
	return w
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// lapse ends everything once the lease is over.
func (w *worker) lapse() {
	for {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		if w.clock() > w.leaseEnd {
			for task := range w.running {
				w.finish(task, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// finish ends a run and lists its end. The caller holds the lock.
func (w *worker) finish(task, how string) {
	r := w.running[task]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(w.running, task)
	w.lastEnd++
	w.ended = append(w.ended, end{w.lastEnd, task, r.number, how})
	close(w.changed)
	w.changed = make(chan struct{})
	runEnded(w.id, task, r.number, how)
}

type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until_ms"`
	Token uint64 `json:"fencing_token"`
	Ack   int    `json:"ack_cursor"`
	Wait  int64  `json:"wait_ms"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("X-Expected-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dropped(r) {
		return
	}
	if o.Token < w.token {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.token = o.Token
	switch r.URL.Path {
	case "/run-start":
		if reason := w.begin(&o); reason != "" {
			w.answer(rw, http.StatusConflict, map[string]any{"reason": reason})
			return
		}
		w.answer(rw, http.StatusOK, map[string]any{})
	case "/run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if r := w.running[o.Task]; r != nil && r.number <= o.Run {
			w.finish(o.Task, "stopped")
		}
		w.answer(rw, http.StatusOK, map[string]any{})
	case "/hold":
		w.hold(rw, r, &o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) answer(rw http.ResponseWriter, code int, body map[string]any) {
	body["clock_ms"] = w.clock()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(code)
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *worker) extend(until int64) {
	w.leaseEnd = max(w.leaseEnd, min(until, w.clock()+maxHoldMillis))
}

// begin starts a run. The first word of the spec is how long the task works, the second one its cpu.
func (w *worker) begin(o *order) (reason string) {
	var millis, cpu int
	if _, err := fmt.Sscanf(o.Spec, "work %d cpu %d", &millis, &cpu); err != nil {
		return "late"
	}
	used := 0
	for _, r := range w.running {
		used += r.cpu
	}
	switch {
	case o.Until <= w.clock():
		return "late"
	case w.running[o.Task] != nil && w.running[o.Task].number == o.Run:
		w.extend(o.Until)
		return ""
	case o.Run <= w.highest[o.Task]:
		w.extend(o.Until)
		return "old"
	case w.running[o.Task] != nil || used+cpu > w.cpu:
		w.extend(o.Until)
		return "room"
	}
	w.extend(o.Until)
	w.highest[o.Task] = o.Run
	r := &run{number: o.Run, cpu: cpu}
	r.timer = time.AfterFunc(time.Duration(millis)*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[o.Task] == r {
			w.finish(o.Task, "done")
		}
	})
	w.running[o.Task] = r
	runBegan(w.id, o.Task, o.Run)
	return ""
}

// hold extends the lease and lists what runs and what has ended. It releases the lock while it waits.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o *order) {
	if o.Until > 0 {
		w.extend(o.Until)
	}
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.number > o.Ack {
			kept = append(kept, e)
		}
	}
	w.ended = kept
	if len(w.ended) == 0 && o.Wait > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
		if w.dropped(r) {
			return
		}
	}
	running, ended := []any{}, []any{}
	for task, x := range w.running {
		running = append(running, []any{task, x.number, "", 50, x.cpu})
	}
	sort.Slice(w.ended, func(i, j int) bool { return w.ended[i].number < w.ended[j].number })
	for _, e := range w.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	w.answer(rw, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// beat sends the worker's pings.
func (w *worker) beat() {
	client := &http.Client{Timeout: time.Second}
	for {
		for w.isCut() {
			time.Sleep(10 * time.Millisecond)
		}
		w.beats++
		to := w.beatAt
		if to == "" {
			to = w.controls[w.beats%len(w.controls)]
		}
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","cold_left_ms":0,"capacity":{"cpu":%d,"mem_mb":65536,"gpu":0},"labels":["a","r1-%s"],"clock_ms":%d,"seq":%d}`,
			service, w.address, w.zone, w.cpu, w.zone, w.clock(), w.beats)
		resp, err := client.Post("http://"+to+"/instances/"+w.id+"/heartbeat", "application/json", strings.NewReader(body))
		w.beatAt = ""
		pause := 200 * time.Millisecond
		if err == nil {
			raw, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				var answer struct {
					At string `json:"heartbeat_addr"`
				}
				_ = json.Unmarshal(raw, &answer)
				w.beatAt, pause = answer.At, heartbeatMillis*time.Millisecond
			}
		}
		time.Sleep(pause)
	}
}

// dropped reports whether a partition keeps a request or its answer from arriving. It returns once
// the caller has given up. The caller holds the lock.
func (w *worker) dropped(r *http.Request) bool {
	if !w.cut {
		return false
	}
	w.mu.Unlock()
	<-r.Context().Done()
	w.mu.Lock()
	return true
}

func (w *worker) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

func (w *worker) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
	note("network: worker %s cut off: %v", w.id, cut)
}
