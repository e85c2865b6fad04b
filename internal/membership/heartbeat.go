package membership

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// heartbeat is the content of a heartbeat. The link's handshake identifies the sender and
// its incarnation.
type heartbeat struct {
	State        State            `cbor:"1,keyasint"`
	ConfigNumber uint64           `cbor:"2,keyasint,omitempty"`
	ConfigDigest string           `cbor:"3,keyasint,omitempty"`
	Loads        []job.HolderLoad `cbor:"4,keyasint,omitempty"`
	// Revision numbers the state changes that the sender announces about itself; see Update.
	Revision uint32 `cbor:"6,keyasint,omitempty"`
	// Want is the pace at which the sender requests heartbeats from the receiver.
	Want Pace `cbor:"7,keyasint,omitempty"`
	// Relayed holds the loads of other holders in the sender's zone, for receivers in other
	// zones.
	Relayed []relayedLoad `cbor:"8,keyasint,omitempty"`
	// Digest covers the incarnations that the sender considers alive; see Membership.Digest.
	Digest uint64 `cbor:"9,keyasint,omitempty"`
}

// relayedLoad is a load report of another holder, passed on by the sender of a heartbeat.
type relayedLoad struct {
	_     struct{} `cbor:",toarray"`
	Loads []job.HolderLoad
	// AgeMillis is the age of the report.
	AgeMillis int64
}

// free returns the number of free slots of the holder.
func (r *relayedLoad) free() int {
	n := 0
	for i := range r.Loads {
		n += r.Loads[i].Free
	}
	return n
}

// tickTolerance keeps a tick that fires slightly early from skipping a heartbeat.
const tickTolerance = 60 * time.Millisecond

const (
	// maxRelayedHolders is how many holders of its zone an entry reports to other zones: those
	// with the most free slots. Work goes to another zone only while this zone is full.
	maxRelayedHolders = 4
	// maxRelayedAge is the maximum age of a load report that is relayed.
	maxRelayedAge = 2 * time.Second
)

// dueHeartbeat is one heartbeat to be sent.
type dueHeartbeat struct {
	to job.EntryID
	// want is the pace that is requested from the receiver.
	want Pace
	// crossZone is set if the receiver is in another zone.
	crossZone bool
}

// sendDue sends the heartbeats that are due, or one to every receiver if all is set.
func (m *Membership) sendDue(now time.Time, all bool) {
	b := m.composeHeartbeat()
	m.mu.Lock()
	list := m.collectDue(now, &b, all)
	m.mu.Unlock()
	m.send(b, list)
}

// send sends a heartbeat to each receiver, encoded once for each variant that receivers need.
func (m *Membership) send(b heartbeat, list []dueHeartbeat) {
	type form struct {
		want   Pace
		across bool
	}
	bodies := map[form]cbor.RawMessage{}
	for _, d := range list {
		f := form{d.want, d.crossZone && len(b.Relayed) > 0}
		body, ok := bodies[f]
		if !ok {
			shaped := b
			shaped.Want = f.want
			if !f.across {
				shaped.Relayed = nil
			}
			var err error
			if body, err = cbor.Marshal(shaped); err != nil {
				m.opts.Log.Error("heartbeat not encoded", "error", err)
				return
			}
			bodies[f] = body
		}
		// A heartbeat that can't be sent now is useless later.
		_ = m.opts.Mesh.Send(d.to, peer.Heartbeat, m.stamp(d.to, body))
	}
}

// collectDue lists the heartbeats that are due and records them as sent. The caller holds
// the lock.
func (m *Membership) collectDue(now time.Time, b *heartbeat, all bool) []dueHeartbeat {
	m.updateLoadsVersion(b.Loads)
	var list []dueHeartbeat
	var loadsOnly []*peerState
	for _, p := range m.receivers(now) {
		period, want := m.period(now, p)
		switch {
		case period == 0:
			loadsOnly = append(loadsOnly, p)
		case all || now.Sub(m.sent[p.Entry]) >= period-tickTolerance:
			list = append(list, dueHeartbeat{p.Entry, want, p.Zone != m.detector.self.Zone})
		}
	}
	for _, p := range m.loadReceivers(now, loadsOnly, all) {
		list = append(list, dueHeartbeat{to: p.Entry})
	}
	for _, d := range list {
		m.sent[d.to], m.sentLoadsVersion[d.to] = now, m.loadsVersion
	}
	return list
}

