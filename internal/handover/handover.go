// Package handover sends batches of tasks from the owner of a submission to
// holders at other entries, and forwards the announcements of targets to their
// holders.
//
// The load pattern is many short jobs, each split over a few holders. A batch
// is one call, and its answer carries the outcomes: two messages per holder and
// job. Otherwise the number of messages would grow with the number of tasks.
//
// Three rules ensure that a task starts at most once. Each offer has a number
// that is unique within its owner's incarnation, and a holder runs a number
// once, so an owner may send an offer again after a broken link. A holder that
// no longer knows whether it has run a number reports that and does not run it.
// And an owner reports "not started" only if the link proves that the first
// message was never sent, or if the holder itself reports it.
package handover

import (
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/vmclock"
)

// Holder runs batches on the targets that it holds.
type Holder interface {
	// Offer submits a batch. report is called once: with the outcomes of all
	// tasks, or, if a task fails, immediately with the outcomes so far, because
	// the job can no longer complete. It may be called before Offer returns.
	Offer(b *job.Batch, report func([]job.TaskOutcome))
	// Cancel drops the queued tasks of a submission and asks the targets to stop
	// the running ones.
	Cancel(owner job.Owner, id job.ID)
}

// offer is the request of peer.BatchOffer.
type offer struct {
	// Number is unique among the offers of one incarnation of an owner.
	Number uint64 `cbor:"1,keyasint"`
	// To is the incarnation of the holder for which the offer is meant.
	To    job.Incarnation `cbor:"2,keyasint"`
	Batch job.Batch       `cbor:"3,keyasint"`
	// Acked lists offers whose outcomes arrived, so that the holder may delete
	// them. They are sent with the next offer to avoid separate messages.
	Acked []uint64 `cbor:"4,keyasint,omitempty"`
	// Proof is the last timestamp of the holder's clock that the owner received. It proves
	// that the owner was alive at that time and had not abandoned the batch.
	Proof vmclock.Timestamp `cbor:"5,keyasint,omitempty"`
	// Shared is the common specification of all tasks of the batch if these are equal; the
	// tasks' own specifications are then empty.
	Shared *job.TaskSpec `cbor:"6,keyasint,omitempty"`
}

// pack replaces the specifications of all tasks by a shared one if they are equal. In most
// jobs all tasks have the same kind and payload. With a payload per task, sending a job of
// 30 tasks over a slow link would take as long as running them.
func (o *offer) pack() {
	tasks := o.Batch.Tasks
	for i := range tasks {
		if !tasks[i].TaskSpec.Equal(&tasks[0].TaskSpec) {
			return
		}
	}
	if len(tasks) < 2 {
		return
	}
	o.Shared = &tasks[0].TaskSpec
	o.Batch.Tasks = make([]job.BatchTask, len(tasks))
	for i := range tasks {
		o.Batch.Tasks[i].Index, o.Batch.Tasks[i].Crashed = tasks[i].Index, tasks[i].Crashed
	}
}

// unpack restores the specification of each task.
func (o *offer) unpack() {
	if o.Shared == nil {
		return
	}
	for i := range o.Batch.Tasks {
		o.Batch.Tasks[i].TaskSpec = *o.Shared
	}
	o.Shared = nil
}

// offerResult is the holder's answer to an offer as a whole.
type offerResult uint8

const (
	// resultReported means that the answer carries outcomes.
	resultReported offerResult = iota + 1
	// resultWrongIncarnation means that the offer was meant for another
	// incarnation of the holder.
	resultWrongIncarnation
	// resultForgotten means that the holder may have run the offer but no longer
	// has a record of it.
	resultForgotten
	// resultSuperseded ends an earlier call for the same offer when the owner
	// calls again.
	resultSuperseded
	// resultStaleProof means that the proof that the owner is alive is too old to act on,
	// and that no task of the offer ran.
	resultStaleProof
)

// report is the answer of peer.BatchOffer.
type report struct {
	Result   offerResult       `cbor:"1,keyasint"`
	Outcomes []job.TaskOutcome `cbor:"2,keyasint,omitempty"`
	// Reading is a timestamp of the holder's clock, which the owner sends back as proof.
	Reading vmclock.Timestamp `cbor:"3,keyasint,omitempty"`
	// Load is the current load of the holder's targets in the pool.
	Load *job.HolderLoad `cbor:"4,keyasint,omitempty"`
}

// cancel is the message of peer.BatchCancel. It lists the offers because it may
// overtake one of them.
type cancel struct {
	Submission job.ID   `cbor:"1,keyasint"`
	Offers     []uint64 `cbor:"2,keyasint,omitempty"`
}

// fetch is the request of peer.BatchFetch.
type fetch struct {
	Owner      job.Owner `cbor:"1,keyasint"`
	Submission job.ID    `cbor:"2,keyasint"`
}

// fetched is the answer of peer.BatchFetch. It contains only successful outcomes.
type fetched struct {
	Outcomes []job.TaskOutcome `cbor:"1,keyasint,omitempty"`
}

// uniformOutcomes returns the same outcome for each task of a batch.
func uniformOutcomes(b *job.Batch, status job.TaskStatus, reason job.Reason, detail string) []job.TaskOutcome {
	outcomes := make([]job.TaskOutcome, len(b.Tasks))
	for i := range b.Tasks {
		outcomes[i] = job.TaskOutcome{Index: b.Tasks[i].Index, Status: status, Reason: reason, Detail: detail}
	}
	return outcomes
}
