package handover

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
	"github.com/vanillagrade/vanillagrade/internal/vmclock"
)

const (
	// keepReported is how long the record of a reported offer is kept. An owner
	// that lost the answer asks again within seconds after the link is back, and
	// abandons the holder after unreachableTimeout without a link.
	keepReported = 3 * unreachableTimeout
	// maxRecordBytes bounds the memory of unacknowledged outcomes: enough for
	// about one of the largest jobs for each of a few owners.
	maxRecordBytes = 64 << 20
)

// key identifies one offer.
type key struct {
	entry       job.EntryID
	incarnation job.Incarnation
	number      uint64
}

// record is the state of one offer that this holder has accepted.
type record struct {
	key        key
	owner      job.Owner
	submission job.ID
	pool       string
	tasks      int
	// done is closed when the outcomes are known.
	done     chan struct{}
	reported bool
	outcomes []job.TaskOutcome
	// reportedAt orders the finished records. lastAskedAt is when the owner last
	// asked for the outcomes.
	reportedAt  time.Time
	lastAskedAt time.Time
	bytes       int
	// superseded is closed and replaced when the owner asks again.
	superseded chan struct{}
	// cancelled is set when the owner cancels the batch.
	cancelled bool
	// receivedAt is when the batch arrived. objectiveLeft is the time that its latency
	// objective leaves it from then on; zero if it has none.
	receivedAt    time.Time
	objectiveLeft time.Duration
}

// Server is the holder's side of the handover.
type Server struct {
	holder Holder
	self   job.Owner
	// onOffer is called with the owner of each batch that arrives.
	onOffer func(job.Owner)
	// load returns the current load of the holder's targets in a pool; if nil, answers
	// carry no load.
	load func(pool string) job.HolderLoad
	// rights grants the right to act for an owner of transient work; if nil, no right is
	// required.
	rights Rights
	events timeline.Sink

	mu      sync.Mutex
	records map[key]*record
	// finished lists reported records, oldest first.
	finished []*record
	bytes    int
	// forgotten is, for each incarnation of an owner, the highest number whose
	// record was deleted. An unknown offer up to this number may have run.
	forgotten map[job.Owner]uint64
	// cancelled contains offers whose cancellation arrived before the offer;
	// cancels lists them, oldest first.
	cancelled map[key]bool
	cancels   []cancelledAt
}

// cancelledAt is a cancellation that arrived before its offer.
type cancelledAt struct {
	key key
	at  time.Time
}

// Serve handles the batches that other entries send to holder.
func Serve(mesh peer.Mesh, holder Holder) *Server {
	s := &Server{
		holder: holder, self: mesh.Self(), onOffer: func(job.Owner) {}, events: timeline.Discard{},
		records: map[key]*record{}, forgotten: map[job.Owner]uint64{}, cancelled: map[key]bool{},
	}
	mesh.Handle(peer.BatchOffer, s.handleOffer)
	mesh.HandleInOrder(peer.BatchCancel, s.handleCancel)
	mesh.Handle(peer.BatchFetch, s.handleFetch)
	return s
}

// Rights grants a holder the right to act for owners.
type Rights interface {
	// Right returns the right to act for an owner, based on the proof in its offer; nil if
	// the proof is too old. remaining is the time left until the deadline of the work; zero
	// for none.
	Right(owner job.Owner, proof vmclock.Timestamp, remaining time.Duration) job.Right
	// Reading returns a timestamp of this entry's clock, which owners send back as proof.
	Reading() vmclock.Timestamp
}

// RequireRights makes the holder require a right to act for owners of transient work. It must
// be called before the links start.
func (s *Server) RequireRights(r Rights) { s.rights = r }

// ReportLoads makes answers carry the load of the holder's targets. It must be called before
// the links start.
func (s *Server) ReportLoads(load func(pool string) job.HolderLoad) { s.load = load }

// OnOffer sets a function that is called with the owner of each arriving batch, before
// the holder receives the batch. OnOffer must be called before the links start.
func (s *Server) OnOffer(onOffer func(job.Owner)) { s.onOffer = onOffer }

// SetEventSink sets the sink for events about received and reported batches. It must be
// called before the links start.
func (s *Server) SetEventSink(events timeline.Sink) { s.events = events }

