package handover

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/policy/ownership"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
	"github.com/vanillagrade/vanillagrade/internal/vmclock"
)

const (
	// resendAfter is the time after which an owner sends an offer again to ask
	// for its outcomes while the link is up. A link that is up loses nothing, so
	// this only guards against an answer that was lost inside a peer. It is longer
	// than nearly all batches run, so that it normally adds no messages.
	resendAfter = 5 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay between retries while a link
	// is down. Links come back within tens of milliseconds after a restart.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// unreachableTimeout bounds how long an owner lets a caller wait for a holder
	// that is unreachable but not declared dead. It is longer than membership
	// needs to detect a death.
	unreachableTimeout = 10 * time.Second
	// fetchTimeout bounds how long a returning caller waits for the results of its
	// lost owner: a few round trips and the transfer of a large answer.
	fetchTimeout = time.Second
	// holderLostAfter is the time after which an owner considers the transient work at an
	// unreachable holder ended. By then the holder's right to act for the owner has expired
	// and its runs have ended; if the holder itself has stopped, the leases of its targets
	// have expired.
	holderLostAfter = ownership.MaxWorkAfterProof + 100*time.Millisecond
	// maxStaleAnswers bounds how often an offer is sent while the holder finds the proof
	// that this owner is alive too old. Each such answer brings a newer timestamp.
	maxStaleAnswers = 3
	// maxAcks bounds the acknowledgements that wait for the next offer to a holder.
	maxAcks = 4096
)

// Gone reports whether an incarnation of an entry has ended with enough certainty
// to stop waiting for it.
type Gone func(entry job.EntryID, incarnation job.Incarnation) bool

// RemoteOptions configures a Remote.
type RemoteOptions struct {
	Mesh peer.Mesh
	Gone Gone
	// SinceLastMessage returns the time since the last message from an incarnation of an
	// entry; nil treats every entry as unresponsive.
	SinceLastMessage func(entry job.EntryID, incarnation job.Incarnation) time.Duration
	// Proof returns the last timestamp received of a holder's clock, and Learn stores one;
	// nil if holders require no proof.
	Proof func(entry job.EntryID, incarnation job.Incarnation) vmclock.Timestamp
	Learn func(entry job.EntryID, incarnation job.Incarnation, at vmclock.Timestamp)
	// OnLoad receives the load that a holder sends with its answer, before the outcomes are
	// reported; may be nil.
	OnLoad func(from job.EntryID, l job.HolderLoad)
	Events timeline.Sink
}

// Remote is the owner's side of the handover to holders at other entries.
type Remote struct {
	mesh             peer.Mesh
	isGone           Gone
	sinceLastMessage func(entry job.EntryID, incarnation job.Incarnation) time.Duration
	proof            func(entry job.EntryID, incarnation job.Incarnation) vmclock.Timestamp
	learnReading     func(entry job.EntryID, incarnation job.Incarnation, at vmclock.Timestamp)
	onLoad           func(from job.EntryID, l job.HolderLoad)
	events           timeline.Sink

	mu         sync.Mutex
	lastNumber uint64
	pending    map[job.ID]map[uint64]*pendingOffer
	// unconfirmedCancels counts the cancellations that each holder has not confirmed yet.
	unconfirmedCancels map[job.EntryID]int
	acks               map[job.EntryID][]uint64
}

// pendingOffer is an offer whose outcomes are not known yet.
type pendingOffer struct {
	to job.EntryID
	// cancelled is set once the job is cancelled.
	cancelled bool
}

