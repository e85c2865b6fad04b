package registrar

import (
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Certainty says how far a registrar's missing record of an id proves that the id
// was never started.
type Certainty uint8

// Levels of certainty.
const (
	// Authoritative: an id without a record was not started in the registrar's
	// zone within the retention time of records.
	Authoritative Certainty = iota + 1
	// Unsynced: the registrar has not yet received the records that others hold.
	Unsynced
	// Cold: the zone's records go back less than the retention time.
	Cold
	// Lost: both registrars of the id were lost at once.
	Lost
)

// Claimant identifies one claim of one entry. An entry that claims an id again
// after withdrawing its first claim is a new claimant. Without the number, an
// entry that learned that the first claim is void could replace the second one,
// and both entries would start the submission.
type Claimant struct {
	Owner  job.Owner `cbor:"1,keyasint"`
	Number uint64    `cbor:"2,keyasint"`
}

// Record names the claimant of a submission.
type Record struct {
	ID     job.ID     `cbor:"1,keyasint"`
	Digest job.Digest `cbor:"2,keyasint"`
	By     Claimant   `cbor:"3,keyasint"`
	// Answer is the submission's answer, if it is small enough to be kept by
	// registrars.
	Answer *job.Answer `cbor:"4,keyasint,omitempty"`
	// Age is the time since the record was made; it is set only in messages.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
}

// claimRequest asks a registrar to record a claimant. Replace lists claimants
// that withdrew; the new record replaces theirs.
type claimRequest struct {
	ID      job.ID     `cbor:"1,keyasint"`
	Digest  job.Digest `cbor:"2,keyasint"`
	By      Claimant   `cbor:"3,keyasint"`
	Replace []Claimant `cbor:"4,keyasint,omitempty"`
}

// claimReply grants the claim when Held is empty. Otherwise Held contains the
// records of all other claimants.
type claimReply struct {
	Held      []Record  `cbor:"1,keyasint,omitempty"`
	Certainty Certainty `cbor:"2,keyasint"`
}

// settleMessage reports to registrars how a submission ended. Without an answer,
// nothing of the submission ran and the record is dropped.
type settleMessage struct {
	ID     job.ID      `cbor:"1,keyasint"`
	By     Claimant    `cbor:"2,keyasint"`
	Answer *job.Answer `cbor:"3,keyasint,omitempty"`
}

// yieldRequest asks the owner named in a record whether it owns the submission.
type yieldRequest struct {
	ID job.ID `cbor:"1,keyasint"`
	// Digest identifies the content that the asking entry would start.
	Digest job.Digest `cbor:"2,keyasint"`
	// Of is the incarnation of the asked entry for which the request is meant.
	Of job.Owner `cbor:"3,keyasint"`
}

// yieldResult is the reply of the asked owner.
type yieldResult uint8

const (
	// yieldRefused: the asked entry owns the submission or will own it; the
	// asking entry joins it.
	yieldRefused yieldResult = iota + 1
	// yieldGranted: the asked entry has not started the submission and yields its
	// claim to the asking entry.
	yieldGranted
	// yieldUnknown: this incarnation of the asked entry doesn't have the
	// submission; it never started it, or nothing of it ran.
	yieldUnknown
	// yieldRedirected: the asked entry had already yielded its claim to To.
	// Joining the asked entry could close a cycle of entries that join each other.
	yieldRedirected
)

type yieldReply struct {
	Result yieldResult `cbor:"1,keyasint"`
	To     job.Owner   `cbor:"2,keyasint,omitempty"`
}

// syncRequest asks for the records that For keeps when the zone's live entries
// are Base, starting with Shard.
type syncRequest struct {
	For   job.EntryID   `cbor:"1,keyasint"`
	Base  []job.EntryID `cbor:"2,keyasint"`
	Shard int           `cbor:"3,keyasint"`
	// Done marks an announcement instead of a request: For has synced for the
	// live entries whose digest is Set.
	Done bool   `cbor:"4,keyasint,omitempty"`
	Set  uint64 `cbor:"5,keyasint,omitempty"`
	// Claimed is how much longer ids count as claimed in the zone.
	Claimed time.Duration `cbor:"6,keyasint,omitempty"`
	// Of, when set, is the entry whose records are requested; the receiver passes the request
	// on to it.
	Of job.EntryID `cbor:"7,keyasint,omitempty"`
}

type syncReply struct {
	Records []Record `cbor:"1,keyasint,omitempty"`
	// Cold is the remaining time until the sender's records go back the full
	// retention time.
	Cold time.Duration `cbor:"2,keyasint,omitempty"`
	// Losses are the losses known to the sender. They are sent with the last
	// shard.
	Losses []lossMessage `cbor:"3,keyasint,omitempty"`
	// Next is the shard to request next; it is shardCount after the last shard.
	Next int `cbor:"4,keyasint"`
	// From is the entry whose records these are. An older release does not relay requests and
	// answers them with its own records, without From.
	From job.EntryID `cbor:"5,keyasint,omitempty"`
}

type lossMessage struct {
	Base []job.EntryID `cbor:"1,keyasint"`
	Dead []job.EntryID `cbor:"2,keyasint"`
	Left time.Duration `cbor:"3,keyasint"`
}

// joinRequest asks for the answer of a submission that the receiver owns. The
// reply is sent when the submission has ended.
type joinRequest struct {
	ID job.ID `cbor:"1,keyasint"`
}

type joinReply struct {
	Answer job.Answer `cbor:"1,keyasint"`
}
