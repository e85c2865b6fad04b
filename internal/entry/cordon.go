package entry

import (
	"context"
	"slices"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// SetCordon cordons or uncordons an availability zone in the whole fleet. It returns once a
// majority of the voters has accepted the change. A zone that this entry does not know is
// refused with an error of type NotFound.
func (e *Entry) SetCordon(ctx context.Context, zone job.Zone, active bool) error {
	if !slices.Contains(e.knownZones(), zone) {
		return errors.NotFoundf("availability zone %q", zone)
	}
	err := e.register.SetCordon(ctx, zone, active)
	if err != nil {
		e.log.Warn("cordon not changed", "zone", zone, "active", active, "error", err.Error())
	}
	return err
}

// CordonedZones returns the cordoned zones as this entry knows them.
func (e *Entry) CordonedZones() []job.Zone { return e.register.CordonedZones() }

// knownZones returns the zones in the settings and those of the entries that this one knows.
func (e *Entry) knownZones() []job.Zone {
	zones := append([]job.Zone{e.self.Zone}, e.opts.Settings.Zones...)
	view := e.members.View()
	for _, m := range view.List {
		zones = append(zones, m.Zone)
	}
	return zones
}

// followCordons applies the cordons in force to the targets held here, and reports the new load
// to the owners.
func (e *Entry) followCordons() {
	e.cordonMu.Lock()
	defer e.cordonMu.Unlock()
	e.holder.SetCordoned(slices.Contains(e.register.CordonedZones(), e.self.Zone))
	e.members.SendHeartbeats()
}