// NewRemote returns the owner's side of the handover.
func NewRemote(o RemoteOptions) *Remote {
	if o.Gone == nil {
		o.Gone = func(job.EntryID, job.Incarnation) bool { return false }
	}
	if o.Events == nil {
		o.Events = timeline.Discard{}
	}
	if o.SinceLastMessage == nil {
		o.SinceLastMessage = func(job.EntryID, job.Incarnation) time.Duration { return 2 * holderLostAfter }
	}
	if o.Proof == nil {
		o.Proof = func(job.EntryID, job.Incarnation) vmclock.Timestamp { return 0 }
	}
	if o.Learn == nil {
		o.Learn = func(job.EntryID, job.Incarnation, vmclock.Timestamp) {}
	}
	if o.OnLoad == nil {
		o.OnLoad = func(job.EntryID, job.HolderLoad) {}
	}
	return &Remote{
		onLoad: o.OnLoad, proof: o.Proof, learnReading: o.Learn, mesh: o.Mesh, isGone: o.Gone, sinceLastMessage: o.SinceLastMessage, events: o.Events,
		unconfirmedCancels: map[job.EntryID]int{}, pending: map[job.ID]map[uint64]*pendingOffer{}, acks: map[job.EntryID][]uint64{},
	}
}

// Offer sends a batch to an incarnation of an entry and returns immediately.
// reported is called once, from another goroutine. If ctx ends before the holder
// reports, Offer asks the holder to cancel and reports the tasks as TaskErred
// unless they provably were never sent.
func (r *Remote) Offer(ctx context.Context, to job.EntryID, incarnation job.Incarnation, b *job.Batch, reported func([]job.TaskOutcome)) {
	number := r.begin(b.Submission, to)
	go func() {
		outcomes := r.deliver(ctx, to, offer{Number: number, To: incarnation, Batch: *b})
		r.end(b.Submission, number)
		reported(outcomes)
	}()
}

func (r *Remote) begin(id job.ID, to job.EntryID) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastNumber++
	if r.pending[id] == nil {
		r.pending[id] = map[uint64]*pendingOffer{}
	}
	r.pending[id][r.lastNumber] = &pendingOffer{to: to}
	return r.lastNumber
}

func (r *Remote) end(id job.ID, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending[id], number)
	if len(r.pending[id]) == 0 {
		delete(r.pending, id)
	}
}

// Holders returns the entries that have unreported batches of this owner.
func (r *Remote) Holders() []job.EntryID {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := map[job.EntryID]bool{}
	for _, offers := range r.pending {
		for _, f := range offers {
			found[f.to] = true
		}
	}
	return slices.Collect(maps.Keys(found))
}

// Cancel asks an entry to cancel its batches of a submission of this owner.
func (r *Remote) Cancel(to job.EntryID, id job.ID) {
	r.mu.Lock()
	var numbers []uint64
	for n, f := range r.pending[id] {
		if f.to == to {
			f.cancelled = true
			numbers = append(numbers, n)
		}
	}
	r.mu.Unlock()
	// If the message is lost with the link, deliver sends it again until it is confirmed.
	_ = r.mesh.Send(to, peer.BatchCancel, cancel{Submission: id, Offers: numbers})
}

func (r *Remote) isCancelled(id job.ID, number uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.pending[id][number]
	return f != nil && f.cancelled
}

func (r *Remote) takeAcks(to job.EntryID) []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	acks := r.acks[to]
	delete(r.acks, to)
	return acks
}

func (r *Remote) ack(to job.EntryID, numbers ...uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.acks[to]) < maxAcks {
		r.acks[to] = append(r.acks[to], numbers...)
	}
}

