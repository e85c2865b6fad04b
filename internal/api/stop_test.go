package api_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/api"
)

// Guards against a planned stop that resets connections on which callers have just
// written a request: connections that wait to be accepted, or that were idle until
// then. The request is not read, and its caller gets neither an answer nor a refused
// connection, so it can't know whether the request ran.
func TestAPlannedStopResetsNoRequest(t *testing.T) {
	const stops, callers = 20, 16
	resets := 0
	for range stops {
		resets += resetsOfAStop(t, callers)
	}
	qt.Assert(t, resets, qt.Equals, 0, qt.Commentf("%d stops under %d callers", stops, callers))
}

// Callers reuse their connections without a pause while the process does a planned
// stop. Each request written to an open connection must get its answer, which closes
// the connection. The caller's next connection is refused, so the caller knows that
// its next request did not run.
func TestAPlannedStopAnswersOpenConnections(t *testing.T) {
	const stops, callers = 10, 16
	for range stops {
		s := startStoppable(t)
		failures := make(chan error, callers)
		for range callers {
			go func() {
				client := &http.Client{Transport: &http.Transport{}}
				defer client.CloseIdleConnections()
				failures <- postUntilItFails(client, s.address)
			}()
		}
		time.Sleep(30 * time.Millisecond)
		s.stop()
		qt.Assert(t, <-s.served, qt.IsNil)
		for range callers {
			err := <-failures
			var op *net.OpError
			qt.Assert(t, errors.As(err, &op) && op.Op == "dial", qt.IsTrue, qt.Commentf("%v", err))
		}
	}
}

// Callers have connected and written their requests, and the process is asked to stop
// before it has accepted any of these connections. All callers must get their answer
// instead of a reset.
func TestAPlannedStopAnswersPendingConnections(t *testing.T) {
	const callers = 50
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	conns := make([]net.Conn, callers)
	for i := range conns {
		conns[i], err = net.Dial("tcp", l.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer conns[i].Close()
		_, err = io.WriteString(conns[i], "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\na job")
		qt.Assert(t, err, qt.IsNil)
	}
	stopped, stop := context.WithCancel(t.Context())
	stop()
	qt.Assert(t, api.Serve(stopped, api.Server(echo, slog.New(slog.DiscardHandler)), l, time.Second), qt.IsNil)
	for i, c := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("caller %d", i))
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
		_ = resp.Body.Close()
	}
}

// echo answers with the body of the request.
var echo = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(w, r.Body)
})

// stoppable is a server under test.
type stoppable struct {
	address string
	stop    context.CancelFunc
	served  chan error
}

func startStoppable(t *testing.T) stoppable {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, stop := context.WithCancel(t.Context())
	s := stoppable{address: l.Addr().String(), stop: stop, served: make(chan error, 1)}
	server := api.Server(echo, slog.New(slog.DiscardHandler))
	go func() { s.served <- api.Serve(ctx, server, l, time.Second) }()
	return s
}

// resetsOfAStop counts the callers whose connection is reset by a stop.
func resetsOfAStop(t *testing.T, callers int) int {
	s := startStoppable(t)
	var all sync.WaitGroup
	var mu sync.Mutex
	resets := 0
	for i := range callers {
		all.Go(func() {
			// Half of the callers open a connection for each request.
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: i%2 == 0}}
			defer client.CloseIdleConnections()
			if errors.Is(postUntilItFails(client, s.address), syscall.ECONNRESET) {
				mu.Lock()
				resets++
				mu.Unlock()
			}
		})
	}
	time.Sleep(30 * time.Millisecond)
	s.stop()
	qt.Assert(t, <-s.served, qt.IsNil)
	all.Wait()
	return resets
}

func postUntilItFails(client *http.Client, address string) error {
	for {
		resp, err := client.Post("http://"+address, "text/plain", strings.NewReader("a job"))
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}
