package consensus

import (
	"slices"
	"strings"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Ballot numbers an attempt to choose a value. No two attempts share one.
type Ballot struct {
	Round uint64      `cbor:"1,keyasint"`
	Entry job.EntryID `cbor:"2,keyasint"`
	// Life is drawn at each start of the proposing process. Without it a voter
	// that crashed before its own promise was synced could use one ballot for
	// two values.
	Life uint64 `cbor:"3,keyasint"`
}

// Less orders ballots.
func (b Ballot) Less(c Ballot) bool {
	if b.Round != c.Round {
		return b.Round < c.Round
	}
	if b.Entry != c.Entry {
		return strings.Compare(string(b.Entry), string(c.Entry)) < 0
	}
	return b.Life < c.Life
}

// Proposal is a command under a ballot.
type Proposal struct {
	Ballot  Ballot  `cbor:"1,keyasint"`
	Command Command `cbor:"2,keyasint"`
}

// Record is what a voter must find again after a crash.
type Record struct {
	Self   Voter `cbor:"1,keyasint"`
	Chosen Value `cbor:"2,keyasint"`
	// Promised and Accepted belong to the version after Chosen.
	Promised Ballot    `cbor:"3,keyasint"`
	Accepted *Proposal `cbor:"4,keyasint"`
}

// Token names a request at one node.
type Token uint64

// Request asks for a command to be carried out.
type Request struct {
	Token   Token
	Command Command
	// Proposed is set once the command has left this node in a proposal for the
	// version in progress: from then on it may be chosen without this node.
	Proposed bool
	// CaughtUp is the version that the new voter of a Replace last confirmed.
	CaughtUp uint64
}

// attemptPhase is how far an attempt has come.
type attemptPhase uint8

const (
	preparing attemptPhase = iota + 1
	accepting
)

// Promise is one voter's answer to a prepare message.
type Promise struct {
	From     Voter
	Accepted *Proposal
}

// Attempt is one ballot of this node.
type Attempt struct {
	Version  uint64
	Ballot   Ballot
	Phase    attemptPhase
	Promises []Promise
	Command  Command
	Accepts  []Voter
}

// Settlement waits until a membership change is safe against the next loss.
type Settlement struct {
	Token   Token
	Version uint64
	New     Voter
	Acks    []Voter
}

// held are messages that must not leave before a write is complete.
type held struct {
	Seq      uint64
	Messages []Message
}

// State is one node. Its zero value is not valid; use Start. Slices and
// pointers in it are never changed in place, so a copy of a State stays valid.
type State struct {
	Record
	// Genesis are the entries that form the register, sorted.
	Genesis []job.EntryID
	// Life is drawn at random for each start.
	Life uint64
	// Round is the highest ballot round seen.
	Round   uint64
	Queue   []Request
	Attempt *Attempt
	Settle  []Settlement
	// Issued and Done number the last write that was issued and completed.
	Issued uint64
	Done   uint64
	Held   []held
}

// Start returns a node that continues from a record.
func Start(r Record, genesis []job.EntryID, life uint64) State {
	names := slices.Clone(genesis)
	slices.Sort(names)
	round := r.Promised.Round
	return State{Record: r, Genesis: slices.Compact(names), Life: life, Round: round}
}

// Voting reports whether the node's votes count for the version in progress.
func (s *State) Voting() bool {
	if s.Chosen.Version == 0 {
		return slices.Contains(s.Genesis, s.Self.Entry)
	}
	return s.Chosen.Votes(s.Self)
}

// Busy reports whether the node waits for others: the caller then gives it a
// Retry from time to time.
func (s *State) Busy() bool {
	return s.Attempt != nil || len(s.Queue) > 0 || len(s.Settle) > 0
}

// counts reports whether a vote of the voter counts for the version in progress.
// A disk that the chosen value does not name never counts, even under a known
// entry name: it may have forgotten a vote. Only the very first version goes by
// names, and it needs all of them.
func (s *State) counts(v Voter) bool {
	if s.Chosen.Version == 0 {
		return slices.Contains(s.Genesis, v.Entry)
	}
	return s.Chosen.Votes(v)
}

// quorum returns how many votes choose the version in progress. The first
// version takes all: an entry with an empty disk can't tell whether it has voted
// before, so the register may only be formed if every named entry is empty.
func (s *State) quorum() int {
	if s.Chosen.Version == 0 {
		return len(s.Genesis)
	}
	return len(s.Chosen.Voters)/2 + 1
}

// peers returns the entries that vote on the version in progress.
func (s *State) peers() []job.EntryID {
	if s.Chosen.Version == 0 {
		return s.Genesis
	}
	names := make([]job.EntryID, len(s.Chosen.Voters))
	for i, v := range s.Chosen.Voters {
		names[i] = v.Entry
	}
	return names
}
