package register

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/consensus"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// ErrCordonsUnsupported means that a voter runs a release that does not keep cordons, or has
// not reported its release yet. The cordon was not changed.
const ErrCordonsUnsupported = errors.ConstError("a voter runs a release that does not keep cordons, or could not be asked; this call changed nothing")

const (
	// maxZoneName bounds the length of a zone's name in bytes.
	maxZoneName = 128
	// cordonRetryDelay is the mean delay before a change of a cordon is proposed again because
	// another change of the same zone came first.
	cordonRetryDelay = 20 * time.Millisecond
	// keeperQueryTimeout bounds the query for a voter's release.
	keeperQueryTimeout = 500 * time.Millisecond
)

func checkZone(zone job.Zone) error {
	if zone == "" || len(zone) > maxZoneName {
		return errors.NotValidf("zone name of %d bytes (1 to %d)", len(zone), maxZoneName)
	}
	return nil
}

// SetCordon cordons or uncordons a zone and returns once a majority of the voters has accepted
// the change. Setting a cordon that is already set changes nothing and succeeds. Its error is
// ErrCordonsUnsupported, ErrUnavailable, ErrUnknown or one of type NotValid.
func (r *Register) SetCordon(ctx context.Context, zone job.Zone, active bool) error {
	if err := checkZone(zone); err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	wanted := consensus.CordonOf(r.cordons(), zone)
	wanted.Active = active
	for {
		c := consensus.Command{Kind: consensus.SetCordon, Cordon: wanted, Voters: r.voterCordonKeepers(ctx)}
		o := r.submit(ctx, c, r.candidates())
		if o.Kind != consensus.Outdated {
			if o.Kind == consensus.Accepted {
				r.awaitInstalled(ctx, func() bool { return consensus.CordonOf(r.cordons(), zone).Active == active })
			}
			return errorOf(o)
		}
		wanted.Revision = o.Cordon.Revision
		if !sleep(ctx, jitter(cordonRetryDelay)) {
			return ErrUnavailable
		}
	}
}

// CordonedZones returns the zones that are cordoned in this entry's view.
func (r *Register) CordonedZones() []job.Zone { return activeZones(r.cordons()) }

// OnCordonChange registers a function that is called with the cordoned zones whenever these
// have changed, one call at a time and in order. The function must not block.
func (r *Register) OnCordonChange(f func(zones []job.Zone)) {
	r.installing.Lock()
	defer r.installing.Unlock()
	r.cordonWatchers = append(r.cordonWatchers, f)
}

func (r *Register) cordons() []consensus.Cordon { return cordonsIn(r.current.Load()) }

func cordonsIn(s *snapshot) []consensus.Cordon {
	if s == nil {
		return nil
	}
	return s.Cordons
}

func activeZones(cordons []consensus.Cordon) []job.Zone {
	var zones []job.Zone
	for _, c := range cordons {
		if c.Active {
			zones = append(zones, c.Zone)
		}
	}
	return zones
}

// reportCordons reports the cordons of a snapshot that differ from those of the previous one.
// The caller holds installing.
func (r *Register) reportCordons(old, updated *snapshot) {
	before, after := cordonsIn(old), cordonsIn(updated)
	if slices.Equal(before, after) {
		return
	}
	for _, c := range after {
		if c.Active == consensus.CordonOf(before, c.Zone).Active {
			continue
		}
		r.log.Info("cordon in force", "zone", c.Zone, "active", c.Active, "revision", c.Revision)
		kind := timeline.ZoneUncordoned
		if c.Active {
			kind = timeline.ZoneCordoned
		}
		r.events.Record(timeline.Event{Kind: kind, Cause: fmt.Sprintf("zone %s, revision %d", c.Zone, c.Revision)})
	}
	for _, f := range r.cordonWatchers {
		f(activeZones(after))
	}
	r.signalChange()
}

// keepsCordons reports whether the entry of a disk has reported that it keeps cordons.
func (r *Register) keepsCordons(disk consensus.Voter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cordonKeepers[disk] || r.node != nil && disk == r.node.Self
}

// voterCordonKeepers returns the voters that are known to keep cordons, nil once the register
// holds a cordon. It asks those that have not reported it yet.
func (r *Register) voterCordonKeepers(ctx context.Context) []consensus.Voter {
	s := r.current.Load()
	if s == nil || len(s.Cordons) > 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, keeperQueryTimeout)
	defer cancel()
	asked := make(chan struct{}, len(s.Voters))
	for _, v := range s.Voters {
		go func() {
			if !r.keepsCordons(v) {
				// An unanswered query leaves the voter unknown; the register then refuses.
				_, _ = r.identify(ctx, v.Entry)
			}
			asked <- struct{}{}
		}()
	}
	for range s.Voters {
		<-asked
	}
	return slices.DeleteFunc(slices.Clone(s.Voters), func(v consensus.Voter) bool { return !r.keepsCordons(v) })
}
