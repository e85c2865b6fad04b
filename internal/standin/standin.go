// Package standin provides a small target for trials, tests and measurements. It
// announces itself, runs tasks that sleep for the time in their payload, and
// counts starts to detect a task that is started twice.
package standin

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Timeouts of the stand-in's server. The idle timeout is well above that of the
// dispatcher's client, so that the client closes an idle connection first.
// Otherwise the client sometimes writes a task to a connection that is just
// being closed, and can't know whether the task runs.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	stopTimeout       = 10 * time.Second
)

// Work runs one task and returns its answer. ctx is cancelled to stop the task.
type Work func(ctx context.Context, submission job.ID, index int, payload []byte) ([]byte, error)

// Options configures one stand-in. If Slots or Connections is zero, it has the
// default of the configuration file.
type Options struct {
	ID           job.TargetID
	Service      string
	Zone         job.Zone
	Rack         string
	Slots        int
	Connections  int
	Processors   int
	MemoryMB     int
	Accelerators int
	// Listen is the address to listen on, "127.0.0.1:0" by default. Listener, if
	// set, is used instead.
	Listen   string
	Listener net.Listener
	// Entries are caller addresses ("IP:PORT") to announce to. An entry that does
	// not answer is skipped. If there are none, the target does not announce.
	Entries []string
	// Work replaces the built-in work, which sleeps for the time in the payload.
	Work Work
	// Speed divides the time of the built-in sleep: 0.1 makes a slow target. Zero
	// means 1.
	Speed float64
	// FailAll makes each task fail immediately.
	FailAll bool
	// Starts records starts. Stand-ins may share a tracker, which then also
	// detects a task that is started on two of them.
	Starts *StartTracker
	Client *http.Client
	Log    *slog.Logger
}

// Target is one running stand-in.
type Target struct {
	opts     Options
	listener net.Listener
	server   *http.Server
	starts   *StartTracker

	mu          sync.Mutex
	running     map[taskKey]context.CancelFunc
	draining    bool
	maxRunning  int
	served      uint64
	refused     uint64
	failed      uint64
	stopped     uint64
	unusedConns map[net.Conn]struct{}
	conns       int
	maxConns    int
	workDone    sync.WaitGroup
}

// New returns a stand-in that is already listening, so that its address is known.
func New(opts Options) (*Target, error) {
	opts = withDefaults(opts)
	l := opts.Listener
	if l == nil {
		var err error
		l, err = net.Listen("tcp", opts.Listen)
		if err != nil {
			return nil, errors.Annotatef(err, "stand-in %s", opts.ID)
		}
	}
	t := &Target{
		opts:        opts,
		listener:    l,
		starts:      opts.Starts,
		running:     make(map[taskKey]context.CancelFunc),
		unusedConns: make(map[net.Conn]struct{}),
	}
	t.server = &http.Server{
		Handler:           t.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         t.countConnection,
		ErrorLog:          slog.NewLogLogger(opts.Log.Handler(), slog.LevelDebug),
	}
	return t, nil
}

func withDefaults(o Options) Options {
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	if o.Slots == 0 {
		o.Slots = config.DefaultSlots
	}
	if o.Connections == 0 {
		o.Connections = config.DefaultConnections
	}
	if o.Speed == 0 {
		o.Speed = 1
	}
	if o.Starts == nil {
		o.Starts = NewStartTracker()
	}
	if o.Client == nil {
		o.Client = &http.Client{Timeout: announceTimeout}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return o
}

// Addr returns the address that the stand-in listens on, "IP:PORT".
func (t *Target) Addr() string { return t.listener.Addr().String() }

// Run serves and announces until ctx ends. Then it refuses new tasks, withdraws
// the target, waits for running tasks and returns.
func (t *Target) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- t.server.Serve(t.listener) }()
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		t.announceLoop(ctx)
	}()
	select {
	case err := <-served:
		return errors.Annotatef(err, "stand-in %s", t.opts.ID)
	case <-ctx.Done():
	}
	<-announced
	t.startDraining()
	t.withdraw()
	t.workDone.Wait()
	t.closeUnusedConns()
	stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return errors.Annotatef(t.server.Shutdown(stop), "stand-in %s", t.opts.ID)
}

// Kill closes the listener and all connections immediately, like a VM that
// crashes.
func (t *Target) Kill() error { return errors.Trace(t.server.Close()) }

func (t *Target) startDraining() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// closeUnusedConns closes connections that never carried a request. The client's
// transport opens some in advance, and Server.Shutdown would wait five seconds
// for them.
func (t *Target) closeUnusedConns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.unusedConns {
		_ = c.Close()
	}
}

func (t *Target) countConnection(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s != http.StateNew {
		delete(t.unusedConns, c)
	}
	switch s {
	case http.StateNew:
		t.unusedConns[c] = struct{}{}
		t.conns++
		t.maxConns = max(t.maxConns, t.conns)
	case http.StateClosed, http.StateHijacked:
		t.conns--
	case http.StateActive, http.StateIdle:
	}
}
