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
	// ErrUnavailable means that no majority answered and that this call certainly
	// changed nothing. It makes no statement about earlier calls: a change whose
	// outcome was unknown may have been accepted by an earlier call.
	ErrUnavailable = errors.ConstError("no majority of the voters answers; this call changed nothing")
	// ErrUnknown means that the change may have been accepted. Sending the change
	// again with the same change id returns its outcome.
	ErrUnknown = errors.ConstError("no majority of the voters answered in time; the change may have been accepted")
)

// Accepted identifies an accepted configuration.
type Accepted struct {
	Number   uint64
	Digest   string
	ChangeID string
}

// Conflict is the error of a rejected change. It identifies the accepted change
// that conflicts with it.
type Conflict struct {
	Number   uint64
	Digest   string
	ChangeID string
	// Reused is set if the change id was already used for another file.
	Reused bool
}

// Error describes the accepted change.
func (c *Conflict) Error() string {
	if c.Reused {
		return fmt.Sprintf("change id %s was used for another file: number %d, digest %s", c.ChangeID, c.Number, c.Digest)
	}
	return fmt.Sprintf("number %d was accepted with digest %s by change %s", c.Number, c.Digest, c.ChangeID)
}

const (
	// applyTimeout bounds an apply whose context has no deadline.
	applyTimeout = 10 * time.Second
	// answerMargin is the part of the remaining time that is reserved for the
	// transit of the answer.
	answerMargin = 100 * time.Millisecond
)

// Apply proposes a file and returns once a majority of the voters has accepted it.
// It may be called on any entry. Its error is config.Problems, *Conflict,
// ErrUnavailable or ErrUnknown. A repeated call with the same change id and file is
// safe and returns the outcome of the first call.
func (r *Register) Apply(ctx context.Context, changeID string, body []byte) (Accepted, error) {
	if changeID == "" || len(changeID) > consensus.MaxChangeID {
		return Accepted{}, errors.NotValidf("change id of %d bytes (1 to %d)", len(changeID), consensus.MaxChangeID)
	}
	file, err := r.opts.Parse("configuration", body)
	if err != nil {
		return Accepted{}, err
	}
	change := consensus.Change{ID: changeID, Number: file.Number, Digest: consensus.DigestOf(body)}
	r.events.Record(timeline.Event{
		Kind:  timeline.ConfigurationProposed,
		Cause: fmt.Sprintf("number %d, digest %s, change %s", change.Number, change.Digest, change.ID),
	})
	accepted, err := r.execute(ctx, consensus.Command{
		Kind: consensus.Configure, Change: change, Body: pack(body), At: r.clock().UnixMilli(),
	})
	if err == nil {
		r.awaitInstalled(ctx, func() bool { current, _ := r.Summary(); return current >= accepted.Number })
	}
	return accepted, err
}

// installTimeout bounds the wait until an accepted change takes effect on the entry
// that received the call: it allows for several writes to a slow disk.
const installTimeout = 500 * time.Millisecond

