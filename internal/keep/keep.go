// Package keep stores the submissions of services that require more than the
// registrars' memory: on a disk (synced) or in the memory of a second entry
// (replicated), from their acceptance until nobody asks for their answer.
//
// It protects accepted work that must not be lost with an entry, such as a spill
// forecast. Without it, the caller of a lost entry would have to notice the loss
// and send the job again, and nobody would know which of its tasks had run.
//
// Each kept submission has one Keeper. An entry that wants to hand one of its
// tasks to a holder, as the original owner or to resume the submission, must first
// have the keeper grant the task. A keeper grants each task at most once, ever.
// Two entries may therefore safely process a submission after a partition in which
// each considered the other lost: a task granted to one is refused to the other.
// After a crash the state is exact: tasks that were never granted may start,
// granted tasks never start again, and the job is complete only if the results of
// the granted tasks are found.
package keep

import (
	"context"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/storage"
)

// Errors of a keeper. They determine what the answer to the caller may say.
const (
	// ErrNotKept means that the submission is certainly not kept.
	ErrNotKept = errors.ConstError("keep: not kept")
	// ErrUncertain means that the submission may be kept and resumed later.
	ErrUncertain = errors.ConstError("keep: may be kept")
	// ErrGranted means that a requested task was already granted, to this entry
	// or to another one, or that the submission is no longer open.
	ErrGranted = errors.ConstError("keep: a task was already granted")
)

// Limits on what a keeper holds in memory.
const (
	// maxAnswers and maxAnswerBytes limit the answers held for callers that ask
	// again; the oldest are dropped first.
	maxAnswers     = 8192
	maxAnswerBytes = 16 << 20
	// maxOpenBytes limits the kept submissions without an answer; further ones
	// are refused with ErrNotKept.
	maxOpenBytes = 128 << 20
)

// Kept is one submission with the data that must outlive its owner.
type Kept struct {
	Owner      job.Owner      `cbor:"1,keyasint"`
	Submission job.Submission `cbor:"2,keyasint"`
	// Granted contains the tasks that may have been handed to a holder.
	Granted []int `cbor:"-"`
}

// finishedSubmission is the answer to a kept submission.
type finishedSubmission struct {
	Digest job.Digest `cbor:"1,keyasint"`
	Answer job.Answer `cbor:"2,keyasint"`
}

// openSubmission is a kept submission without an answer.
type openSubmission struct {
	mu      sync.Mutex
	kept    Kept
	granted map[int]bool
	bytes   int
	// stored is set once the submission is as durable as its service requires.
	stored bool
}

// Keeper stores submissions for all entries: in memory and, if this entry has a
// disk, in a log.
type Keeper struct {
	log *storage.SubmissionLog

	mu          sync.Mutex
	open        map[job.ID]*openSubmission
	openBytes   int
	answers     map[job.ID]finishedSubmission
	answerOrder []job.ID
	heldBytes   int
}

// New returns a keeper with the submissions and answers of the log; log is nil on
// an entry without a disk.
func New(log *storage.SubmissionLog) (*Keeper, error) {
	k := &Keeper{log: log, open: map[job.ID]*openSubmission{}, answers: map[job.ID]finishedSubmission{}}
	if log == nil {
		return k, nil
	}
	for _, r := range log.Replay() {
		if err := k.replay(r); err != nil {
			return nil, errors.Annotatef(err, "record of submission %s", r.ID)
		}
	}
	return k, nil
}

func (k *Keeper) replay(r storage.Record) error {
	switch r.Kind {
	case storage.RecordAccepted:
		o := &openSubmission{granted: map[int]bool{}, bytes: len(r.Body), stored: true}
		if err := cbor.Unmarshal(r.Body, &o.kept); err != nil {
			return errors.Trace(err)
		}
		k.open[r.ID] = o
		k.openBytes += o.bytes
	case storage.RecordDispatched:
		for _, task := range r.Tasks {
			if o := k.open[r.ID]; o != nil {
				o.granted[task] = true
			}
		}
	case storage.RecordFinished:
		var f finishedSubmission
		if err := cbor.Unmarshal(r.Body, &f); err != nil {
			return errors.Trace(err)
		}
		k.holdAnswer(r.ID, f)
	case storage.RecordForgotten:
	}
	return nil
}

// HasDisk reports whether the keeper's submissions survive a crash of this entry.
func (k *Keeper) HasDisk() bool { return k.log != nil }

// Accept stores a submission. Once it returns nil, the submission survives the
// loss of its owner and, with a disk, a crash of this entry. An error is or wraps
// ErrNotKept or ErrUncertain.
func (k *Keeper) Accept(ctx context.Context, owner job.Owner, s *job.Submission) error {
	body, err := cbor.Marshal(Kept{Owner: owner, Submission: *s})
	if err != nil {
		return errors.Annotatef(ErrNotKept, "encoding: %v", err)
	}
	o := &openSubmission{kept: Kept{Owner: owner, Submission: *s}, granted: map[int]bool{}, bytes: len(body)}
	if err := k.addOpen(s.ID, o); err != nil {
		return err
	}
	if err := k.appendLog(ctx, storage.Record{Kind: storage.RecordAccepted, ID: s.ID, Body: body}); err != nil {
		if errors.Is(err, ErrNotKept) {
			k.removeRejected(s.ID, o)
		}
		return err
	}
	o.mu.Lock()
	o.stored = true
	o.mu.Unlock()
	return nil
}

