package target

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// A target reads a whole task and starts it, and then its answer is broken because
// its process dies or its server is faulty. If the dispatcher sent the task again, the
// task would take effect twice. If it accepted a partial answer as complete, the
// caller would get a truncated result. Both are most likely on reused connections,
// where Go's transport replays requests that it considers replayable.
func TestBrokenAnswersMayHaveRunAndAreNeverSentAgain(t *testing.T) {
	cases := map[string]step{
		"closed before the answer": answerThenClose(""),
		"status line torn":         answerThenClose("HTTP/1.1 20"),
		"header torn":              answerThenClose("HTTP/1.1 200 OK\r\nContent-Le"),
		"body torn":                answerThenClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ntrue"),
		"chunk torn":               answerThenClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ntrue"),
		"last chunk missing":       answerThenClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntrue\r\n"),
		"no length":                answerThenClose("HTTP/1.1 200 OK\r\n\r\ntrue"),
		"not HTTP":                 answerThenClose("hello\r\n\r\n"),
		"not JSON":                 answerThenClose("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntru"),
		"too long":                 answerThenClose("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + strings.Repeat("1", 99)),
		"too long in chunks":       answerThenClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n63\r\n" + strings.Repeat("1", 99) + "\r\n0\r\n\r\n"),
		"another task's answer":    answer("HTTP/1.1 200 OK\r\nVanillagrade-Task: other/7\r\nContent-Length: 4\r\n\r\ntrue"),
		"failed":                   answer("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"),
		"busy without proof":       answer("HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n"),
		"proof with a wrong code":  answer("HTTP/1.1 500 No\r\nVanillagrade-Run: not-run\r\nContent-Length: 0\r\n\r\n"),
		"redirected":               answer("HTTP/1.1 307 No\r\nLocation: /v1/tasks/x/1\r\nContent-Length: 0\r\n\r\n"),
		"timed out":                answerThenClose("HTTP/1.1 408 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"),
	}
	for name, broken := range cases {
		for _, reused := range []bool{false, true} {
			for _, payload := range []string{"", `{"a":1}`} {
				t.Run(name+" reused="+strconv.FormatBool(reused)+" payload="+payload, func(t *testing.T) {
					steps := []step{broken}
					if reused {
						steps = []step{answer(okResponse), broken}
					}
					raw := serveRaw(t, steps...)
					l := link(raw)
					defer l.Close()
					want := 1
					if reused {
						want = 2
						first := l.Start(t.Context(), Task{Submission: "warm", Payload: []byte("1")})
						qt.Assert(t, first.Status, qt.Equals, job.TaskDone, qt.Commentf("%+v", first))
					}
					res := l.Start(t.Context(), Task{Submission: "x", Index: 1, Payload: []byte(payload)})
					qt.Assert(t, res.Status, qt.Equals, job.TaskErred, qt.Commentf("%+v", res))
					qt.Assert(t, res.Reason == job.TargetLost || res.Reason == job.TaskFailed, qt.IsTrue)
					most, total := raw.startCounts()
					qt.Assert(t, []int{most, total}, qt.DeepEquals, []int{1, want})
					if reused {
						qt.Assert(t, raw.conns, qt.Equals, 1)
					}
				})
			}
		}
	}
}

// A target starts a task while its body is still arriving, and then dies. The task
// may have taken effect although the dispatcher could not send all of it.
func TestClosedWhileTheTaskIsSent(t *testing.T) {
	for _, readLimit := range []int64{0, 1000, longBody / 2} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprint(readLimit, " reused=", reused), func(t *testing.T) {
				raw := serveRaw(t, answer(okResponse))
				raw.mu.Lock()
				raw.readLimit = readLimit
				raw.mu.Unlock()
				l := link(raw)
				defer l.Close()
				if reused {
					qt.Assert(t, l.Start(t.Context(), Task{Submission: "warm"}).Status, qt.Equals, job.TaskDone)
				}
				res := l.Start(t.Context(), Task{Submission: "x", Payload: make([]byte, longBody)})
				qt.Assert(t, res.Status, qt.Equals, job.TaskErred, qt.Commentf("%+v", res))
				raw.mu.Lock()
				defer raw.mu.Unlock()
				qt.Assert(t, raw.starts["/v1/tasks/x/0"], qt.Equals, 1)
			})
		}
	}
}

