package consensus

import "github.com/vanillagrade/vanillagrade/internal/job"

// MessageKind is the type of a Message. Its numbers are sent on the wire.
type MessageKind uint8

// The kinds of messages.
const (
	// MsgPrepare asks a voter to promise not to vote under a lower ballot.
	MsgPrepare MessageKind = 1
	// MsgPromise gives that promise and carries the proposal that the voter
	// accepted last, if any.
	MsgPromise MessageKind = 2
	// MsgAccept asks a voter to vote for a command.
	MsgAccept MessageKind = 3
	// MsgAccepted is the vote for the command of a MsgAccept.
	MsgAccepted MessageKind = 4
	// MsgReject carries the higher ballot that the voter has promised.
	MsgReject MessageKind = 5
	// MsgChosen announces the ballot under which a version was chosen.
	MsgChosen MessageKind = 6
	// MsgFetch asks for the latest chosen value.
	MsgFetch MessageKind = 8
	// MsgLearn carries the latest chosen value.
	MsgLearn MessageKind = 9
	// MsgLearned confirms that the sender holds the version on its disk.
	MsgLearned MessageKind = 10
)

// Message is sent from one node to another. Messages may be lost, duplicated
// and reordered.
type Message struct {
	Kind    MessageKind `cbor:"1,keyasint"`
	From    Voter       `cbor:"2,keyasint"`
	To      job.EntryID `cbor:"3,keyasint"`
	Lineage uint64      `cbor:"4,keyasint,omitempty"`
	// Version is the version being decided in the messages of a ballot, and the
	// sender's chosen version in all others.
	Version  uint64    `cbor:"5,keyasint"`
	Ballot   Ballot    `cbor:"6,keyasint"`
	Accepted *Proposal `cbor:"7,keyasint,omitempty"`
	Command  *Command  `cbor:"8,keyasint,omitempty"`
	Value    *Value    `cbor:"9,keyasint,omitempty"`
}

// Input is an event at a node: one of Received, Synced, Submit, Abandon, Retry,
// Finish, PeerAhead and GenesisKnown.
type Input interface{ input() }

// Received is the arrival of a message.
type Received struct{ Message Message }

// Synced reports that all writes up to Seq are on disk.
type Synced struct{ Seq uint64 }

// Submit submits a request to the node.
type Submit struct {
	Token   Token
	Command Command
}

// Abandon cancels the wait for a request. Its outcome is Unavailable, or Unknown
// if the command may still be chosen.
type Abandon struct{ Token Token }

// Retry resends the messages that got no reply, or starts a new attempt.
type Retry struct{}

// Finish completes a proposal that this node accepted and whose result it never
// received: the proposal may have been chosen, and acknowledged to its operator,
// before its proposer died.
type Finish struct{}

// PeerAhead reports that this node lags behind Peer, which holds a newer version.
type PeerAhead struct{ Peer job.EntryID }

// GenesisKnown names the entries that form the register, for a node that started
// before they were known. It has an effect only once, and none after the
// register was formed.
type GenesisKnown struct{ Genesis []job.EntryID }

func (GenesisKnown) input() {}
func (Received) input()     {}
func (PeerAhead) input()    {}
func (Synced) input()       {}
func (Submit) input()       {}
func (Abandon) input()      {}
func (Retry) input()        {}
func (Finish) input()       {}

// Write asks the caller to write and sync the record. A later record replaces an
// earlier one, so of several pending writes only the last is needed.
type Write struct {
	Seq    uint64
	Record Record
}

// Answer reports the outcome of a request.
type Answer struct {
	Token   Token
	Outcome Outcome
}

// Output holds the messages to send, the records to write and the answers to
// return after a step.
type Output struct {
	Messages []Message
	Writes   []Write
	Answers  []Answer
}
