package register

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/consensus"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// State describes an entry's configuration and its participation in the register.
type State struct {
	// Version counts all changes of the register, including changes of its voters.
	Version  uint64
	Number   uint64
	Digest   string
	ChangeID string
	// Since is when the configuration took effect on this entry.
	Since time.Time
	// Stale is set when no majority of the voters was reachable for some seconds: a
	// newer configuration may exist. StaleSince is when one was last reachable.
	Stale      bool
	StaleSince time.Time
	// Voter is set when this entry votes.
	Voter bool
	// Identity names this entry's disk; empty without one.
	Identity string
	Voters   []consensus.Voter
	// Problem says why the data folder is not used or not written, that the entry found
	// another fleet on the network, or that a majority of the voters' disks is lost.
	Problem string
	// Serving summarises the state in one line.
	Serving string
}

// State returns the entry's current state.
func (r *Register) State() State {
	now := time.Now()
	stale, since := r.staleness(now)
	out := State{Stale: stale}
	if stale {
		out.StaleSince = since
	}
	r.mu.Lock()
	out.Problem = r.problem
	if out.Problem == "" {
		out.Problem = r.foreignFleet
	}
	if out.Problem == "" {
		out.Problem = r.majorityLost
	}
	var self consensus.Voter
	if r.node != nil {
		self = r.node.Self
	}
	r.mu.Unlock()
	out.Identity = string(self.Identity)
	if s := r.current.Load(); s != nil {
		out.Voter = slices.Contains(s.Voters, self)
		out.Version, out.Voters = s.Version, s.Voters
		out.Number, out.ChangeID, out.Since = s.Change.Number, s.Change.ID, s.since
		if s.Change.Number > 0 {
			out.Digest = s.Change.Digest.String()
		}
	}
	if out.Problem == "" && out.Identity != "" && !out.Voter && slices.Contains(out.VoterEntries(), r.self) {
		out.Problem = "the data folder is not the one registered as voter under this name; replace-voter registers it"
	}
	out.Serving = out.line()
	return out
}

func (s *State) line() string {
	line := "no configuration yet"
	if s.Number > 0 {
		line = fmt.Sprintf("configuration %d, digest %s, in force since %s", s.Number, s.Digest, s.Since.UTC().Format(time.RFC3339))
	}
	if s.Stale {
		line += fmt.Sprintf("; stale: no majority of the voters reachable since %s", s.StaleSince.UTC().Format(time.RFC3339))
	}
	if s.Problem != "" {
		line += "; problem: " + s.Problem
	}
	return line
}

// staleness reports whether no majority of the voters has been reachable for
// longer than staleAfter, and when one was last reachable.
func (r *Register) staleness(now time.Time) (bool, time.Time) {
	voters := r.voters()
	r.mu.Lock()
	defer r.mu.Unlock()
	times := make([]time.Time, 0, len(voters))
	for _, v := range voters {
		at := r.lastContact[v]
		if v == r.self && r.node != nil && r.node.Voting() {
			at = now
		}
		if at.Before(r.started) {
			at = r.started
		}
		times = append(times, at)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	majority := len(voters)/2 + 1
	if len(times) < majority {
		return true, r.started
	}
	last := times[majority-1]
	return now.Sub(last) > staleAfter, last
}

// updateStaleness records in the time line when the entry's configuration becomes
// stale and when it stops being stale.
func (r *Register) updateStaleness() {
	stale, since := r.staleness(time.Now())
	r.mu.Lock()
	changed := stale != r.stale
	r.stale = stale
	r.mu.Unlock()
	if !changed {
		return
	}
	cause := "a majority of the voters is reachable again"
	if stale {
		cause = "no majority of the voters reachable since " + since.UTC().Format(time.RFC3339)
	}
	r.log.Warn("staleness of the configuration changed", "stale", stale, "cause", cause)
	r.events.Record(timeline.Event{Kind: timeline.ConfigurationStale, Cause: cause})
}

// ConfirmBody returns the file that a majority of the voters holds as the latest
// accepted one at some moment during the call. It returns ErrUnavailable or
// ErrUnknown where that can't be determined, and never an older file.
func (r *Register) ConfirmBody(ctx context.Context) ([]byte, Accepted, error) {
	confirmed, err := r.Confirm(ctx)
	if err != nil {
		return nil, Accepted{}, errors.Trace(err)
	}
	for {
		body, current := r.Body()
		if current.Number >= confirmed.Number {
			return body, current, nil
		}
		// The confirmed file has not reached this entry yet.
		if !sleep(ctx, installPollInterval) {
			return nil, Accepted{}, errors.Trace(ErrUnavailable)
		}
	}
}

// installPollInterval is how often an entry checks whether an accepted change has
// taken effect here.
const installPollInterval = 10 * time.Millisecond

// VoterEntries returns the names of the voters.
func (s *State) VoterEntries() []job.EntryID {
	names := make([]job.EntryID, len(s.Voters))
	for i, v := range s.Voters {
		names[i] = v.Entry
	}
	return names
}
