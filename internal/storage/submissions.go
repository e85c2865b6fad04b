package storage

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Errors of SubmissionLog.Append. Their difference decides what a caller may be
// told.
const (
	// ErrNotKept says that the record is certainly not in the log and will not
	// come back after a crash.
	ErrNotKept = errors.ConstError("storage: not kept")
	// ErrUncertain says that the record may come back after a crash.
	ErrUncertain = errors.ConstError("storage: may be kept")
)

// RecordKind is the type of a Record. Numbers are on the disk.
type RecordKind uint8

// The kinds of records.
const (
	// RecordAccepted holds the whole submission.
	RecordAccepted RecordKind = 1
	// RecordHanded names tasks that are about to be handed to targets. It must
	// be in the log before any of them is: after a crash only tasks that were
	// never named may start.
	RecordHanded RecordKind = 2
	// RecordFinished holds the answer; it is kept for the caller's return.
	RecordFinished RecordKind = 3
	// RecordForgotten says that nobody will ask for the answer any more.
	RecordForgotten RecordKind = 4
)

// Record is one step of a submission that must outlive a crash.
type Record struct {
	Kind  RecordKind `cbor:"1,keyasint"`
	ID    job.ID     `cbor:"2,keyasint"`
	Body  []byte     `cbor:"3,keyasint,omitempty"`
	Tasks []int      `cbor:"4,keyasint,omitempty"`
}

func (r *Record) size() int { return len(r.Body) + len(r.ID) + 8*len(r.Tasks) + recordOverhead }

const (
	// recordOverhead is about what a record takes besides its content.
	recordOverhead = 16
	// batchBytes bounds how much one sync carries, so that nobody waits for a
	// write of unbounded length.
	batchBytes = 8 << 20
	// compactAbove is the size below which a segment is never rewritten; above
	// it is as soon as less than half of it is still needed.
	compactAbove = 4 << 20
	// maxFinished and maxFinishedBytes bound the answers that are kept. The
	// oldest goes first: its caller has had the longest time to come back.
	maxFinished      = 8192
	maxFinishedBytes = 16 << 20
)

// SubmissionLog keeps submissions on disk from their acceptance until nobody
// asks for their answer. Records that wait at the same time share one sync
// (group commit): a sync takes milliseconds, whatever it carries.
type SubmissionLog struct {
	dir string
	fs  FS

	mu      sync.Mutex
	live    *liveSet
	waiting []*appending
	closed  bool
	stats   LogStats

	// The fields below belong to the committing goroutine.
	segment uint64
	file    File
	written int

	wake chan struct{}
	stop chan struct{}
	done chan struct{}
}

// LogStats counts what a log did.
type LogStats struct {
	Records, Batches, Compactions, Failures int
	// Bytes is the size of the segment in use, Live what of it is needed.
	Bytes, Live int
}

type appending struct {
	record Record
	done   chan error
}

// OpenSubmissionLog reads the log in dir and starts a new segment with what of
// it is still needed. A torn end, as a crash in the middle of a write leaves it,
// is cut off: nobody was told that it was kept. Any other fault is ErrCorrupt.
func OpenSubmissionLog(dir string, fs FS) (*SubmissionLog, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, errors.Annotatef(err, "making %s", dir)
	}
	l := &SubmissionLog{
		dir: dir, fs: fs, live: newLiveSet(),
		wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
	}
	if err := l.read(); err != nil {
		return nil, errors.Trace(err)
	}
	if err := l.rebuild(); err != nil {
		return nil, errors.Trace(err)
	}
	go l.commitLoop()
	return l, nil
}

// Replay returns what is kept, in the order of acceptance: for an unfinished
// submission its RecordAccepted and, if tasks were handed out, one RecordHanded
// with all of them; for a finished one its RecordFinished.
func (l *SubmissionLog) Replay() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.live.records()
}

// Stats returns the counts since the log was opened.
func (l *SubmissionLog) Stats() LogStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	s.Live = l.live.bytes
	return s
}

// Append returns nil once the record outlives a crash. Its error is or wraps
// ErrNotKept or ErrUncertain.
func (l *SubmissionLog) Append(ctx context.Context, r Record) error {
	a := &appending{record: r, done: make(chan error, 1)}
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

// Close commits what waits and closes the log.
func (l *SubmissionLog) Close() error {
	l.mu.Lock()
	already := l.closed
	l.closed = true
	l.mu.Unlock()
	if already {
		return nil
	}
	close(l.stop)
	<-l.done
	if l.file == nil {
		return nil
	}
	return errors.Trace(l.file.Close())
}

// commitLoop writes batches until the log is closed and empty.
func (l *SubmissionLog) commitLoop() {
	defer close(l.done)
	for open := true; open; {
		select {
		case <-l.wake:
		case <-l.stop:
			open = false
		}
		for batch := l.take(); len(batch) > 0; batch = l.take() {
			l.commit(batch)
		}
	}
}

// take returns the waiting records that one sync carries.
func (l *SubmissionLog) take() []*appending {
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

func (l *SubmissionLog) commit(batch []*appending) {
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
		if err := l.rebuild(); err != nil {
			return errors.Annotatef(ErrNotKept, "%v", err)
		}
	}
	if err := l.writeBatch(records); err != nil {
		return l.recover(err)
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

// recover follows a failed write. What reached the disk of it is not known, so
// the log goes on in a fresh segment that does not have it; only when that one
// is synced can the records be called not kept.
func (l *SubmissionLog) recover(cause error) error {
	l.mu.Lock()
	l.stats.Failures++
	l.mu.Unlock()
	if err := l.rebuild(); err != nil {
		return errors.Annotatef(ErrUncertain, "%v; then %v", cause, err)
	}
	return errors.Annotatef(ErrNotKept, "%v", cause)
}

// compact rewrites the segment when less than half of it is needed. After a
// failure the next write tries again.
func (l *SubmissionLog) compact() {
	l.mu.Lock()
	due := l.written > compactAbove && 2*l.live.bytes < l.written
	l.mu.Unlock()
	if !due {
		return
	}
	if err := l.rebuild(); err == nil {
		l.mu.Lock()
		l.stats.Compactions++
		l.mu.Unlock()
	}
}
