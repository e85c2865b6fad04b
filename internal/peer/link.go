package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const (
	// maxQueuedBytes bounds the bytes queued for one peer. A peer that stops
	// reading would otherwise fill this entry's memory. Two frames of the
	// maximum size fit, so a large job never blocks itself.
	maxQueuedBytes = 2 * MaxFrame
	// DefaultSilence is how long a link may receive nothing before it counts as
	// broken. A partition that drops packets causes no error on the connection.
	// Without this limit, a call would wait for the kernel's retransmission
	// timeout of many minutes.
	DefaultSilence = 5 * time.Second
	// keepaliveInterval is how long a link is idle before it sends a keepalive.
	// Heartbeats are more frequent, so a running fleet sends none. Where not all
	// links carry heartbeats, only a side that handles a call of the other sends
	// keepalives.
	keepaliveInterval = 1500 * time.Millisecond
	// workingInterval is the keepalive interval while the peer waits for an answer.
	workingInterval = 300 * time.Millisecond
	// writeTimeout bounds one write, since a peer may have stopped reading.
	writeTimeout = 5 * time.Second
	// maxHandlers bounds the requests of one peer that are handled concurrently.
	// Further requests are answered as unhandled, which the sender can safely
	// treat as not sent.
	maxHandlers = 16384
)

// kindKeepalive is the kind of keepalive frames.
const kindKeepalive Kind = 0

// outgoing is one queued frame.
type outgoing struct {
	data []byte
	kind Kind
	// handedOff is set once the frame is passed to the socket.
	handedOff bool
	cancelled bool
}

// pending is a call waiting for its answer.
type pending struct {
	out  *outgoing
	done chan result
}

type result struct {
	body cbor.RawMessage
	err  error
}

// link is one live connection to one peer.
type link struct {
	links  *Links
	peer   job.Owner
	conn   *websocket.Conn
	ctx    context.Context
	cancel context.CancelFunc
	// finished is closed when the reader and the writer have ended.
	finished       chan struct{}
	activeHandlers atomic.Int64
	// lastReceived and lastWritten are the times of the last message received and the
	// last write; lastUsed is the time of the last frame in either direction that was
	// not a keepalive. All are in Unix nanoseconds.
	lastReceived, lastWritten, lastUsed atomic.Int64

	mu          sync.Mutex
	queue       []*outgoing
	queuedBytes int
	// writing is set while dequeued frames are being written to the socket.
	writing bool
	broken  bool
	calls   map[uint64]*pending
	// waitingSince is when calls last became non-empty.
	waitingSince time.Time
	wake         chan struct{}
	nextID       atomic.Uint64
}

func newLink(links *Links, peer job.Owner, conn *websocket.Conn) *link {
	ctx, cancel := context.WithCancel(context.Background())
	conn.SetReadLimit(maxMessageBytes)
	l := &link{
		links: links, peer: peer, conn: conn, ctx: ctx, cancel: cancel,
		finished: make(chan struct{}), calls: map[uint64]*pending{}, wake: make(chan struct{}, 1),
	}
	now := time.Now().UnixNano()
	l.lastReceived.Store(now)
	l.lastUsed.Store(now)
	return l
}

// run serves the link until it breaks.
func (l *link) run() error {
	var wg sync.WaitGroup
	wg.Go(l.write)
	err := l.read()
	l.abort()
	wg.Wait()
	close(l.finished)
	return err
}

// abort closes the link immediately. Calls whose frame was never passed to the
// socket fail with ErrNotSent; all others fail with ErrNoAnswer, because the peer
// may have acted.
func (l *link) abort() {
	l.mu.Lock()
	calls := l.calls
	if !l.broken {
		l.broken = true
		l.cancel()
	}
	l.calls = map[uint64]*pending{}
	for _, p := range calls {
		if p.out.handedOff {
			p.done <- result{err: errors.Annotatef(ErrNoAnswer, "the link to %s broke", l.peer.Entry)}
			continue
		}
		p.out.cancelled = true
		p.done <- result{err: errors.Annotatef(ErrNotSent, "the link to %s broke", l.peer.Entry)}
	}
	l.mu.Unlock()
	_ = l.conn.CloseNow()
}

