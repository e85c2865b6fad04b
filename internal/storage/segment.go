package storage

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// A segment file is a sequence of batches. The first batch holds all records that
// were needed when the segment was created, so only the segment with the highest
// number is read and older ones are removed. A batch holds the records that share
// one sync:
//
//	magic "VGB1", 4 bytes
//	length of the body, 4 bytes
//	CRC-32C of the length and the body, 4 bytes
//	body: CBOR list of records
//
// A batch has one checksum over all its records, since a crash may keep any part of
// the unsynced data: a batch is valid as a whole or not at all.
const (
	batchMagic    = "VGB1"
	batchHeader   = 12
	segmentPrefix = "submissions-"
	segmentSuffix = ".log"
)

func segmentName(n uint64) string { return fmt.Sprintf("%s%012d%s", segmentPrefix, n, segmentSuffix) }

// segmentNumber returns the number in a segment's file name.
func segmentNumber(name string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, segmentPrefix)
	if !ok {
		return 0, false
	}
	digits, ok = strings.CutSuffix(digits, segmentSuffix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil
}

func encodeBatch(records []Record) ([]byte, error) {
	body, err := cbor.Marshal(records)
	if err != nil {
		return nil, errors.Annotate(err, "encoding a batch")
	}
	b := make([]byte, batchHeader, batchHeader+len(body))
	copy(b, batchMagic)
	binary.LittleEndian.PutUint32(b[4:], uint32(len(body)))
	binary.LittleEndian.PutUint32(b[8:], batchSum(b[4:8], body))
	return append(b, body...), nil
}

func batchSum(length, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, body)
}

// decodeBatch returns the records of the batch at the start of b and its length.
func decodeBatch(b []byte) ([]Record, int, error) {
	if len(b) < batchHeader || string(b[:4]) != batchMagic {
		return nil, 0, errors.Annotate(ErrCorrupt, "no batch header")
	}
	n := uint64(binary.LittleEndian.Uint32(b[4:]))
	if n > uint64(len(b)-batchHeader) {
		return nil, 0, errors.Annotate(ErrCorrupt, "truncated batch")
	}
	body := b[batchHeader : batchHeader+int(n)]
	if batchSum(b[4:8], body) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, 0, errors.Annotate(ErrCorrupt, "batch checksum mismatch")
	}
	var records []Record
	if err := cbor.Unmarshal(body, &records); err != nil {
		return nil, 0, errors.Annotatef(ErrCorrupt, "batch body: %v", err)
	}
	return records, batchHeader + int(n), nil
}

// readSegment returns the batches of a segment. An invalid batch with no valid one
// after it is the torn end of the last write, which was never acknowledged. An
// invalid batch with a valid one after it was synced, so the disk has corrupted it.
func readSegment(content []byte) ([][]Record, error) {
	var batches [][]Record
	for at := 0; at < len(content); {
		records, n, err := decodeBatch(content[at:])
		if err == nil {
			batches = append(batches, records)
			at += n
			continue
		}
		if len(batches) == 0 {
			return nil, errors.Annotate(err, "first batch")
		}
		if next := findBatch(content[at+1:]); next >= 0 {
			return nil, errors.Annotatef(err, "invalid batch at byte %d, before a valid one at byte %d", at, at+1+next)
		}
		break
	}
	if len(batches) == 0 {
		return nil, errors.Annotate(ErrCorrupt, "empty segment")
	}
	return batches, nil
}

// findBatch returns the offset of the first valid batch in b, or -1.
func findBatch(b []byte) int {
	for at := 0; ; at++ {
		i := bytes.Index(b[at:], []byte(batchMagic))
		if i < 0 {
			return -1
		}
		at += i
		if _, _, err := decodeBatch(b[at:]); err == nil {
			return at
		}
	}
}

// loadSegment reads the segment with the highest number into the live set.
func (l *SubmissionLog) loadSegment() error {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return errors.Annotatef(err, "listing %s", l.dir)
	}
	for _, name := range names {
		if n, ok := segmentNumber(name); ok {
			l.segment = max(l.segment, n)
		}
	}
	if l.segment == 0 {
		return nil
	}
	name := filepath.Join(l.dir, segmentName(l.segment))
	content, err := l.fs.ReadFile(name)
	if err != nil {
		return errors.Annotatef(err, "reading %s", name)
	}
	batches, err := readSegment(content)
	if err != nil {
		return errors.Annotatef(err, "segment %s", name)
	}
	for _, records := range batches {
		for _, r := range records {
			l.live.apply(r)
		}
	}
	return nil
}

// startSegment starts a new segment with the records that are still needed and
// removes the older ones. The new segment gets its final name only after it is
// synced, so the segment with the highest number is complete after any crash.
func (l *SubmissionLog) startSegment() error {
	l.mu.Lock()
	records := l.live.records()
	l.mu.Unlock()
	batch, err := encodeBatch(records)
	if err != nil {
		return errors.Trace(err)
	}
	name := filepath.Join(l.dir, segmentName(l.segment+1))
	f, err := l.createSegment(name, batch)
	if l.file != nil {
		// Even after a failure the new name may have reached the disk. The new
		// segment then supersedes the old one, so the old one must not be
		// appended to.
		_ = l.file.Close()
		l.file = nil
	}
	if err != nil {
		return errors.Annotatef(err, "starting segment %s", name)
	}
	l.segment++
	l.file, l.written = f, len(batch)
	l.removeOldSegments()
	return nil
}

func (l *SubmissionLog) createSegment(name string, batch []byte) (File, error) {
	temp := name + tempSuffix
	f, err := l.fs.Create(temp)
	if err != nil {
		return nil, err
	}
	if _, err = f.Write(batch); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = l.fs.Rename(temp, name)
	}
	if err == nil {
		err = l.fs.SyncDir(l.dir)
	}
	if err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

// removeOldSegments removes the segments that the current one replaces, and
// temporary files. A file that can't be removed now is never read, and is removed
// when a later segment is started.
func (l *SubmissionLog) removeOldSegments() {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return
	}
	for _, name := range names {
		n, ok := segmentNumber(strings.TrimSuffix(name, tempSuffix))
		if ok && (n < l.segment || strings.HasSuffix(name, tempSuffix)) {
			_ = l.fs.Remove(filepath.Join(l.dir, name))
		}
	}
}

// writeBatch appends one batch and syncs it.
func (l *SubmissionLog) writeBatch(records []Record) error {
	batch, err := encodeBatch(records)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := l.file.Write(batch); err != nil {
		return errors.Annotate(err, "writing a batch")
	}
	if err := l.file.Sync(); err != nil {
		return errors.Annotate(err, "syncing a batch")
	}
	l.written += len(batch)
	l.mu.Lock()
	l.stats.Bytes = l.written
	l.mu.Unlock()
	return nil
}
