package registrar

import (
	"cmp"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// ownState is how far this entry is with a submission that it wants to own.
type ownState uint8

const (
	// ownPending: registrars are being asked and nothing has started.
	ownPending ownState = iota + 1
	// ownOwned: tasks may have started.
	ownOwned
	// ownSettled: the submission has ended.
	ownSettled
)

// own is one submission at the entry that wants to own it, or does.
type own struct {
	id      job.ID
	digest  job.Digest
	number  uint64
	state   ownState
	yielded job.Owner
	// registrars granted the claim; they get the news of its end.
	registrars []job.EntryID
	answer     *job.Answer
	bytes      int
	at         time.Time
	// decided is closed when the claim is no longer pending.
	decided chan struct{}
}

// owned holds the submissions of this entry. It is pure but for the channel
// that wakes a second caller of the same id; its owner holds a lock.
//
// It is the one place that decides that a submission starts here: start and
// yield exclude each other under the lock.
type owned struct {
	self    job.Owner
	entries map[job.ID]*own
	// settled lists ended submissions, and answers those whose answer is still
	// held, oldest first.
	settled []*own
	answers []*own
	bytes   int
	// next numbers the claims of this life.
	next uint64
}

func newOwned(self job.Owner) *owned {
	return &owned{self: self, entries: map[job.ID]*own{}}
}

// begin makes an entry for a new claim; where there is one already, it returns
// that with isNew false.
func (o *owned) begin(id job.ID, digest job.Digest) (e *own, isNew bool) {
	if e := o.entries[id]; e != nil {
		return e, false
	}
	o.next++
	e = &own{id: id, digest: digest, number: o.next, state: ownPending, decided: make(chan struct{})}
	o.entries[id] = e
	return e, true
}

// by returns the claimant of an entry.
func (o *owned) by(e *own) Claimant { return Claimant{o.self, e.number} }

// start decides that the submission starts here. A claim that was yielded must
// not come here: the entry that it was yielded to may have started it.
func (o *owned) start(e *own, registrars []job.EntryID) {
	if !e.yielded.IsZero() {
		panic("registrar: a yielded submission was about to start")
	}
	e.state, e.registrars = ownOwned, registrars
	close(e.decided)
}

// drop ends a claim that did not start.
func (o *owned) drop(e *own) {
	delete(o.entries, e.id)
	close(e.decided)
}

// asked answers another entry that found this one in a record. A claim of other
// content is never yielded: its callers would be given the answer of a job that
// they did not send.
func (o *owned) asked(by job.Owner, req *yieldRequest) yieldReply {
	if e := o.entries[req.ID]; e != nil && e.digest != req.Digest {
		return yieldReply{Verdict: yieldMine}
	}
	return o.yield(by, req.ID)
}

// yield answers another entry that found this one in a record of id.
func (o *owned) yield(by job.Owner, id job.ID) yieldReply {
	e := o.entries[id]
	switch {
	case e == nil:
		return yieldReply{Verdict: yieldUnknown}
	case e.state != ownPending:
		return yieldReply{Verdict: yieldMine}
	case !e.yielded.IsZero() && e.yielded != by:
		return yieldReply{Verdict: yieldMoved, To: e.yielded}
	case before(by, o.self):
		e.yielded = by
		return yieldReply{Verdict: yieldYours}
	}
	return yieldReply{Verdict: yieldMine}
}

// before is the order in which claims of one id that meet are served. It need
// not be fair, only the same at both.
func before(a, b job.Owner) bool {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Incarnation, b.Incarnation)) < 0
}

// settle keeps the answer of an owned submission. A submission of which nothing
// ran is forgotten instead, so that its id can be sent again.
func (o *owned) settle(now time.Time, id job.ID, answer job.Answer) *own {
	e := o.entries[id]
	if e == nil || e.state != ownOwned {
		return nil
	}
	if answer.Run.Proven() {
		delete(o.entries, id)
		return e
	}
	e.state, e.answer, e.at = ownSettled, &answer, now
	e.bytes = len(answer.Detail)
	for _, r := range answer.Results {
		e.bytes += len(r)
	}
	o.bytes += e.bytes
	o.settled = append(o.settled, e)
	o.answers = append(o.answers, e)
	return e
}

// expire forgets ended submissions after retain, and drops the oldest answers
// while they take more than limit bytes. That a submission was started stays
// known as long as any registrar may name this entry for it.
func (o *owned) expire(now time.Time, retain time.Duration, limit int) {
	for len(o.answers) > 0 && (o.bytes > limit || now.Sub(o.answers[0].at) >= retain) {
		e := o.answers[0]
		o.bytes -= e.bytes
		e.bytes, e.answer = 0, nil
		o.answers[0] = nil
		o.answers = o.answers[1:]
	}
	for len(o.settled) > 0 && now.Sub(o.settled[0].at) >= retain {
		delete(o.entries, o.settled[0].id)
		o.settled[0] = nil
		o.settled = o.settled[1:]
	}
}

// export returns records of the submissions that were started here, for an
// entry that collects what it must know as a registrar.
func (o *owned) export(to job.EntryID, base []job.EntryID) []Record {
	var list []Record
	for id, e := range o.entries {
		if e.state != ownPending && keeps(to, base, id) {
			list = append(list, Record{ID: id, Digest: e.digest, By: o.by(e)})
		}
	}
	return list
}
