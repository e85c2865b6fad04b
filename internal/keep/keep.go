// Package keep holds the submissions of services that ask for more than the
// registrars' memory: on a disk (synced) or in a second entry's memory
// (replicated), from their acceptance until nobody asks for their answer.
//
// The pattern that it answers is the loss of an entry with accepted work that
// must not be lost, such as a spill forecast. Without it the caller of a lost
// entry would have to notice and send the job again, and nobody could tell which
// of its tasks had run.
//
// Each kept submission has one Keeper, and everybody who wants to hand one of
// its tasks to a holder, its owner or whoever drives it on, must have the task
// granted there first. A keeper grants each task once, ever. So it does no harm
// that two entries drive a submission on after a cut in which each took the
// other for lost: a task that the one was granted is refused to the other. What
// a crash leaves is then exact: tasks that were never granted may start, those
// that were never do again, and the job is complete only if their results are
// found.
package keep

import (
	"context"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/storage"
)

// Errors of a keeper. The difference is what a caller may be told.
const (
	// ErrNotKept says that the submission is certainly not kept.
	ErrNotKept = errors.ConstError("keep: not kept")
	// ErrUncertain says that it may be kept and driven on later.
	ErrUncertain = errors.ConstError("keep: may be kept")
	// ErrGranted says that another driver of the submission was granted a task
	// that was asked for.
	ErrGranted = errors.ConstError("keep: a task was granted before")
)

// Bounds of what a keeper holds in memory.
const (
	// maxAnswers and maxAnswerBytes bound the answers held for callers that
	// come back; the oldest go first.
	maxAnswers     = 8192
	maxAnswerBytes = 16 << 20
	// maxOpenBytes bounds the submissions that are kept and unfinished; more
	// are refused as not kept.
	maxOpenBytes = 128 << 20
)

// Kept is one submission with what must outlive its owner.
type Kept struct {
	Owner      job.Owner      `cbor:"1,keyasint"`
	Submission job.Submission `cbor:"2,keyasint"`
	// Granted are the tasks that may have been handed to a holder.
	Granted []int `cbor:"-"`
}

// finished is the end of a kept submission.
type finished struct {
	Digest job.Digest `cbor:"1,keyasint"`
	Answer job.Answer `cbor:"2,keyasint"`
}

// open is a kept submission without an answer.
type open struct {
	mu      sync.Mutex
	kept    Kept
	granted map[int]bool
	bytes   int
	// stored is set once the submission outlives a crash as promised.
	stored bool
}

// Keeper keeps submissions for the entries, in memory and, where the entry has
// a disk, in its log.
type Keeper struct {
	log *storage.SubmissionLog

	mu        sync.Mutex
	open      map[job.ID]*open
	openBytes int
	answers   map[job.ID]finished
	order     []job.ID
	bytes     int
}

// New returns a keeper; log is nil on an entry without a disk. What the log
// holds is there at once.
func New(log *storage.SubmissionLog) (*Keeper, error) {
	k := &Keeper{log: log, open: map[job.ID]*open{}, answers: map[job.ID]finished{}}
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
		o := &open{granted: map[int]bool{}, bytes: len(r.Body), stored: true}
		if err := cbor.Unmarshal(r.Body, &o.kept); err != nil {
			return errors.Trace(err)
		}
		k.open[r.ID] = o
		k.openBytes += o.bytes
	case storage.RecordHanded:
		for _, task := range r.Tasks {
			if o := k.open[r.ID]; o != nil {
				o.granted[task] = true
			}
		}
	case storage.RecordFinished:
		var f finished
		if err := cbor.Unmarshal(r.Body, &f); err != nil {
			return errors.Trace(err)
		}
		k.end(r.ID, f)
	case storage.RecordForgotten:
	}
	return nil
}

// HasDisk reports whether the keeper's submissions outlive a crash.
func (k *Keeper) HasDisk() bool { return k.log != nil }

