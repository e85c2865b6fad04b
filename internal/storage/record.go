// Package storage stores the state of an entry on disk, on the few VMs that have
// one: single records that are replaced as a whole, and the log of submissions that
// must survive a crash.
//
// A file counts as written only when it and its directory are synced. All data is
// verified when it is read. Data that fails verification is reported as corrupt and
// never reconstructed, since a voter that lost a vote can undo an accepted
// configuration.
package storage

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Errors of the package.
const (
	// ErrCorrupt means that a record exists but differs from what was written.
	ErrCorrupt = errors.ConstError("storage: corrupt record")
	// ErrInUse means that another process uses the directory.
	ErrInUse = errors.ConstError("storage: the directory is used by another process")
)

// A record file consists of a header and a body:
//
//	magic "VGR1", 4 bytes
//	version of the body's format, 4 bytes
//	length of the body, 8 bytes
//	xxhash64 of the body, 8 bytes
//	CRC-32C of the preceding 24 bytes, 4 bytes
//
// The header has its own checksum, so that a flipped bit in the length can't make
// the reader accept a part of the body as the whole.
const (
	recordMagic   = "VGR1"
	recordHeader  = 28
	headerCRCAt   = 24
	maxRecordSize = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeRecord returns the file content for a body.
func encodeRecord(version uint32, body []byte) []byte {
	b := make([]byte, recordHeader, recordHeader+len(body))
	copy(b, recordMagic)
	binary.LittleEndian.PutUint32(b[4:], version)
	binary.LittleEndian.PutUint64(b[8:], uint64(len(body)))
	binary.LittleEndian.PutUint64(b[16:], xxhash.Sum64(body))
	binary.LittleEndian.PutUint32(b[headerCRCAt:], crc32.Checksum(b[:headerCRCAt], castagnoli))
	return append(b, body...)
}

// decodeRecord returns the body of a record file and its format version.
func decodeRecord(b []byte) (uint32, []byte, error) {
	if len(b) < recordHeader {
		return 0, nil, errors.Annotatef(ErrCorrupt, "%d bytes are too few for a header", len(b))
	}
	if string(b[:4]) != recordMagic {
		return 0, nil, errors.Annotate(ErrCorrupt, "not a record file")
	}
	if crc32.Checksum(b[:headerCRCAt], castagnoli) != binary.LittleEndian.Uint32(b[headerCRCAt:]) {
		return 0, nil, errors.Annotate(ErrCorrupt, "header checksum mismatch")
	}
	body := b[recordHeader:]
	if n := binary.LittleEndian.Uint64(b[8:]); n != uint64(len(body)) || n > maxRecordSize {
		return 0, nil, errors.Annotatef(ErrCorrupt, "body of %d bytes instead of %d", len(body), n)
	}
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(b[16:]) {
		return 0, nil, errors.Annotate(ErrCorrupt, "body checksum mismatch")
	}
	return binary.LittleEndian.Uint32(b[4:]), body, nil
}