// enqueue queues a frame for the writer. p is nil for a frame that expects no
// answer.
func (l *link) enqueue(f *frame, p *pending) (*outgoing, error) {
	f.Stamp = l.links.now()
	if p != nil {
		f.Call = l.nextID.Add(1)
	}
	data, err := encodeFrame(f)
	if err != nil {
		return nil, errors.Annotatef(ErrNotSent, "%v", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken {
		return nil, errors.Annotatef(ErrNotSent, "the link to %s is down", l.peer.Entry)
	}
	if l.queuedBytes+len(data) > maxQueuedBytes {
		return nil, errors.Annotatef(ErrNotSent, "%d bytes are already queued for %s", l.queuedBytes, l.peer.Entry)
	}
	out := &outgoing{data: data, kind: f.Kind}
	l.queue = append(l.queue, out)
	l.queuedBytes += len(data)
	if p != nil {
		if len(l.calls) == 0 {
			l.waitingSince = time.Now()
		}
		p.out = out
		l.calls[f.Call] = p
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return out, nil
}

// call sends a request and waits for its answer.
func (l *link) call(ctx context.Context, kind Kind, body []byte) (cbor.RawMessage, error) {
	p := &pending{done: make(chan result, 1)}
	f := &frame{Kind: kind, Body: body}
	if _, err := l.enqueue(f, p); err != nil {
		return nil, err
	}
	select {
	case r := <-p.done:
		return r.body, r.err
	case <-ctx.Done():
		return nil, l.abandon(f.Call, p, ctx.Err())
	}
}

// abandon cancels a call. A frame that is still queued is cancelled too, which
// proves that it was not sent.
func (l *link) abandon(id uint64, p *pending, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, id)
	if p.out.handedOff {
		return errors.Annotatef(ErrNoAnswer, "%s: %v", l.peer.Entry, cause)
	}
	p.out.cancelled = true
	return errors.Annotatef(ErrNotSent, "%s: %v", l.peer.Entry, cause)
}

// dequeue appends the frames of one write to buf and marks them as handed off to
// the socket. From then on nothing can prove that they did not arrive.
func (l *link) dequeue(buf []byte) (batch []byte, more bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, out := range l.queue {
		if len(buf) > 0 && len(buf)+len(out.data) > coalesceBytes {
			break
		}
		n++
		l.queuedBytes -= len(out.data)
		if out.cancelled {
			continue
		}
		out.handedOff = true
		l.recordUse(out.kind)
		buf = append(buf, out.data...)
		l.links.stats.add(out.kind, false, len(out.data))
	}
	clear(l.queue[:n])
	l.queue = l.queue[n:]
	l.writing = len(buf) > 0
	return buf, len(l.queue) > 0
}

// write is the only writer of the connection.
func (l *link) write() {
	defer l.abort()
	idle := time.NewTimer(keepaliveInterval)
	defer idle.Stop()
	var buf []byte
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.wake:
		case <-idle.C:
			if l.links.sparse() {
				continue
			}
			l.sendKeepalive()
		}
		for more := true; more; {
			buf, more = l.dequeue(buf[:0])
			if len(buf) == 0 {
				continue
			}
			if err := l.flush(buf); err != nil {
				return
			}
			more = true // continue until dequeue finds the queue empty and clears writing
		}
		if cap(buf) > 2*coalesceBytes {
			buf = nil
		}
		idle.Reset(keepaliveInterval)
	}
}

func (l *link) flush(buf []byte) error {
	l.lastWritten.Store(time.Now().UnixNano())
	ctx, cancel := context.WithTimeout(l.ctx, writeTimeout)
	defer cancel()
	return errors.Trace(l.conn.Write(ctx, websocket.MessageBinary, buf))
}

// closeGracefully closes the link after the peer has read everything queued, or
// when ctx ends. Closing immediately would reset the connection and destroy data
// that the peer has not read yet. The closing handshake confirms that the peer has
// read it.
func (l *link) closeGracefully(ctx context.Context) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		l.waitDrained(ctx)
		_ = l.conn.Close(websocket.StatusGoingAway, "stopping")
	}()
	select {
	case <-closed:
	case <-ctx.Done():
	}
	l.abort()
	<-l.finished
}

// waitDrained waits until all queued frames have been written to the socket.
func (l *link) waitDrained(ctx context.Context) {
	const poll = 2 * time.Millisecond
	for ctx.Err() == nil {
		l.mu.Lock()
		empty := len(l.queue) == 0 && !l.writing || l.broken
		l.mu.Unlock()
		if empty {
			return
		}
		time.Sleep(poll)
	}
}

// read is the only reader of the connection.
func (l *link) read() error {
	for {
		message, err := l.readMessage()
		if err != nil {
			return errors.Trace(err)
		}
		if err := decodeFrames(message, l.dispatch); err != nil {
			return errors.Trace(err)
		}
	}
}

// readMessage returns the next message. It has no timeout of its own: monitorLinks
// detects an unresponsive link and aborts it, which ends the read.
func (l *link) readMessage() ([]byte, error) {
	_, message, err := l.conn.Read(context.Background())
	l.lastReceived.Store(time.Now().UnixNano())
	return message, errors.Trace(err)
}

