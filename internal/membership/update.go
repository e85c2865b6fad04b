package membership

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
)

// In a large fleet each entry watches a few others and reports what it detects to the rest by
// updates, which each entry forwards to its neighbours once. Updates are ordered by
// incarnation and, within an incarnation, by a revision. Only the entry itself raises its
// revision: each time it announces a new state, and to refute a report of its death. An old
// update that arrives late over a long path therefore changes nothing.

// Update is the state of one incarnation of an entry as another entry reports it.
type Update struct {
	_           struct{} `cbor:",toarray"`
	Entry       job.EntryID
	Incarnation job.Incarnation
	State       State
	Revision    uint32
}

// precedence orders the states that may be reported under one revision. An entry that is
// declared dead has to raise its revision to refute it.
func (s State) precedence() int {
	switch s {
	case Draining:
		return 1
	case Dead:
		return 2
	case Left:
		return 3
	}
	return 0
}

// supersedes reports whether an update is newer than the known state.
func (u *Update) supersedes(p *peerState) bool {
	switch {
	case u.Incarnation != p.Incarnation:
		return u.Incarnation > p.Incarnation
	case p.State == Left:
		return false
	case u.Revision != p.revision:
		return u.Revision > p.revision
	}
	return u.State.precedence() > p.State.precedence()
}

// UpdateResult is the result of applying an update.
type UpdateResult struct {
	Changes []Change
	// News is set if the update is to be forwarded.
	News bool
	// Doubted is set if this entry hears the entry that the update reports dead. That entry has
	// to refute the update.
	Doubted bool
	// Refute is set if the update reports this entry dead. This entry has raised its revision.
	Refute bool
}

// Apply applies another entry's update.
func (d *Detector) Apply(now time.Time, u Update) UpdateResult {
	if u.Entry == d.self.Entry {
		return UpdateResult{Refute: d.refute(u)}
	}
	p := d.peer(u.Entry)
	if p == nil || !u.supersedes(p) {
		return UpdateResult{}
	}
	same := u.Incarnation == p.Incarnation
	if u.State == Dead && same && p.canVouch(now) {
		return UpdateResult{Doubted: true}
	}
	if !same {
		p.everHeard, p.declaredDead = false, false
	}
	if p.declaredDead && u.State != Dead {
		p.declaredDead = false
		p.lastVouch = now.Add(refutedGrace - vouchValidity)
	}
	p.revision = u.Revision
	return UpdateResult{News: true, Changes: d.setState(p, now, u.State, u.Incarnation, "reported by another entry", nil)}
}

// refute raises this entry's revision above that of a report of its death.
func (d *Detector) refute(u Update) bool {
	mustRefute := u.Incarnation == d.self.Incarnation && u.State == Dead && u.Revision >= d.revision && d.self.State != Left
	if mustRefute {
		d.revision = u.Revision + 1
	}
	return mustRefute
}

// update returns the known state of an entry in the form that is sent to others. A suspicion
// is local to this entry and isn't sent.
func (d *Detector) update(id job.EntryID) (Update, bool) {
	if id == d.self.Entry {
		return Update{Entry: id, Incarnation: d.self.Incarnation, State: d.self.State, Revision: d.revision}, true
	}
	p := d.peer(id)
	if p == nil {
		return Update{}, false
	}
	state := p.State
	if state == Suspect {
		state = Alive
	}
	return Update{Entry: id, Incarnation: p.Incarnation, State: state, Revision: p.revision}, true
}

// updateDelay combines updates that arrive together into one message to each neighbour.
const updateDelay = 20 * time.Millisecond

// queueUpdates queues the state of some entries to be sent to the neighbours after
// updateDelay. In a small fleet all entries receive it from the entries themselves. The
// caller holds the lock.
func (m *Membership) queueUpdates(ids ...job.EntryID) {
	if m.watchSet.All || len(ids) == 0 {
		return
	}
	first := len(m.pendingUpdates) == 0
	for _, id := range ids {
		m.pendingUpdates[id] = true
	}
	if first {
		time.AfterFunc(updateDelay, m.sendUpdates)
	}
}

// queueDeaths queues the deaths among changes, which other entries may not detect themselves.
func (m *Membership) queueDeaths(changes []Change) {
	for _, c := range changes {
		if c.After.State == Dead {
			m.queueUpdates(c.After.Entry)
		}
	}
}

func (m *Membership) sendUpdates() {
	m.mu.Lock()
	var updates []Update
	for id := range m.pendingUpdates {
		if u, ok := m.detector.update(id); ok {
			updates = append(updates, u)
		}
	}
	clear(m.pendingUpdates)
	receivers := m.neighbours()
	m.mu.Unlock()
	body, err := cbor.Marshal(updates)
	if err != nil {
		m.opts.Log.Error("updates of members not encoded", "error", err)
		return
	}
	for _, to := range receivers {
		// A link that is down loses them; the comparison of digests repairs that.
		_ = m.opts.Mesh.Send(to, peer.MemberUpdates, cbor.RawMessage(body))
	}
}

// Neighbours lists the entries to which updates are forwarded; in a small fleet all entries.
func (m *Membership) Neighbours() []job.EntryID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.neighbours()
}

func (m *Membership) neighbours() []job.EntryID {
	var out []job.EntryID
	if m.watchSet.All {
		for _, p := range m.detector.peers {
			out = append(out, p.Entry)
		}
		return out
	}
	for _, p := range m.detector.watched {
		out = append(out, p.Entry)
	}
	for id := range m.requests {
		if p := m.detector.peer(id); p != nil && p.pace == Unwatched {
			out = append(out, id)
		}
	}
	return out
}

func (m *Membership) handleUpdates(_ context.Context, from job.Owner, body cbor.RawMessage) (any, error) {
	var updates []Update
	if err := cbor.Unmarshal(body, &updates); err != nil {
		return nil, errors.Annotate(err, "decoding updates of members")
	}
	m.ApplyUpdates(updates)
	return nil, nil
}

// ApplyUpdates applies updates of other entries, whichever message carried them.
func (m *Membership) ApplyUpdates(updates []Update) {
	now := time.Now()
	var changes []Change
	var doubted []Update
	refute := false
	m.mu.Lock()
	for _, u := range updates {
		result := m.detector.Apply(now, u)
		changes = append(changes, result.Changes...)
		if result.News {
			m.queueUpdates(u.Entry)
		}
		if result.Doubted {
			doubted = append(doubted, u)
		}
		refute = refute || result.Refute
	}
	if refute {
		m.queueUpdates(m.detector.self.Entry)
	}
	m.publish()
	m.mu.Unlock()
	m.reportChanges(changes)
	for _, u := range doubted {
		m.requestRefutation(u)
	}
	if refute {
		m.opts.Log.Info("reported dead by other entries, refuting it", "entry", m.opts.Mesh.Self().Entry)
		m.sendDue(now, true)
	}
}

// requestRefutation sends an entry the update that reports it dead, so that the entry refutes
// the update.
func (m *Membership) requestRefutation(u Update) {
	_ = m.opts.Mesh.Send(u.Entry, peer.MemberUpdates, []Update{u})
}
