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

// capacityCmd measures how costs grow and computes the size of a fleet.
type capacityCmd struct {
	Entries     int             `arg:"--entries" help:"number of entry VMs in all availability zones"`
	Targets     int             `arg:"--targets"`
	Starts      float64         `arg:"--starts" help:"task starts per second at the peak"`
	TasksPerJob float64         `arg:"--tasks-per-job"`
	Changes     float64         `arg:"--changes" help:"configuration changes per day"`
	Leases      []time.Duration `arg:"--lease" help:"more target leases to compute the size for, such as 4s 32s"`
}

func (c *capacityCmd) run(_ context.Context, stdout, stderr io.Writer) int {
	size := capacity.TwoYears()
	overrideIfGiven(&size.Entries, c.Entries)
	overrideIfGiven(&size.Targets, c.Targets)
	overrideIfGiven(&size.Starts, c.Starts)
	overrideIfGiven(&size.TasksPerJob, c.TasksPerJob)
	overrideIfGiven(&size.Changes, c.Changes)
	slopes, err := capacity.Measure(capacity.Platform{WorkerClient: platform.NewClient(nil).Worker, FakeWorker: platform.FakeWorker})
	if err != nil {
		return fail(stderr, exitFailed, err)
	}
	if err := capacity.WritePoints(stdout, slopes); err != nil {
		return fail(stderr, exitFailed, err)
	}
	for _, lease := range append([]time.Duration{config.DefaultLease}, c.Leases...) {
		size.Renew = lease / target.RenewalsPerLease
		if err := capacity.WriteSize(stdout, &size, slopes); err != nil {
			return fail(stderr, exitFailed, err)
		}
	}
	return exitOK
}

// overrideIfGiven stores given in *to if it is set.
func overrideIfGiven[T int | float64](to *T, given T) {
	if given > 0 {
		*to = given
	}
}