func (l *link) dispatch(f *frame, length int) {
	l.links.stats.add(f.Kind, true, length)
	l.links.observe(f.Stamp)
	l.recordUse(f.Kind)
	switch {
	case f.Kind == kindKeepalive:
	case f.Answer:
		l.handleAnswer(f)
	default:
		l.handle(f)
	}
}

// recordUse updates lastUsed unless the frame is a keepalive.
func (l *link) recordUse(k Kind) {
	if k != kindKeepalive {
		l.lastUsed.Store(time.Now().UnixNano())
	}
}

// idleTime returns how long the link has carried nothing but keepalives. It returns
// zero while a call waits for its answer or a handler runs.
func (l *link) idleTime() time.Duration {
	l.mu.Lock()
	calls := len(l.calls)
	l.mu.Unlock()
	if calls > 0 || l.activeHandlers.Load() > 0 {
		return 0
	}
	return time.Since(time.Unix(0, l.lastUsed.Load()))
}

// sendKeepalive shows the peer that this side is alive.
func (l *link) sendKeepalive() { _, _ = l.enqueue(&frame{Kind: kindKeepalive}, nil) }

// unresponsive reports whether the link has received nothing for too long: either the
// traffic that the peer should send by itself is overdue, or a call is waiting and not even
// a keepalive arrives.
func (l *link) unresponsive(now time.Time, timeout time.Duration) bool {
	last := time.Unix(0, l.lastReceived.Load())
	since, within := l.links.expects(l.peer.Entry)
	if within > 0 && now.Sub(later(last, since)) > within {
		return true
	}
	l.mu.Lock()
	waiting, waitingSince := len(l.calls) > 0, l.waitingSince
	l.mu.Unlock()
	return waiting && now.Sub(later(last, waitingSince)) > timeout
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (l *link) handleAnswer(f *frame) {
	l.mu.Lock()
	p := l.calls[f.Call]
	delete(l.calls, f.Call)
	l.mu.Unlock()
	if p == nil {
		return // the call was cancelled in the meantime
	}
	r := result{body: f.Body}
	switch f.Code {
	case codeNone:
	case codeUnhandled:
		r.err = errors.Annotatef(ErrNotSent, "%s did not handle the request: %s", l.peer.Entry, f.Error)
	default:
		r.err = errors.Annotatef(ErrRejected, "%s: %s", l.peer.Entry, f.Error)
	}
	p.done <- r
}

// handle runs the handler of a request. Kinds that are handled in order run in the
// calling goroutine, others in their own.
func (l *link) handle(f *frame) {
	h, ordered := l.links.handler(f.Kind)
	if h == nil {
		l.answer(f, nil, codeUnhandled, errors.Errorf("no handler for kind %d", f.Kind))
		return
	}
	if ordered {
		l.runHandler(f, h)
		return
	}
	if l.activeHandlers.Add(1) > maxHandlers {
		l.activeHandlers.Add(-1)
		l.answer(f, nil, codeUnhandled, errors.New("too many requests at once"))
		return
	}
	go func() {
		defer l.activeHandlers.Add(-1)
		if f.Call != 0 {
			defer l.keepaliveWhileHandling()()
		}
		l.runHandler(f, h)
	}()
}

// keepaliveWhileHandling sends keepalives to a peer that waits for an answer, until the
// returned function is called. It sends none if another write has taken place within
// workingInterval.
func (l *link) keepaliveWhileHandling() (end func()) {
	var mu sync.Mutex
	ended := false
	var timer *time.Timer
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(workingInterval, func() {
		mu.Lock()
		defer mu.Unlock()
		if ended {
			return
		}
		if time.Since(time.Unix(0, l.lastWritten.Load())) >= workingInterval {
			l.sendKeepalive()
		}
		timer.Reset(workingInterval)
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		ended = true
		timer.Stop()
	}
}

func (l *link) runHandler(f *frame, h Handler) {
	value, err := h(l.ctx, l.peer, f.Body)
	l.answer(f, value, codeRejected, err)
}

// answer sends the answer to a call. If it can't be queued, the link is aborted:
// the caller would otherwise wait forever on a working link.
func (l *link) answer(f *frame, value any, failure code, err error) {
	if f.Call == 0 {
		return
	}
	reply := &frame{Kind: f.Kind, Call: f.Call, Answer: true}
	if err == nil {
		reply.Body, err = cbor.Marshal(value)
	}
	if err == nil && len(reply.Body) > MaxFrame-answerOverhead {
		err = errors.Errorf("answer of %d bytes", len(reply.Body))
	}
	if err != nil {
		reply.Body, reply.Code, reply.Error = nil, failure, err.Error()
	}
	if _, err := l.enqueue(reply, nil); err != nil {
		l.abort()
	}
}

// answerOverhead is the most that a frame adds to its body, in bytes.
const answerOverhead = 64
