// Package eventlog writes what a process decides as JSON lines, within a budget
// and without ever blocking the work that it tells of.
//
// The load pattern is hundreds of jobs a second, each with a dozen events, on a
// fraction of a processor, and a reader of the lines that may stop reading.
// Without a budget the lines cost more than the work; without a buffer of its own a
// reader that stops would stop the process.
package eventlog

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBuffered bounds the bytes that wait for the reader: some seconds of the
	// whole budget.
	maxBuffered = 256 << 10
	// flushEvery joins the lines of a moment into one write.
	flushEvery = 50 * time.Millisecond
	// maxWrite bounds one write, in bytes: a pipe takes no more of it as a whole
	// (PIPE_BUF of Linux). Readers that take one piece at a time cut a longer one off,
	// and the lines that say why are the last of a busy moment.
	maxWrite = 4 << 10
)

// Writer is an io.Writer that never blocks: what finds the buffer full is dropped
// and counted.
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

// Write implements io.Writer. It takes one whole line or drops it.
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

// Dropped returns how many lines found the buffer full.
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
		case <-time.After(flushEvery):
		case <-w.done:
		}
		spare = w.flush(spare)
	}
}

// flush writes what waits and returns the buffer for use again.
func (w *Writer) flush(spare []byte) []byte {
	w.mu.Lock()
	lines := w.buffer
	w.buffer = spare[:0]
	w.mu.Unlock()
	for rest := lines; len(rest) > 0; {
		piece := wholeLines(rest)
		rest = rest[len(piece):]
		if _, err := w.out.Write(piece); err != nil {
			// Nobody reads any more; the count is all that can be kept.
			w.dropped.Add(1)
		}
	}
	return lines
}

// wholeLines returns the lines from the beginning that fit into one write; a line that is
// longer by itself goes alone.
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

// closeTime bounds how long the last lines wait for their reader.
const closeTime = 200 * time.Millisecond

// Close writes what waits, unless the reader does not read it in time.
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
	case <-time.After(closeTime):
	}
}
