package membership

import (
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/watch"
)

// heartbeatRequest is another entry's request for heartbeats from this one.
type heartbeatRequest struct {
	pace  Pace
	until time.Time
}

// requestPeriods is how many heartbeat periods a request is valid for, so that the loss of a
// single request has no effect.
const requestPeriods = 3

// updateWatched updates the entries that this entry watches. busy lists the entries that share
// work with this one. The caller holds the lock.
func (m *Membership) updateWatched(now time.Time, busy []job.EntryID) {
	if m.chosenVersion != m.detector.version {
		m.chooseWatchSet()
	}
	if m.watchSet.All {
		m.detector.Watch(now, m.allClose(), false)
		return
	}
	m.detector.Watch(now, m.sparsePaces(busy), true)
}

// chooseWatchSet recomputes the watch set and the entries of this zone after the fleet has
// changed.
func (m *Membership) chooseWatchSet() {
	d := m.detector
	m.watchSet = watch.Choose(d.self.Entry, d.self.Zone, d.watchMembers())
	m.zoneMates = m.zoneMates[:0]
	for _, p := range d.peers {
		if p.Zone == d.self.Zone {
			m.zoneMates = append(m.zoneMates, p)
		}
	}
	m.chosenVersion = d.version
}

func (d *Detector) watchMembers() []watch.Member {
	out := []watch.Member{{Entry: d.self.Entry, Zone: d.self.Zone, Live: true}}
	for _, p := range d.peers {
		out = append(out, watch.Member{Entry: p.Entry, Zone: p.Zone, Live: p.State != Dead && p.State != Left})
	}
	return out
}

func (m *Membership) allClose() map[job.EntryID]Pace {
	paces := map[job.EntryID]Pace{}
	for _, p := range m.detector.peers {
		paces[p.Entry] = Close
	}
	return paces
}

// sparsePaces returns the paces of the entries that this entry watches in a large fleet.
// Besides its ring neighbours, this entry closely watches entries that share work with it,
// because that work ends when either entry is unresponsive, and other voter candidates,
// because a lost voter has to be replaced within seconds, however large the fleet is.
func (m *Membership) sparsePaces(busy []job.EntryID) map[job.EntryID]Pace {
	out := map[job.EntryID]Pace{}
	for _, id := range m.watchSet.Contacts {
		out[id] = Loose
	}
	for _, ids := range [][]job.EntryID{m.watchSet.Ring, busy, m.otherDiskEntries()} {
		for _, id := range ids {
			out[id] = Close
		}
	}
	return out
}

// holdsTargets reports whether an entry held targets by its last load report.
func (m *Membership) holdsTargets(id job.EntryID) bool {
	return slices.ContainsFunc(m.loads[id].list, func(l job.HolderLoad) bool { return l.Targets > 0 })
}

// maxDiskEntries is the number of other entries with a disk up to which the entries with a
// disk watch each other closely.
const maxDiskEntries = 16

// otherDiskEntries returns the other entries with a disk, which are those with Reserve set. It
// returns nil if this entry has no disk or there are more than maxDiskEntries others.
func (m *Membership) otherDiskEntries() []job.EntryID {
	if !m.detector.self.Reserve {
		return nil
	}
	var out []job.EntryID
	for _, p := range m.detector.peers {
		if p.Reserve {
			out = append(out, p.Entry)
		}
	}
	if len(out) > maxDiskEntries {
		return nil
	}
	return out
}

// linksToKeep lists the entries to which links are kept up; nil means all.
func (m *Membership) linksToKeep(now time.Time) []job.EntryID {
	if m.watchSet.All {
		return nil
	}
	out := []job.EntryID{}
	for _, p := range m.receivers(now) {
		out = append(out, p.Entry)
	}
	slices.Sort(out)
	return out
}

// receivers lists the entries that receive heartbeats or loads from this one. In a large
// fleet these are the entries that it watches, those that requested heartbeats and, while it
// holds targets, its whole zone.
func (m *Membership) receivers(now time.Time) []*peerState {
	if m.watchSet.All {
		return m.detector.peers
	}
	out := slices.Clone(m.detector.watched)
	for id, w := range m.requests {
		if !w.until.After(now) {
			delete(m.requests, id)
			continue
		}
		if p := m.detector.peer(id); p != nil && p.pace == Unwatched {
			out = append(out, p)
		}
	}
	if !m.holdsAny {
		return out
	}
	for _, p := range m.zoneMates {
		if p.pace == Unwatched && m.requests[p.Entry].pace == Unwatched && p.Live() {
			out = append(out, p)
		}
	}
	return out
}

// Sparse reports whether this entry watches only a part of the fleet.
func (m *Membership) Sparse() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.watchSet.All
}

// maxMissedHeartbeats is the number of missed heartbeats after which a link counts as broken.
const maxMissedHeartbeats = 4

// Expects returns the time within which an entry has to send something, counted from since.
// Both results are zero for an entry that isn't watched.
func (m *Membership) Expects(id job.EntryID) (since time.Time, within time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.detector.peer(id)
	if p == nil || p.pace == Unwatched {
		return time.Time{}, 0
	}
	return p.silenceStart, maxMissedHeartbeats * p.timingsOf().Period
}