func (s *Server) handleOffer(ctx context.Context, from job.Owner, body cbor.RawMessage) (any, error) {
	var o offer
	if err := cbor.Unmarshal(body, &o); err != nil {
		return nil, errors.Annotate(err, "decoding an offer")
	}
	o.unpack()
	if o.To != s.self.Incarnation {
		return report{Result: resultWrongIncarnation}, nil
	}
	s.onOffer(from)
	o.Batch.Owner = from
	rec, early, isNew := s.admit(time.Now(), from, &o)
	if rec == nil {
		return early, nil
	}
	if isNew {
		s.recordReceived(rec)
		s.holder.Offer(&o.Batch, func(outcomes []job.TaskOutcome) { s.report(rec, outcomes) })
		if s.wasCancelled(rec) {
			// The cancellation may have reached the holder before the batch did
			// and had no effect; the tasks would then run without an owner that
			// waits for them.
			s.holder.Cancel(from, o.Batch.Submission)
		}
	}
	return s.await(ctx, rec)
}

func (s *Server) wasCancelled(rec *record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rec.cancelled
}

// admit finds or creates the record of an offer. If it returns no record, early
// is the answer to the offer.
func (s *Server) admit(now time.Time, from job.Owner, o *offer) (rec *record, early report, isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, number := range o.Acked {
		s.acknowledge(key{from.Entry, from.Incarnation, number})
	}
	s.expire(now)
	k := key{from.Entry, from.Incarnation, o.Number}
	if rec := s.records[k]; rec != nil {
		return rec, report{}, false
	}
	if o.Number <= s.forgotten[from] {
		return nil, report{Result: resultForgotten}, false
	}
	if s.cancelled[k] {
		return nil, report{Result: resultReported, Outcomes: uniformOutcomes(&o.Batch, job.TaskNotStarted, job.CancelledByCall, "")}, false
	}
	if !s.acquireRight(from, o) {
		return nil, report{Result: resultStaleProof, Reading: s.rights.Reading()}, false
	}
	rec = &record{
		key: k, owner: from, submission: o.Batch.Submission, tasks: len(o.Batch.Tasks), pool: o.Batch.Pool,
		done: make(chan struct{}), superseded: make(chan struct{}), receivedAt: now, objectiveLeft: objectiveLeft(&o.Batch),
	}
	s.records[k] = rec
	return rec, report{}, true
}

// reading returns a timestamp of this entry's clock, which the owner sends back with its
// next offer. Under load, frequent reports thus keep the proofs recent, and a short link
// outage does not end a right.
func (s *Server) reading() vmclock.Timestamp {
	if s.rights == nil {
		return 0
	}
	return s.rights.Reading()
}

// acquireRight acquires the right to act for the owner of a new offer and reports whether
// the holder may run the offer. An owner that was paused, or whose offer was in transit for
// long, may have abandoned the offer.
func (s *Server) acquireRight(from job.Owner, o *offer) bool {
	if s.rights == nil || !o.Batch.Transient {
		return true
	}
	o.Batch.Right = s.rights.Right(from, o.Proof, o.Batch.Remaining)
	return o.Batch.Right != nil
}

// await waits for the outcomes of a record and returns the answer. It ends any
// earlier call for the same record, so that the outcomes are sent once.
func (s *Server) await(ctx context.Context, rec *record) (any, error) {
	s.mu.Lock()
	close(rec.superseded)
	rec.superseded = make(chan struct{})
	rec.lastAskedAt = time.Now()
	newerCall := rec.superseded
	s.mu.Unlock()
	select {
	case <-rec.done:
		answer := s.answer(rec)
		if s.load != nil {
			load := s.load(rec.pool)
			load.Entry, load.Zone = "", "" // the link identifies both
			answer.Load = &load
		}
		return answer, nil
	case <-newerCall:
		return report{Result: resultSuperseded}, nil
	case <-ctx.Done():
		return nil, errors.Annotate(ctx.Err(), "the link to the owner broke")
	}
}

func (s *Server) answer(rec *record) report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rec.outcomes == nil && rec.tasks > 0 {
		return report{Result: resultForgotten}
	}
	return report{Result: resultReported, Outcomes: rec.outcomes, Reading: s.reading()}
}

