package membership

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/policy/watch"
)

const (
	// witnessesPerQuery is the number of entries that are asked at a time whether they hear an
	// unresponsive one.
	witnessesPerQuery = 4
	// queryTimeout bounds such a query. It covers the round trip and the pause of a busy VM.
	queryTimeout = 200 * time.Millisecond
)

// witnessQuery asks some entries whether they hear an incarnation.
type witnessQuery struct {
	subject   job.Owner
	witnesses []job.EntryID
}

// dueQueries lists the queries that are due. The caller holds the lock.
func (m *Membership) dueQueries(now time.Time) []witnessQuery {
	var out []witnessQuery
	for _, subject := range m.detector.QuerySubjects(now, m.opts.Refused) {
		ask := m.witnesses(subject)
		if len(ask) == 0 {
			m.detector.RecordQuery(now, subject.Entry)
			continue
		}
		m.queryCount++
		at := m.queryCount * witnessesPerQuery % len(ask)
		ask = append(ask[at:], ask[:at]...)
		out = append(out, witnessQuery{subject.Owner(), ask[:min(len(ask), witnessesPerQuery)]})
	}
	return out
}

// witnesses lists the available entries that also watch the subject and may hear it.
func (m *Membership) witnesses(subject Member) []job.EntryID {
	d := m.detector
	var watchers []job.EntryID
	if m.watchSet.All {
		for _, p := range d.peers {
			watchers = append(watchers, p.Entry)
		}
	} else {
		watchers = watch.Ring(subject.Entry, subject.Zone, d.watchMembers())
		if subject.Reserve {
			watchers = append(watchers, m.otherDiskEntries()...)
		}
	}
	var out []job.EntryID
	for _, id := range watchers {
		p := d.peer(id)
		if p != nil && id != subject.Entry && (p.State == Alive || p.State == Draining) {
			out = append(out, id)
		}
	}
	return out
}

// startQueries runs the queries in the background. Their answers update the detector.
func (m *Membership) startQueries(queries []witnessQuery) {
	for _, q := range queries {
		go m.queryWitnesses(q)
	}
}

func (m *Membership) queryWitnesses(q witnessQuery) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	done := make(chan struct{}, len(q.witnesses))
	for _, to := range q.witnesses {
		go func() {
			defer func() { done <- struct{}{} }()
			var vouches bool
			if m.opts.Mesh.Call(ctx, to, peer.MemberAsk, q.subject, &vouches) == nil && vouches {
				m.recordVouch(to, q.subject)
			}
		}()
	}
	for range q.witnesses {
		<-done
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.RecordQuery(time.Now(), q.subject.Entry)
}

func (m *Membership) recordVouch(by job.EntryID, owner job.Owner) {
	m.mu.Lock()
	changes := m.detector.Vouch(time.Now(), by, owner)
	m.publish()
	m.mu.Unlock()
	m.reportChanges(changes)
}

func (m *Membership) handleQuery(_ context.Context, _ job.Owner, body cbor.RawMessage) (any, error) {
	var owner job.Owner
	if err := cbor.Unmarshal(body, &owner); err != nil {
		return nil, errors.Annotate(err, "decoding a query about a member")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.CanVouch(time.Now(), owner), nil
}
