package registrar

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/membership"
)

// replicas is the number of entries per zone that keep the record of an id.
const replicas = 2

// completeness tracks for which ids this entry's records are complete. It performs
// no I/O and takes no locks; callers hold Registrar.mu.
//
// Records move when an entry joins or leaves the zone. Until this entry has asked
// all others, they may have records of an id that it doesn't know; answering
// "never seen" could start a submission twice. An unknown id therefore counts as
// never seen only if this entry was a registrar of that id in every set of live
// entries since its last complete sync.
type completeness struct {
	self   job.EntryID
	retain time.Duration
	// liveSets are the sets of the zone's live entries since the last complete
	// sync, the current one last.
	liveSets     [][]job.EntryID
	incarnations map[job.EntryID]job.Incarnation
	synced       bool // true after the first complete sync; reset by forgetLiveSets
	// lostEntries are the entries lost since the zone was last fully synced;
	// liveBeforeLoss is the set of live entries before the first of these losses.
	// syncedSets holds the digest of the set for which each entry last synced.
	lostEntries    []job.EntryID
	liveBeforeLoss []job.EntryID
	syncedSets     map[job.EntryID]uint64
	// announcedSet is the digest of the set for which this entry last announced its
	// sync.
	announcedSet uint64
	losses       []loss
	// coldUntil is the time from which the zone's records go back the full retention
	// time.
	coldUntil time.Time
}

// loss describes records that may be lost: those of the ids whose registrars in the
// set base were all among the entries dead. Such an id may be unknown although it was
// started. A loss without a base applies to every id.
type loss struct {
	base  []job.EntryID
	dead  []job.EntryID
	until time.Time
}

func newCompleteness(now time.Time, self job.EntryID, retain time.Duration) *completeness {
	return &completeness{
		self: self, retain: retain, coldUntil: now.Add(retain),
		incarnations: map[job.EntryID]job.Incarnation{}, syncedSets: map[job.EntryID]uint64{},
	}
}

// applyView applies a new view and reports whether the zone's live entries changed, in which
// case records must be collected again. While no ids are claimed, no records are lost with
// lost entries.
func (m *completeness) applyView(now time.Time, view *membership.Members, claimsActive bool) bool {
	live := view.Live(view.Self.Zone)
	incarnations := map[job.EntryID]job.Incarnation{}
	for _, id := range live {
		member, _ := view.Get(id)
		incarnations[id] = member.Incarnation
	}
	changed := len(m.liveSets) == 0 || len(incarnations) != len(m.incarnations)
	var lost []job.EntryID
	for id, incarnation := range m.incarnations {
		next, still := incarnations[id]
		changed = changed || !still || next != incarnation
		if !still || next != incarnation && incarnation != 0 {
			lost = append(lost, id)
		}
	}
	if !changed {
		return false
	}
	if claimsActive {
		m.recordLost(now, lost)
	} else {
		m.lostEntries, m.liveBeforeLoss = nil, nil
		m.forgetLiveSets()
	}
	m.liveSets = append(m.liveSets, live)
	m.incarnations = incarnations
	return true
}

// forgetLiveSets drops all sets of live entries while no ids are claimed. This entry has to
// ask all others when the first id is claimed.
func (m *completeness) forgetLiveSets() {
	m.liveSets, m.synced = nil, false
}

// recordLost records lost entries, and the loss of records if enough entries are
// lost for all replicas of an id.
func (m *completeness) recordLost(now time.Time, lost []job.EntryID) {
	if len(lost) == 0 {
		return
	}
	if len(m.lostEntries) == 0 {
		m.liveBeforeLoss = m.liveSets[len(m.liveSets)-1]
	}
	for _, id := range lost {
		if !slices.Contains(m.lostEntries, id) {
			m.lostEntries = append(m.lostEntries, id)
		}
	}
	if len(m.lostEntries) >= replicas {
		m.addLoss(loss{base: m.liveBeforeLoss, dead: slices.Clone(m.lostEntries), until: now.Add(m.retain + lossTolerance)})
	}
}

const (
	// lossTolerance is the maximum difference between two entries' expiry times of the
	// same loss: each entry counts the remaining time from the arrival of the other's
	// message, and the call's timeout bounds the transit time.
	lossTolerance = syncTimeout
	// maxLosses bounds the number of separate losses, and thereby the losses in a
	// sync reply to about 20 KB. If there are more, every id counts as lost until the
	// last of them expires.
	maxLosses = 64
)

