package api

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

// echo completes each submission with its own payloads.
type echo struct{ submitted int }

func (e *echo) Submit(_ context.Context, s *job.Submission) job.Answer {
	e.submitted++
	a := job.Answer{ID: s.ID, Outcome: job.Complete}
	for i := range s.Tasks {
		a.Results = append(a.Results, s.Tasks[i].Payload)
	}
	return a
}

func (e *echo) Status(context.Context, job.ID) (JobStatus, bool) { return JobStatus{}, false }
func (e *echo) Cancel(context.Context, job.ID) bool              { return false }
func (e *echo) Ready() error                                     { return nil }

func newCaller(d Dispatcher) *Caller {
	file := &config.File{Limits: config.Limits{MaxJobBytes: 1 << 10, MaxJobTasks: 4}}
	return &Caller{Dispatcher: d, Config: config.Fixed{File: file}, Memory: NewByteBudget(4 << 20)}
}

// Callers send malformed, oversized or meaningless requests. Each must get one clear
// refusal that says "not run", nothing may reach the dispatcher, and the memory
// reserved for the body must be released.
func TestWrongRequestsAreRefusedClearly(t *testing.T) {
	big := strings.Repeat("x", 2<<20)
	tests := []struct {
		name, path, body string
		header           map[string]string
		want             int
	}{
		{"not json", "/v1/jobs", `{"service":`, nil, 400},
		{"wrong type", "/v1/jobs", `{"service":"s","tasks":"no"}`, nil, 400},
		{"no service", "/v1/jobs", `{"tasks":[{}]}`, nil, 400},
		{"no tasks", "/v1/jobs", `{"service":"s","tasks":[]}`, nil, 400},
		{"negative size", "/v1/jobs", `{"service":"s","tasks":[{"memory_mb":-1}]}`, nil, 400},
		{"negative fraction of a processor", "/v1/jobs", `{"service":"s","tasks":[{"milli_processors":-1}]}`, nil, 400},
		{"processors beyond counting", "/v1/jobs", `{"service":"s","tasks":[{"processors":9223372036854775807}]}`, nil, 400},
		{"negative deadline", "/v1/jobs", `{"service":"s","deadline_ms":-5,"tasks":[{}]}`, nil, 400},
		{"negative attempt", "/v1/jobs", `{"service":"s","attempt":-1,"tasks":[{}]}`, nil, 400},
		{"long id", "/v1/jobs", `{"service":"s","id":"` + strings.Repeat("i", job.MaxIDBytes+1) + `","tasks":[{}]}`, nil, 400},
		{"long kind", "/v1/jobs", `{"service":"s","tasks":[{"kind":"` + strings.Repeat("k", job.MaxKindBytes+1) + `"}]}`, nil, 400},
		{"long kind of a single request", "/v1/services/s", "x", map[string]string{"Content-Type": "a/" + strings.Repeat("k", job.MaxKindBytes)}, 400},
		{"too large", "/v1/jobs", `{"service":"s","tasks":[{"payload":"` + big + `"}]}`, nil, 413},
		{"too large single", "/v1/services/s", big, nil, 413},
		{"bad deadline header", "/v1/services/s", "x", map[string]string{HeaderDeadline: "soon"}, 400},
		{"no such route", "/v1/none", "x", nil, 404},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := &echo{}
			c := newCaller(d)
			r := httptest.NewRequest(http.MethodPost, test.path, strings.NewReader(test.body))
			for k, v := range test.header {
				r.Header.Set(k, v)
			}
			w := httptest.NewRecorder()
			c.Handler().ServeHTTP(w, r)
			qt.Assert(t, w.Code, qt.Equals, test.want)
			qt.Assert(t, d.submitted, qt.Equals, 0)
			qt.Assert(t, c.Memory.Used(), qt.Equals, int64(0))
			if test.want == 404 {
				return
			}
			qt.Assert(t, w.Header().Get(HeaderRun), qt.Equals, "not-run")
			var body IncompleteAnswer
			qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &body), qt.IsNil)
			qt.Assert(t, body.Detail, qt.Not(qt.Equals), "")
		})
	}
}

