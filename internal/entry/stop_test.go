package entry

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/api"
	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/settings"
)

// A client keeps an idle connection open during a planned stop of its entry. When the entry
// accepts no more submissions, the connection must be closed. The client's next request then
// goes to another entry. On the open connection, which the balancer can no longer redirect,
// it would be refused.
func TestPlannedStopEndsTheConnectionsOfCallers(t *testing.T) {
	front, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	served := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") })
	const notice, linger = 200 * time.Millisecond, 3 * time.Second
	e, err := New(Options{
		Settings:     settings.Entry{Name: "a", Zone: "z", CallerAddr: "127.0.0.1:0", PeerAddr: "127.0.0.1:0", OperatorAddr: "127.0.0.1:0"},
		Config:       config.Fixed{File: &config.File{Number: 1}},
		NoticePeriod: notice,
		LingerPeriod: linger,
		Attach: func(*Entry) []AttachedServer {
			return []AttachedServer{{Listener: front, Server: api.Server(served, slog.New(slog.DiscardHandler)), Intake: true}}
		},
	})
	qt.Assert(t, err, qt.IsNil)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()

	idle, err := net.Dial("tcp", front.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer idle.Close()
	request := func() (int, error) {
		_, err := io.WriteString(idle, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		qt.Assert(t, err, qt.IsNil)
		buf := make([]byte, 1024)
		qt.Assert(t, idle.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
		n, err := idle.Read(buf)
		if err == nil {
			qt.Assert(t, strings.Contains(string(buf[:n]), "served"), qt.IsTrue, qt.Commentf("%s", buf[:n]))
		}
		return n, err
	}
	_, err = request()
	qt.Assert(t, err, qt.IsNil)
	stop()
	time.Sleep(notice / 2)
	during, err := net.Dial("tcp", front.Addr().String())
	qt.Assert(t, err, qt.IsNil, qt.Commentf("the balancer has not noticed the stop yet"))
	defer during.Close()

	begun := time.Now()
	qt.Assert(t, idle.SetReadDeadline(begun.Add(5*time.Second)), qt.IsNil)
	_, err = idle.Read(make([]byte, 1))
	qt.Assert(t, err, qt.Equals, io.EOF)
	qt.Assert(t, time.Since(begun) < linger/2, qt.IsTrue, qt.Commentf("%v", time.Since(begun)))
	_, err = net.Dial("tcp", front.Addr().String())
	qt.Assert(t, err, qt.IsNotNil)
	select {
	case err := <-ended:
		t.Fatalf("the entry ended together with its callers' connections: %v", err)
	default:
	}
	qt.Assert(t, <-ended, qt.IsNil)
}