const (
	// loadsPeriod is the minimum interval between load reports to an entry of the zone. Answers
	// to batches carry the load as well.
	loadsPeriod = 500 * time.Millisecond
	// maxChangedLoads is the maximum number of entries that receive a changed load at a time, in
	// addition to those that get heartbeats; the others follow in turn. In a zone of thirty
	// entries, each one thus receives the load of every holder twice a second.
	maxChangedLoads = 16
	// maxUnchangedLoads is the maximum number of entries that receive an unchanged load at a
	// time.
	maxUnchangedLoads = 2
)

// loadReceivers returns the candidates that receive this entry's load now: those that have
// waited longest.
func (m *Membership) loadReceivers(now time.Time, candidates []*peerState, all bool) []*peerState {
	if all {
		return candidates
	}
	candidates = slices.DeleteFunc(candidates, func(p *peerState) bool { return now.Sub(m.sent[p.Entry]) < loadsPeriod-tickTolerance })
	slices.SortStableFunc(candidates, func(a, b *peerState) int { return m.sent[a.Entry].Compare(m.sent[b.Entry]) })
	var out []*peerState
	changed, repeated := maxChangedLoads, maxUnchangedLoads
	for _, p := range candidates {
		quota := &repeated
		if m.sentLoadsVersion[p.Entry] != m.loadsVersion {
			quota = &changed
		}
		if *quota > 0 {
			*quota--
			out = append(out, p)
		}
	}
	return out
}

// updateLoadsVersion increments the version of this entry's loads when they change, so that
// changed loads are sent sooner.
func (m *Membership) updateLoadsVersion(loads []job.HolderLoad) {
	m.holdsAny = slices.ContainsFunc(loads, func(l job.HolderLoad) bool { return l.Targets > 0 })
	if !reflect.DeepEqual(loads, m.lastLoads) {
		m.lastLoads = slices.Clone(loads)
		m.loadsVersion++
	}
}

// period returns the heartbeat period for an entry and the pace that is requested from it.
// The period is zero for an entry that only receives loads.
func (m *Membership) period(now time.Time, p *peerState) (time.Duration, Pace) {
	if m.watchSet.All {
		return p.timings.Period, Unwatched
	}
	pace := p.pace
	if w := m.requests[p.Entry]; w.until.After(now) {
		pace = max(pace, w.pace)
	}
	switch pace {
	case Close:
		return p.timings.Period, p.pace
	case Loose:
		return AcrossZones.Period, p.pace
	}
	return 0, Unwatched
}

// composeHeartbeat builds this entry's heartbeat.
func (m *Membership) composeHeartbeat() heartbeat {
	var b heartbeat
	if m.opts.Config != nil {
		b.ConfigNumber, b.ConfigDigest = m.opts.Config.Summary()
	}
	b.Loads = m.opts.Loads()
	for i := range b.Loads {
		b.Loads[i].Entry, b.Loads[i].Zone = "", "" // the link identifies both
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	b.State, b.Revision = m.detector.self.State, m.detector.revision
	if !m.watchSet.All {
		b.Digest = m.digest()
		b.Relayed = m.zoneLoads(time.Now())
	}
	return b
}

// zoneLoads lists the reports of the other holders in this zone with the most free slots.
func (m *Membership) zoneLoads(now time.Time) []relayedLoad {
	var out []relayedLoad
	for _, p := range m.detector.peers {
		known := m.loads[p.Entry]
		if p.Zone != m.detector.self.Zone || !p.Serving() || now.Sub(known.at) > maxRelayedAge || !m.holdsTargets(p.Entry) {
			continue
		}
		out = append(out, relayedLoad{Loads: known.list, AgeMillis: now.Sub(known.at).Milliseconds()})
	}
	slices.SortStableFunc(out, func(a, b relayedLoad) int { return cmp.Compare(b.free(), a.free()) })
	return out[:min(len(out), maxRelayedHolders)]
}

// reportChanges logs changes and records them in the time line.
func (m *Membership) reportChanges(changes []Change) {
	for _, c := range changes {
		m.opts.Log.Info("member", "peer", c.After.Entry, "incarnation", c.After.Incarnation,
			"before", c.Before.State.String(), "state", c.After.State.String(), "cause", c.Cause)
		cause := fmt.Sprintf("%s: %s", c.After.State, c.Cause)
		m.opts.Events.Record(timeline.Event{Kind: eventKind(c.After.State), Peer: c.After.Entry, Cause: cause})
	}
}

func eventKind(s State) timeline.Kind {
	switch s {
	case Suspect:
		return timeline.EntrySuspect
	case Dead:
		return timeline.EntryDead
	case Draining:
		return timeline.EntryDraining
	case Left:
		return timeline.EntryStopped
	}
	return timeline.EntryAlive
}
