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

// Platform provides a client for, and a fake of, targets that run tasks under a lease.
type Platform struct {
	WorkerClient func(job.Target) runs.TargetClient
	// FakeWorker returns a handler that answers like a target with the given number of
	// running tasks.
	FakeWorker func(runs int) (http.Handler, error)
}

// runsPerTarget is the number of tasks on a busy target, one per slot.
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
		_ = server.Serve(l) // returns an error after Close
	}()
	return l, func() { _ = server.Close(); <-done }, nil
}

// measureLeaseRenewals measures one renewal of the leases on a target, which also polls
// for finished runs. The processor time includes that of the small stand-in.
func measureLeaseRenewals(p Platform) Measurement {
	return func(m *Slopes, minTime time.Duration) error {
		for _, n := range []int{1, runsPerTarget} {
			if err := m.measureRenewalsWith(p, n, minTime); err != nil {
				return errors.Trace(err)
			}
		}
		return nil
	}
}

// measureRenewalsWith measures the renewal of the leases of n runs.
func (m *Slopes) measureRenewalsWith(p Platform, n int, minTime time.Duration) error {
	handler, err := p.FakeWorker(n)
	if err != nil {
		return errors.Trace(err)
	}
	l, stop, err := serveCounted(handler)
	if err != nil {
		return errors.Trace(err)
	}
	defer stop()
	t := newTarget(0)
	t.Address = l.Addr().String()
	client := p.WorkerClient(t)
	defer client.Close()
	count := 0
	var lastErr error
	m.LeaseRenewalCPU = cpuPerCall(minTime, func(i int) {
		if _, err := client.Renew(context.Background(), runs.PollRequest{Until: int64(i), Epoch: 1 << 40, WaitMillis: 350}); err != nil {
			lastErr = err
		}
		count++
	})
	m.LeaseRenewalBytes = float64(l.bytes.Load()) / float64(count)
	at := fmt.Sprintf("%d runs", n)
	m.addCPU("one renewal of the leases on a target, the stand-in included", at, m.LeaseRenewalCPU)
	m.addPoint("one renewal of the leases on a target and its answer, without TCP and IP headers", at, m.LeaseRenewalBytes, "bytes")
	return errors.Trace(lastErr)
}
