package storage

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Errors of SubmissionLog.Append. They differ in what may be reported to the
// caller of a submission.
const (
	// ErrNotKept means that the record is definitely not in the log and will not
	// reappear after a crash.
	ErrNotKept = errors.ConstError("storage: record not kept")
	// ErrUncertain means that the record may reappear after a crash.
	ErrUncertain = errors.ConstError("storage: record may be kept")
)

// RecordKind is the type of a Record. Its numbers are stored on disk.
type RecordKind uint8

// The kinds of records.
const (
	// RecordAccepted holds the whole submission.
	RecordAccepted RecordKind = 1
	// RecordDispatched names tasks that are about to be sent to targets. It must be in
	// the log before any of them is sent: after a crash, only tasks that no record
	// names may start.
	RecordDispatched RecordKind = 2
	// RecordFinished holds the answer. It is kept for a caller that asks for it later.
	RecordFinished RecordKind = 3
	// RecordForgotten means that the answer will not be requested any more.
	RecordForgotten RecordKind = 4
)

// Record is one durable step of a submission.
type Record struct {
	Kind  RecordKind `cbor:"1,keyasint"`
	ID    job.ID     `cbor:"2,keyasint"`
	Body  []byte     `cbor:"3,keyasint,omitempty"`
	Tasks []int      `cbor:"4,keyasint,omitempty"`
}

func (r *Record) size() int { return len(r.Body) + len(r.ID) + 8*len(r.Tasks) + recordOverhead }

const (
	// recordOverhead is the approximate encoding overhead of a record in bytes.
	recordOverhead = 16
	// batchBytes bounds the size of a batch, so that no caller waits for a write
	// of unbounded length.
	batchBytes = 8 << 20
	// compactAbove is the size in bytes up to which a segment is never compacted.
	// A larger one is compacted once less than half of it is still needed.
	compactAbove = 4 << 20
	// maxFinished and maxFinishedBytes bound the answers that are kept. The
	// oldest is dropped first: its caller has had the most time to ask for it.
	maxFinished      = 8192
	maxFinishedBytes = 16 << 20
)

// SubmissionLog stores submissions on disk from their acceptance until their answer
// is no longer needed. Records that wait at the same time share one sync (group
// commit), since a sync takes milliseconds regardless of its size.
type SubmissionLog struct {
	dir string
	fs  FS

	mu      sync.Mutex
	live    *liveSet
	waiting []*pendingAppend
	closed  bool
	stats   LogStats

	// The fields below are used only by the committing goroutine.
	segment uint64
	file    File
	written int

	wake chan struct{}
	stop chan struct{}
	done chan struct{}
}

// LogStats holds counters and sizes of a SubmissionLog.
type LogStats struct {
	Records, Batches, Compactions, Failures int
	// Bytes is the size of the current segment, Live the size of the records in
	// it that are still needed.
	Bytes, Live int
}

type pendingAppend struct {
	record Record
	done   chan error
}

// OpenSubmissionLog reads the log in dir and starts a new segment with the records
// that are still needed. It drops the torn end that a crash during a write leaves,
// since that write was never acknowledged. Any other damage is ErrCorrupt.
func OpenSubmissionLog(dir string, fs FS) (*SubmissionLog, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, errors.Annotatef(err, "creating %s", dir)
	}
	l := &SubmissionLog{
		dir: dir, fs: fs, live: newLiveSet(),
		wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
	}
	if err := l.loadSegment(); err != nil {
		return nil, errors.Trace(err)
	}
	if err := l.startSegment(); err != nil {
		return nil, errors.Trace(err)
	}
	go l.commitLoop()
	return l, nil
}

// Replay returns the records that are kept, unfinished submissions in order of
// acceptance and finished ones in order of finishing: for an unfinished submission
// its RecordAccepted and, if tasks were sent to targets, one RecordDispatched with all
// of them; for a finished one its RecordFinished.
func (l *SubmissionLog) Replay() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.live.records()
}

// Stats returns the counters since the log was opened and the current sizes.
func (l *SubmissionLog) Stats() LogStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	s.Live = l.live.bytes
	return s
}

// Append appends a record and returns nil once the record is durable. Its error is
// or wraps ErrNotKept or ErrUncertain.
func (l *SubmissionLog) Append(ctx context.Context, r Record) error {
	a := &pendingAppend{record: r, done: make(chan error, 1)}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return errors.Annotate(ErrNotKept, "the log is closed")
	}
	l.waiting = append(l.waiting, a)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	select {
	case err := <-a.done:
		return err
	case <-ctx.Done():
		return errors.Annotatef(ErrUncertain, "%v", ctx.Err())
	}
}

// Close commits the waiting records and closes the log.
func (l *SubmissionLog) Close() error {
	l.mu.Lock()
	wasClosed := l.closed
	l.closed = true
	l.mu.Unlock()
	if wasClosed {
		return nil
	}
	close(l.stop)
	<-l.done
	if l.file == nil {
		return nil
	}
	return errors.Trace(l.file.Close())
}

// commitLoop writes batches until the log is closed and no record waits.
func (l *SubmissionLog) commitLoop() {
	defer close(l.done)
	for open := true; open; {
		select {
		case <-l.wake:
		case <-l.stop:
			open = false
		}
		for batch := l.takeBatch(); len(batch) > 0; batch = l.takeBatch() {
			l.commit(batch)
		}
	}
}

// takeBatch removes and returns the waiting records for the next batch.
func (l *SubmissionLog) takeBatch() []*pendingAppend {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, size := 0, 0
	for n < len(l.waiting) && (n == 0 || size < batchBytes) {
		size += l.waiting[n].record.size()
		n++
	}
	batch := l.waiting[:n:n]
	l.waiting = l.waiting[n:]
	return batch
}

func (l *SubmissionLog) commit(batch []*pendingAppend) {
	records := make([]Record, len(batch))
	for i, a := range batch {
		records[i] = a.record
	}
	err := l.write(records)
	for _, a := range batch {
		a.done <- err
	}
	if err == nil {
		l.compact()
	}
}

func (l *SubmissionLog) write(records []Record) error {
	if l.file == nil {
		if err := l.startSegment(); err != nil {
			return errors.Annotatef(ErrNotKept, "%v", err)
		}
	}
	if err := l.writeBatch(records); err != nil {
		return l.handleWriteFailure(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range records {
		l.live.apply(records[i])
	}
	l.stats.Records += len(records)
	l.stats.Batches++
	return nil
}

// handleWriteFailure continues after a failed write. It is unknown how much of the
// write reached the disk, so the log continues in a new segment without it. Only
// once that segment is synced are the records definitely not kept.
func (l *SubmissionLog) handleWriteFailure(cause error) error {
	l.mu.Lock()
	l.stats.Failures++
	l.mu.Unlock()
	if err := l.startSegment(); err != nil {
		return errors.Annotatef(ErrUncertain, "%v; then %v", cause, err)
	}
	return errors.Annotatef(ErrNotKept, "%v", cause)
}

// compact rewrites the segment when less than half of it is still needed. After a
// failure, the next write retries.
func (l *SubmissionLog) compact() {
	l.mu.Lock()
	due := l.written > compactAbove && 2*l.live.bytes < l.written
	l.mu.Unlock()
	if !due {
		return
	}
	if err := l.startSegment(); err == nil {
		l.mu.Lock()
		l.stats.Compactions++
		l.mu.Unlock()
	}
}
