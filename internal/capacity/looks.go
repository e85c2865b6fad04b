package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/runs"
)

// Platform is how targets that run tasks under a lease are spoken to.
type Platform struct {
	Orders func(job.Target) runs.Orders
	// StandIn answers as a target on which some tasks run.
	StandIn func(runs int) (http.Handler, error)
}

// runsPerTarget is how many tasks run on a busy target, as its slots allow.
const runsPerTarget = 8

// countingConn counts the bytes of one connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, &l.bytes}, nil
}

// serveCounted serves on loopback and counts the bytes of all connections.
func serveCounted(h http.Handler) (l *countingListener, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	l = &countingListener{Listener: listener}
	server := &http.Server{Handler: h}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l) // it ends by Close
	}()
	return l, func() { _ = server.Close(); <-done }, nil
}

// measureLooks measures one renewal of the leases on a target, which also asks for
// the ends of its runs. The processor time holds the small stand-in's too.
func measureLooks(p Platform) Measurement {
	return func(m *Slopes, least time.Duration) error {
		for _, n := range []int{1, runsPerTarget} {
			if err := m.looks(p, n, least); err != nil {
				return errors.Trace(err)
			}
		}
		return nil
	}
}

func (m *Slopes) looks(p Platform, n int, least time.Duration) error {
	handler, err := p.StandIn(n)
	if err != nil {
		return errors.Trace(err)
	}
	l, stop, err := serveCounted(handler)
	if err != nil {
		return errors.Trace(err)
	}
	defer stop()
	t := aTarget(0)
	t.Address = l.Addr().String()
	orders := p.Orders(t)
	defer orders.Close()
	count := 0
	var failed error
	m.LookCPU = perCall(least, func(i int) {
		if _, err := orders.Renew(context.Background(), runs.RenewOrder{Until: int64(i), Epoch: 1 << 40, WaitMillis: 350}); err != nil {
			failed = err
		}
		count++
	})
	m.LookBytes = float64(l.bytes.Load()) / float64(count)
	at := fmt.Sprintf("%d runs", n)
	m.cpu("one renewal of the leases on a target, the stand-in included", at, m.LookCPU)
	m.point("one renewal of the leases on a target and its answer, without TCP and IP headers", at, m.LookBytes, "bytes")
	return errors.Trace(failed)
}