// Accept keeps a submission. When it returns nil the submission outlives its
// owner, and with a disk also a crash of this entry. Its error is or wraps
// ErrNotKept or ErrUncertain.
func (k *Keeper) Accept(ctx context.Context, owner job.Owner, s *job.Submission) error {
	body, err := cbor.Marshal(Kept{Owner: owner, Submission: *s})
	if err != nil {
		return errors.Annotatef(ErrNotKept, "encoding: %v", err)
	}
	o := &open{kept: Kept{Owner: owner, Submission: *s}, granted: map[int]bool{}, bytes: len(body)}
	if err := k.put(s.ID, o); err != nil {
		return err
	}
	if err := k.append(ctx, storage.Record{Kind: storage.RecordAccepted, ID: s.ID, Body: body}); err != nil {
		if errors.Is(err, ErrNotKept) {
			k.drop(s.ID, o)
		}
		return err
	}
	o.mu.Lock()
	o.stored = true
	o.mu.Unlock()
	return nil
}

func (k *Keeper) put(id job.ID, o *open) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.open[id] != nil {
		return errors.Annotatef(ErrUncertain, "submission %s is kept already", id)
	}
	if k.openBytes+o.bytes > maxOpenBytes {
		return errors.Annotate(ErrNotKept, "the keeper's memory is full")
	}
	k.open[id] = o
	k.openBytes += o.bytes
	return nil
}

func (k *Keeper) drop(id job.ID, o *open) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.open[id] == o {
		delete(k.open, id)
		k.openBytes -= o.bytes
	}
}

// append writes to the log where there is one.
func (k *Keeper) append(ctx context.Context, r storage.Record) error {
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

// Grant lets the asker hand tasks to a holder, if none of them was granted to
// anybody before. It is on disk, where there is one, before it returns nil.
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
	// The grants stand in memory before they are written: after a failed write
	// it is not known whether they are on the disk, so nobody gets them.
	for _, task := range tasks {
		o.granted[task] = true
	}
	return k.append(ctx, storage.Record{Kind: storage.RecordHanded, ID: id, Tasks: tasks})
}

// Finish holds the answer for a caller that comes back; one of which nothing
// ran is forgotten, so that its id may be sent again. Its error says that a
// crash may drive the submission on although it has an answer.
func (k *Keeper) Finish(ctx context.Context, id job.ID, digest job.Digest, a job.Answer) error {
	if a.Run.Proven() {
		err := k.append(ctx, storage.Record{Kind: storage.RecordForgotten, ID: id})
		k.close(id)
		return err
	}
	f := finished{Digest: digest, Answer: a}
	body, err := cbor.Marshal(f)
	if err != nil {
		return errors.Annotatef(ErrUncertain, "encoding: %v", err)
	}
	err = k.append(ctx, storage.Record{Kind: storage.RecordFinished, ID: id, Body: body})
	k.close(id)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.end(id, f)
	return err
}

// close forgets a submission that is open.
func (k *Keeper) close(id job.ID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if o := k.open[id]; o != nil {
		delete(k.open, id)
		k.openBytes -= o.bytes
	}
}

// end holds an answer; the caller holds k.mu or is New.
func (k *Keeper) end(id job.ID, f finished) {
	if _, again := k.answers[id]; again {
		return
	}
	k.answers[id] = f
	k.order = append(k.order, id)
	k.bytes += answerBytes(&f.Answer)
	for len(k.order) > maxAnswers || k.bytes > maxAnswerBytes {
		oldest := k.order[0]
		k.order = k.order[1:]
		old := k.answers[oldest]
		k.bytes -= answerBytes(&old.Answer)
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

// Answer returns the held answer of an ended submission.
func (k *Keeper) Answer(id job.ID) (a job.Answer, digest job.Digest, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f, ok := k.answers[id]
	return f.Answer, f.Digest, ok
}

// Open returns the kept submissions without an answer for which gone reports
// that their owner's life has ended.
func (k *Keeper) Open(gone func(job.Owner) bool) []Kept {
	k.mu.Lock()
	all := make([]*open, 0, len(k.open))
	for _, o := range k.open {
		all = append(all, o)
	}
	k.mu.Unlock()
	var out []Kept
	for _, o := range all {
		if kept, ok := o.orphan(gone); ok {
			out = append(out, kept)
		}
	}
	return out
}

func (o *open) orphan(gone func(job.Owner) bool) (Kept, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.stored || !gone(o.kept.Owner) {
		return Kept{}, false
	}
	kept := o.kept
	for task := range o.granted {
		kept.Granted = append(kept.Granted, task)
	}
	return kept, true
}

// Adopt makes owner the one who drives a submission on, so that it is driven
// on once.
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
