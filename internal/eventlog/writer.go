// Package eventlog writes the events of a process as JSON lines, within a rate budget
// and without ever blocking the work that it logs.
//
// The expected load is hundreds of jobs a second, each with a dozen events, on a
// fraction of a processor, and a log reader that may stop reading. Without a budget,
// logging would cost more than the work itself. Without a buffer, a reader that stops
// would block the process.
package eventlog

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBuffered bounds the bytes that wait for the reader. It holds some seconds of
	// output at the full budget.
	maxBuffered = 256 << 10
	// flushInterval is how long lines are collected before they are written together.
	flushInterval = 50 * time.Millisecond
	// maxWrite bounds one write, in bytes. A pipe accepts no more atomically (PIPE_BUF
	// on Linux). Readers that process one chunk at a time truncate a longer one, and
	// the last lines of a burst are often those that explain it.
	maxWrite = 4 << 10
)

// Writer is an io.Writer that never blocks. It drops and counts lines that do not fit
// into its buffer.
type Writer struct {
	out     io.Writer
	dropped atomic.Uint64
	wake    chan struct{}
	done    chan struct{}
	stopped chan struct{}

	mu     sync.Mutex
	buffer []byte
	closed bool
}

// NewWriter returns a writer to out and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{}), stopped: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It buffers a line whole or drops it.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.buffer)+len(line) > maxBuffered {
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	first := len(w.buffer) == 0
	w.buffer = append(w.buffer, line...)
	w.mu.Unlock()
	if first {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.stopped)
	var spare []byte
	for {
		select {
		case <-w.wake:
		case <-w.done:
			w.flush(spare)
			return
		}
		select {
		case <-time.After(flushInterval):
		case <-w.done:
		}
		spare = w.flush(spare)
	}
}

// flush writes the buffered lines and returns their buffer for reuse.
func (w *Writer) flush(spare []byte) []byte {
	w.mu.Lock()
	lines := w.buffer
	w.buffer = spare[:0]
	w.mu.Unlock()
	for rest := lines; len(rest) > 0; {
		chunk := wholeLines(rest)
		rest = rest[len(chunk):]
		if _, err := w.out.Write(chunk); err != nil {
			// The reader is gone, so the lines can only be counted.
			w.dropped.Add(1)
		}
	}
	return lines
}

// wholeLines returns the leading lines that fit into one write. A first line longer
// than maxWrite is returned alone.
func wholeLines(lines []byte) []byte {
	if len(lines) <= maxWrite {
		return lines
	}
	if end := bytes.LastIndexByte(lines[:maxWrite], '\n'); end >= 0 {
		return lines[:end+1]
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return lines[:end+1]
	}
	return lines
}

// closeTimeout bounds how long Close waits for the reader.
const closeTimeout = 200 * time.Millisecond

// Close flushes the buffer. It returns after closeTimeout even if the reader has not
// read everything.
func (w *Writer) Close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	w.mu.Unlock()
	close(w.done)
	select {
	case <-w.stopped:
	case <-time.After(closeTimeout):
	}
}
