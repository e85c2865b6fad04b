package entry

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/api"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
)

// searchTimeout bounds the search for a submission at the other entries.
const searchTimeout = 2 * time.Second

// errUnknownSubmission is an entry's answer to a query for a submission that it does not have.
const errUnknownSubmission = errors.ConstError("this entry does not have the submission")

// serveSearches lets callers of other entries query and cancel submissions that
// this one owns.
func (e *Entry) serveSearches() {
	e.links.Handle(peer.SubmissionPoll, func(_ context.Context, _ job.Owner, body cbor.RawMessage) (any, error) {
		var id job.ID
		if err := cbor.Unmarshal(body, &id); err != nil {
			return nil, errors.Trace(err)
		}
		status, ok := e.localStatus(id)
		if !ok {
			return nil, errUnknownSubmission
		}
		return status, nil
	})
	e.links.Handle(peer.SubmissionCancel, func(_ context.Context, _ job.Owner, body cbor.RawMessage) (any, error) {
		var id job.ID
		if err := cbor.Unmarshal(body, &id); err != nil {
			return nil, errors.Trace(err)
		}
		if !e.join.CancelOwned(id) {
			return nil, errUnknownSubmission
		}
		return true, nil
	})
}

// Status implements api.Dispatcher.
func (e *Entry) Status(ctx context.Context, id job.ID) (api.JobStatus, bool) {
	if status, ok := e.localStatus(id); ok {
		return status, true
	}
	return search[api.JobStatus](ctx, e, peer.SubmissionPoll, id)
}

func (e *Entry) localStatus(id job.ID) (api.JobStatus, bool) {
	if e.join.HasOwned(id) {
		return api.JobStatus{ID: id, State: api.StateRunning, Owner: e.self.Entry}, true
	}
	a, ok := e.registrar.Retained(id)
	if !ok {
		a, _, ok = e.keeper.Answer(id)
	}
	if !ok {
		return api.JobStatus{}, false
	}
	return api.JobStatus{
		ID: id, State: api.StateFinished, Owner: e.self.Entry,
		Outcome: a.Outcome, Run: a.Run.String(), Reason: a.Reason,
	}, true
}

// Cancel implements api.Dispatcher: the entry that owns the submission cancels it,
// whichever entry receives the request.
func (e *Entry) Cancel(ctx context.Context, id job.ID) bool {
	if e.join.CancelOwned(id) {
		return true
	}
	_, ok := search[bool](ctx, e, peer.SubmissionCancel, id)
	return ok
}

// search queries all other live entries in parallel. These messages are sent only for
// a caller that contacts an entry other than its job's owner.
func search[T any](ctx context.Context, e *Entry, kind peer.Kind, id job.ID) (T, bool) {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	view := e.members.View()
	found := make(chan *T, len(view.List))
	queried := 0
	for _, m := range view.List {
		if m.Entry == e.self.Entry || !m.Live() {
			continue
		}
		queried++
		go func() {
			var answer T
			if err := e.links.Call(ctx, m.Entry, kind, id, &answer); err != nil {
				found <- nil
				return
			}
			found <- &answer
		}()
	}
	for range queried {
		if answer := <-found; answer != nil {
			return *answer, true
		}
	}
	var zero T
	return zero, false
}