// awaitInstalled waits until the accepted change is in effect on this entry. The majority
// accepts a change some milliseconds earlier: without the wait, a job sent here right
// after the answer would run under the previous file or be refused as not configured. The
// change remains accepted in any case, so the wait is bounded and its timeout is no error.
func (r *Register) awaitInstalled(ctx context.Context, installed func() bool) {
	timer := time.NewTimer(installTimeout)
	defer timer.Stop()
	for {
		changed := r.nextChange()
		if installed() {
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

// Confirm returns the configuration that a majority of the voters holds as the
// latest accepted one at some moment during the call.
func (r *Register) Confirm(ctx context.Context) (Accepted, error) {
	return r.execute(ctx, consensus.Command{Kind: consensus.Read})
}

// ReplaceVoter makes the disk of entry updated a voter in place of the disk of entry
// old. It returns when the new voter and a majority hold the change, so that losing
// another voter right afterwards loses no data. Both names are equal where an entry
// lost its disk and restarted with an empty one.
func (r *Register) ReplaceVoter(ctx context.Context, old, updated job.EntryID) error {
	voter, err := r.identify(ctx, updated)
	if err != nil {
		return errors.Annotatef(err, "asking %s for its disk", updated)
	}
	_, err = r.execute(ctx, consensus.Command{Kind: consensus.Replace, Old: old, New: voter, KeepsCordons: r.keepsCordons(voter)})
	return errors.Annotatef(err, "replacing %s by %s", old, updated)
}

// identify returns the voter identity of an entry's disk.
func (r *Register) identify(ctx context.Context, entry job.EntryID) (consensus.Voter, error) {
	var answer pullResponse
	if entry == r.self {
		r.mu.Lock()
		if r.node != nil {
			answer.Self = r.node.Self
		}
		answer.KeepsCordons = true
		r.mu.Unlock()
	} else if err := r.mesh.Call(ctx, entry, peer.ConfigPull, pullRequest{Version: r.currentVersion(), KeepsCordons: true}, &answer); err != nil {
		return consensus.Voter{}, errors.Annotatef(ErrUnavailable, "%v", err)
	}
	if answer.Self.Identity == "" {
		return consensus.Voter{}, errors.NotFoundf("data folder of entry %s", entry)
	}
	r.recordDisk(answer.Self, answer.KeepsCordons)
	return answer.Self, nil
}

// execute submits the command to the voters one after the other, to this entry first
// if it votes. Trying another voter after an unknown outcome is safe: a change
// carries its id, and the register accepts each id once.
func (r *Register) execute(ctx context.Context, c consensus.Command) (Accepted, error) {
	return r.executeAt(ctx, c, r.candidates())
}

// executeAt is execute with an explicit ordered list of voters.
func (r *Register) executeAt(ctx context.Context, c consensus.Command, candidates []job.EntryID) (Accepted, error) {
	o := r.submit(ctx, c, candidates)
	return acceptedOf(o), errorOf(o)
}

// submit submits the command to the voters one after the other and returns the first
// outcome that is final.
func (r *Register) submit(ctx context.Context, c consensus.Command, candidates []job.EntryID) consensus.Outcome {
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
		o := r.submitTo(ctx, to, c, wait)
		switch o.Kind {
		case consensus.Unavailable:
		case consensus.Unknown:
			unknown = true
		default:
			return o
		}
	}
	if unknown {
		return consensus.Outcome{Kind: consensus.Unknown}
	}
	return consensus.Outcome{Kind: consensus.Unavailable}
}

// acceptedOf returns the configuration that an accepted command leaves in effect.
func acceptedOf(o consensus.Outcome) Accepted {
	if o.Kind != consensus.Accepted {
		return Accepted{}
	}
	return Accepted{Number: o.Change.Number, Digest: o.Change.Digest.String(), ChangeID: o.Change.ID}
}

// errorOf returns the error for the outcome of a command; nil if it was accepted.
func errorOf(o consensus.Outcome) error {
	switch o.Kind {
	case consensus.Accepted:
		return nil
	case consensus.Conflicted, consensus.Reused:
		return &Conflict{Number: o.Change.Number, Digest: o.Change.Digest.String(), ChangeID: o.Change.ID, Reused: o.Kind == consensus.Reused}
	case consensus.NotVoting:
		return errors.NotValidf("the old entry is no voter, or the new one is already; the replacement")
	case consensus.Unsupported:
		return ErrCordonsUnsupported
	case consensus.Unavailable, consensus.Outdated:
		return ErrUnavailable
	}
	return ErrUnknown
}

// candidates returns the voters in the order in which execute tries them: this
// entry first, then by most recent contact.
func (r *Register) candidates() []job.EntryID {
	voters := slices.Clone(r.voters())
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(voters, func(a, b job.EntryID) int {
		if a == r.self || b == r.self {
			return boolToInt(b == r.self) - boolToInt(a == r.self)
		}
		return r.lastContact[b].Compare(r.lastContact[a])
	})
	return voters
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// submitTo submits the command to one voter.
func (r *Register) submitTo(ctx context.Context, to job.EntryID, c consensus.Command, wait time.Duration) consensus.Outcome {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if to == r.self {
		return r.propose(ctx, c)
	}
	var o consensus.Outcome
	req := commandRequest{Command: c, WaitMillis: max(wait-answerMargin, 0).Milliseconds()}
	err := r.mesh.Call(ctx, to, peer.ConfigApply, req, &o)
	switch {
	case err == nil:
		return o
	case errors.Is(err, peer.ErrNotSent), errors.Is(err, peer.ErrRejected):
		return consensus.Outcome{Kind: consensus.Unavailable}
	}
	return consensus.Outcome{Kind: consensus.Unknown}
}

// propose submits the command to this entry's node and waits for the outcome.
func (r *Register) propose(ctx context.Context, c consensus.Command) consensus.Outcome {
	r.mu.Lock()
	if r.node == nil {
		r.mu.Unlock()
		return consensus.Outcome{Kind: consensus.Unavailable}
	}
	r.lastToken++
	token := r.lastToken
	done := make(chan consensus.Outcome, 1)
	r.outcomes[token] = done
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
	var req commandRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, errors.Annotate(err, "decoding a command request")
	}
	switch req.Command.Kind {
	case consensus.Configure:
		// The sender has checked the file, but a voter does not rely on that.
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
	case consensus.SetCordon:
		if err := checkZone(req.Command.Cordon.Zone); err != nil {
			return nil, errors.Trace(err)
		}
	case consensus.Replace, consensus.Add, consensus.Read:
	default:
		return nil, errors.NotValidf("command of kind %d", req.Command.Kind)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMillis)*time.Millisecond)
	defer cancel()
	return r.propose(ctx, req.Command), nil
}
