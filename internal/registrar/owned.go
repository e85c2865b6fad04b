package registrar

import (
	"cmp"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// ownerState is the state of a submission that this entry claims or owns.
type ownerState uint8

const (
	// ownerPending: registrars are being asked; no task has started.
	ownerPending ownerState = iota + 1
	// ownerStarted: tasks may have started.
	ownerStarted
	// ownerSettled: the submission has ended.
	ownerSettled
)

// ownedSubmission is a submission that this entry claims or owns.
type ownedSubmission struct {
	id          job.ID
	digest      job.Digest
	claimNumber uint64
	state       ownerState
	// yielded is the entry to which this entry yielded its claim, if any.
	yielded job.Owner
	// registrars are the entries that granted the claim. They are notified when
	// the submission ends.
	registrars []job.EntryID
	answer     *job.Answer
	bytes      int // size of answer
	settledAt  time.Time
	// decided is closed when the claim stops being pending.
	decided chan struct{}
}

// ownerTable holds the submissions that this entry claims or owns. It takes no
// locks and performs no I/O, except that it closes the channel that wakes a second
// caller of the same id; callers hold the shard's lock.
//
// Only ownerTable decides that a submission starts on this entry: start and yield
// exclude each other under the lock.
type ownerTable struct {
	self        job.Owner
	submissions map[job.ID]*ownedSubmission
	// settled lists ended submissions, and answers those whose answer is still
	// kept, both oldest first.
	settled []*ownedSubmission
	answers []*ownedSubmission
	bytes   int
	// lastNumber is the number of the latest claim of this incarnation.
	lastNumber uint64
}

func newOwnerTable(self job.Owner) *ownerTable {
	return &ownerTable{self: self, submissions: map[job.ID]*ownedSubmission{}}
}

// begin adds a pending submission for a new claim. If the id is already present,
// it returns the existing submission with isNew false.
func (o *ownerTable) begin(id job.ID, digest job.Digest) (sub *ownedSubmission, isNew bool) {
	if sub := o.submissions[id]; sub != nil {
		return sub, false
	}
	o.lastNumber++
	sub = &ownedSubmission{id: id, digest: digest, claimNumber: o.lastNumber, state: ownerPending, decided: make(chan struct{})}
	o.submissions[id] = sub
	return sub, true
}

// claimant returns the claimant of a submission.
func (o *ownerTable) claimant(sub *ownedSubmission) Claimant {
	return Claimant{o.self, sub.claimNumber}
}

// start marks the submission as started on this entry. It must not be called for
// a yielded claim: the entry to which it was yielded may have started the
// submission.
func (o *ownerTable) start(sub *ownedSubmission, registrars []job.EntryID) {
	if !sub.yielded.IsZero() {
		panic("registrar: a yielded submission was about to start")
	}
	sub.state, sub.registrars = ownerStarted, registrars
	close(sub.decided)
}

// drop removes a claim whose submission did not start here.
func (o *ownerTable) drop(sub *ownedSubmission) {
	delete(o.submissions, sub.id)
	close(sub.decided)
}

// answerYield answers the yield request of another entry that found this one in a
// record. It never yields to a claim with different content: this entry's callers
// would receive the answer of a job that they did not send.
func (o *ownerTable) answerYield(by job.Owner, req *yieldRequest) yieldReply {
	if sub := o.submissions[req.ID]; sub != nil && sub.digest != req.Digest {
		return yieldReply{Result: yieldRefused}
	}
	return o.yield(by, req.ID)
}

// yield yields a pending claim to another entry if that entry precedes this one,
// and returns the reply.
func (o *ownerTable) yield(by job.Owner, id job.ID) yieldReply {
	sub := o.submissions[id]
	switch {
	case sub == nil:
		return yieldReply{Result: yieldUnknown}
	case sub.state != ownerPending:
		return yieldReply{Result: yieldRefused}
	case !sub.yielded.IsZero() && sub.yielded != by:
		return yieldReply{Result: yieldRedirected, To: sub.yielded}
	case precedes(by, o.self):
		sub.yielded = by
		return yieldReply{Result: yieldGranted}
	}
	return yieldReply{Result: yieldRefused}
}

// precedes orders competing claims of one id: a wins over b. The order need not
// be fair, but must be the same on both entries.
func precedes(a, b job.Owner) bool {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Incarnation, b.Incarnation)) < 0
}

// settle stores the answer of an owned submission. If nothing of the submission
// ran, settle removes it instead, so that its id can be sent again.
func (o *ownerTable) settle(now time.Time, id job.ID, answer job.Answer) *ownedSubmission {
	sub := o.submissions[id]
	if sub == nil || sub.state != ownerStarted {
		return nil
	}
	if answer.Run.Proven() {
		delete(o.submissions, id)
		return sub
	}
	sub.state, sub.answer, sub.settledAt = ownerSettled, &answer, now
	sub.bytes = len(answer.Detail)
	for _, r := range answer.Results {
		sub.bytes += len(r)
	}
	o.bytes += sub.bytes
	o.settled = append(o.settled, sub)
	o.answers = append(o.answers, sub)
	return sub
}

// expire removes ended submissions after retain, and drops the oldest answers
// while the answers exceed limit bytes. A submission without its answer stays in
// the table as long as a registrar may name this entry as its owner.
func (o *ownerTable) expire(now time.Time, retain time.Duration, limit int) {
	for len(o.answers) > 0 && (o.bytes > limit || now.Sub(o.answers[0].settledAt) >= retain) {
		sub := o.answers[0]
		o.bytes -= sub.bytes
		sub.bytes, sub.answer = 0, nil
		o.answers[0] = nil
		o.answers = o.answers[1:]
	}
	for len(o.settled) > 0 && now.Sub(o.settled[0].settledAt) >= retain {
		delete(o.submissions, o.settled[0].id)
		o.settled[0] = nil
		o.settled = o.settled[1:]
	}
}

// export returns records of the submissions started here that entry to keeps as a
// registrar when the live entries are base.
func (o *ownerTable) export(to job.EntryID, base []job.EntryID) []Record {
	var list []Record
	for id, sub := range o.submissions {
		if sub.state != ownerPending && storesRecord(to, base, id) {
			list = append(list, Record{ID: id, Digest: sub.digest, By: o.claimant(sub)})
		}
	}
	return list
}
