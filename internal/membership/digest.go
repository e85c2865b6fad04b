package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const (
	// compareAfter is how long a neighbour's digest must differ before the lists are compared.
	// Updates in transit make digests differ for some hundred milliseconds.
	compareAfter = 600 * time.Millisecond
	// minCompareInterval is the minimum interval between two comparisons of lists.
	minCompareInterval = 500 * time.Millisecond
)

// Digest returns a hash of the incarnations that this entry considers alive. Entries with
// equal digests have no updates about the fleet for each other.
func (m *Membership) Digest() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.digest()
}

func (m *Membership) digest() uint64 {
	if m.digestVersion == m.detector.version {
		return m.cachedDigest
	}
	var live []job.Owner
	for _, p := range m.detector.peers {
		if p.State != Dead && p.State != Left {
			live = append(live, p.Owner())
		}
	}
	live = append(live, m.detector.self.Owner())
	slices.SortFunc(live, func(a, b job.Owner) int { return cmp.Compare(a.Entry, b.Entry) })
	h := xxhash.New()
	for _, o := range live {
		_, _ = h.WriteString(string(o.Entry))
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(o.Incarnation)))
	}
	m.digestVersion, m.cachedDigest = m.detector.version, h.Sum64()
	return m.cachedDigest
}

// shouldCompare reports whether to compare lists with the neighbour that sent a heartbeat.
// The caller holds the lock.
func (m *Membership) shouldCompare(now time.Time, from job.EntryID, theirs uint64) bool {
	if m.watchSet.All || theirs == 0 || theirs == m.digest() {
		delete(m.differsSince, from)
		return false
	}
	since, known := m.differsSince[from]
	if !known {
		m.differsSince[from] = now
		return false
	}
	if now.Sub(since) < compareAfter || now.Sub(m.lastCompared) < minCompareInterval {
		return false
	}
	m.differsSince[from], m.lastCompared = now, now
	return true
}

// Known returns what this entry knows about an incarnation: whether it hears the
// incarnation, and the update that declares it ended, or nil if it isn't known to have ended.
func (m *Membership) Known(owner job.Owner) (reachable bool, ended *Update) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if owner.Entry == m.detector.self.Entry {
		return owner.Incarnation == m.detector.self.Incarnation, nil
	}
	p := m.detector.peer(owner.Entry)
	if p == nil || p.Incarnation != owner.Incarnation {
		return false, nil
	}
	if p.State == Dead || p.State == Left {
		u, _ := m.detector.update(owner.Entry)
		return false, &u
	}
	if m.watchSet.All {
		return p.State == Alive || p.State == Draining, nil
	}
	return p.canVouch(now), nil
}
