package membership

import (
	"fmt"
	"time"

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

// beat is the message of peer.Heartbeat. Who sends it, and in which life,
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
	full := m.compose(now)
	brief := full
	brief.Hears = nil
	for _, d := range list {
		b := brief
		if d.hears {
			b = full
		}
		// A heartbeat that can't be sent is worth nothing later.
		_ = m.opts.Mesh.Send(d.to, peer.Heartbeat, b)
	}
}

// due lists the heartbeats that are due and notes them as sent.
func (m *Membership) due(now time.Time, all bool) []due {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []due
	for _, p := range m.detector.peers {
		if !all && now.Sub(m.sent[p.Entry]) < p.timings.Period-slack {
			continue
		}
		m.sent[p.Entry] = now
		hears := all || now.Sub(m.told[p.Entry]) >= hearsPeriod-slack
		if hears {
			m.told[p.Entry] = now
		}
		list = append(list, due{p.Entry, hears})
	}
	return list
}

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
