package main

import (
	"context"
	"io"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/capacity"
	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/platform"
)

// capacityCmd measures how costs grow and works out a size.
type capacityCmd struct {
	Entries     int             `arg:"--entries" help:"entry VMs of all availability zones"`
	Targets     int             `arg:"--targets"`
	Starts      float64         `arg:"--starts" help:"task starts a second at the peak"`
	TasksPerJob float64         `arg:"--tasks-per-job"`
	Changes     float64         `arg:"--changes" help:"changes of configuration a day"`
	Leases      []time.Duration `arg:"--lease" help:"leases of targets to work out, such as 4s 32s"`
}

func (c *capacityCmd) run(_ context.Context, stdout, stderr io.Writer) int {
	size := capacity.TwoYears()
	set(&size.Entries, c.Entries)
	set(&size.Targets, c.Targets)
	set(&size.Starts, c.Starts)
	set(&size.TasksPerJob, c.TasksPerJob)
	set(&size.Changes, c.Changes)
	slopes, err := capacity.Measure(capacity.Platform{Orders: platform.NewClient(nil).Orders, StandIn: platform.StandIn})
	if err != nil {
		return fail(stderr, exitFailed, err)
	}
	if err := capacity.WritePoints(stdout, slopes); err != nil {
		return fail(stderr, exitFailed, err)
	}
	for _, lease := range append([]time.Duration{config.DefaultLease}, c.Leases...) {
		size.Renew = lease / target.Renewals
		if err := capacity.WriteSize(stdout, &size, slopes); err != nil {
			return fail(stderr, exitFailed, err)
		}
	}
	return exitOK
}

// set takes a value that was given.
func set[T int | float64](to *T, given T) {
	if given > 0 {
		*to = given
	}
}
