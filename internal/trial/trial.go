// Package trial compares policies. For each policy it starts the fleet of a mix
// in this process, sends the same arrivals and reports the results.
package trial

import (
	"context"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/fleet"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/load"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
	"github.com/vanillagrade/vanillagrade/internal/standin"
)

// Policy is a named set of scheduling options.
type Policy struct {
	Name      string
	Scheduler scheduler.Options
}

// FullPolicy returns the policy with all scheduling features enabled.
func FullPolicy() Policy { return Policy{Name: "ours"} }

// Baselines returns simpler policies for comparison.
func Baselines() []Policy {
	return []Policy{
		{"plain", scheduler.Baseline()},
		{"first come first served", scheduler.Options{NoFairness: true, NoClasses: true, NoJobOrder: true, NoReserve: true}},
		{"random placement", scheduler.Options{NoHealth: true, Placement: scheduler.PlaceRandom}},
		{"no admission", scheduler.Options{NoAdmission: true}},
	}
}

// readyTimeout bounds the time until the entries of a fleet know all targets.
const readyTimeout = 20 * time.Second

// Run sends the mix to a new fleet for each policy. It runs them sequentially,
// so that they don't compete for processor time.
func Run(ctx context.Context, spec load.Spec, policies []Policy) ([]load.Report, error) {
	body, err := os.ReadFile(spec.Configuration)
	if err != nil {
		return nil, errors.Annotate(err, "configuration of the mix")
	}
	if _, err := config.Parse(spec.Configuration, body); err != nil {
		return nil, errors.Trace(err)
	}
	roundUpPerZone(&spec.Fleet)
	var reports []load.Report
	for _, policy := range policies {
		report, err := measurePolicy(ctx, spec, policy, body)
		if err != nil {
			return reports, errors.Annotatef(err, "policy %q", policy.Name)
		}
		reports = append(reports, report)
		if ctx.Err() != nil {
			break
		}
	}
	return reports, nil
}

// roundUpPerZone rounds the numbers of targets and entries up to multiples of
// the number of zones.
func roundUpPerZone(f *load.Fleet) {
	if len(f.Zones) == 0 {
		f.Zones = []string{"one"}
	}
	zones := len(f.Zones)
	f.Targets = (f.Targets + zones - 1) / zones * zones
	f.Entries = (f.Entries + zones - 1) / zones * zones
}

// measurePolicy runs the load on a new fleet with the policy.
func measurePolicy(ctx context.Context, spec load.Spec, policy Policy, file []byte) (report load.Report, err error) {
	running, err := fleet.Start(fleetOptions(&spec.Fleet, policy, file))
	if err != nil {
		return load.Report{}, errors.Trace(err)
	}
	defer func() {
		if stopErr := running.Stop(); err == nil {
			err = errors.Trace(stopErr)
		}
	}()
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := running.WaitReady(ready, spec.Fleet.Capacity()); err != nil {
		return load.Report{}, errors.Trace(err)
	}
	return load.Run(ctx, spec, load.Options{
		Entries:   running.CallerAddresses(""),
		Operators: running.OperatorAddresses(),
		// All stand-ins share one tracker, so one of them returns the counts of all.
		Targets: running.TargetAddresses()[:1],
		Policy:  policy.Name,
	})
}

func fleetOptions(f *load.Fleet, policy Policy, file []byte) fleet.Options {
	zones := make([]job.Zone, len(f.Zones))
	for i, name := range f.Zones {
		zones[i] = job.Zone(name)
	}
	return fleet.Options{
		Zones:          zones,
		EntriesPerZone: f.Entries / len(zones),
		TargetsPerZone: f.Targets / len(zones),
		TargetsPerRack: f.PerRack,
		Pool:           f.Pool,
		Target:         standin.Options{Slots: f.Slots, Processors: f.Processors, MemoryMB: f.MemoryMB, Accelerators: f.Accelerators},
		ModifyTarget:   makeUnhealthy(f),
		Scheduler:      policy.Scheduler,
		File:           file,
	}
}

// makeUnhealthy returns a change that makes the first targets slow and the next
// ones fail.
func makeUnhealthy(f *load.Fleet) func(int, *standin.Options) {
	return func(index int, o *standin.Options) {
		switch {
		case index < f.Slow.Count:
			o.Speed = 1 / f.Slow.Factor
		case index < f.Slow.Count+f.Failing:
			o.FailAll = true
		}
	}
}