// Many callers send large bodies to a small VM at once. Without a bound, the process
// runs out of memory and every caller loses its work. With it, callers beyond the
// bound are refused with a time to retry.
func TestBodiesShareABoundedMemory(t *testing.T) {
	c := newCaller(&echo{})
	c.Memory = NewByteBudget(100)
	qt.Assert(t, c.Memory.Reserve(60), qt.IsTrue)
	r := httptest.NewRequest(http.MethodPost, "/v1/services/s", strings.NewReader(strings.Repeat("x", 50)))
	w := httptest.NewRecorder()
	c.Handler().ServeHTTP(w, r)
	qt.Assert(t, w.Code, qt.Equals, 429)
	qt.Assert(t, w.Header().Get("Retry-After"), qt.Equals, "1")
	qt.Assert(t, c.Memory.Used(), qt.Equals, int64(60))
}

// pipeListener accepts in-memory connections, so that a server can run under virtual
// time.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.done:
	default:
		close(l.done)
	}
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	ours, theirs := net.Pipe()
	l.conns <- theirs
	return ours
}

// A caller opens a connection and sends its headers or its body one byte at a time,
// on purpose or over a failing link. Without a timeout, some hundreds of such callers
// occupy all connections and memory of an entry, and other callers can't connect.
func TestTricklingCallersTimeOut(t *testing.T) {
	tests := []struct {
		name, sent string
		within     time.Duration
	}{
		{"headers", "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n", headerTimeout},
		{"body", "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{", bodyReadTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCaller(&echo{})
				l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
				ctx, stop := context.WithCancel(t.Context())
				served := make(chan error, 1)
				go func() {
					served <- Serve(ctx, Server(c.Handler(), slog.New(slog.DiscardHandler)), l, time.Minute)
				}()
				conn := l.dial()
				_, err := io.WriteString(conn, test.sent)
				qt.Assert(t, err, qt.IsNil)
				began := time.Now()
				_, _ = io.Copy(io.Discard, conn)
				qt.Assert(t, time.Since(began) <= test.within+time.Second, qt.IsTrue)
				qt.Assert(t, c.Memory.Used(), qt.Equals, int64(0))
				stop()
				qt.Assert(t, <-served, qt.IsNil)
			})
		})
	}
}

// A caller sends a job and never reads its answer. Without a timeout, some hundreds of
// such callers occupy memory with their answers, and a planned stop never ends.
func TestCallersThatDoNotReadTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCaller(&echo{})
		l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		ctx, stop := context.WithCancel(t.Context())
		served := make(chan error, 1)
		go func() {
			served <- Serve(ctx, Server(c.Handler(), slog.New(slog.DiscardHandler)), l, time.Hour)
		}()
		payload := strings.Repeat("x", 900<<10)
		conn := l.dial()
		_, err := fmt.Fprintf(conn, "POST /v1/services/s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(payload), payload)
		qt.Assert(t, err, qt.IsNil)
		synctest.Wait()
		qt.Assert(t, c.Memory.Used() > 0, qt.IsTrue)
		time.Sleep(answerWriteTimeout + time.Second)
		synctest.Wait()
		qt.Assert(t, c.Memory.Used(), qt.Equals, int64(0))
		stop()
		qt.Assert(t, <-served, qt.IsNil)
		conn.Close()
	})
}

// A planned stop begins while a job runs. The caller must still get its whole answer
// over its open connection.
func TestServeInterruptsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(3 * time.Second)
			_, _ = io.WriteString(w, "whole")
		})
		l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		ctx, stop := context.WithCancel(t.Context())
		served := make(chan error, 1)
		go func() { served <- Serve(ctx, Server(slow, slog.New(slog.DiscardHandler)), l, time.Minute) }()
		conn := l.dial()
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		qt.Assert(t, err, qt.IsNil)
		synctest.Wait()
		stop()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		qt.Assert(t, err, qt.IsNil)
		body, err := io.ReadAll(response.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(body), qt.Equals, "whole")
		conn.Close()
		qt.Assert(t, <-served, qt.IsNil)
	})
}

func TestAnswersKeepOrderAndWholeBytes(t *testing.T) {
	c := newCaller(&echo{})
	r := httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(`{"id":"j","service":"s","tasks":[{"payload":{"n":0}},{"payload":[1]},{}]}`))
	w := httptest.NewRecorder()
	c.Handler().ServeHTTP(w, r)
	qt.Assert(t, w.Body.String(), qt.Equals, `{"id":"j","outcome":"complete","late":false,"results":[{"task":0,"payload":{"n":0}},{"task":1,"payload":[1]},{"task":2,"payload":null}]}`)

	r = httptest.NewRequest(http.MethodPost, "/v1/services/s", strings.NewReader("\x00opaque\xff"))
	w = httptest.NewRecorder()
	c.Handler().ServeHTTP(w, r)
	qt.Assert(t, w.Body.String(), qt.Equals, "\x00opaque\xff")
}
