package keep

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
)

// Journal is how whoever drives a kept submission reaches its keeper.
type Journal interface {
	Grant(ctx context.Context, id job.ID, tasks []int) error
	Finish(ctx context.Context, id job.ID, digest job.Digest, a job.Answer) error
}

var (
	_ Journal = (*Keeper)(nil)
	_ Journal = (*Remote)(nil)
)

// operation is what a request to a keeper asks for.
type operation uint8

const (
	opAccept operation = iota + 1
	opGrant
	opFinish
)

// request is the message peer.SubmissionKeep.
type request struct {
	Operation  operation       `cbor:"1,keyasint"`
	ID         job.ID          `cbor:"2,keyasint"`
	Submission *job.Submission `cbor:"3,keyasint,omitempty"`
	Tasks      []int           `cbor:"4,keyasint,omitempty"`
	Digest     job.Digest      `cbor:"5,keyasint,omitempty"`
	Answer     *job.Answer     `cbor:"6,keyasint,omitempty"`
	// Synced asks for a disk.
	Synced bool `cbor:"7,keyasint,omitempty"`
}

// result is a keeper's word on a request.
type result uint8

const (
	resultDone result = iota + 1
	resultNotKept
	resultUncertain
	resultGranted
)

type response struct {
	Result result `cbor:"1,keyasint"`
	Detail string `cbor:"2,keyasint,omitempty"`
}

// Serve lets other entries keep submissions here.
func Serve(mesh peer.Mesh, k *Keeper) {
	mesh.Handle(peer.SubmissionKeep, func(ctx context.Context, from job.Owner, body cbor.RawMessage) (any, error) {
		var r request
		if err := cbor.Unmarshal(body, &r); err != nil {
			return nil, errors.Annotate(err, "decoding a request to keep")
		}
		return k.answer(ctx, from, &r), nil
	})
}

func (k *Keeper) answer(ctx context.Context, from job.Owner, r *request) response {
	err := k.do(ctx, from, r)
	switch {
	case err == nil:
		return response{Result: resultDone}
	case errors.Is(err, ErrNotKept):
		return response{resultNotKept, err.Error()}
	case errors.Is(err, ErrGranted):
		return response{resultGranted, err.Error()}
	}
	return response{resultUncertain, err.Error()}
}

func (k *Keeper) do(ctx context.Context, from job.Owner, r *request) error {
	switch r.Operation {
	case opAccept:
		if r.Submission == nil || r.Synced && !k.HasDisk() {
			return errors.Annotate(ErrNotKept, "this entry can't keep it as asked")
		}
		return k.Accept(ctx, from, r.Submission)
	case opGrant:
		return k.Grant(ctx, r.ID, r.Tasks)
	case opFinish:
		if r.Answer == nil {
			return errors.Annotate(ErrUncertain, "an end without an answer")
		}
		return k.Finish(ctx, r.ID, r.Digest, *r.Answer)
	}
	return errors.Annotatef(ErrUncertain, "operation %d", r.Operation)
}

// Remote is a keeper at another entry.
type Remote struct {
	Mesh   peer.Mesh
	Entry  job.EntryID
	Synced bool
}

// Accept keeps a submission at the other entry, which takes the asking entry
// for its owner.
func (r *Remote) Accept(ctx context.Context, _ job.Owner, s *job.Submission) error {
	return r.ask(ctx, request{Operation: opAccept, ID: s.ID, Submission: s, Synced: r.Synced})
}

// Grant implements Journal.
func (r *Remote) Grant(ctx context.Context, id job.ID, tasks []int) error {
	return r.ask(ctx, request{Operation: opGrant, ID: id, Tasks: tasks})
}

// Finish implements Journal.
func (r *Remote) Finish(ctx context.Context, id job.ID, digest job.Digest, a job.Answer) error {
	return r.ask(ctx, request{Operation: opFinish, ID: id, Digest: digest, Answer: &a})
}

func (r *Remote) ask(ctx context.Context, req request) error {
	var answer response
	err := r.Mesh.Call(ctx, r.Entry, peer.SubmissionKeep, req, &answer)
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return errors.Annotate(ErrNotKept, err.Error())
	case err != nil:
		return errors.Annotate(ErrUncertain, err.Error())
	}
	switch answer.Result {
	case resultDone:
		return nil
	case resultNotKept:
		return errors.Annotate(ErrNotKept, answer.Detail)
	case resultGranted:
		return errors.Annotate(ErrGranted, answer.Detail)
	case resultUncertain:
	}
	return errors.Annotate(ErrUncertain, answer.Detail)
}
