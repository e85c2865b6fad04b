package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/fleet"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

// demoCmd runs a fleet in this process and sends one job to it.
type demoCmd struct {
	Tasks int `arg:"--tasks" default:"12" help:"number of tasks of the job"`
}

// Size of the demo's fleet, small enough to start immediately on a laptop.
const (
	demoTargetsPerZone = 4
	demoSlots          = 8
	demoZones          = 3
	demoPool           = "frame-desk"
	demoTimeout        = 30 * time.Second
)

// demoFile is the first declarative file of the README.
const demoFile = `number: 1
teams:
  - {name: studio7, weight: 3, max_queued_tasks: 4000, tasks_per_second: 900}
services:
  - {name: thumbnails, pool: frame-desk, urgency: interactive, repeatable: true, deadline: 5s, late_answers: refuse}
`

func (c *demoCmd) run(ctx context.Context, stdout, stderr io.Writer) int {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := c.demo(ctx, stdout); err != nil {
		return fail(stderr, exitFailed, err)
	}
	return exitOK
}

func (c *demoCmd) demo(ctx context.Context, stdout io.Writer) error {
	f, err := fleet.Start(fleet.Options{
		Zones:          []job.Zone{"tomebamba", "yanuncay", "machangara"},
		EntriesPerZone: 2,
		TargetsPerZone: demoTargetsPerZone,
		Pool:           demoPool,
		File:           []byte(demoFile),
	})
	if err != nil {
		return errors.Trace(err)
	}
	if err := f.WaitReady(ctx, demoZones*demoTargetsPerZone*demoSlots); err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintln(stdout, "fleet: 3 availability zones of 2 entries and 4 stand-in targets; the first file is in effect everywhere")
	if err := c.runJob(ctx, stdout, f); err != nil {
		return errors.Trace(err)
	}
	if err := f.Stop(); err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintln(stdout, "stopped: no request was interrupted")
	return nil
}

func (c *demoCmd) runJob(ctx context.Context, stdout io.Writer, f *fleet.Fleet) error {
	began := time.Now()
	response, err := postJob(ctx, f.CallerAddresses("")[0], demoJob(c.Tasks))
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Trace(err)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("the job was not completed: %s", answer)
	}
	fmt.Fprintf(stdout, "answer after %v: %s\n", time.Since(began).Round(time.Millisecond), answer)
	fmt.Fprintf(stdout, "starts at targets: %d, doubled: %d\n", f.Starts.Starts(), f.Starts.DoubledStarts())
	return nil
}

// demoJob returns a job of n tasks of 100 ms each.
func demoJob(n int) []byte {
	body := []byte(`{"id":"demo-1","team":"studio7","service":"thumbnails","attempt":1,"tasks":[`)
	for i := range n {
		if i > 0 {
			body = append(body, ',')
		}
		body = append(body, `{"kind":"pose","payload":{"sleep_ms":100},"run_ms":100}`...)
	}
	return append(body, "]}"...)
}