// deliver sends an offer, again after each link failure, until its outcomes are
// known or can no longer be obtained.
func (r *Remote) deliver(ctx context.Context, to job.EntryID, o offer) []job.TaskOutcome {
	b := o.Batch
	start := time.Now()
	var unreachable time.Duration
	var lastReachable time.Time // when the link was last known to be up
	sent := false               // whether the holder may have received the offer
	staleAnswers := 0           // how often the proof was too old for the holder
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		o.Batch = withElapsed(b, time.Since(start))
		// Read the proof before checking the right: if this entry is paused between the
		// two, the proof is too old; if it is paused before both, the right has expired.
		o.Proof = r.proof(to, o.To)
		if b.Transient && r.isCancelled(b.Submission, o.Number) {
			return r.confirmCancel(ctx, to, &o, sent)
		}
		if !job.RightValid(b.Right) {
			return pausedOwnerOutcomes(&b, sent)
		}
		o.Acked = r.takeAcks(to)
		answer, err := r.sendOffer(ctx, to, o)
		if err == nil && answer.Reading != 0 {
			r.learnReading(to, o.To, answer.Reading)
		}
		if err == nil && answer.Load != nil {
			r.onLoad(to, *answer.Load)
		}
		if err == nil && answer.Result == resultStaleProof {
			r.ack(to, o.Acked...)
			if staleAnswers++; staleAnswers < maxStaleAnswers {
				continue
			}
			return uniformOutcomes(&b, job.TaskNotStarted, job.HolderLost, "the holder has no recent proof that this owner is alive")
		}
		if err == nil && b.Transient && answer.Result == resultWrongIncarnation {
			// The holder's earlier incarnation ended before this answer, and the
			// leases that it granted expire within the same bound.
			r.wait(ctx, holderLostAfter)
			return r.reportLost(to, &b, start, "it runs a later incarnation")
		}
		if err == nil && answer.Result != resultSuperseded {
			r.ack(to, o.Number)
			return outcomesFrom(&b, answer)
		}
		if errors.Is(err, peer.ErrRejected) {
			return uniformOutcomes(&b, job.TaskErred, job.Internal, err.Error())
		}
		r.ack(to, o.Acked...)
		if errors.Is(err, peer.ErrNotSent) && !sent {
			return uniformOutcomes(&b, job.TaskNotStarted, job.HolderLost, err.Error())
		}
		sent = true
		if ctx.Err() != nil {
			r.Cancel(to, b.Submission)
			return uniformOutcomes(&b, job.TaskErred, job.HolderLost, "cancelled before the holder reported")
		}
		if errors.Is(err, peer.ErrNotSent) {
			unreachable += delay
		} else {
			unreachable, delay = 0, minRetryDelay
		}
		if lastReachable.IsZero() || !errors.Is(err, peer.ErrNotSent) {
			lastReachable = time.Now() // the holder may have received messages until now
		}
		if b.Transient && time.Since(lastReachable) > holderLostAfter && r.sinceLastMessage(to, o.To) > holderLostAfter {
			return r.reportLost(to, &b, start, fmt.Sprintf("no link for %s, unheard for %s", time.Since(lastReachable).Round(time.Millisecond), r.sinceLastMessage(to, o.To).Round(time.Millisecond)))
		}
		if b.Transient {
			r.wait(ctx, delay)
			continue
		}
		if r.isGone(to, o.To) || unreachable > unreachableTimeout {
			return uniformOutcomes(&b, job.TaskErred, job.HolderLost, "the holder was lost after it received the tasks")
		}
		r.wait(ctx, delay)
	}
}

// confirmCancel repeats a cancellation, which may have been lost with its link, until the
// holder has confirmed it or can no longer act for this owner. The caller of a transient job
// sends the job elsewhere soon after it has hung up, so its work must end by then, and an
// offer that may not have arrived is not sent again.
func (r *Remote) confirmCancel(ctx context.Context, to job.EntryID, o *offer, sent bool) []job.TaskOutcome {
	if !sent {
		return uniformOutcomes(&o.Batch, job.TaskNotStarted, job.CancelledByCall, "cancelled before it was sent")
	}
	r.addUnconfirmed(to, 1)
	defer r.addUnconfirmed(to, -1)
	message := cancel{Submission: o.Batch.Submission, Offers: []uint64{o.Number}}
	start := time.Now()
	for ; time.Since(start) <= holderLostAfter || r.sinceLastMessage(to, o.To) <= holderLostAfter; r.wait(ctx, minRetryDelay) {
		call, done := context.WithTimeout(ctx, fetchTimeout)
		err := r.mesh.Call(call, to, peer.BatchCancel, message, nil)
		done()
		if err == nil || errors.Is(err, peer.ErrRejected) || ctx.Err() != nil {
			return uniformOutcomes(&o.Batch, job.TaskErred, job.CancelledByCall, "taken back")
		}
	}
	r.recordLost(to, &o.Batch, start, fmt.Sprintf("taken back and never confirmed, unheard for %s", r.sinceLastMessage(to, o.To).Round(time.Millisecond)))
	return uniformOutcomes(&o.Batch, job.TaskErred, job.CancelledByCall, "taken back")
}