// addLoss adds a loss unless a known one includes it. In each sync, every entry
// sends its losses to all others. If known losses were added again, each restart
// of one entry in a zone of eleven would multiply the losses by eleven, and sync
// replies would soon fill the links.
func (m *completeness) addLoss(l loss) {
	for i := range m.losses {
		if m.losses[i].includes(&l) {
			return
		}
	}
	m.losses = slices.DeleteFunc(m.losses, func(known loss) bool { return l.includes(&known) })
	m.losses = append(m.losses, l)
	if len(m.losses) <= maxLosses {
		return
	}
	all := loss{}
	for i := range m.losses {
		if m.losses[i].until.After(all.until) {
			all.until = m.losses[i].until
		}
	}
	m.losses = []loss{all}
}

// setDigest returns a digest of the current live entries and their incarnations.
func (m *completeness) setDigest() uint64 {
	h := xxhash.New()
	for _, id := range m.liveSets[len(m.liveSets)-1] {
		_, _ = h.WriteString(string(id))
		var encoded [8]byte
		for i := range encoded {
			encoded[i] = byte(m.incarnations[id] >> (8 * i))
		}
		_, _ = h.Write(encoded[:])
	}
	return h.Sum64()
}

// complete records that all live entries sent their records for the current set.
func (m *completeness) complete(now time.Time, replies []syncReply) {
	for _, r := range replies {
		if until := now.Add(r.Cold); until.Before(m.coldUntil) {
			m.coldUntil = until
		}
		for _, l := range r.Losses {
			m.addLoss(loss{l.Base, l.Dead, now.Add(l.Left)})
		}
	}
	m.liveSets = m.liveSets[len(m.liveSets)-1:]
	m.synced = true
	m.recordSynced(m.self, m.setDigest())
}

// recordSynced records that an entry has synced for a set. When all have synced
// for the current set, each record has two replicas again, and the loss of one
// entry loses no record.
func (m *completeness) recordSynced(by job.EntryID, setDigest uint64) {
	m.syncedSets[by] = setDigest
	if m.allSynced() {
		m.lostEntries, m.liveBeforeLoss = nil, nil
	}
}

// allSynced reports whether all live entries have synced for the current set.
func (m *completeness) allSynced() bool {
	if len(m.liveSets) == 0 {
		return false
	}
	current := m.setDigest()
	for _, id := range m.liveSets[len(m.liveSets)-1] {
		if m.syncedSets[id] != current {
			return false
		}
	}
	return true
}

// storesRecord reports whether an entry is a registrar of an id when the live
// entries are base.
func storesRecord(entry job.EntryID, base []job.EntryID, id job.ID) bool {
	ranked := membership.Rank(base, string(id))
	return slices.Contains(ranked[:min(replicas, len(ranked))], entry)
}

// certainty returns how far a missing record on this entry proves that the id was
// never started.
func (m *completeness) certainty(now time.Time, id job.ID) Certainty {
	if !m.synced {
		return Unsynced
	}
	for _, base := range m.liveSets {
		if !storesRecord(m.self, base, id) {
			return Unsynced
		}
	}
	for _, l := range m.losses {
		if now.Before(l.until) && l.covers(id) {
			return Lost
		}
	}
	if now.Before(m.coldUntil) {
		return Cold
	}
	return Authoritative
}

// includes reports whether l covers every id that other covers and expires no
// earlier than other, up to a difference of lossTolerance.
func (l *loss) includes(other *loss) bool {
	if l.until.Add(lossTolerance).Before(other.until) {
		return false
	}
	if len(l.base) == 0 {
		return true
	}
	missing := func(id job.EntryID) bool { return !slices.Contains(l.dead, id) }
	return slices.Equal(l.base, other.base) && !slices.ContainsFunc(other.dead, missing)
}

// covers reports whether all registrars of an id were among the lost entries.
func (l loss) covers(id job.ID) bool {
	ranked := membership.Rank(l.base, string(id))
	for _, entry := range ranked[:min(replicas, len(ranked))] {
		if !slices.Contains(l.dead, entry) {
			return false
		}
	}
	return true
}

// fillSyncReply sets the losses and the remaining cold time in a sync reply, and
// removes expired losses.
func (m *completeness) fillSyncReply(now time.Time, r *syncReply) {
	r.Cold = max(0, m.coldUntil.Sub(now))
	m.losses = slices.DeleteFunc(m.losses, func(l loss) bool { return !now.Before(l.until) })
	for _, l := range m.losses {
		r.Losses = append(r.Losses, lossMessage{l.base, l.dead, l.until.Sub(now)})
	}
}
