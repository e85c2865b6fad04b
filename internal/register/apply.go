package register

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/consensus"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// Errors of Apply, Confirm and ReplaceVoter.
const (
	// ErrUnavailable says that no majority answered and that this call certainly
	// had nothing accepted. It knows nothing of an earlier call of the same change:
	// whose outcome was unknown may have been accepted by that one.
	ErrUnavailable = errors.ConstError("no majority of the voters answers; this call changed nothing")
	// ErrUnknown says that the change may have been accepted. Sending it again
	// with the same change id gives its outcome.
	ErrUnknown = errors.ConstError("no majority of the voters answered in time; the change may have been accepted")
)

// Accepted is an accepted configuration.
type Accepted struct {
	Number   uint64
	Digest   string
	ChangeID string
}

// Conflict is the error of a change that lost: it names what stands instead.
type Conflict struct {
	Number   uint64
	Digest   string
	ChangeID string
	// Reused is set if the change id itself belongs to another file.
	Reused bool
}

// Error names the winner.
func (c *Conflict) Error() string {
	if c.Reused {
		return fmt.Sprintf("change id %s was used for another file: number %d, digest %s", c.ChangeID, c.Number, c.Digest)
	}
	return fmt.Sprintf("number %d stands with digest %s by change %s", c.Number, c.Digest, c.ChangeID)
}

const (
	// applyTimeout bounds an apply whose context has no deadline.
	applyTimeout = 10 * time.Second
	// answerMargin is what an entry keeps of its time for the answer's way.
	answerMargin = 100 * time.Millisecond
)

// Apply has a file accepted by a majority of the voters. It may be called on any
// entry. Its error is config.Problems, *Conflict, ErrUnavailable or ErrUnknown.
// Calling it again with the same change id and file is safe and returns the
// outcome of the first call.
func (r *Register) Apply(ctx context.Context, changeID string, body []byte) (Accepted, error) {
	if changeID == "" || len(changeID) > consensus.MaxChangeID {
		return Accepted{}, errors.NotValidf("change id of %d bytes (1 to %d)", len(changeID), consensus.MaxChangeID)
	}
	file, err := r.opts.Parse("configuration", body)
	if err != nil {
		return Accepted{}, err
	}
	change := consensus.Change{ID: changeID, Number: file.Number, Digest: consensus.DigestOf(body)}
	r.ev.Record(timeline.Event{
		Kind:  timeline.ConfigurationTry,
		Cause: fmt.Sprintf("number %d, digest %s, change %s", change.Number, change.Digest, change.ID),
	})
	accepted, err := r.carryOut(ctx, consensus.Command{
		Kind: consensus.Configure, Change: change, Body: pack(body), At: r.clock().UnixMilli(),
	})
	if err == nil {
		r.awaitInForce(ctx, accepted.Number)
	}
	return accepted, err
}

// inForceTime bounds how long an accepted change waits to come into force at the entry
// that was asked: some writes of a disk that is slow.
const inForceTime = 500 * time.Millisecond

