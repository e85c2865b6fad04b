// Package peertest is a network of entries in memory, for tests: it implements
// peer.Mesh with delays, cuts and lost answers and needs no sockets, so it runs
// under testing/synctest.
package peertest

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
)

// Network joins nodes. The zero value is ready to use and delivers at once.
type Network struct {
	// Delay is the one-way delay of every message.
	Delay time.Duration
	// Drop, when set, decides for each message whether it is lost. For answers
	// of calls answer is true and from is the answering node.
	Drop func(from, to job.EntryID, kind peer.Kind, answer bool) bool

	mu    sync.Mutex
	nodes map[job.EntryID]*Node
	cut   map[[2]job.EntryID]bool
	sent  map[peer.Kind]int
}

// Node is one entry on the network.
type Node struct {
	net      *Network
	self     job.Owner
	mu       sync.Mutex
	handlers map[peer.Kind]peer.Handler
	ordered  map[peer.Kind]bool
	queues   map[job.EntryID]chan func()
	stopped  chan struct{}
}

var _ peer.Mesh = (*Node)(nil)

// Join adds a node. Joining again under the same name replaces the earlier life.
func (n *Network) Join(self job.Owner) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.nodes == nil {
		n.nodes = map[job.EntryID]*Node{}
		n.cut = map[[2]job.EntryID]bool{}
		n.sent = map[peer.Kind]int{}
	}
	if old := n.nodes[self.Entry]; old != nil {
		close(old.stopped)
	}
	node := &Node{
		net: n, self: self, stopped: make(chan struct{}),
		handlers: map[peer.Kind]peer.Handler{}, ordered: map[peer.Kind]bool{},
		queues: map[job.EntryID]chan func(){},
	}
	n.nodes[self.Entry] = node
	return node
}

// Leave removes a node at once, as a crash does.
func (n *Network) Leave(id job.EntryID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.nodes[id]; old != nil {
		close(old.stopped)
		delete(n.nodes, id)
	}
}

// Cut stops or restores the messages from a to b (one direction).
func (n *Network) Cut(a, b job.EntryID, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]job.EntryID{a, b}] = down
}

// CutBoth stops or restores the messages between a and b.
func (n *Network) CutBoth(a, b job.EntryID, down bool) {
	n.Cut(a, b, down)
	n.Cut(b, a, down)
}

// SetDrop replaces Drop while the network is in use.
func (n *Network) SetDrop(drop func(from, to job.EntryID, kind peer.Kind, answer bool) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Drop = drop
}

// SetDelay replaces Delay while the network is in use.
func (n *Network) SetDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Delay = d
}

func (n *Network) delay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Delay
}

func (n *Network) dropping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Drop != nil
}

// Sent returns how many messages of the kind were sent, answers included.
func (n *Network) Sent(kind peer.Kind) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[kind]
}

func (n *Network) route(from, to job.EntryID, kind peer.Kind, answer bool) (*Node, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[kind]++
	if n.cut[[2]job.EntryID{from, to}] {
		return nil, false
	}
	if n.Drop != nil && n.Drop(from, to, kind, answer) {
		return nil, false
	}
	node := n.nodes[to]
	return node, node != nil
}

// running reports whether the node has neither left nor been replaced: the
// dead answer nothing.
func (d *Node) running() bool {
	select {
	case <-d.stopped:
		return false
	default:
		return true
	}
}

// Self returns the node's life.
func (d *Node) Self() job.Owner { return d.self }

// Handle sets the handler of a kind.
func (d *Node) Handle(kind peer.Kind, h peer.Handler) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handlers[kind] = h
}

// HandleInOrder sets a handler that gets one message of a peer at a time.
func (d *Node) HandleInOrder(kind peer.Kind, h peer.Handler) {
	d.Handle(kind, h)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ordered[kind] = true
}

