package main

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/entry"
	"github.com/vanillagrade/vanillagrade/internal/eventlog"
	"github.com/vanillagrade/vanillagrade/platform"
)

// platformCmd runs an entry on the users' platform, by the platform's own
// settings file.
type platformCmd struct{}

// reloadEvery is how often the settings file is looked at: it may change without
// a signal.
const reloadEvery = time.Second

func (c *platformCmd) run(ctx context.Context, stdout, stderr io.Writer) int {
	lines := eventlog.NewWriter(stdout)
	defer lines.Close()
	slog.SetDefault(slog.New(slog.NewJSONHandler(lines, nil)))
	s, err := platform.ReadSettings()
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	var seeds atomic.Pointer[[]string]
	first := s.PeerSeeds()
	seeds.Store(&first)
	options, err := platform.Options(s, func() []string { return *seeds.Load() }, slog.Default())
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	e, err := entry.New(options)
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	if err := e.Run(ctx); err != nil {
		return fail(stderr, exitFailed, err)
	}
	return exitOK
}
