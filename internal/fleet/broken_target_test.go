package fleet

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/standin"
)

// brokenListener breaks a target's connections in rotation: before a response,
// in the middle of one, or not at all.
type brokenListener struct {
	net.Listener
	writes atomic.Int64
}

func (l *brokenListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &brokenConn{Conn: c, listener: l}, nil
}

type brokenConn struct {
	net.Conn
	listener *brokenListener
}

func (c *brokenConn) Write(p []byte) (int, error) {
	switch c.listener.writes.Add(1) % 3 {
	case 1:
		_ = c.Close()
		return 0, net.ErrClosed
	case 2:
		n, _ := c.Conn.Write(p[:len(p)/2])
		_ = c.Close()
		return n, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// One target's connections break during responses, both new and reused ones,
// while callers send alarms through two entries. Callers must receive complete
// answers or failures, no job that ran may be reported as "not run", and no task
// may be started again although its result is missing.
func TestTargetWithBrokenConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	broken := &brokenListener{Listener: l}
	f := startTest(t, Options{
		Zones: []job.Zone{"a"}, EntriesPerZone: 2, TargetsPerZone: 3,
		ModifyTarget: func(i int, o *standin.Options) {
			if i == 0 {
				o.Listener = broken
			}
		},
	})
	var mu sync.Mutex
	complete, failed := 0, 0
	var callers sync.WaitGroup
	for c, address := range append(f.CallerAddresses(""), f.CallerAddresses("")...) {
		callers.Go(func() {
			for i := range 40 {
				id := fmt.Sprintf("broken-%d-%d", c, i)
				n := 1 + i%3
				r, err := send(http.DefaultClient, address, jobBody(id, "alerts", n, 5))
				if !qt.Check(t, err, qt.IsNil) {
					return
				}
				mu.Lock()
				if r.status == http.StatusOK {
					complete++
					qt.Check(t, whole(r, id, n), qt.IsTrue)
				} else {
					failed++
					for task := range n {
						qt.Check(t, r.other.Run == "not run" && f.Starts.Started(job.ID(id), task), qt.IsFalse, qt.Commentf("%+v", r.other))
					}
				}
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	qt.Check(t, complete > 0, qt.IsTrue)
	qt.Check(t, failed > 0, qt.IsTrue)
	qt.Check(t, f.Starts.DoubledStarts(), qt.Equals, uint64(0))
	qt.Assert(t, f.Stop(), qt.IsNil)
}
