package api_test

import (
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

// A process stops as planned while callers send to it. A request that was written to a
// connection which the stop closes, because it waits to be accepted or was idle until
// now, is not read. Its caller gets neither an answer nor a refused connection, and
// can't tell whether it ran.
func TestAPlannedStopResetsNoRequest(t *testing.T) {
	const stops, callers = 20, 16
	resets := 0
	for range stops {
		resets += resetsOfAStop(t, callers)
	}
	qt.Assert(t, resets, qt.Equals, 0, qt.Commentf("%d stops under %d callers", stops, callers))
}

// resetsOfAStop counts the callers whose request a stop resets.
func resetsOfAStop(t *testing.T, callers int) int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	server := api.Server(answer, slog.New(slog.DiscardHandler))
	go func() { served <- api.Serve(ctx, server, l, time.Second) }()

	var all sync.WaitGroup
	var mu sync.Mutex
	resets := 0
	for i := range callers {
		all.Go(func() {
			// Half of the callers open a connection for each request.
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: i%2 == 0}}
			defer client.CloseIdleConnections()
			if errors.Is(postUntilItFails(client, l.Addr().String()), syscall.ECONNRESET) {
				mu.Lock()
				resets++
				mu.Unlock()
			}
		})
	}
	time.Sleep(30 * time.Millisecond)
	stop()
	qt.Assert(t, <-served, qt.IsNil)
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
