package consensus

import (
	"slices"
	"strings"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Ballot identifies one attempt to choose a value. No two attempts share a ballot.
type Ballot struct {
	Round uint64      `cbor:"1,keyasint"`
	Entry job.EntryID `cbor:"2,keyasint"`
	// Incarnation is that of the proposing process, drawn at random at each
	// start. Without it, a voter that crashed before its own promise was synced
	// could use one ballot for two values.
	Incarnation uint64 `cbor:"3,keyasint"`
}

// Less orders ballots.
func (b Ballot) Less(c Ballot) bool {
	if b.Round != c.Round {
		return b.Round < c.Round
	}
	if b.Entry != c.Entry {
		return strings.Compare(string(b.Entry), string(c.Entry)) < 0
	}
	return b.Incarnation < c.Incarnation
}

// Proposal is a command under a ballot.
type Proposal struct {
	Ballot  Ballot  `cbor:"1,keyasint"`
	Command Command `cbor:"2,keyasint"`
}

// Record is the state that a voter must recover after a crash.
type Record struct {
	Self   Voter `cbor:"1,keyasint"`
	Chosen Value `cbor:"2,keyasint"`
	// Promised and Accepted belong to the version after Chosen.
	Promised Ballot    `cbor:"3,keyasint"`
	Accepted *Proposal `cbor:"4,keyasint"`
}

// Token identifies a request at one node.
type Token uint64

// Request is a submitted command that has not been answered.
type Request struct {
	Token   Token
	Command Command
	// Proposed is set once this node has proposed the command for the version
	// being decided: from then on it may be chosen without this node.
	Proposed bool
	// MissedPrepare is set if the request arrived after the attempt in progress had asked
	// for its promises. They may be older than the request.
	MissedPrepare bool
	// CaughtUp is the latest version that the new voter of a membership change
	// has confirmed. The change is proposed once that is CatchUpTo or later.
	CaughtUp, CatchUpTo uint64
}

// attemptPhase is the Paxos phase of an attempt.
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

// Attempt is the progress of one ballot of this node.
type Attempt struct {
	Version  uint64
	Ballot   Ballot
	Phase    attemptPhase
	Promises []Promise
	Command  Command
	Accepts  []Voter
}

// UnreplicatedChange is a chosen membership change that is not yet answered: it waits
// until enough voters hold it for the loss of one more voter to be safe.
type UnreplicatedChange struct {
	Token   Token
	Version uint64
	New     Voter
	Acks    []Voter
}

// heldMessages are messages that must not be sent before write Seq is complete.
type heldMessages struct {
	Seq      uint64
	Messages []Message
}

// State is the state of one node. Its zero value is not valid; use Start. Its
// slices and pointers are never modified in place, so a copy stays valid.
type State struct {
	Record
	// Genesis are the entries that form the register, sorted.
	Genesis []job.EntryID
	// Incarnation is drawn at random for each start.
	Incarnation uint64
	// Round is the highest ballot round seen.
	Round        uint64
	Queue        []Request
	Attempt      *Attempt
	Unreplicated []UnreplicatedChange
	// Issued and Done are the sequence numbers of the last write issued and
	// the last write completed.
	Issued uint64
	Done   uint64
	Held   []heldMessages
}

// Start returns the state of a node that resumes from a record.
func Start(r Record, genesis []job.EntryID, incarnation uint64) State {
	names := slices.Clone(genesis)
	slices.Sort(names)
	round := r.Promised.Round
	return State{Record: r, Genesis: slices.Compact(names), Incarnation: incarnation, Round: round}
}

// Voting reports whether the node's votes count for the version being decided.
func (s *State) Voting() bool {
	if s.Chosen.Version == 0 {
		return slices.Contains(s.Genesis, s.Self.Entry)
	}
	return s.Chosen.Votes(s.Self)
}

// Busy reports whether the node waits for other nodes. While it does, the caller
// must pass it a Retry periodically.
func (s *State) Busy() bool {
	return s.Attempt != nil || len(s.Queue) > 0 || len(s.Unreplicated) > 0
}

// countsVote reports whether a vote of v counts for the version being decided. The
// vote of a disk that the chosen value does not name never counts, even under a
// known entry name: the disk may have lost an earlier vote. Only the first version
// is decided by entry name, and it needs the votes of all of them.
func (s *State) countsVote(v Voter) bool {
	if s.Chosen.Version == 0 {
		return slices.Contains(s.Genesis, v.Entry)
	}
	return s.Chosen.Votes(v)
}

// quorum returns the number of votes that choose the version being decided. The
// first version needs all of them: an entry with an empty disk can't know whether
// it has voted before, so the register may be formed only if every named entry is
// empty.
func (s *State) quorum() int {
	if s.Chosen.Version == 0 {
		return len(s.Genesis)
	}
	return len(s.Chosen.Voters)/2 + 1
}

// peers returns the entries that vote on the version being decided, including
// this node if it votes.
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
