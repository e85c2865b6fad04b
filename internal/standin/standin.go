// Package standin is a small target for trials, tests and measurement. It
// announces itself, runs tasks that sleep for as long as their payload says,
// and counts what it started, so that a task started twice is seen.
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

// Time limits of the stand-in's server. The idle limit is well above the one
// of the dispatcher's client, so that the client closes an idle connection
// first: otherwise a task is sometimes written into a connection that is just
// being closed, and its fate is unknown.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	stopTimeout       = 10 * time.Second
)

// Work runs one task and returns its answer. ctx ends when the task is to stop.
type Work func(ctx context.Context, submission job.ID, index int, payload []byte) ([]byte, error)

// Options describes one stand-in. Zero Slots and Connections take the defaults
// of the configuration file.
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
	// Listen is the address to listen on, "127.0.0.1:0" by default; Listener,
	// where given, is used in its place.
	Listen   string
	Listener net.Listener
	// Entries are caller addresses ("IP:PORT") to announce to; one that does
	// not answer is passed over. Without any the target does not announce.
	Entries []string
	// Work replaces the built-in work, which sleeps as the payload says.
	Work Work
	// Speed divides the built-in sleep: 0.1 is a slow target. Zero means 1.
	Speed float64
	// FailAll makes each task fail at once.
	FailAll bool
	// Ledger counts starts; several stand-ins may share one, which then sees a
	// task that was started on two of them.
	Ledger *Ledger
	Client *http.Client
	Log    *slog.Logger
}

// Target is one running stand-in.
type Target struct {
	opts     Options
	listener net.Listener
	server   *http.Server
	ledger   *Ledger

	mu        sync.Mutex
	running   map[taskKey]context.CancelFunc
	leaving   bool
	most      int
	served    uint64
	refused   uint64
	failed    uint64
	stopped   uint64
	unused    map[net.Conn]struct{}
	conns     int
	mostConns int
	workDone  sync.WaitGroup
}

// New returns a stand-in that already listens, so that its address is known.
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
		opts:     opts,
		listener: l,
		ledger:   opts.Ledger,
		running:  make(map[taskKey]context.CancelFunc),
		unused:   make(map[net.Conn]struct{}),
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
	if o.Ledger == nil {
		o.Ledger = NewLedger()
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

// Run serves and announces until ctx ends. Then it withdraws, takes no new
// task, lets running ones end and returns.
func (t *Target) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- t.server.Serve(t.listener) }()
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		t.announce(ctx)
	}()
	select {
	case err := <-served:
		return errors.Annotatef(err, "stand-in %s", t.opts.ID)
	case <-ctx.Done():
	}
	<-announced
	t.leave()
	t.withdraw()
	t.workDone.Wait()
	t.closeUnused()
	stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return errors.Annotatef(t.server.Shutdown(stop), "stand-in %s", t.opts.ID)
}

// Kill drops the listener and all connections at once, as a dying VM does.
func (t *Target) Kill() error { return errors.Trace(t.server.Close()) }

func (t *Target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// closeUnused closes connections on which nothing was ever sent. The client's
// transport opens some in advance, and the server's shutdown would wait for
// them for five seconds.
func (t *Target) closeUnused() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.unused {
		_ = c.Close()
	}
}

func (t *Target) countConnection(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s != http.StateNew {
		delete(t.unused, c)
	}
	switch s {
	case http.StateNew:
		t.unused[c] = struct{}{}
		t.conns++
		t.mostConns = max(t.mostConns, t.conns)
	case http.StateClosed, http.StateHijacked:
		t.conns--
	case http.StateActive, http.StateIdle:
	}
}
