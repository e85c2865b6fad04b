package register

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/consensus"
	"github.com/vanillagrade/vanillagrade/internal/storage"
)

// snapshot is the part of a consensus value that an entry needs to serve callers and
// sends to entries that pull.
type snapshot struct {
	Version uint64            `cbor:"1,keyasint"`
	Lineage uint64            `cbor:"2,keyasint"`
	Voters  []consensus.Voter `cbor:"3,keyasint"`
	Change  consensus.Change  `cbor:"4,keyasint"`
	// Body is the packed file.
	Body       []byte `cbor:"5,keyasint"`
	AcceptedAt int64  `cbor:"6,keyasint"`
	// Cordons are as in consensus.Value.
	Cordons []consensus.Cordon `cbor:"7,keyasint,omitempty"`

	body  []byte
	file  *config.File
	since time.Time
}

// decode unpacks the file, verifies its digest and parses it.
func (s *snapshot) decode(parse func(string, []byte) (*config.File, error)) error {
	body, err := unpack(s.Body)
	if err != nil {
		return errors.Trace(err)
	}
	s.body = body
	if consensus.DigestOf(body) != s.Change.Digest {
		return errors.NotValidf("file that does not match its digest")
	}
	file, err := parse("accepted configuration", body)
	if err != nil {
		return errors.Trace(err)
	}
	s.file = file
	return nil
}

func snapshotOf(v *consensus.Value) *snapshot {
	return &snapshot{
		Version: v.Version, Lineage: v.Lineage, Voters: v.Voters,
		Change: v.Change, Body: v.Body, AcceptedAt: v.AcceptedAt, Cordons: v.Cordons,
	}
}

func (s *snapshot) describe() string {
	return fmt.Sprintf("number %d, digest %s, change %s", s.Change.Number, s.Change.Digest, s.Change.ID)
}

// pullRequest requests a snapshot newer than Version. Sent with Hint set, it needs no
// answer and announces that the sender holds Version.
type pullRequest struct {
	Version uint64 `cbor:"1,keyasint"`
	Hint    bool   `cbor:"2,keyasint,omitempty"`
	// Disk is the identity of the sender's disk; empty without one. It reveals a voter
	// that lost its disk as soon as that voter sends any request.
	Disk consensus.Identity `cbor:"3,keyasint,omitempty"`
	// KeepsCordons is set by releases that keep cordons.
	KeepsCordons bool `cbor:"4,keyasint,omitempty"`
}

// pullResponse is the answer to a pullRequest.
type pullResponse struct {
	// Self identifies the disk of the answering entry; zero without one.
	Self consensus.Voter `cbor:"1,keyasint"`
	// Newer is nil if the requesting entry is up to date.
	Newer *snapshot `cbor:"2,keyasint,omitempty"`
	// KeepsCordons is set by releases that keep cordons.
	KeepsCordons bool `cbor:"3,keyasint,omitempty"`
}

// commandRequest is a command that an entry submits to a voter.
type commandRequest struct {
	Command consensus.Command `cbor:"1,keyasint"`
	// WaitMillis is how long the voter may take.
	WaitMillis int64 `cbor:"2,keyasint"`
}

const (
	recordName   = "register"
	recordFormat = 1
	// cordonRecordFormat is the format of a record that contains cordons. Releases that do not
	// keep cordons refuse to read it and so do not vote, instead of losing the cordons.
	cordonRecordFormat = 2
)

// formatOf returns the format in which a record is written.
func formatOf(record *consensus.Record) uint32 {
	accepted := record.Accepted
	if len(record.Chosen.Cordons) > 0 || accepted != nil && accepted.Command.Kind == consensus.SetCordon {
		return cordonRecordFormat
	}
	return recordFormat
}

func loadRecord(s *storage.Store) (consensus.Record, error) {
	var record consensus.Record
	format, body, err := s.Load(recordName)
	if err != nil {
		return record, errors.Trace(err)
	}
	if format != recordFormat && format != cordonRecordFormat {
		return record, errors.Errorf("record of format %d; this release reads %d and %d", format, recordFormat, cordonRecordFormat)
	}
	if err := cbor.Unmarshal(body, &record); err != nil {
		return record, errors.Annotatef(storage.ErrCorrupt, "decoding: %v", err)
	}
	return record, nil
}

func saveRecord(s *storage.Store, record consensus.Record) error {
	body, err := cbor.Marshal(record)
	if err != nil {
		return errors.Annotate(err, "encoding the record")
	}
	return errors.Trace(s.Save(recordName, formatOf(&record), body))
}