func TestWholeAnswers(t *testing.T) {
	cases := []struct {
		name, text, want string
		single           bool
	}{
		{name: "length", text: okResponse, want: "true"},
		{name: "chunks", text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ntr\r\n2\r\nue\r\n0\r\n\r\n", want: "true"},
		{name: "empty", text: "HTTP/1.1 204 OK\r\n\r\n", want: "null"},
		{name: "opaque", text: "HTTP/1.1 201 OK\r\nContent-Length: 3\r\n\r\n\x00{x", want: "\x00{x", single: true},
		{name: "own name", text: "HTTP/1.1 200 OK\r\nVanillagrade-Task: a%2Fb/0\r\nContent-Length: 1\r\n\r\n1", want: "1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			raw := serveRaw(t, answer(c.text))
			l := link(raw)
			defer l.Close()
			for range 3 {
				res := l.Start(t.Context(), Task{Submission: "a/b", Payload: []byte("1"), Single: c.single})
				qt.Assert(t, res.Status, qt.Equals, job.TaskDone, qt.Commentf("%+v", res))
				qt.Assert(t, string(res.Payload), qt.Equals, c.want)
			}
			qt.Assert(t, raw.starts, qt.DeepEquals, map[string]int{"/v1/tasks/a/b/0": 3})
			qt.Assert(t, raw.conns, qt.Equals, 1)
		})
	}
}

// A target that is full or draining states that the task did not start. If this
// counted as a failure, the job would fail needlessly. The connection stays usable.
func TestRefusalsProveNotStarted(t *testing.T) {
	raw := serveRaw(t,
		answer("HTTP/1.1 429 No\r\nVanillagrade-Run: not-run\r\nContent-Length: 4\r\n\r\nfull"),
		answer("HTTP/1.1 503 No\r\nVanillagrade-Run: not-run\r\nContent-Length: 0\r\n\r\n"),
	)
	l := link(raw)
	defer l.Close()
	res := l.Start(t.Context(), Task{Submission: "x", Payload: []byte("1")})
	res.Ran = 0
	qt.Assert(t, res, qt.DeepEquals, Result{Status: job.TaskNotStarted, Reason: job.TargetRefused, Refusal: Busy, Detail: "full"})
	res = l.Start(t.Context(), Task{Submission: "x", Payload: []byte("1")})
	qt.Assert(t, res.Refusal, qt.Equals, Draining)
	qt.Assert(t, raw.conns, qt.Equals, 1)
}

// A target's VM is gone, or its port is closed. Nothing can have arrived, so the
// dispatcher may send the task elsewhere.
func TestUnreachableIsNotStarted(t *testing.T) {
	raw := serveRaw(t, answer(okResponse))
	_ = raw.Close()
	res := link(raw).Start(t.Context(), Task{Submission: "x", Payload: []byte("1")})
	qt.Assert(t, res.Status, qt.Equals, job.TaskNotStarted)
	qt.Assert(t, res.Refusal, qt.Equals, Unreachable)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	res = link(raw).Start(ctx, Task{Submission: "x"})
	qt.Assert(t, res.Status, qt.Equals, job.TaskNotStarted)
	qt.Assert(t, res.Refusal, qt.Equals, Abandoned)
}

// brokenConn is a connection whose peer is gone. It allows writesLeft writes; each later
// one fails after written bytes.
type brokenConn struct {
	net.Conn
	writesLeft *int
	written    int
}

func (c brokenConn) Write(p []byte) (int, error) {
	if *c.writesLeft--; *c.writesLeft >= 0 {
		return c.Conn.Write(p)
	}
	_, _ = c.Conn.Write(p[:c.written])
	return c.written, net.ErrClosed
}

// A target restarted, and an idle connection to its old process fails at the first
// write. If nothing was sent, the task is sent on a new connection and the caller
// notices nothing. If even one byte was sent, the task must not be sent again.
func TestFailedWriteOnReusedConnection(t *testing.T) {
	for _, written := range []int{0, 1} {
		t.Run(strconv.Itoa(written), func(t *testing.T) {
			raw := serveRaw(t, answer(okResponse))
			dials := 0
			writesLeft := 1
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if dials++; dials == 1 {
					return brokenConn{Conn: c, writesLeft: &writesLeft, written: written}, err
				}
				return c, err
			}
			l := NewClient(ClientOptions{Dial: dial}).Link(raw.Addr().String(), 1)
			defer l.Close()
			qt.Assert(t, l.Start(t.Context(), Task{Submission: "warm"}).Status, qt.Equals, job.TaskDone)
			res := l.Start(t.Context(), Task{Submission: "x", Payload: []byte("1")})
			if written == 0 {
				qt.Assert(t, res.Status, qt.Equals, job.TaskDone, qt.Commentf("%+v", res))
				qt.Assert(t, dials, qt.Equals, 2)
				return
			}
			qt.Assert(t, res.Status, qt.Equals, job.TaskErred)
			qt.Assert(t, dials, qt.Equals, 1)
		})
	}
}

