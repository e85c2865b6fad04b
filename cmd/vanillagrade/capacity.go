package main

import (
	"context"
	"io"

	"github.com/vanillagrade/vanillagrade/internal/capacity"
)

// capacityCmd measures how costs grow and works out a size.
type capacityCmd struct {
	Entries     int     `arg:"--entries" help:"entry VMs of all availability zones"`
	Targets     int     `arg:"--targets"`
	Starts      float64 `arg:"--starts" help:"task starts a second at the peak"`
	TasksPerJob float64 `arg:"--tasks-per-job"`
	Changes     float64 `arg:"--changes" help:"changes of configuration a day"`
}

func (c *capacityCmd) run(_ context.Context, stdout, stderr io.Writer) int {
	size := capacity.TwoYears()
	set(&size.Entries, c.Entries)
	set(&size.Targets, c.Targets)
	set(&size.Starts, c.Starts)
	set(&size.TasksPerJob, c.TasksPerJob)
	set(&size.Changes, c.Changes)
	slopes, err := capacity.Measure()
	if err != nil {
		return fail(stderr, exitFailed, err)
	}
	if err := capacity.Write(stdout, &size, slopes); err != nil {
		return fail(stderr, exitFailed, err)
	}
	return exitOK
}

// set takes a value that was given.
func set[T int | float64](to *T, given T) {
	if given > 0 {
		*to = given
	}
}