func (r *Remote) addUnconfirmed(to job.EntryID, by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unconfirmedCancels[to] += by; r.unconfirmedCancels[to] == 0 {
		delete(r.unconfirmedCancels, to)
	}
}

// CancelUnconfirmed reports whether a holder has yet to confirm a cancellation because its link
// broke. Until it does, this owner must not send the holder a proof that it is alive, or the
// cancelled job would continue.
func (r *Remote) CancelUnconfirmed(to job.EntryID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unconfirmedCancels[to] > 0
}

// pausedOwnerOutcomes returns the outcomes of a batch whose owner was paused: its caller may
// have sent the job elsewhere.
func pausedOwnerOutcomes(b *job.Batch, sent bool) []job.TaskOutcome {
	const detail = "this entry was paused, and its caller may have sent the job elsewhere"
	if sent {
		return uniformOutcomes(b, job.TaskErred, job.OwnerLost, detail)
	}
	return uniformOutcomes(b, job.TaskNotStarted, job.OwnerLost, detail)
}

// reportLost records that the holder of a batch is lost and that the runs have ended, and
// returns the outcomes of the batch.
func (r *Remote) reportLost(to job.EntryID, b *job.Batch, since time.Time, cause string) []job.TaskOutcome {
	r.recordLost(to, b, since, cause)
	return lostOutcomes(b)
}

func (r *Remote) recordLost(to job.EntryID, b *job.Batch, since time.Time, cause string) {
	r.events.Record(timeline.Event{
		Kind: timeline.BatchLost, Submission: b.Submission, Peer: to, Count: len(b.Tasks),
		Took: time.Since(since), Reason: job.HolderLost, Cause: cause,
	})
}

// lostOutcomes returns the outcomes of a batch whose holder is lost and whose runs have ended.
func lostOutcomes(b *job.Batch) []job.TaskOutcome {
	outcomes := uniformOutcomes(b, job.TaskErred, job.HolderLost, "the holder was lost and its runs have ended")
	for i := range outcomes {
		outcomes[i].Over = true
	}
	return outcomes
}

func (r *Remote) sendOffer(ctx context.Context, to job.EntryID, o offer) (report, error) {
	ctx, cancel := context.WithTimeout(ctx, resendAfter)
	defer cancel()
	o.pack()
	var answer report
	err := r.mesh.Call(ctx, to, peer.BatchOffer, o, &answer)
	return answer, err
}

// Fetch collects the results that holders still have of a lost owner's
// submission. It ignores entries that don't answer.
func (r *Remote) Fetch(ctx context.Context, from []job.EntryID, owner job.Owner, id job.ID) []job.TaskOutcome {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	answers := make([]fetched, len(from))
	var wg sync.WaitGroup
	for i, entry := range from {
		wg.Go(func() {
			_ = r.mesh.Call(ctx, entry, peer.BatchFetch, fetch{owner, id}, &answers[i])
		})
	}
	wg.Wait()
	var held []job.TaskOutcome
	for i := range answers {
		held = append(held, answers[i].Outcomes...)
	}
	return held
}

func (r *Remote) wait(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// withElapsed returns the batch after it has spent more time at this owner.
func withElapsed(b job.Batch, by time.Duration) job.Batch {
	b.Waited += by
	if b.Remaining > 0 {
		// Zero would mean no deadline, so an expired deadline must stay positive.
		b.Remaining = max(b.Remaining-by, time.Nanosecond)
	}
	return b
}

// outcomesFrom converts the holder's answer into the outcomes of all tasks that it covers.
func outcomesFrom(b *job.Batch, answer report) []job.TaskOutcome {
	switch answer.Result {
	case resultReported:
		return answer.Outcomes
	case resultWrongIncarnation:
		return uniformOutcomes(b, job.TaskErred, job.HolderLost, "the holder was restarted; its earlier incarnation may have started the tasks")
	}
	return uniformOutcomes(b, job.TaskErred, job.HolderLost, "the holder no longer has a record of the tasks")
}