// report accepts the holder's outcomes. It records the event before the outcomes become
// available: otherwise the time line could show the owner's answer before its cause.
func (s *Server) report(rec *record, outcomes []job.TaskOutcome) {
	if !s.markReported(rec) {
		return
	}
	s.recordReported(rec, outcomes)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec.outcomes, rec.reportedAt = outcomes, time.Now()
	for i := range outcomes {
		rec.bytes += len(outcomes[i].Payload) + len(outcomes[i].Detail)
	}
	s.bytes += rec.bytes
	s.finished = append(s.finished, rec)
	close(rec.done)
}

// markReported marks a record as reported and returns whether it was not reported before.
func (s *Server) markReported(rec *record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !rec.reported
	rec.reported = true
	return first
}

// acknowledge deletes the outcomes of a record once its owner has received them.
// The record itself stays: a copy of the offer that was sent over an earlier link
// could still be queued in this process.
func (s *Server) acknowledge(k key) {
	rec := s.records[k]
	if rec == nil || !rec.reported {
		return
	}
	s.bytes -= rec.bytes
	rec.bytes, rec.outcomes = 0, nil
}

// expire deletes old reported records, and the oldest ones while the outcomes
// use too much memory.
func (s *Server) expire(now time.Time) {
	for len(s.finished) > 0 {
		first := s.finished[0]
		old := now.Sub(first.reportedAt) > keepReported
		if !old && s.bytes <= maxRecordBytes {
			break
		}
		s.finished[0] = nil
		s.finished = s.finished[1:]
		if now.Sub(first.lastAskedAt) <= keepReported && s.bytes <= maxRecordBytes {
			first.reportedAt = first.lastAskedAt // the owner has asked again since
			s.finished = append(s.finished, first)
			continue
		}
		s.forget(first)
	}
	for len(s.cancels) > 0 && now.Sub(s.cancels[0].at) > keepReported {
		delete(s.cancelled, s.cancels[0].key)
		s.cancels = s.cancels[1:]
	}
}

func (s *Server) forget(rec *record) {
	s.bytes -= rec.bytes
	rec.bytes, rec.outcomes = 0, nil
	delete(s.records, rec.key)
	s.forgotten[rec.owner] = max(s.forgotten[rec.owner], rec.key.number)
}

func (s *Server) handleCancel(_ context.Context, from job.Owner, body cbor.RawMessage) (any, error) {
	var c cancel
	if err := cbor.Unmarshal(body, &c); err != nil {
		return nil, errors.Annotate(err, "decoding a cancellation")
	}
	s.mu.Lock()
	for _, number := range c.Offers {
		k := key{from.Entry, from.Incarnation, number}
		if rec := s.records[k]; rec != nil {
			rec.cancelled = true
			continue
		}
		if number > s.forgotten[from] {
			s.cancelled[k] = true
			s.cancels = append(s.cancels, cancelledAt{k, time.Now()})
		}
	}
	s.mu.Unlock()
	s.holder.Cancel(from, c.Submission)
	return nil, nil
}

// OwnerGone cancels the unreported batches of the given and earlier incarnations
// of an entry: nobody can receive their results any more, so they would only take
// slots from others.
func (s *Server) OwnerGone(entry job.EntryID, incarnation job.Incarnation) {
	s.mu.Lock()
	var drop []*record
	for _, rec := range s.records {
		if rec.key.entry == entry && rec.key.incarnation <= incarnation && !rec.reported {
			drop = append(drop, rec)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(drop, func(a, b *record) int { return cmp.Compare(a.key.number, b.key.number) })
	for _, rec := range drop {
		s.holder.Cancel(rec.owner, rec.submission)
	}
}

// handleFetch sends the results that this holder still has to an entry that takes
// over a lost owner's submission.
func (s *Server) handleFetch(_ context.Context, _ job.Owner, body cbor.RawMessage) (any, error) {
	var f fetch
	if err := cbor.Unmarshal(body, &f); err != nil {
		return nil, errors.Annotate(err, "decoding a fetch")
	}
	return fetched{Outcomes: s.Held(f.Owner, f.Submission)}, nil
}

// Held returns the results that this holder still has of an owner's submission.
func (s *Server) Held(owner job.Owner, id job.ID) []job.TaskOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	var held []job.TaskOutcome
	for _, rec := range s.records {
		if rec.owner != owner || rec.submission != id {
			continue
		}
		for _, o := range rec.outcomes {
			if o.Status == job.TaskDone {
				held = append(held, o)
			}
		}
	}
	return held
}
