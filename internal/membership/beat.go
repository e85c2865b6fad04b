package membership

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// Heard is an entry's life that the sender of a heartbeat hears.
type Heard struct {
	_           struct{} `cbor:",toarray"`
	Entry       job.EntryID
	Incarnation job.Incarnation
}

// beat is what a heartbeat says. Who sends it, and in which life,
// stands in the link's handshake.
type beat struct {
	State        State            `cbor:"1,keyasint"`
	ConfigNumber uint64           `cbor:"2,keyasint,omitempty"`
	ConfigDigest string           `cbor:"3,keyasint,omitempty"`
	Loads        []job.HolderLoad `cbor:"4,keyasint,omitempty"`
	Hears        []Heard          `cbor:"5,keyasint,omitempty"`
}

// hearsPeriod is how often heartbeats list whom the sender hears. The list is
// the longest part of a heartbeat; vouchHold is longer than this.
const hearsPeriod = time.Second

// hearsInZone and hearsAcross are to how many entries of the own and of other zones
// the list goes in one period; larger fleets get it in turn. The list is as long as
// the fleet: told to everybody, 300 entries sent 3.7 MB a second each, and had no
// processor left for callers. Told to so many in turn, each entry still hears from as
// many others in one period, of whom a single one keeps alive whom it hears too.
const (
	hearsInZone = 16
	hearsAcross = 8
)

// slack keeps a tick that comes a little early from skipping a heartbeat.
const slack = 60 * time.Millisecond

// due is one heartbeat to be sent.
type due struct {
	to    job.EntryID
	hears bool
}

// beat sends the heartbeats that are due, or all of them.
func (m *Membership) beat(now time.Time, all bool) {
	list := m.due(now, all)
	if len(list) == 0 {
		return
	}
	b := m.compose(now)
	full, err := cbor.Marshal(b)
	if err != nil {
		m.opts.Log.Error("heartbeat not encoded", "error", err)
		return
	}
	b.Hears = nil
	brief, err := cbor.Marshal(b)
	if err != nil {
		m.opts.Log.Error("heartbeat not encoded", "error", err)
		return
	}
	for _, d := range list {
		body := cbor.RawMessage(brief)
		if d.hears {
			body = full
		}
		// A heartbeat that can't be sent is worth nothing later.
		_ = m.opts.Mesh.Send(d.to, peer.Heartbeat, m.stamp(d.to, body))
	}
}

// due lists the heartbeats that are due and notes them as sent.
func (m *Membership) due(now time.Time, all bool) []due {
	busy := m.busy()
	m.mu.Lock()
	defer m.mu.Unlock()
	fullPace := m.detector.fullPacePeers()
	var peers, others []*peerState
	for _, p := range m.detector.peers {
		switch {
		case !all && now.Sub(m.sent[p.Entry]) < p.timings.Period-slack:
		case all || busy[p.Entry] || fullPace[p.Entry]:
			peers = append(peers, p)
		default:
			others = append(others, p)
		}
	}
	peers = append(peers, m.longestWaiting(now, others)...)
	turns := m.turns(now, peers)
	list := make([]due, len(peers))
	for i, p := range peers {
		hears := all || turns[p.Entry]
		list[i] = due{p.Entry, hears}
		m.sent[p.Entry] = now
		if hears {
			m.told[p.Entry] = now
		}
	}
	return list
}

// longestWaiting returns those who get their heartbeat now: whose turn it is to be told
// whom this entry hears, and then those who have waited longest, so that the heartbeats
// of a large fleet spread over time. The caller holds the lock.
func (m *Membership) longestWaiting(now time.Time, peers []*peerState) []*peerState {
	if len(peers) <= peer.FullPace {
		return peers
	}
	turns := m.turns(now, peers)
	var first, rest []*peerState
	for _, p := range peers {
		if turns[p.Entry] {
			first = append(first, p)
		} else {
			rest = append(rest, p)
		}
	}
	slices.SortStableFunc(rest, func(a, b *peerState) int { return m.sent[a.Entry].Compare(m.sent[b.Entry]) })
	return slices.Concat(first, rest)[:peer.FullPace]
}

// busy returns the entries that share transient work with this one. They get
// heartbeats at the full pace also in a large fleet, since that work ends with the
// silence of either side. In a small fleet everybody gets them.
func (m *Membership) busy() map[job.EntryID]bool {
	if m.opts.Busy == nil || len(m.View().List)-1 <= peer.FullPace {
		return nil
	}
	out := map[job.EntryID]bool{}
	for _, id := range m.opts.Busy() {
		out[id] = true
	}
	return out
}

// turns returns which of the peers get the list of whom this entry hears: those whom
// it was told longest ago, so many of each distance as a period allows. The caller
// holds the lock.
func (m *Membership) turns(now time.Time, peers []*peerState) map[job.EntryID]bool {
	recent := func(p *peerState) bool { return now.Sub(m.told[p.Entry]) < hearsPeriod-slack }
	left := map[bool]int{true: hearsInZone, false: hearsAcross}
	for _, p := range m.detector.peers {
		if recent(p) {
			left[m.inZone(p)]--
		}
	}
	waiting := slices.DeleteFunc(slices.Clone(peers), recent)
	slices.SortStableFunc(waiting, func(a, b *peerState) int { return m.told[a.Entry].Compare(m.told[b.Entry]) })
	out := map[job.EntryID]bool{}
	for _, p := range waiting {
		if left[m.inZone(p)] > 0 {
			left[m.inZone(p)]--
			out[p.Entry] = true
		}
	}
	return out
}

func (m *Membership) inZone(p *peerState) bool { return p.Zone == m.detector.self.Zone }

func (m *Membership) compose(now time.Time) beat {
	var b beat
	if m.opts.Config != nil {
		b.ConfigNumber, b.ConfigDigest = m.opts.Config.Summary()
	}
	b.Loads = m.opts.Loads()
	for i := range b.Loads {
		b.Loads[i].Entry, b.Loads[i].Zone = "", "" // the link says both
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	b.State = m.detector.self.State
	b.Hears = m.detector.Hears(now, m.opts.Linked)
	return b
}

// tell logs changes and records them in the time line.
func (m *Membership) tell(changes []Change) {
	for _, c := range changes {
		m.opts.Log.Info("member", "peer", c.After.Entry, "incarnation", c.After.Incarnation,
			"before", c.Before.State.String(), "state", c.After.State.String(), "cause", c.Cause)
		cause := fmt.Sprintf("%s: %s", c.After.State, c.Cause)
		m.opts.Events.Record(timeline.Event{Kind: kindOf(c.After.State), Peer: c.After.Entry, Cause: cause})
	}
}

func kindOf(s State) timeline.Kind {
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
