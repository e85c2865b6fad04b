// Package registrar records the owner of each submission in the memory of two
// entries per availability zone. A caller that lost its answer can resend the
// same id to any entry without any task starting twice.
//
// The load pattern is a caller or balancer that resends: through another entry
// after a timeout, to two entries at once, after the owner died, or in another
// zone. Without this package, each resubmission would start all tasks again.
//
// Records are kept for Options.Retain, ten minutes by default, because callers
// resend within seconds or minutes. A task counts as possibly started as soon as
// its owner's claim is granted. The batches are sent immediately afterwards; a
// second message that marks them as handed out would cost as much as the claim
// and would help only submissions whose owner died in the millisecond between.
// A dead owner's submission is therefore never started again: it is answered
// from the results that its holders still have, or as possibly run.
// docs/spec/registrar.md lists the states and the guarantees that remain after
// the loss of one or two entries.
package registrar

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/membership"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// The defaults of Options.
const (
	// DefaultRetain is the time during which a resubmission is recognised.
	DefaultRetain = 10 * time.Minute
	// DefaultAnswerBytes bounds the answers kept for resubmissions.
	DefaultAnswerBytes = 16 << 20
	// DefaultRecordBytes bounds the records kept as a registrar. It holds about
	// 60,000 submissions and fits a daemon with 64 MB in total.
	DefaultRecordBytes = 16 << 20
)

// maxReplicatedAnswer is the size in payload bytes up to which registrars keep
// an answer in addition to the owner. It fits an alert or a gauge snapshot, but
// not a picture.
const maxReplicatedAnswer = 1 << 10

// shardCount is the number of shards of the records, each with its own lock.
const shardCount = 16

// Kind is the kind of a Decision.
type Kind uint8

// The kinds of decisions.
const (
	// Own: no task of the submission was ever started; this entry now owns it.
	Own Kind = iota + 1
	// Join: Owner runs the submission; Registrar.Join waits for its answer.
	Join
	// Answered: the submission has ended with Answer.
	Answered
	// TakeOver: the owner is lost. The tasks in Started may have run and must
	// never start again, Held contains the results found, and the tasks in
	// NeverHanded may start.
	TakeOver
	// Conflict: the id belongs to a submission with different content.
	Conflict
	// Unknown: no reachable entry knows whether the submission was started.
	Unknown
)

// Decision is the result of a claim.
type Decision struct {
	Kind        Kind
	Owner       job.Owner
	Answer      job.Answer
	Started     []int
	Held        []job.TaskOutcome
	NeverHanded []int
	Reason      job.Reason
	Detail      string
	// NotRun is set on Unknown where the caller declared a first attempt, which
	// proves that nothing ran.
	NotRun bool
}

// Members provides the current view of the entries and reports its changes.
type Members interface {
	View() membership.Members
	OnChange(func(membership.Members))
}

// Options are the settings of a registrar.
type Options struct {
	Mesh    peer.Mesh
	Members Members
	Log     *slog.Logger
	Events  timeline.Sink
	Retain  time.Duration
	// AnswerBytes and RecordBytes bound the memory used by answers and records.
	AnswerBytes int
	RecordBytes int
	// Wait waits for the answer of a submission that runs on this entry; ok is
	// false when no such submission runs here.
	Wait func(ctx context.Context, id job.ID) (a job.Answer, ok bool)
	// Fetch collects the results of a lost owner's submission from holders.
	Fetch func(ctx context.Context, owner job.Owner, id job.ID) []job.TaskOutcome
	// OnDemand restricts the collection of records to times when ids are claimed
	// in the zone.
	OnDemand bool
}

// Registrar claims submissions for this entry and keeps records of the claims of
// all entries.
type Registrar struct {
	opts       Options
	self       job.Owner
	shards     [shardCount]shard
	syncNeeded chan struct{} // signals that records must be collected again

	mu           sync.Mutex
	completeness *completeness
	changed      chan struct{} // closed and replaced when the view changes

	// claimsActiveUntil is the time until which ids count as claimed in the zone.
	claimsActiveUntil time.Time

	pendingMu sync.Mutex
	// pendingSettles holds the settle messages to be sent, by registrar;
	// flushNeeded wakes flushLoop, which sends them.
	pendingSettles map[job.EntryID][]settleMessage
	flushNeeded    chan struct{}
}

