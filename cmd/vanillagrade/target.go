package main

import (
	"context"
	"io"
	"log/slog"
	"strings"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/standin"
)

// targetCmd runs a stand-in target.
type targetCmd struct {
	ID           string  `arg:"--id,env:VANILLAGRADE_TARGET_ID,required"`
	Service      string  `arg:"--service,env:VANILLAGRADE_SERVICE,required" help:"pool that the target announces"`
	AZ           string  `arg:"--az,env:VANILLAGRADE_AZ,required" placeholder:"ZONE"`
	Rack         string  `arg:"--rack"`
	Listen       string  `arg:"--listen" default:"127.0.0.1:0" placeholder:"IP:PORT"`
	Entries      string  `arg:"--entries,env:VANILLAGRADE_ENTRIES,required" placeholder:"IP:PORT,..." help:"caller addresses to announce to"`
	Slots        int     `arg:"--slots" default:"8"`
	Connections  int     `arg:"--connections" default:"64"`
	Processors   int     `arg:"--processors"`
	MemoryMB     int     `arg:"--memory-mb"`
	Accelerators int     `arg:"--accelerators"`
	Speed        float64 `arg:"--speed" default:"1" help:"relative speed; at 0.1 every task takes ten times as long"`
	FailAll      bool    `arg:"--fail-all" help:"fail every task immediately"`
}

func (c *targetCmd) run(ctx context.Context, _, stderr io.Writer) int {
	t, err := standin.New(standin.Options{
		ID:           job.TargetID(c.ID),
		Service:      c.Service,
		Zone:         job.Zone(c.AZ),
		Rack:         c.Rack,
		Slots:        c.Slots,
		Connections:  c.Connections,
		Processors:   c.Processors,
		MemoryMB:     c.MemoryMB,
		Accelerators: c.Accelerators,
		Listen:       c.Listen,
		Entries:      strings.Split(c.Entries, ","),
		Speed:        c.Speed,
		FailAll:      c.FailAll,
		Log:          slog.Default(),
	})
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	slog.Info("stand-in target listens", "target", c.ID, "address", t.Addr())
	if err := t.Run(ctx); err != nil {
		return fail(stderr, exitFailed, err)
	}
	return exitOK
}
