package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/discovery"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/membership"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/policy/assign"
	"github.com/vanillagrade/vanillagrade/internal/policy/voters"
	"github.com/vanillagrade/vanillagrade/internal/register"
)

const (
	// linkSilence is how long a link of a fleet that shares work across zones may
	// bring nothing: four heartbeats. Connections can go silent for good without a
	// reset while new ones work, and nothing else shows it.
	linkSilence = time.Second
	// forgetAfter is how long an entry must be dead before it is forgotten: a VM
	// that is restarted is back within seconds, one that is replaced never is.
	forgetAfter = 30 * time.Second
	// forgetEvery is how often the dead are looked through.
	forgetEvery = 5 * time.Second
)

// sharedWork watches entries of other zones as closely as those of this one:
// work that is shared across zones ends with its owner, and an owner may place
// it anew only once that is certain.
var sharedWork = membership.Timings{
	Period: 250 * time.Millisecond, SuspectAfter: time.Second,
	DeadAfter: 2500 * time.Millisecond, VouchWithin: 600 * time.Millisecond,
}

// discover prepares the links of an entry that finds the others by itself.
func (e *Entry) discover(links *peer.Options) {
	s := &e.opts.Settings
	e.book = discovery.NewBook(discovery.Record{Owner: e.self, Address: s.PeerAddr, Disk: s.DataDir != "", Carries: assign.Carries(s.Processors, s.LinkMbps)})
	links.Dynamic, links.Address, links.Silence = true, s.PeerAddr, linkSilence
	links.Join = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.joiner.ServeHTTP(w, r) })
	links.OnLink = func(to job.EntryID, up bool) {
		if up {
			e.members.Greet(to)
		}
	}
	links.OnMeet = func(p peer.Peer, _ job.Incarnation) {
		// The exchange says what the handshake doesn't, such as a disk.
		go e.joiner.Meet(p.Address)
	}
}

// startDiscovery makes the joiner once the links exist.
func (e *Entry) startDiscovery() {
	seeds := e.opts.Seeds
	if seeds == nil {
		seeds = func() []string { return e.opts.Settings.Seeds }
	}
	e.joiner = discovery.New(discovery.Options{
		Book: e.book, Mesh: e.links, Seeds: seeds, Secret: e.opts.Settings.PeerSecret, Heard: e.hears,
		OnNews: e.found, Log: e.log,
	})
}

// found takes a found entry into the links and the membership.
func (e *Entry) found(r discovery.Record) {
	e.links.Add(peer.Peer{Entry: r.Owner.Entry, Zone: r.Owner.Zone, Address: r.Address})
	e.members.Add(membership.Peer{Entry: r.Owner.Entry, Zone: r.Owner.Zone, Reserve: r.Disk, Carries: r.Carries})
}

// hears reports whether a life of another entry is heard at present.
func (e *Entry) hears(life job.Owner) bool {
	view := e.members.View()
	m, known := view.Get(life.Entry)
	heard := m.State == membership.Alive || m.State == membership.Draining
	return known && heard && m.Incarnation == life.Incarnation
}

// foundNames returns the names of the found entries.
func (e *Entry) foundNames() []job.EntryID {
	if e.book == nil {
		return nil
	}
	var names []job.EntryID
	for _, r := range e.book.All() {
		if r.Owner.Entry != e.self.Entry {
			names = append(names, r.Owner.Entry)
		}
	}
	return names
}

// forgetTheGone forgets entries that have been dead for long, until ctx ends.
// Otherwise the links to VMs that were replaced would be dialled for ever.
func (e *Entry) forgetTheGone(ctx context.Context) error {
	return every(ctx, forgetEvery, func(now time.Time) {
		view := e.members.View()
		for _, m := range view.List {
			ended := m.State == membership.Dead || m.State == membership.Left
			if !ended || now.Sub(m.Since) < forgetAfter || m.Entry == e.self.Entry {
				continue
			}
			e.log.Info("entry forgotten", "peer", m.Entry, "state", m.State.String())
			e.book.Forget(now, m.Entry)
			e.links.Remove(m.Entry)
			e.members.Remove(m.Entry)
			e.inventory.forget(m.Entry)
		}
	})
}

// discoverVoters has the register formed by the founders, and mended with the
// disks that are found.
func (e *Entry) discoverVoters(o *register.Options) {
	o.Others = e.foundNames
	if len(e.opts.Settings.Founders) > 0 {
		o.Found = e.founders
	}
	o.Mend = &register.Mend{Want: e.opts.Settings.WantVoters, Within: e.opts.Settings.RepairWithin, Disks: e.disks}
}

// founders returns the names of the entries at the founders' addresses, once all
// of them are known.
func (e *Entry) founders() []job.EntryID {
	var names []job.EntryID
	for _, address := range e.opts.Settings.Founders {
		r, ok := e.book.ByAddress(address)
		if !ok {
			return nil
		}
		names = append(names, r.Owner.Entry)
	}
	return names
}

// disks lists the entries with a data folder as this entry sees them.
func (e *Entry) disks() []voters.Disk {
	view := e.members.View()
	var out []voters.Disk
	for _, r := range e.book.All() {
		m, known := view.Get(r.Owner.Entry)
		if !r.Disk || !known {
			continue
		}
		out = append(out, voters.Disk{
			Entry: m.Entry, Zone: m.Zone, Liveness: livenessOf(m.State),
			Stopped: m.State == membership.Left, Since: m.Since,
		})
	}
	return out
}

func livenessOf(s membership.State) voters.Liveness {
	switch s {
	case membership.Alive:
		return voters.Alive
	case membership.Draining:
		return voters.Draining
	case membership.Dead, membership.Left:
		return voters.Dead
	}
	return voters.Suspect
}