type shard struct {
	mu         sync.Mutex
	table      *table
	ownerTable *ownerTable
}

// New returns a registrar and registers its message handlers. The caller must
// call Run.
func New(o Options) *Registrar {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Events == nil {
		o.Events = timeline.Discard{}
	}
	if o.Retain == 0 {
		o.Retain = DefaultRetain
	}
	if o.AnswerBytes == 0 {
		o.AnswerBytes = DefaultAnswerBytes
	}
	if o.RecordBytes == 0 {
		o.RecordBytes = DefaultRecordBytes
	}
	r := &Registrar{
		opts: o, self: o.Mesh.Self(), syncNeeded: make(chan struct{}, 1),
		changed: make(chan struct{}), pendingSettles: map[job.EntryID][]settleMessage{}, flushNeeded: make(chan struct{}, 1),
	}
	r.completeness = newCompleteness(time.Now(), r.self.Entry, o.Retain)
	for i := range r.shards {
		r.shards[i].table = newTable()
		r.shards[i].ownerTable = newOwnerTable(r.self)
	}
	view := o.Members.View()
	r.completeness.applyView(time.Now(), &view, !o.OnDemand)
	if !o.OnDemand {
		r.requestSync()
	}
	o.Members.OnChange(r.viewChanged)
	o.Mesh.Handle(peer.RegistrarClaim, r.handleClaim)
	o.Mesh.Handle(peer.RegistrarYield, r.handleYield)
	o.Mesh.Handle(peer.RegistrarSync, r.handleSync)
	o.Mesh.HandleInOrder(peer.RegistrarSettle, r.handleSettle)
	o.Mesh.Handle(peer.SubmissionJoin, r.handleJoin)
	return r
}

func shardOf(id job.ID) int { return int(xxhash.Sum64String(string(id)) % shardCount) }

func (r *Registrar) shard(id job.ID) *shard { return &r.shards[shardOf(id)] }

func (r *Registrar) requestSync() {
	select {
	case r.syncNeeded <- struct{}{}:
	default:
	}
}

func (r *Registrar) viewChanged(view membership.Members) {
	r.mu.Lock()
	now := time.Now()
	claimsActive := r.claimsActive(now)
	changed := r.completeness.applyView(now, &view, claimsActive)
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	if changed && claimsActive {
		r.requestSync()
	}
}

// claimsActive reports whether ids are claimed in the zone, in which case records must be
// kept at their registrars. The caller holds r.mu.
func (r *Registrar) claimsActive(now time.Time) bool {
	return !r.opts.OnDemand || now.Before(r.claimsActiveUntil)
}

// markClaimsActive marks ids as claimed in the zone for the given duration, and starts
// collecting records if they were not marked before.
//
// Load pattern: on each change of a zone's live entries, every entry asks all others for
// records, so the number of calls grows with the square of the zone's size. A rolling restart
// of thirty entries takes a thousand calls per step, although no records exist where all jobs
// are transient.
func (r *Registrar) markClaimsActive(duration time.Duration) {
	if !r.opts.OnDemand || duration <= 0 {
		return
	}
	now := time.Now()
	r.mu.Lock()
	wasInactive := !r.claimsActive(now)
	if until := now.Add(duration); until.After(r.claimsActiveUntil) {
		r.claimsActiveUntil = until
	}
	r.mu.Unlock()
	if wasInactive {
		r.requestSync()
	}
}

// claimsActiveFor returns how much longer ids count as claimed in the zone.
func (r *Registrar) claimsActiveFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Until(r.claimsActiveUntil)
}

