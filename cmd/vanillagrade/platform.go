package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/discovery"
	"github.com/vanillagrade/vanillagrade/internal/entry"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/vmclock"
	"github.com/vanillagrade/vanillagrade/platform"
)

// platformCmd runs an entry on the users' platform, configured by the platform's
// settings file.
type platformCmd struct{}

// reloadInterval is how often the settings file is read again, because it may change
// without a signal.
const reloadInterval = 2 * time.Second

func (c *platformCmd) run(ctx context.Context, stdout, stderr io.Writer) int {
	lines := setLimitedLog(ctx, stdout)
	defer lines.Close()
	s, err := platform.ReadSettings()
	if err != nil {
		printProblems(stderr, err)
		return exitUsage
	}
	seeds := newSeedList(s)
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	defer signal.Stop(sighups)
	go seeds.follow(ctx, sighups)
	options, err := platform.Options(s, seeds.list, lines.Dropped, slog.Default())
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	limitHeap(&options.Settings)
	runtime.GOMAXPROCS(options.Settings.Threads(runtime.GOMAXPROCS(0)))
	lastIncarnation := discovery.LastIncarnation(ctx, seeds.list(), nil, options.Settings.Name)
	options.Suspended = vmclock.Suspended()
	options.Incarnation = max(job.Incarnation(time.Now().UnixNano()), lastIncarnation+1)
	e, err := entry.New(options)
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	if err := e.Run(ctx); err != nil {
		return fail(stderr, exitFailed, err)
	}
	return exitOK
}

// seedList holds the peer addresses that the settings file currently contains.
type seedList struct{ current atomic.Pointer[[]string] }

func newSeedList(s *platform.Settings) *seedList {
	var out seedList
	first := s.PeerSeeds()
	out.current.Store(&first)
	return &out
}

func (s *seedList) list() []string { return slices.Clone(*s.current.Load()) }

// follow reads the settings file at each hangup signal and every reloadInterval until
// ctx ends. If the file can't be read, the seeds stay unchanged.
func (s *seedList) follow(ctx context.Context, sighups <-chan os.Signal) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		cause := "the file changed"
		select {
		case <-ctx.Done():
			return
		case <-sighups:
			cause = "hangup signal"
		case <-tick.C:
		}
		read, err := platform.ReadSettings()
		if err != nil {
			slog.Warn("settings not reloaded", "cause", cause, "error", err)
			continue
		}
		updated := read.PeerSeeds()
		if slices.Equal(updated, *s.current.Load()) && cause != "hangup signal" {
			continue
		}
		s.current.Store(&updated)
		slog.Info("settings reloaded", "cause", cause, "seeds", updated)
	}
}