func (k *Keeper) addOpen(id job.ID, o *openSubmission) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.open[id] != nil {
		return errors.Annotatef(ErrUncertain, "submission %s is already kept", id)
	}
	if k.openBytes+o.bytes > maxOpenBytes {
		return errors.Annotate(ErrNotKept, "the keeper's memory is full")
	}
	k.open[id] = o
	k.openBytes += o.bytes
	return nil
}

func (k *Keeper) removeRejected(id job.ID, o *openSubmission) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.open[id] == o {
		delete(k.open, id)
		k.openBytes -= o.bytes
	}
}

// appendLog writes a record to the log, if there is one.
func (k *Keeper) appendLog(ctx context.Context, r storage.Record) error {
	if k.log == nil {
		return nil
	}
	err := k.log.Append(ctx, r)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, storage.ErrNotKept):
		return errors.Annotate(ErrNotKept, err.Error())
	}
	return errors.Annotate(ErrUncertain, err.Error())
}

// Grant allows the requesting entry to hand the tasks to holders, if none of them
// was granted before. The grants are on disk, if there is one, before Grant
// returns nil.
func (k *Keeper) Grant(ctx context.Context, id job.ID, tasks []int) error {
	k.mu.Lock()
	o := k.open[id]
	k.mu.Unlock()
	if o == nil {
		return errors.Annotatef(ErrGranted, "submission %s is not kept here or has ended", id)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, task := range tasks {
		if o.granted[task] {
			return errors.Annotatef(ErrGranted, "task %d of submission %s", task, id)
		}
	}
	// The grants are recorded in memory before they are written: after a failed
	// write it is unknown whether they are on the disk, so the tasks must not be
	// granted to anyone.
	for _, task := range tasks {
		o.granted[task] = true
	}
	return k.appendLog(ctx, storage.Record{Kind: storage.RecordDispatched, ID: id, Tasks: tasks})
}

// Finish stores the answer for a caller that asks again. A submission that provably
// did not run is forgotten instead, so that its id may be sent again. An error
// means that the submission may be resumed after a crash although it has an
// answer.
func (k *Keeper) Finish(ctx context.Context, id job.ID, digest job.Digest, a job.Answer) error {
	if a.Run.Proven() {
		err := k.appendLog(ctx, storage.Record{Kind: storage.RecordForgotten, ID: id})
		k.removeOpen(id)
		return err
	}
	f := finishedSubmission{Digest: digest, Answer: a}
	body, err := cbor.Marshal(f)
	if err != nil {
		return errors.Annotatef(ErrUncertain, "encoding: %v", err)
	}
	err = k.appendLog(ctx, storage.Record{Kind: storage.RecordFinished, ID: id, Body: body})
	k.removeOpen(id)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holdAnswer(id, f)
	return err
}

// removeOpen removes a submission that has ended.
func (k *Keeper) removeOpen(id job.ID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if o := k.open[id]; o != nil {
		delete(k.open, id)
		k.openBytes -= o.bytes
	}
}

// holdAnswer stores an answer and drops the oldest ones beyond the limits. The
// caller holds k.mu or is New.
func (k *Keeper) holdAnswer(id job.ID, f finishedSubmission) {
	if _, exists := k.answers[id]; exists {
		return
	}
	k.answers[id] = f
	k.answerOrder = append(k.answerOrder, id)
	k.heldBytes += answerBytes(&f.Answer)
	for len(k.answerOrder) > maxAnswers || k.heldBytes > maxAnswerBytes {
		oldest := k.answerOrder[0]
		k.answerOrder = k.answerOrder[1:]
		old := k.answers[oldest]
		k.heldBytes -= answerBytes(&old.Answer)
		delete(k.answers, oldest)
	}
}

func answerBytes(a *job.Answer) int {
	n := len(a.ID) + len(a.Detail)
	for _, r := range a.Results {
		n += len(r)
	}
	return n
}

// Answer returns the held answer to a finished submission.
func (k *Keeper) Answer(id job.ID) (a job.Answer, digest job.Digest, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f, ok := k.answers[id]
	return f.Answer, f.Digest, ok
}

// Orphans returns the kept submissions without an answer for which isGone reports
// that the incarnation of their owner has ended.
func (k *Keeper) Orphans(isGone func(job.Owner) bool) []Kept {
	k.mu.Lock()
	all := make([]*openSubmission, 0, len(k.open))
	for _, o := range k.open {
		all = append(all, o)
	}
	k.mu.Unlock()
	var out []Kept
	for _, o := range all {
		if kept, ok := o.orphaned(isGone); ok {
			out = append(out, kept)
		}
	}
	return out
}

func (o *openSubmission) orphaned(isGone func(job.Owner) bool) (Kept, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.stored || !isGone(o.kept.Owner) {
		return Kept{}, false
	}
	kept := o.kept
	for task := range o.granted {
		kept.Granted = append(kept.Granted, task)
	}
	return kept, true
}

// Adopt sets the owner that resumes a submission, so that it is resumed only
// once.
func (k *Keeper) Adopt(id job.ID, owner job.Owner) {
	k.mu.Lock()
	o := k.open[id]
	k.mu.Unlock()
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.kept.Owner = owner
}
