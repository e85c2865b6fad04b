// Package trial measures policies side by side: it starts the fleet of a mix in
// this process once for each policy, sends each the same arrivals and returns
// the reports.
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

// Policy is a named set of decisions that are switched on.
type Policy struct {
	Name      string
	Scheduler scheduler.Options
}

// Ours is the policy with every decision on.
func Ours() Policy { return Policy{Name: "ours"} }

// Baselines are plainer policies, to compare with.
func Baselines() []Policy {
	return []Policy{
		{"plain", scheduler.Baseline()},
		{"first come first served", scheduler.Options{NoFairness: true, NoClasses: true, NoJobOrder: true, NoReserve: true}},
		{"random placement", scheduler.Options{NoHealth: true, Placement: scheduler.PlaceRandom}},
		{"no admission", scheduler.Options{NoAdmission: true}},
	}
}

// readyTime bounds how long a fleet may take until all targets are known.
const readyTime = 20 * time.Second

// Run sends the mix to a fresh fleet for each policy, one after the other, so
// that they don't take each other's processor time.
func Run(ctx context.Context, spec load.Spec, policies []Policy) ([]load.Report, error) {
	body, err := os.ReadFile(spec.Configuration)
	if err != nil {
		return nil, errors.Annotate(err, "configuration of the mix")
	}
	if _, err := config.Parse(spec.Configuration, body); err != nil {
		return nil, errors.Trace(err)
	}
	evenOut(&spec.Fleet)
	var reports []load.Report
	for _, policy := range policies {
		report, err := one(ctx, spec, policy, body)
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

// evenOut rounds targets and entries up to the same number in each zone.
func evenOut(f *load.Fleet) {
	if len(f.Zones) == 0 {
		f.Zones = []string{"one"}
	}
	zones := len(f.Zones)
	f.Targets = (f.Targets + zones - 1) / zones * zones
	f.Entries = (f.Entries + zones - 1) / zones * zones
}

func one(ctx context.Context, spec load.Spec, policy Policy, file []byte) (report load.Report, err error) {
	running, err := fleet.Start(options(&spec.Fleet, policy, file))
	if err != nil {
		return load.Report{}, errors.Trace(err)
	}
	defer func() {
		if stopped := running.Stop(); err == nil {
			err = errors.Trace(stopped)
		}
	}()
	ready, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	if err := running.WaitReady(ready, spec.Fleet.Capacity()); err != nil {
		return load.Report{}, errors.Trace(err)
	}
	return load.Run(ctx, spec, load.Options{
		Entries:   running.CallerAddresses(""),
		Operators: running.OperatorAddresses(),
		// All stand-ins share one ledger, so one of them counts for all.
		Targets: running.TargetAddresses()[:1],
		Policy:  policy.Name,
	})
}

func options(f *load.Fleet, policy Policy, file []byte) fleet.Options {
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
		Change:         unhealthy(f),
		Scheduler:      policy.Scheduler,
		File:           file,
	}
}

// unhealthy makes the first targets slow and the next ones fail.
func unhealthy(f *load.Fleet) func(int, *standin.Options) {
	return func(index int, o *standin.Options) {
		switch {
		case index < f.Slow.Count:
			o.Speed = 1 / f.Slow.Times
		case index < f.Slow.Count+f.Failing:
			o.FailAll = true
		}
	}
}
