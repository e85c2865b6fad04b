package entry

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/policy/ownership"
)

// refresh requests a proof of an owner whose last one is getting old while its work is here.
func (r *rights) refresh(now time.Time, owner job.Owner) {
	if owner == r.self {
		return
	}
	if lease := r.table.Lookup(now, owner); lease != nil && lease.RequestDue(now) {
		go r.requestProof(owner)
	}
}

// requestProof asks an owner whether it still acts for its callers. Its answer proves that it did
// after the request was made. Without an answer the lease expires.
func (r *rights) requestProof(owner job.Owner) {
	ctx, cancel := context.WithTimeout(context.Background(), ownership.Term)
	defer cancel()
	requested, acts := r.clock.Now(), false
	if err := r.mesh.Call(ctx, owner.Entry, peer.ProofRequest, owner.Incarnation, &acts); err == nil && acts {
		r.recordProof(owner, requested)
	}
}

// serveProofRequests answers holders that ask whether this entry still acts for its callers.
func serveProofRequests(mesh peer.Mesh, mayProve func(holder job.EntryID) bool) {
	mesh.Handle(peer.ProofRequest, func(_ context.Context, from job.Owner, body cbor.RawMessage) (any, error) {
		var life job.Incarnation
		if err := cbor.Unmarshal(body, &life); err != nil {
			return nil, errors.Annotate(err, "decoding a request for a proof")
		}
		return life == mesh.Self().Incarnation && mayProve(from.Entry), nil
	})
}
