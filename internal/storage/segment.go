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

// A segment file is a row of batches. The first holds all that was needed when
// the segment was made, so the segment with the highest number is enough and
// older ones are removed. A batch is what one sync carries:
//
//	magic "VGB1", 4 bytes
//	length of the body, 4 bytes
//	CRC-32C of the length and the body, 4 bytes
//	body: CBOR list of records
//
// A batch has one checksum over all its records, since a crash may keep any part
// of what was not synced: it counts as a whole or not at all.
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
		return nil, 0, errors.Annotate(ErrCorrupt, "no batch")
	}
	n := uint64(binary.LittleEndian.Uint32(b[4:]))
	if n > uint64(len(b)-batchHeader) {
		return nil, 0, errors.Annotate(ErrCorrupt, "batch cut short")
	}
	body := b[batchHeader : batchHeader+int(n)]
	if batchSum(b[4:8], body) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, 0, errors.Annotate(ErrCorrupt, "batch checksum")
	}
	var records []Record
	if err := cbor.Unmarshal(body, &records); err != nil {
		return nil, 0, errors.Annotatef(ErrCorrupt, "batch body: %v", err)
	}
	return records, batchHeader + int(n), nil
}

// readSegment returns the batches of a segment. A bad batch with none after it
// is the torn end of the last write, which nobody was told is kept. One with a
// good batch after it was synced once, so the disk has changed it.
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
		if later := findBatch(content[at+1:]); later >= 0 {
			return nil, errors.Annotatef(err, "at byte %d, with a good batch after it at byte %d", at, at+1+later)
		}
		break
	}
	if len(batches) == 0 {
		return nil, errors.Annotate(ErrCorrupt, "empty segment")
	}
	return batches, nil
}

// findBatch returns where the first good batch in b starts, or -1.
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

// read loads the segment with the highest number.
func (l *SubmissionLog) read() error {
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
		return errors.Annotatef(err, "%s", name)
	}
	for _, records := range batches {
		for _, r := range records {
			l.live.apply(r)
		}
	}
	return nil
}

// rebuild starts a new segment with what is needed and removes the older ones.
// The new one gets its name only when it is synced, so whichever segment has the
// highest number at a crash is whole.
func (l *SubmissionLog) rebuild() error {
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
		// After a failure the new name may have reached the disk all the same,
		// and then hides the old segment: nothing may be added to that one.
		_ = l.file.Close()
		l.file = nil
	}
	if err != nil {
		return errors.Annotatef(err, "starting %s", name)
	}
	l.segment++
	l.file, l.written = f, len(batch)
	l.removeOld()
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

// removeOld removes what the present segment replaced. What can't be removed now
// is removed after a later rebuild; it is never read.
func (l *SubmissionLog) removeOld() {
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
		return errors.Annotate(err, "writing")
	}
	if err := l.file.Sync(); err != nil {
		return errors.Annotate(err, "syncing")
	}
	l.written += len(batch)
	l.mu.Lock()
	l.stats.Bytes = l.written
	l.mu.Unlock()
	return nil
}