// answerClaim answers a claim as a registrar. It determines the certainty before
// it looks up the record. In the reverse order, a sync could complete in between,
// and an outdated "not found" would count as current.
func (r *Registrar) answerClaim(req *claimRequest) *claimReply {
	now := time.Now()
	r.mu.Lock()
	certainty := r.completeness.certainty(now, req.ID)
	r.mu.Unlock()
	s := r.shard(req.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	return &claimReply{Held: s.table.claim(now, req), Certainty: certainty}
}

func (r *Registrar) handleClaim(_ context.Context, from job.Owner, body cbor.RawMessage) (any, error) {
	var req claimRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, errors.Annotate(err, "decoding a claim")
	}
	req.By.Owner = from
	r.markClaimsActive(r.opts.Retain)
	return r.answerClaim(&req), nil
}

func (r *Registrar) handleYield(_ context.Context, from job.Owner, body cbor.RawMessage) (any, error) {
	var req yieldRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, errors.Annotate(err, "decoding a request to yield")
	}
	if req.Of != r.self {
		// This incarnation doesn't know what an earlier one started. If it
		// answered yieldUnknown, the record would be dropped and the submission
		// would start a second time. The asking entry waits until the earlier
		// incarnation is gone from its view.
		return nil, errors.Errorf("entry %s of incarnation %d is asked about incarnation %d", r.self.Entry, r.self.Incarnation, req.Of.Incarnation)
	}
	s := r.shard(req.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownerTable.answerYield(from, &req), nil
}

func (r *Registrar) handleSettle(_ context.Context, from job.Owner, body cbor.RawMessage) (any, error) {
	var list []settleMessage
	if err := cbor.Unmarshal(body, &list); err != nil {
		return nil, errors.Annotate(err, "decoding settlements")
	}
	for i := range list {
		list[i].By.Owner = from
		r.applySettle(&list[i])
	}
	return nil, nil
}

func (r *Registrar) applySettle(m *settleMessage) {
	s := r.shard(m.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.settle(m.ID, m.By, m.Answer)
}

// Settle records how an owned submission ended and reports it to the registrars.
// The answer is kept for callers that resend the id. If nothing ran, the id
// becomes free again.
func (r *Registrar) Settle(_ context.Context, id job.ID, answer job.Answer) {
	s := r.shard(id)
	s.mu.Lock()
	owned := s.ownerTable.settle(time.Now(), id, answer)
	s.mu.Unlock()
	if owned == nil {
		return
	}
	m := settleMessage{ID: id, By: s.ownerTable.claimant(owned)}
	switch {
	case answer.Run.Proven():
		r.sendSettle(owned.registrars, m)
	case answerBytes(&answer) <= maxReplicatedAnswer:
		m.Answer = &answer
		r.sendSettle(owned.registrars, m)
	}
}

func answerBytes(a *job.Answer) int {
	n := len(a.Detail)
	for _, result := range a.Results {
		n += len(result)
	}
	return n
}

// maxPendingSettles bounds the settle messages queued for one registrar.
const maxPendingSettles = 4096

// sendSettle reports the end of a submission to its registrars: to this entry at
// once, to others within settleInterval. Until a registrar receives the message,
// or if it is lost, the record refers claimants to this entry, which knows the
// result.
func (r *Registrar) sendSettle(registrars []job.EntryID, m settleMessage) {
	for _, to := range registrars {
		if to == r.self.Entry {
			r.applySettle(&m)
			continue
		}
		r.pendingMu.Lock()
		if len(r.pendingSettles[to]) < maxPendingSettles {
			r.pendingSettles[to] = append(r.pendingSettles[to], m)
		}
		r.pendingMu.Unlock()
		select {
		case r.flushNeeded <- struct{}{}:
		default:
		}
	}
}

// Flush sends the pending settle messages, batched into one message per
// registrar. A planned stop calls Flush while the links are still up.
func (r *Registrar) Flush() {
	r.pendingMu.Lock()
	pendingSettles := r.pendingSettles
	r.pendingSettles = map[job.EntryID][]settleMessage{}
	r.pendingMu.Unlock()
	for to, list := range pendingSettles {
		_ = r.opts.Mesh.Send(to, peer.RegistrarSettle, list)
	}
}
