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
	// linkSilenceTimeout is how long a link may deliver nothing in a fleet that shares
	// work across zones: four heartbeats. A connection can stop delivering permanently
	// without a reset while new connections work; only this timeout detects it.
	linkSilenceTimeout = time.Second
	// forgetAfter is how long an entry must be dead before it is forgotten: a VM
	// that is restarted returns within seconds, one that is replaced never does.
	forgetAfter = 30 * time.Second
	// forgetInterval is how often dead entries are checked.
	forgetInterval = 5 * time.Second
)

// crossZoneTimings monitors entries of other zones as closely as those of this one:
// work shared across zones ends with its owner, and an owner may place it again only
// once that is certain.
var crossZoneTimings = membership.Timings{
	Period: 250 * time.Millisecond, SuspectAfter: time.Second,
	DeadAfter: 2500 * time.Millisecond, VouchWithin: 600 * time.Millisecond,
}

// configureDiscovery sets the link options of an entry that discovers the others by itself.
func (e *Entry) configureDiscovery(links *peer.Options) {
	s := &e.opts.Settings
	e.discovered = discovery.NewDirectory(discovery.Record{
		Owner: e.self, Address: s.PeerAddr, Disk: s.DataDir != "",
		Carries: assign.TargetCapacity(s.Processors, s.LinkMbps), Capacity: assign.FullCapacity(s.Processors, s.LinkMbps),
	})
	links.Dynamic, links.Address, links.Silence = true, s.PeerAddr, linkSilenceTimeout
	links.Join = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.joiner.ServeHTTP(w, r) })
	links.Expects = func(of job.EntryID) (time.Time, time.Duration) { return e.members.Expects(of) }
	links.OnLink = func(to job.EntryID, up bool) {
		if up {
			e.members.SendHeartbeat(to)
		}
	}
	links.OnMeet = func(p peer.Peer, _ job.Incarnation) {
		// The exchange carries what the handshake doesn't, such as whether the entry has a disk.
		go e.joiner.Exchange(p.Address)
	}
}

// startDiscovery creates the joiner once the links exist.
func (e *Entry) startDiscovery() {
	seeds := e.opts.Seeds
	if seeds == nil {
		seeds = func() []string { return e.opts.Settings.Seeds }
	}
	e.joiner = discovery.New(discovery.Options{
		Directory: e.discovered, Mesh: e.links, Seeds: seeds, Secret: e.opts.Settings.PeerSecret, Tell: e.fillLiveness,
		OnNews: e.addDiscovered, OnEnded: e.addEnded, Log: e.log,
		Near:   func() []job.EntryID { return e.members.Neighbours() },
		Digest: func() uint64 { return e.members.Digest() },
	})
}

// addDiscovered adds discovered entries to the membership and then to the links. The order
// matters: in a large fleet the membership first decides to which of them links are kept up.
func (e *Entry) addDiscovered(records []discovery.Record) {
	peers := make([]membership.Peer, len(records))
	for i, r := range records {
		peers[i] = membership.Peer{Entry: r.Owner.Entry, Zone: r.Owner.Zone, Reserve: r.Disk, Carries: r.Carries, Capacity: r.Capacity, Incarnation: r.Owner.Incarnation}
	}
	e.members.Add(peers...)
	for _, r := range records {
		e.links.Add(peer.Peer{Entry: r.Owner.Entry, Zone: r.Owner.Zone, Address: r.Address})
	}
}

// fillLiveness fills in what this entry knows about another entry's incarnation.
func (e *Entry) fillLiveness(r *discovery.Record) {
	heard, ended := e.members.Known(r.Owner)
	r.Heard = heard
	if ended != nil {
		r.Ended, r.Left, r.Revision = true, ended.State == membership.Left, ended.Revision
	}
}

// addEnded applies another entry's report that incarnations have ended.
func (e *Entry) addEnded(records []discovery.Record) {
	updates := make([]membership.Update, len(records))
	for i, r := range records {
		updates[i] = membership.Update{Entry: r.Owner.Entry, Incarnation: r.Owner.Incarnation, State: membership.Dead, Revision: r.Revision}
		if r.Left {
			updates[i].State = membership.Left
		}
	}
	e.members.ApplyUpdates(updates)
}

// exchangeRecords exchanges records with an entry that knows a different set of entries.
func (e *Entry) exchangeRecords(id job.EntryID) {
	r, ok := e.discovered.Get(id)
	if ok && e.joiner != nil {
		go e.joiner.Exchange(r.Address)
	}
}

// discoveredNames returns the names of the discovered entries.
func (e *Entry) discoveredNames() []job.EntryID {
	if e.discovered == nil {
		return nil
	}
	var names []job.EntryID
	for _, r := range e.discovered.All() {
		if r.Owner.Entry != e.self.Entry {
			names = append(names, r.Owner.Entry)
		}
	}
	return names
}

// forgetDead forgets entries that have been dead for forgetAfter, until ctx ends.
// Otherwise this entry would dial replaced VMs forever.
func (e *Entry) forgetDead(ctx context.Context) error {
	return every(ctx, forgetInterval, func(now time.Time) {
		view := e.members.View()
		for _, m := range view.List {
			ended := m.State == membership.Dead || m.State == membership.Left
			if !ended || now.Sub(m.Since) < forgetAfter || m.Entry == e.self.Entry {
				continue
			}
			e.log.Info("entry forgotten", "peer", m.Entry, "state", m.State.String())
			e.discovered.Forget(now, m.Entry)
			e.links.Remove(m.Entry)
			e.members.Remove(m.Entry)
			e.inventory.forgetEntry(m.Entry)
		}
	})
}

// configureVoterDiscovery lets the founders form the register, and the register replace
// lost voters with discovered entries that have a disk.
func (e *Entry) configureVoterDiscovery(o *register.Options) {
	o.Discovered = e.discoveredNames
	o.SparseHeartbeats = func() bool { return e.members.Sparse() }
	if len(e.opts.Settings.Founders) > 0 {
		o.InitialVoters = e.founders
	}
	o.Repair = &register.RepairOptions{Want: e.opts.Settings.WantVoters, Within: e.opts.Settings.RepairWithin, Disks: e.diskEntries}
}

// founders returns the names of the entries at the founders' addresses, once all
// of them are known.
func (e *Entry) founders() []job.EntryID {
	var names []job.EntryID
	for _, address := range e.opts.Settings.Founders {
		r, ok := e.discovered.ByAddress(address)
		if !ok {
			return nil
		}
		names = append(names, r.Owner.Entry)
	}
	return names
}

// diskEntries lists the entries with a data folder as this entry sees them.
func (e *Entry) diskEntries() []voters.Disk {
	view := e.members.View()
	var out []voters.Disk
	for _, r := range e.discovered.All() {
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
