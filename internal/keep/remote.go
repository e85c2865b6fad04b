package keep

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
)

// Journal is the interface through which the owner of a kept submission uses its
// keeper.
type Journal interface {
	Grant(ctx context.Context, id job.ID, tasks []int) error
	Finish(ctx context.Context, id job.ID, digest job.Digest, a job.Answer) error
}

var (
	_ Journal = (*Keeper)(nil)
	_ Journal = (*Remote)(nil)
)

// operation is the kind of a request to a keeper.
type operation uint8

const (
	opAccept operation = iota + 1
	opGrant
	opFinish
)

// request is the body of the message peer.SubmissionKeep.
type request struct {
	Operation  operation       `cbor:"1,keyasint"`
	ID         job.ID          `cbor:"2,keyasint"`
	Submission *job.Submission `cbor:"3,keyasint,omitempty"`
	Tasks      []int           `cbor:"4,keyasint,omitempty"`
	Digest     job.Digest      `cbor:"5,keyasint,omitempty"`
	Answer     *job.Answer     `cbor:"6,keyasint,omitempty"`
	// Synced requires that the keeper has a disk.
	Synced bool `cbor:"7,keyasint,omitempty"`
}

// result is the outcome of a request to a keeper.
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

// Serve handles requests of other entries to keep submissions at k.
func Serve(mesh peer.Mesh, k *Keeper) {
	mesh.Handle(peer.SubmissionKeep, func(ctx context.Context, from job.Owner, body cbor.RawMessage) (any, error) {
		var r request
		if err := cbor.Unmarshal(body, &r); err != nil {
			return nil, errors.Annotate(err, "decoding a keeper request")
		}
		return k.respond(ctx, from, &r), nil
	})
}

func (k *Keeper) respond(ctx context.Context, from job.Owner, r *request) response {
	err := k.handle(ctx, from, r)
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

func (k *Keeper) handle(ctx context.Context, from job.Owner, r *request) error {
	switch r.Operation {
	case opAccept:
		if r.Submission == nil || r.Synced && !k.HasDisk() {
			return errors.Annotate(ErrNotKept, "this entry cannot keep the submission as requested")
		}
		return k.Accept(ctx, from, r.Submission)
	case opGrant:
		return k.Grant(ctx, r.ID, r.Tasks)
	case opFinish:
		if r.Answer == nil {
			return errors.Annotate(ErrUncertain, "finish request without an answer")
		}
		return k.Finish(ctx, r.ID, r.Digest, *r.Answer)
	}
	return errors.Annotatef(ErrUncertain, "unknown operation %d", r.Operation)
}

// Remote is a keeper at another entry.
type Remote struct {
	Mesh   peer.Mesh
	Entry  job.EntryID
	Synced bool
}

// Accept stores a submission at the other entry, which records the requesting
// entry as the owner.
func (r *Remote) Accept(ctx context.Context, _ job.Owner, s *job.Submission) error {
	return r.call(ctx, request{Operation: opAccept, ID: s.ID, Submission: s, Synced: r.Synced})
}

// Grant implements Journal.
func (r *Remote) Grant(ctx context.Context, id job.ID, tasks []int) error {
	return r.call(ctx, request{Operation: opGrant, ID: id, Tasks: tasks})
}

// Finish implements Journal.
func (r *Remote) Finish(ctx context.Context, id job.ID, digest job.Digest, a job.Answer) error {
	return r.call(ctx, request{Operation: opFinish, ID: id, Digest: digest, Answer: &a})
}

func (r *Remote) call(ctx context.Context, req request) error {
	var resp response
	err := r.Mesh.Call(ctx, r.Entry, peer.SubmissionKeep, req, &resp)
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return errors.Annotate(ErrNotKept, err.Error())
	case err != nil:
		return errors.Annotate(ErrUncertain, err.Error())
	}
	switch resp.Result {
	case resultDone:
		return nil
	case resultNotKept:
		return errors.Annotate(ErrNotKept, resp.Detail)
	case resultGranted:
		return errors.Annotate(ErrGranted, resp.Detail)
	case resultUncertain:
	}
	return errors.Annotate(ErrUncertain, resp.Detail)
}
