package api

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// hangUps serves requests and says of each, once its caller has done what it does next,
// whether that caller has hung up.
func hangUps(t *testing.T, done chan struct{}) (address string, seen chan bool) {
	seen = make(chan bool, 1)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		<-done
		seen <- HungUp(r)
		w.WriteHeader(http.StatusOK)
	}))
	WithConnection(s.Config)
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), seen
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

// A caller sends a job and hangs up; both arrive together, as they do when a cut heals. The
// job must not be started: its caller has it run elsewhere.
func TestAHangUpBehindTheRequestIsSeen(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Log("the end of a connection can't be told here before the server reads it")
		return
	}
	done := make(chan struct{}, 1)
	address, seen := hangUps(t, done)
	for range 50 {
		request(t, address, true)
		done <- struct{}{}
		select {
		case gone := <-seen:
			qt.Assert(t, gone, qt.IsTrue)
		case <-time.After(5 * time.Second):
			t.Fatal("the request is not read")
		}
	}
}

func TestACallerWhoWaitsHasNotHungUp(t *testing.T) {
	done := make(chan struct{}, 1)
	address, seen := hangUps(t, done)
	for range 20 {
		c := request(t, address, false)
		done <- struct{}{}
		qt.Assert(t, <-seen, qt.IsFalse)
		_ = c.Close()
	}
}
