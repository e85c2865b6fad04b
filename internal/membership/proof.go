package membership

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/vmclock"
)

// A heartbeat proves that its sender was alive when it was sent, not when it is read: it may
// have been in transit for long, or unread while this entry was paused. Each heartbeat
// therefore carries a clock reading of its sender and echoes the last clock reading that the
// sender has received from the receiver. The receiver made the echoed reading by its own
// clock before the sender sent the heartbeat. The sender was thus alive at the time of that
// reading, however old the message is.

// stampedHeartbeat is the message of peer.Heartbeat.
type stampedHeartbeat struct {
	_    struct{} `cbor:",toarray"`
	Beat cbor.RawMessage
	// Reading is a reading of the sender's clock. Echo is the last reading of the receiver's clock that
	// the sender has; it was made by the receiver's incarnation Life.
	Reading vmclock.Timestamp
	Life    job.Incarnation
	Echo    vmclock.Timestamp
}

// clockReading is the last reading received of an entry's clock.
type clockReading struct {
	incarnation job.Incarnation
	at          vmclock.Timestamp
}

// stamp adds the clock readings for one receiver to a heartbeat.
func (m *Membership) stamp(to job.EntryID, body cbor.RawMessage) stampedHeartbeat {
	now := m.opts.Now()
	mayProve := m.opts.MayProve == nil || m.opts.MayProve(to)
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.readings[to]
	if !mayProve {
		last = clockReading{}
	}
	return stampedHeartbeat{Beat: body, Reading: m.timestamps.Encode(now), Life: last.incarnation, Echo: last.at}
}

// recordReading records another entry's clock reading if it is the latest. The caller holds
// the lock.
func (m *Membership) recordReading(from job.EntryID, incarnation job.Incarnation, at vmclock.Timestamp) {
	last := m.readings[from]
	if incarnation > last.incarnation || incarnation == last.incarnation && at > last.at {
		m.readings[from] = clockReading{incarnation, at}
	}
}

// RecordReading records a clock reading that arrived in a message other than a heartbeat.
func (m *Membership) RecordReading(from job.EntryID, incarnation job.Incarnation, at vmclock.Timestamp) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordReading(from, incarnation, at)
}

// Reading returns a reading of this entry's clock, which other entries echo.
func (m *Membership) Reading() vmclock.Timestamp { return m.timestamps.Encode(m.opts.Now()) }

// LastReading returns the last clock reading received from an incarnation, or zero if there is
// none.
func (m *Membership) LastReading(of job.EntryID, incarnation job.Incarnation) vmclock.Timestamp {
	m.mu.Lock()
	defer m.mu.Unlock()
	if last := m.readings[of]; last.incarnation == incarnation {
		return last.at
	}
	return 0
}

// Proof returns the time of an echoed reading by the clock of Options.Now. It reports false
// for a reading that this incarnation didn't make.
func (m *Membership) Proof(incarnation job.Incarnation, at vmclock.Timestamp) (time.Time, bool) {
	if at == 0 || incarnation != m.opts.Mesh.Self().Incarnation {
		return time.Time{}, false
	}
	return m.timestamps.Decode(at), true
}

// SendHeartbeat sends a heartbeat to an entry whose link has just come up. The right of either
// entry to act for the other depends on proofs that age while the link is down, and the next
// regular heartbeat may be a whole period away.
func (m *Membership) SendHeartbeat(to job.EntryID) {
	b := m.composeHeartbeat()
	b.Relayed = nil
	body, err := cbor.Marshal(b)
	if err != nil {
		m.opts.Log.Error("heartbeat not encoded", "error", err)
		return
	}
	// The link may be down again; SendHeartbeat is then called for the next one.
	_ = m.opts.Mesh.Send(to, peer.Heartbeat, m.stamp(to, body))
}
