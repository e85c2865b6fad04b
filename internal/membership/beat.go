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

// beat sends the heartbeats that are due, or all of them.
func (m *Membership) beat(now time.Time, all bool) {
	due := m.due(now, all)
	if len(due) == 0 {
		return
	}
	b := m.compose(now)
	for _, to := range due {
		// A heartbeat that can't be sent is worth nothing later.
		_ = m.opts.Mesh.Send(to, peer.Heartbeat, b)
	}
}

// due lists the entries whose heartbeat is due and notes that it is sent. A
// quarter of a period of slack keeps a late tick from skipping one.
func (m *Membership) due(now time.Time, all bool) []job.EntryID {
	const slack = 4
	m.mu.Lock()
	defer m.mu.Unlock()
	var due []job.EntryID
	for _, p := range m.detector.peers {
		if all || now.Sub(m.sent[p.Entry]) >= p.timings.Period-InZone.Period/slack {
			m.sent[p.Entry] = now
			due = append(due, p.Entry)
		}
	}
	return due
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
