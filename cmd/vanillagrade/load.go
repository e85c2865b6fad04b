package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/load"
	"github.com/vanillagrade/vanillagrade/internal/settings"
	"github.com/vanillagrade/vanillagrade/internal/trial"
)

// loadCmd sends open-loop load and prints the measurements.
type loadCmd struct {
	File      string        `arg:"positional,required" placeholder:"FILE" help:"a load mix, such as examples/cuenca.yaml"`
	Entries   string        `arg:"--entry,env:VANILLAGRADE_ENTRY" default:"127.0.0.1:7001" placeholder:"IP:PORT,..." help:"caller addresses over which jobs are distributed"`
	Operator  string        `arg:"--operator,env:VANILLAGRADE_OPERATOR" placeholder:"IP:PORT,..." help:"operators' addresses of entries, to count messages between them"`
	Targets   string        `arg:"--targets" placeholder:"IP:PORT,..." help:"stand-in targets, to count doubled starts"`
	Remote    bool          `arg:"--allow-remote" help:"send load to addresses other than loopback"`
	Load      float64       `arg:"--load" help:"multiply the mix's rates, such as 2 for twice the load"`
	Duration  time.Duration `arg:"--duration" help:"overrides the mix's duration"`
	JSON      bool          `arg:"--json"`
	Plot      string        `arg:"--plot" placeholder:"FILE" help:"draw stretch by service into an SVG file"`
	Fleet     bool          `arg:"--fleet" help:"start the fleet that the mix describes in this process, instead of calling entries"`
	Baselines bool          `arg:"--baselines" help:"with --fleet: repeat the load with simpler policies and print ratios"`
}

func (c *loadCmd) run(ctx context.Context, stdout, stderr io.Writer) int {
	spec, err := c.spec()
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	reports, err := c.measure(ctx, spec)
	if err != nil {
		return fail(stderr, exitFailed, err)
	}
	if err := c.write(stdout, reports); err != nil {
		return fail(stderr, exitFailed, err)
	}
	for i := range reports {
		if !reports[i].Checks.Passed() {
			return exitFailed
		}
	}
	return exitOK
}

func (c *loadCmd) spec() (load.Spec, error) {
	spec, err := load.Read(c.File)
	if err != nil {
		return spec, errors.Trace(err)
	}
	if c.Load > 0 {
		spec.Load = c.Load
	}
	if c.Duration > 0 {
		spec.Warmup = time.Duration(float64(spec.Warmup) * c.Duration.Seconds() / spec.Duration.Seconds())
		spec.Duration = c.Duration
	}
	return spec, spec.Check()
}

func (c *loadCmd) measure(ctx context.Context, spec load.Spec) ([]load.Report, error) {
	if c.Fleet {
		return c.trial(ctx, spec)
	}
	token, err := settings.Secret("VANILLAGRADE_OPERATOR_TOKEN")
	if err != nil {
		return nil, errors.Trace(err)
	}
	report, err := load.Run(ctx, spec, load.Options{
		Entries: list(c.Entries), Operators: list(c.Operator), Token: token, Targets: list(c.Targets), AllowRemote: c.Remote,
	})
	return []load.Report{report}, err
}

// trial measures the policies in this process, this project's policy first.
func (c *loadCmd) trial(ctx context.Context, spec load.Spec) ([]load.Report, error) {
	policies := []trial.Policy{trial.FullPolicy()}
	if c.Baselines {
		policies = append(policies, trial.Baselines()...)
	}
	return trial.Run(ctx, spec, policies)
}

func list(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

func (c *loadCmd) write(stdout io.Writer, reports []load.Report) error {
	if c.Plot != "" {
		if err := c.plot(reports); err != nil {
			return errors.Trace(err)
		}
	}
	if c.JSON {
		return load.WriteJSON(stdout, reports)
	}
	for i := range reports {
		if err := load.WriteText(stdout, &reports[i]); err != nil {
			return errors.Trace(err)
		}
		fmt.Fprintln(stdout)
	}
	return load.WriteRatios(stdout, reports)
}

func (c *loadCmd) plot(reports []load.Report) error {
	file, err := os.Create(c.Plot)
	if err != nil {
		return errors.Trace(err)
	}
	if err := load.WritePlot(file, reports); err != nil {
		_ = file.Close()
		return errors.Trace(err)
	}
	return errors.Trace(file.Close())
}
