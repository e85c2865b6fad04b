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

// maxPayload bounds a task's body, in bytes.
const maxPayload = 64 << 20

// errTold is the failure that a payload asked for.
const errTold = errors.ConstError("told to fail")

// Payload is what the built-in work reads. A payload that is no such JSON
// object is work that takes no time.
type Payload struct {
	SleepMillis int64 `json:"sleep_ms"`
	Fail        bool  `json:"fail"`
	// Size is how many bytes of filling the answer carries.
	Size int `json:"size"`
	// Nonce comes back in the answer, so that a caller sees whose it is.
	Nonce string `json:"nonce"`
}

// Answer is what the built-in work answers.
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
	key, err := keyOf(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPayload))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, status := t.begin(key)
	if status != http.StatusOK {
		w.Header().Set(target.HeaderRun, target.RunNotRun)
		http.Error(w, "no free slot", status)
		return
	}
	answer, err := t.work(ctx, key, payload)
	t.end(key, err)
	w.Header().Set(target.HeaderTask, target.TaskName(key.submission, key.index))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

// begin takes a slot. Work does not end with the connection that asked for it:
// a real worker goes on when the dispatcher dies, and so does this one.
func (t *Target) begin(key taskKey) (context.Context, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		t.refused++
		return nil, http.StatusServiceUnavailable
	}
	if len(t.running) >= t.opts.Slots {
		t.refused++
		return nil, http.StatusTooManyRequests
	}
	t.ledger.start(key)
	if _, twice := t.running[key]; twice {
		// The ledger has counted the doubled start. A second entry of the map
		// would lose the first one's slot.
		t.refused++
		return nil, http.StatusConflict
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.running[key] = cancel
	t.most = max(t.most, len(t.running))
	t.workDone.Add(1)
	return ctx, http.StatusOK
}

func (t *Target) end(key taskKey, err error) {
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

func (t *Target) work(ctx context.Context, key taskKey, payload []byte) ([]byte, error) {
	if t.opts.FailAll {
		return nil, errors.Trace(errTold)
	}
	if t.opts.Work != nil {
		return t.opts.Work(ctx, key.submission, key.index, payload)
	}
	var p Payload
	if json.Unmarshal(payload, &p) != nil {
		p = Payload{}
	}
	begun := time.Now()
	if err := sleep(ctx, time.Duration(float64(p.SleepMillis)*float64(time.Millisecond)/t.opts.Speed)); err != nil {
		return nil, errors.Trace(err)
	}
	if p.Fail {
		return nil, errors.Trace(errTold)
	}
	return json.Marshal(Answer{
		Task:      target.TaskName(key.submission, key.index),
		Target:    t.opts.ID,
		RanMillis: float64(time.Since(begun).Microseconds()) / 1000,
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
	key, err := keyOf(r)
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

// Counters returns what the stand-in has counted so far.
func (t *Target) Counters() Counters {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Counters{
		Starts:         t.ledger.Starts(),
		DoubledStarts:  t.ledger.DoubledStarts(),
		Served:         t.served,
		Refused:        t.refused,
		Failed:         t.failed,
		Stopped:        t.stopped,
		Running:        len(t.running),
		MaxConcurrent:  t.most,
		Connections:    t.conns,
		MaxConnections: t.mostConns,
	}
}

// Starts returns how many tasks were started.
func (t *Target) Starts() uint64 { return t.ledger.Starts() }

// DoubledStarts returns how many starts were of a task started before.
func (t *Target) DoubledStarts() uint64 { return t.ledger.DoubledStarts() }

// MaxConcurrent returns the most tasks that ran at one time.
func (t *Target) MaxConcurrent() int { return t.Counters().MaxConcurrent }

func keyOf(r *http.Request) (taskKey, error) {
	index, err := strconv.Atoi(r.PathValue("index"))
	if err != nil || index < 0 {
		return taskKey{}, errors.NotValidf("task index %q", r.PathValue("index"))
	}
	return taskKey{submission: job.ID(r.PathValue("submission")), index: index}, nil
}