// Call sends a request and waits for its answer. A node that is not there, or a
// cut before the request leaves, gives peer.ErrNotSent; a lost request or
// answer waits until ctx ends and gives peer.ErrNoAnswer.
func (d *Node) Call(ctx context.Context, to job.EntryID, kind peer.Kind, req, resp any) error {
	body, err := cbor.Marshal(req)
	if err != nil {
		return errors.Annotatef(peer.ErrRejected, "encoding: %v", err)
	}
	if !d.running() {
		<-ctx.Done()
		return errors.Annotatef(peer.ErrNoAnswer, "%s has left", d.self.Entry)
	}
	node, ok := d.net.route(d.self.Entry, to, kind, false)
	if !ok {
		if !d.net.dropping() {
			return errors.Annotatef(peer.ErrNotSent, "to %s", to)
		}
		<-ctx.Done()
		return errors.Annotatef(peer.ErrNoAnswer, "to %s: %v", to, ctx.Err())
	}
	type result struct {
		body []byte
		err  error
	}
	done := make(chan result, 1)
	node.deliver(d.self, kind, body, d.net.delay(), func(value any, err error) {
		back, ok := d.net.route(to, d.self.Entry, kind, true)
		if !ok || back != d || !node.running() {
			return
		}
		var b []byte
		if err == nil {
			b, err = cbor.Marshal(value)
		}
		time.Sleep(d.net.delay())
		done <- result{b, err}
	})
	select {
	case r := <-done:
		if r.err != nil {
			return errors.Annotatef(peer.ErrRejected, "%s: %v", to, r.err)
		}
		if resp == nil {
			return nil
		}
		if err := cbor.Unmarshal(r.body, resp); err != nil {
			return errors.Annotatef(peer.ErrNoAnswer, "decoding: %v", err)
		}
		return nil
	case <-ctx.Done():
		return errors.Annotatef(peer.ErrNoAnswer, "to %s: %v", to, ctx.Err())
	}
}

// Send sends a message that expects no answer.
func (d *Node) Send(to job.EntryID, kind peer.Kind, msg any) error {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return errors.Annotatef(peer.ErrRejected, "encoding: %v", err)
	}
	if !d.running() {
		return errors.Annotatef(peer.ErrNotSent, "%s has left", d.self.Entry)
	}
	node, ok := d.net.route(d.self.Entry, to, kind, false)
	if !ok {
		return errors.Annotatef(peer.ErrNotSent, "to %s", to)
	}
	node.deliver(d.self, kind, body, d.net.delay(), nil)
	return nil
}

// deliver hands one message to its handler after the delay.
func (d *Node) deliver(from job.Owner, kind peer.Kind, body []byte, delay time.Duration, answer func(any, error)) {
	d.mu.Lock()
	h, ordered := d.handlers[kind], d.ordered[kind]
	var queue chan func()
	if ordered {
		queue = d.queue(from.Entry)
	}
	d.mu.Unlock()
	run := func() {
		if h == nil {
			if answer != nil {
				answer(nil, errors.NotSupportedf("message kind %d", kind))
			}
			return
		}
		value, err := h(context.Background(), from, body)
		if answer != nil {
			answer(value, err)
		}
	}
	if ordered {
		at := time.Now().Add(delay)
		queue <- func() { time.Sleep(time.Until(at)); run() }
		return
	}
	go func() {
		time.Sleep(delay)
		run()
	}()
}

// queue returns the ordered queue of one sender; the caller holds d.mu.
func (d *Node) queue(from job.EntryID) chan func() {
	q := d.queues[from]
	if q != nil {
		return q
	}
	const depth = 4096
	q = make(chan func(), depth)
	d.queues[from] = q
	go func() {
		for {
			select {
			case f := <-q:
				f()
			case <-d.stopped:
				return
			}
		}
	}()
	return q
}

// LoseAtRandom returns a Drop function that loses a share of all messages, by a
// fixed seed.
func LoseAtRandom(seed uint64, share float64) func(from, to job.EntryID, kind peer.Kind, answer bool) bool {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, seed))
	return func(job.EntryID, job.EntryID, peer.Kind, bool) bool {
		mu.Lock()
		defer mu.Unlock()
		return r.Float64() < share
	}
}
