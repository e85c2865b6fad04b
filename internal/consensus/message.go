package consensus

import "github.com/vanillagrade/vanillagrade/internal/job"

// MessageKind is the type of a Message. Numbers are on the wire.
type MessageKind uint8

// The kinds of messages.
const (
	// MsgPrepare asks for a promise not to vote under a lower ballot.
	MsgPrepare MessageKind = 1
	// MsgPromise gives it, with the proposal accepted before.
	MsgPromise MessageKind = 2
	// MsgAccept asks for a vote.
	MsgAccept MessageKind = 3
	// MsgAccepted gives it.
	MsgAccepted MessageKind = 4
	// MsgReject names the higher ballot that was promised.
	MsgReject MessageKind = 5
	// MsgChosen says under which ballot a version was chosen.
	MsgChosen MessageKind = 6
	// MsgFetch asks for the latest chosen value.
	MsgFetch MessageKind = 8
	// MsgLearn carries it.
	MsgLearn MessageKind = 9
	// MsgLearned says that the sender holds the version on its disk.
	MsgLearned MessageKind = 10
)

// Message goes between the nodes. Any of them may be lost, repeated or
// overtaken by another.
type Message struct {
	Kind    MessageKind `cbor:"1,keyasint"`
	From    Voter       `cbor:"2,keyasint"`
	To      job.EntryID `cbor:"3,keyasint"`
	Lineage uint64      `cbor:"4,keyasint,omitempty"`
	// Version is the version in progress for votes, the sender's chosen version
	// otherwise.
	Version  uint64    `cbor:"5,keyasint"`
	Ballot   Ballot    `cbor:"6,keyasint"`
	Accepted *Proposal `cbor:"7,keyasint,omitempty"`
	Command  *Command  `cbor:"8,keyasint,omitempty"`
	Value    *Value    `cbor:"9,keyasint,omitempty"`
}

// Input is what happens to a node: one of Received, Synced, Submit, Abandon,
// Retry, Finish, Lagging and Founded.
type Input interface{ input() }

// Received is the arrival of a message.
type Received struct{ Message Message }

// Synced is the completion of all writes up to Seq.
type Synced struct{ Seq uint64 }

// Submit hands a request to the node.
type Submit struct {
	Token   Token
	Command Command
}

// Abandon ends the waiting for a request; its outcome says what is known.
type Abandon struct{ Token Token }

// Retry sends again what got no answer, or starts a new attempt.
type Retry struct{}

// Finish completes a proposal that was accepted here and never heard of again:
// it may have been chosen, and its operator told so, before its proposer died.
type Finish struct{}

// Lagging says that the peer holds a newer version.
type Lagging struct{ Peer job.EntryID }

// Founded names the entries that form the register, for a node that started
// before they were known. It is taken once, and never after the register was
// formed.
type Founded struct{ Genesis []job.EntryID }

func (Founded) input()  {}
func (Received) input() {}
func (Lagging) input()  {}
func (Synced) input()   {}
func (Submit) input()   {}
func (Abandon) input()  {}
func (Retry) input()    {}
func (Finish) input()   {}

// Write asks for the record to be synced. A later record replaces an earlier
// one, so only the last of several need be written.
type Write struct {
	Seq    uint64
	Record Record
}

// Answer ends a request.
type Answer struct {
	Token   Token
	Outcome Outcome
}

// Output is what a step asks for.
type Output struct {
	Messages []Message
	Writes   []Write
	Answers  []Answer
}