// awaitInForce waits until this entry serves by the change that it is about to call
// accepted. A majority accepts some milliseconds before: without the wait, what an
// operator sends here right after the answer would be met by the file before, or be
// refused as not configured. The change stands either way, so the wait is bounded and its
// end is no error.
func (r *Register) awaitInForce(ctx context.Context, number uint64) {
	timer := time.NewTimer(inForceTime)
	defer timer.Stop()
	for {
		changed := r.nextChange()
		if held, _ := r.Summary(); held >= number {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Confirm returns the latest accepted configuration, as a majority of the voters
// knows it at some moment during the call.
func (r *Register) Confirm(ctx context.Context) (Accepted, error) {
	return r.carryOut(ctx, consensus.Command{Kind: consensus.Read})
}

// ReplaceVoter puts the disk of entry updated in the place of entry old's. It
// returns when the new voter and a majority hold the change, so that the loss of
// another voter right after loses nothing. Both names may be equal: an entry
// whose disk was lost and that came back with an empty one.
func (r *Register) ReplaceVoter(ctx context.Context, old, updated job.EntryID) error {
	voter, err := r.identify(ctx, updated)
	if err != nil {
		return errors.Annotatef(err, "asking %s for its disk", updated)
	}
	_, err = r.carryOut(ctx, consensus.Command{Kind: consensus.Replace, Old: old, New: voter})
	return errors.Annotatef(err, "replacing %s by %s", old, updated)
}

func (r *Register) identify(ctx context.Context, entry job.EntryID) (consensus.Voter, error) {
	var answer pulled
	if entry == r.self {
		r.mu.Lock()
		if r.node != nil {
			answer.Self = r.node.Self
		}
		r.mu.Unlock()
	} else if err := r.mesh.Call(ctx, entry, peer.ConfigPull, pull{Version: r.held()}, &answer); err != nil {
		return consensus.Voter{}, errors.Annotatef(ErrUnavailable, "%v", err)
	}
	if answer.Self.Identity == "" {
		return consensus.Voter{}, errors.NotFoundf("data folder of entry %s", entry)
	}
	r.noteDisk(entry, answer.Self.Identity)
	return answer.Self, nil
}

// carryOut tries the voters one after the other, this entry first if it is one.
// Trying a second one after an unknown outcome is safe: a change carries its id,
// and the register takes each id once.
func (r *Register) carryOut(ctx context.Context, c consensus.Command) (Accepted, error) {
	return r.carryOutAt(ctx, c, r.candidates())
}

// carryOutAt is carryOut with the voters to try, in order.
func (r *Register) carryOutAt(ctx context.Context, c consensus.Command, candidates []job.EntryID) (Accepted, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, applyTimeout)
		defer cancel()
	}
	unknown := false
	for i, to := range candidates {
		if ctx.Err() != nil {
			break
		}
		deadline, _ := ctx.Deadline()
		wait := time.Until(deadline) / time.Duration(len(candidates)-i)
		o := r.try(ctx, to, c, wait)
		switch o.Kind {
		case consensus.Unavailable:
		case consensus.Unknown:
			unknown = true
		default:
			return result(o)
		}
	}
	if unknown {
		return Accepted{}, ErrUnknown
	}
	return Accepted{}, ErrUnavailable
}

func result(o consensus.Outcome) (Accepted, error) {
	number, digest := o.Change.Number, o.Change.Digest.String()
	switch o.Kind {
	case consensus.Accepted:
		return Accepted{Number: number, Digest: digest, ChangeID: o.Change.ID}, nil
	case consensus.Conflicted, consensus.Reused:
		return Accepted{}, &Conflict{Number: number, Digest: digest, ChangeID: o.Change.ID, Reused: o.Kind == consensus.Reused}
	case consensus.NotVoting:
		return Accepted{}, errors.NotValidf("the old entry is no voter, or the new one is already; the replacement")
	}
	return Accepted{}, ErrUnknown
}

// candidates returns the voters in the order of trying: this entry, then those
// heard most recently.
func (r *Register) candidates() []job.EntryID {
	voters := slices.Clone(r.voters())
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(voters, func(a, b job.EntryID) int {
		if a == r.self || b == r.self {
			return boolToInt(b == r.self) - boolToInt(a == r.self)
		}
		return r.heard[b].Compare(r.heard[a])
	})
	return voters
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// try hands the command to one voter.
func (r *Register) try(ctx context.Context, to job.EntryID, c consensus.Command, wait time.Duration) consensus.Outcome {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if to == r.self {
		return r.propose(ctx, c)
	}
	var o consensus.Outcome
	req := order{Command: c, WaitMillis: max(wait-answerMargin, 0).Milliseconds()}
	err := r.mesh.Call(ctx, to, peer.ConfigApply, req, &o)
	switch {
	case err == nil:
		return o
	case errors.Is(err, peer.ErrNotSent), errors.Is(err, peer.ErrRejected):
		return consensus.Outcome{Kind: consensus.Unavailable}
	}
	return consensus.Outcome{Kind: consensus.Unknown}
}

// propose submits the command to this entry's node and waits.
func (r *Register) propose(ctx context.Context, c consensus.Command) consensus.Outcome {
	r.mu.Lock()
	if r.node == nil {
		r.mu.Unlock()
		return consensus.Outcome{Kind: consensus.Unavailable}
	}
	r.lastToken++
	token := r.lastToken
	done := make(chan consensus.Outcome, 1)
	r.waiting[token] = done
	r.mu.Unlock()
	r.step(consensus.Submit{Token: token, Command: c})
	select {
	case o := <-done:
		return o
	case <-ctx.Done():
		r.step(consensus.Abandon{Token: token})
		return <-done
	}
}

func (r *Register) onApply(ctx context.Context, _ job.Owner, body cbor.RawMessage) (any, error) {
	var req order
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, errors.Annotate(err, "decoding an order")
	}
	switch req.Command.Kind {
	case consensus.Configure:
		// The sender checked it too; a voter does not rely on it.
		body, err := unpack(req.Command.Body)
		if err != nil {
			return nil, errors.Trace(err)
		}
		file, err := r.opts.Parse("configuration", body)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if file.Number != req.Command.Change.Number || consensus.DigestOf(body) != req.Command.Change.Digest {
			return nil, errors.NotValidf("change that does not match its file")
		}
	case consensus.Replace, consensus.Add, consensus.Read:
	default:
		return nil, errors.NotValidf("command of kind %d", req.Command.Kind)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMillis)*time.Millisecond)
	defer cancel()
	return r.propose(ctx, req.Command), nil
}
