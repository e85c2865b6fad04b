package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// maxPayload bounds the body of a task request, in bytes.
const maxPayload = 64 << 20

// errFailureRequested is the failure that a payload or Options.FailAll requests.
const errFailureRequested = errors.ConstError("failure requested")

// Payload is the task payload that the built-in work reads. If the payload is
// not such a JSON object, the work takes no time.
type Payload struct {
	SleepMillis int64 `json:"sleep_ms"`
	Fail        bool  `json:"fail"`
	// Size is the number of filler bytes in the answer.
	Size int `json:"size"`
	// Nonce is returned in the answer, so that a caller can match the answer to
	// its task.
	Nonce string `json:"nonce"`
}

// Answer is the answer of the built-in work.
type Answer struct {
	Task      string       `json:"task"`
	Target    job.TargetID `json:"target"`
	RanMillis float64      `json:"ran_ms"`
	Nonce     string       `json:"nonce,omitempty"`
	Filling   string       `json:"filling,omitempty"`
}

// Counters is the body of GET /v1/counters.
type Counters struct {
	Starts         uint64 `json:"starts"`
	DoubledStarts  uint64 `json:"doubled_starts"`
	Served         uint64 `json:"served"`
	Refused        uint64 `json:"refused"`
	Failed         uint64 `json:"failed"`
	Stopped        uint64 `json:"stopped"`
	Running        int    `json:"running"`
	MaxConcurrent  int    `json:"max_concurrent"`
	Connections    int    `json:"connections"`
	MaxConnections int    `json:"max_connections"`
}

func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tasks/{submission}/{index}", t.serveTask)
	mux.HandleFunc("DELETE /v1/tasks/{submission}/{index}", t.serveStop)
	mux.HandleFunc("GET /v1/counters", t.serveCounters)
	return mux
}

func (t *Target) serveTask(w http.ResponseWriter, r *http.Request) {
	key, err := parseTaskKey(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPayload))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, status := t.startTask(key)
	if status != http.StatusOK {
		w.Header().Set(target.HeaderRun, target.RunNotRun)
		http.Error(w, "no free slot", status)
		return
	}
	answer, err := t.runWork(ctx, key, payload)
	t.finishTask(key, err)
	w.Header().Set(target.HeaderTask, target.TaskName(key.submission, key.index))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

// startTask takes a slot for a task and returns the task's context. The context
// does not end with the connection of the request: like a real worker, the
// stand-in continues a task after the dispatcher dies.
func (t *Target) startTask(key taskKey) (context.Context, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		t.refused++
		return nil, http.StatusServiceUnavailable
	}
	if len(t.running) >= t.opts.Slots {
		t.refused++
		return nil, http.StatusTooManyRequests
	}
	t.starts.recordStart(key)
	if _, alreadyRunning := t.running[key]; alreadyRunning {
		// The tracker has already counted the doubled start. Replacing the map
		// entry would free the slot of the first start too early.
		t.refused++
		return nil, http.StatusConflict
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.running[key] = cancel
	t.maxRunning = max(t.maxRunning, len(t.running))
	t.workDone.Add(1)
	return ctx, http.StatusOK
}

// finishTask frees the slot of a task and counts its result.
func (t *Target) finishTask(key taskKey, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[key]()
	delete(t.running, key)
	t.workDone.Done()
	switch {
	case err == nil:
		t.served++
	case errors.Is(err, context.Canceled):
		t.stopped++
	default:
		t.failed++
	}
}

func (t *Target) runWork(ctx context.Context, key taskKey, payload []byte) ([]byte, error) {
	if t.opts.FailAll {
		return nil, errors.Trace(errFailureRequested)
	}
	if t.opts.Work != nil {
		return t.opts.Work(ctx, key.submission, key.index, payload)
	}
	var p Payload
	if json.Unmarshal(payload, &p) != nil {
		p = Payload{}
	}
	start := time.Now()
	if err := sleep(ctx, time.Duration(float64(p.SleepMillis)*float64(time.Millisecond)/t.opts.Speed)); err != nil {
		return nil, errors.Trace(err)
	}
	if p.Fail {
		return nil, errors.Trace(errFailureRequested)
	}
	return json.Marshal(Answer{
		Task:      target.TaskName(key.submission, key.index),
		Target:    t.opts.ID,
		RanMillis: float64(time.Since(start).Microseconds()) / 1000,
		Nonce:     p.Nonce,
		Filling:   strings.Repeat("x", max(0, p.Size)),
	})
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t *Target) serveStop(w http.ResponseWriter, r *http.Request) {
	key, err := parseTaskKey(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	cancel, ok := t.running[key]
	if !ok {
		http.Error(w, "not running", http.StatusNotFound)
		return
	}
	cancel()
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) serveCounters(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(t.Counters())
}

// Counters returns the current counters of the stand-in.
func (t *Target) Counters() Counters {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Counters{
		Starts:         t.starts.Starts(),
		DoubledStarts:  t.starts.DoubledStarts(),
		Served:         t.served,
		Refused:        t.refused,
		Failed:         t.failed,
		Stopped:        t.stopped,
		Running:        len(t.running),
		MaxConcurrent:  t.maxRunning,
		Connections:    t.conns,
		MaxConnections: t.maxConns,
	}
}

// Starts returns the number of task starts.
func (t *Target) Starts() uint64 { return t.starts.Starts() }

// DoubledStarts returns the number of repeated starts of a task.
func (t *Target) DoubledStarts() uint64 { return t.starts.DoubledStarts() }

// MaxConcurrent returns the maximum number of tasks that ran concurrently.
func (t *Target) MaxConcurrent() int { return t.Counters().MaxConcurrent }

func parseTaskKey(r *http.Request) (taskKey, error) {
	index, err := strconv.Atoi(r.PathValue("index"))
	if err != nil || index < 0 {
		return taskKey{}, errors.NotValidf("task index %q", r.PathValue("index"))
	}
	return taskKey{submission: job.ID(r.PathValue("submission")), index: index}, nil
}
