package api

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// serveHangUps starts a server. For each request it waits for done, then sends the result
// of HungUp on seen.
func serveHangUps(t *testing.T, done chan struct{}) (address string, seen chan bool) {
	seen = make(chan bool, 1)
	s := Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		<-done
		seen <- HungUp(r)
		w.WriteHeader(http.StatusOK)
	}), slog.New(slog.DiscardHandler))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, WithConnection(s), l, 5*time.Second) }()
	t.Cleanup(func() {
		stop()
		qt.Check(t, <-ended, qt.IsNil)
	})
	return l.Addr().String(), seen
}

// reset closes a connection with a TCP reset instead of the end of its stream.
func reset(t *testing.T, c net.Conn) {
	qt.Assert(t, c.(*net.TCPConn).SetLinger(0), qt.IsNil)
	qt.Assert(t, c.Close(), qt.IsNil)
}

func request(t *testing.T, address string, close bool) net.Conn {
	c, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}")
	qt.Assert(t, err, qt.IsNil)
	if close {
		qt.Assert(t, c.Close(), qt.IsNil)
	}
	return c
}

// A caller sends a job and hangs up; both arrive together, as after a network partition. The
// job must not be started, since its caller sends it elsewhere.
func TestHangUpRightAfterARequestIsDetected(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Log("a closed connection can't be detected on this platform before the server reads from it")
		return
	}
	done := make(chan struct{}, 1)
	address, seen := serveHangUps(t, done)
	for range 50 {
		request(t, address, true)
		done <- struct{}{}
		select {
		case gone := <-seen:
			qt.Assert(t, gone, qt.IsTrue)
		case <-time.After(5 * time.Second):
			t.Fatal("the server has not read the request")
		}
	}
}

// A connection is reset right after its request, and the caller sends the job elsewhere at
// once. The job must not be started here: it would run twice for some milliseconds.
func TestResetRightAfterARequestIsDetected(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Log("a closed connection can't be detected on this platform before the server reads from it")
		return
	}
	done := make(chan struct{}, 1)
	address, seen := serveHangUps(t, done)
	for range 50 {
		c := request(t, address, false)
		time.Sleep(2 * time.Millisecond) // the server has read the request and waits
		reset(t, c)
		done <- struct{}{}
		qt.Assert(t, <-seen, qt.IsTrue)
	}
}

func TestWaitingCallerHasNotHungUp(t *testing.T) {
	done := make(chan struct{}, 1)
	address, seen := serveHangUps(t, done)
	for range 20 {
		c := request(t, address, false)
		done <- struct{}{}
		qt.Assert(t, <-seen, qt.IsFalse)
		_ = c.Close()
	}
}