// A task is cancelled while it runs, and its answer arrives late. Its connection must
// not be reused, because the next task would receive the late answer as its result.
func TestLateAnswerIsNotReused(t *testing.T) {
	received := make(chan struct{})
	release := make(chan struct{})
	raw := serveRaw(t, func(c net.Conn, r *http.Request) bool {
		if strings.HasSuffix(r.URL.Path, "/late/0") {
			close(received)
			<-release
			return answer("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n\"late\"")(c, r)
		}
		return answer(okResponse)(c, r)
	})
	l := link(raw)
	defer l.Close()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan Result, 1)
	go func() { ended <- l.Start(ctx, Task{Submission: "late"}) }()
	<-received
	cancel()
	res := <-ended
	qt.Assert(t, res.Status, qt.Equals, job.TaskErred)
	close(release)
	for range 4 {
		res = l.Start(t.Context(), Task{Submission: "next"})
		qt.Assert(t, string(res.Payload), qt.Equals, "true")
	}
}

// A target accepts a task and never answers. Without a limit, its slot would be lost
// forever, and over time all slots of the target.
func TestUnresponsiveTargetTimesOut(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	silent := func(net.Conn, *http.Request) bool { <-release; return false }
	torn := func(c net.Conn, r *http.Request) bool {
		return answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ntrue")(c, r) && silent(c, r)
	}
	for name, s := range map[string]step{"no answer": silent, "half an answer": torn} {
		t.Run(name, func(t *testing.T) {
			raw := serveRaw(t, s)
			l := NewClient(ClientOptions{MaxRun: 30 * time.Millisecond}).Link(raw.Addr().String(), 1)
			res := l.Start(t.Context(), Task{Submission: "x", Payload: []byte("1")})
			qt.Assert(t, res.Status, qt.Equals, job.TaskErred, qt.Commentf("%+v", res))
			qt.Assert(t, res.Reason, qt.Equals, job.TargetLost)
			most, total := raw.startCounts()
			qt.Assert(t, []int{most, total}, qt.DeepEquals, []int{1, 1})
		})
	}
}

// A target limits the connections of all entries together. If a link exceeded its
// number, the target would refuse connections that carry work.
func TestConnectionLimitIsKept(t *testing.T) {
	var mu sync.Mutex
	open, maxOpen := 0, 0
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Read the body first: the server closes it when the first bytes of a
		// long answer are written.
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		switch s {
		case http.StateNew:
			open++
			maxOpen = max(maxOpen, open)
		case http.StateClosed:
			open--
		}
	}
	server.Start()
	defer server.Close()
	l := NewClient(ClientOptions{}).Link(server.Listener.Addr().String(), 3)
	defer l.Close()
	var all sync.WaitGroup
	for i := range 50 {
		all.Go(func() {
			number := strings.Repeat("7", 1+4000*i) // up to three times maxPreallocBytes
			res := l.Start(t.Context(), Task{Submission: "x", Index: i, Payload: []byte(number)})
			qt.Check(t, string(res.Payload) == number, qt.IsTrue, qt.Commentf("%+v", res.Detail))
		})
	}
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	qt.Assert(t, maxOpen <= 3, qt.IsTrue, qt.Commentf("%d connections", maxOpen))
}

func TestStopReachesTheTask(t *testing.T) {
	got := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		got <- r.Method + " " + r.URL.EscapedPath()
	}))
	defer server.Close()
	l := NewClient(ClientOptions{}).Link(server.Listener.Addr().String(), 1)
	defer l.Close()
	qt.Assert(t, l.Stop(t.Context(), "a/b", 7), qt.IsNil)
	qt.Assert(t, <-got, qt.Equals, "DELETE /v1/tasks/a%2Fb/7")
	qt.Assert(t, DefaultIdleTimeout < 5*time.Second, qt.IsTrue)
}

// BenchmarkStart measures a start over a reused loopback connection, including the
// target, and compares it with the same request through a plain http.Client.
func BenchmarkStart(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "1")
	}))
	defer server.Close()
	b.Run("link", func(b *testing.B) {
		l := NewClient(ClientOptions{}).Link(server.Listener.Addr().String(), 8)
		defer l.Close()
		b.ReportAllocs()
		for b.Loop() {
			if res := l.Start(b.Context(), Task{Submission: "x", Payload: []byte("1")}); res.Status != job.TaskDone {
				b.Fatalf("%+v", res)
			}
		}
	})
	b.Run("http.Client", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			resp, err := server.Client().Post(server.URL+"/v1/tasks/x/0", "application/json", strings.NewReader("1"))
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
	})
}
