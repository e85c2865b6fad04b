package consensus

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const (
	// RecentLimit is the number of accepted changes that a value remembers, so
	// that a resent change gets its original outcome. At 2,900 changes a day it
	// covers four hours, far longer than an operator's tool keeps resending, and
	// it keeps the value, apart from the file, under 50 KB.
	RecentLimit = 512
	// MaxChangeID is the maximum length of a change ID in bytes.
	MaxChangeID = 128
)

// Identity is the random identifier of one disk. It is created when a data
// folder is first used and is lost with that folder.
type Identity string

// Voter is an entry together with the disk that stores its votes.
type Voter struct {
	Entry    job.EntryID `cbor:"1,keyasint"`
	Identity Identity    `cbor:"2,keyasint"`
}

// Digest is the SHA-256 of a file.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a file.
func DigestOf(body []byte) Digest { return sha256.Sum256(body) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Change identifies one change of the configuration.
type Change struct {
	ID     string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	Digest Digest `cbor:"3,keyasint"`
}

// Value is one version of the register.
type Value struct {
	// Version numbers the values from 1; version 0 is the empty register.
	Version uint64 `cbor:"1,keyasint"`
	// Lineage is drawn when the voters first form the register. Messages of
	// another lineage are ignored, so two fleets that are connected by a wrong
	// setting can't overwrite each other's register.
	Lineage uint64  `cbor:"2,keyasint"`
	Voters  []Voter `cbor:"3,keyasint"`
	// Change and Body are the configuration in effect; zero before the first.
	Change Change `cbor:"4,keyasint"`
	Body   []byte `cbor:"5,keyasint"`
	// AcceptedAt is the time in Unix milliseconds, by the clock of the proposing
	// entry, at which the configuration was proposed. It is for display only.
	AcceptedAt int64 `cbor:"6,keyasint"`
	// Recent holds the last RecentLimit accepted changes, oldest first.
	Recent []Change `cbor:"7,keyasint"`
	// Cordons holds the zones that were ever cordoned, sorted by name.
	Cordons []Cordon `cbor:"8,keyasint,omitempty"`
}

// CommandKind is the type of a Command.
type CommandKind uint8

// The kinds of commands.
const (
	// Form sets the first voters and their disks.
	Form CommandKind = iota + 1
	// Configure puts a configuration file into effect.
	Configure
	// Replace replaces one voter by another.
	Replace
	// Read returns the latest value without changing it.
	Read
	// Add adds one disk to the voters.
	Add
	// SetCordon cordons or uncordons one availability zone.
	SetCordon
)

// Command describes how to derive the next value from the latest one.
type Command struct {
	Kind   CommandKind `cbor:"1,keyasint"`
	Change Change      `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
	At     int64       `cbor:"4,keyasint,omitempty"`
	// Lineage and Voters are used by Form. In SetCordon, Voters are those that are known to
	// keep cordons.
	Lineage uint64  `cbor:"5,keyasint,omitempty"`
	Voters  []Voter `cbor:"6,keyasint,omitempty"`
	// Old and New are used by Replace; New also by Add.
	Old job.EntryID `cbor:"7,keyasint,omitempty"`
	New Voter       `cbor:"8,keyasint,omitempty"`
	// Field 9 was the only version that a membership change may follow, in earlier releases.

	// Cordon is used by SetCordon. Its Revision is the one that the change replaces.
	Cordon Cordon `cbor:"10,keyasint,omitzero"`
	// KeepsCordons is set in Replace and Add if the new voter keeps cordons.
	KeepsCordons bool `cbor:"11,keyasint,omitempty"`
	// ExpectVoters, if set, are the only voters that the membership change may follow.
	// The need for the change was assessed on them, and two entries that repair the same
	// fault must not do so twice. Configurations may be accepted in between.
	ExpectVoters []Voter `cbor:"12,keyasint,omitempty"`
}

// ChangesVoters reports whether the command is a membership change.
func (c *Command) ChangesVoters() bool { return c.Kind == Replace || c.Kind == Add }

// OutcomeKind is the kind of result of a request.
type OutcomeKind uint8

// The outcomes.
const (
	// Accepted means that the change is chosen and can't be lost while a
	// majority of the voters' disks survives.
	Accepted OutcomeKind = iota + 1
	// Conflicted means that another change won; the outcome names it.
	Conflicted
	// Reused means that the change ID belongs to a change with different content.
	Reused
	// NotVoting means that the membership change does not apply: the entry to
	// replace is no voter, the new entry already votes with another disk, or
	// ExpectVoters are not the latest voters.
	NotVoting
	// Unavailable means that the change was not accepted and that this request
	// will never lead to its acceptance.
	Unavailable
	// Unknown means that the change may have been accepted.
	Unknown
	// Outdated means that the zone's cordon has changed since the Revision that the change
	// expects. The outcome carries the current one.
	Outdated
	// Unsupported means that a voter runs a release that does not keep cordons.
	Unsupported
)

// Outcome is the answer to a request.
type Outcome struct {
	Kind OutcomeKind `cbor:"1,keyasint"`
	// Change is the accepted change or, on a conflict, the change that won.
	Change Change `cbor:"2,keyasint"`
	// Cordon is the zone's cordon in the outcome of SetCordon.
	Cordon Cordon `cbor:"3,keyasint,omitzero"`
}

// Decide evaluates a command on the value v. It returns either an outcome that
// needs no new value, or true if the command must be proposed.
func (v *Value) Decide(c *Command) (Outcome, bool) {
	switch c.Kind {
	case Read:
		return Outcome{Kind: Accepted, Change: v.Change}, false
	case Replace:
		return v.decideReplace(c)
	case Add:
		return v.decideAdd(c)
	case Configure:
		return v.decideConfigure(c)
	case SetCordon:
		return v.decideCordon(c)
	}
	return Outcome{}, true
}

func (v *Value) decideConfigure(c *Command) (Outcome, bool) {
	if known, ok := v.changeByID(c.Change.ID); ok {
		if known.Digest != c.Change.Digest {
			return Outcome{Kind: Reused, Change: known}, false
		}
		return Outcome{Kind: Accepted, Change: known}, false
	}
	if c.Change.Number > v.Change.Number {
		return Outcome{}, true
	}
	if c.Change.Number == v.Change.Number && c.Change.Digest == v.Change.Digest {
		return Outcome{Kind: Accepted, Change: v.Change}, false
	}
	// If the change that won this number is still remembered, return it, so that
	// an operator whose change lost gets the same answer after later changes.
	for _, known := range v.Recent {
		if known.Number == c.Change.Number {
			return Outcome{Kind: Conflicted, Change: known}, false
		}
	}
	return Outcome{Kind: Conflicted, Change: v.Change}, false
}

func (v *Value) decideReplace(c *Command) (Outcome, bool) {
	old := false
	for _, voter := range v.Voters {
		if voter == c.New {
			return Outcome{Kind: Accepted, Change: v.Change}, false
		}
		if voter.Entry == c.Old {
			old = true
		} else if voter.Entry == c.New.Entry {
			return Outcome{Kind: NotVoting, Change: v.Change}, false
		}
	}
	if !old || v.outdated(c) {
		return Outcome{Kind: NotVoting, Change: v.Change}, false
	}
	if v.losesCordons(c) {
		return Outcome{Kind: Unsupported, Change: v.Change}, false
	}
	return Outcome{}, true
}

func (v *Value) decideAdd(c *Command) (Outcome, bool) {
	for _, voter := range v.Voters {
		if voter == c.New {
			return Outcome{Kind: Accepted, Change: v.Change}, false
		}
		if voter.Entry == c.New.Entry {
			return Outcome{Kind: NotVoting, Change: v.Change}, false
		}
	}
	if v.outdated(c) {
		return Outcome{Kind: NotVoting, Change: v.Change}, false
	}
	if v.losesCordons(c) {
		return Outcome{Kind: Unsupported, Change: v.Change}, false
	}
	return Outcome{}, true
}

// outdated reports whether a membership change expects voters other than v's.
func (v *Value) outdated(c *Command) bool {
	return c.ExpectVoters != nil && !slices.Equal(c.ExpectVoters, v.Voters)
}

func (v *Value) changeByID(id string) (Change, bool) {
	for i := len(v.Recent) - 1; i >= 0; i-- {
		if v.Recent[i].ID == id {
			return v.Recent[i], true
		}
	}
	return Change{}, false
}

// Apply returns the value that follows v when c is chosen. Each voter computes it
// independently, so the result must depend on v and c only.
func (v *Value) Apply(c *Command) Value {
	next := *v
	next.Version++
	switch c.Kind {
	case Form:
		next.Lineage = c.Lineage
		next.Voters = c.Voters
	case Replace:
		next.Voters = make([]Voter, len(v.Voters))
		for i, voter := range v.Voters {
			if voter.Entry == c.Old {
				voter = c.New
			}
			next.Voters[i] = voter
		}
	case Add:
		next.Voters = append(slices.Clone(v.Voters), c.New)
	case SetCordon:
		next.Cordons = v.withCordon(c.Cordon, next.Version)
	case Configure:
		next.Change, next.Body, next.AcceptedAt = c.Change, c.Body, c.At
		keep := v.Recent
		if len(keep) >= RecentLimit {
			keep = keep[len(keep)-RecentLimit+1:]
		}
		next.Recent = make([]Change, 0, len(keep)+1)
		next.Recent = append(next.Recent, keep...)
		next.Recent = append(next.Recent, c.Change)
	}
	return next
}

// Votes reports whether voter is one of v's voters.
func (v *Value) Votes(voter Voter) bool {
	for _, known := range v.Voters {
		if known == voter {
			return true
		}
	}
	return false
}
