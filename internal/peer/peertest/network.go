// Package peertest is an in-memory network of entries for tests. It implements
// peer.Mesh with delays, partitions and message loss. It needs no sockets, so it
// runs under testing/synctest.
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

// Network connects nodes. The zero value is ready to use and delivers immediately.
type Network struct {
	// Delay is the one-way delay of every message.
	Delay time.Duration
	// Drop, if set, decides for each message whether it is lost. For the answer
	// to a call, answer is true and from is the answering node.
	Drop func(from, to job.EntryID, kind peer.Kind, answer bool) bool

	mu      sync.Mutex
	nodes   map[job.EntryID]*Node
	blocked map[[2]job.EntryID]bool
	sent    map[peer.Kind]int
}

// Node is one entry on the network.
type Node struct {
	net      *Network
	self     job.Owner
	mu       sync.Mutex
	handlers map[peer.Kind]peer.Handler
	ordered  map[peer.Kind]bool
	queues   map[job.EntryID]chan func()
	removed  chan struct{}
}

var _ peer.Mesh = (*Node)(nil)

// Join adds a node. A node of the same name is replaced.
func (n *Network) Join(self job.Owner) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.nodes == nil {
		n.nodes = map[job.EntryID]*Node{}
		n.blocked = map[[2]job.EntryID]bool{}
		n.sent = map[peer.Kind]int{}
	}
	if old := n.nodes[self.Entry]; old != nil {
		close(old.removed)
	}
	node := &Node{
		net: n, self: self, removed: make(chan struct{}),
		handlers: map[peer.Kind]peer.Handler{}, ordered: map[peer.Kind]bool{},
		queues: map[job.EntryID]chan func(){},
	}
	n.nodes[self.Entry] = node
	return node
}

// Crash removes a node immediately, as a crash does.
func (n *Network) Crash(id job.EntryID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.nodes[id]; old != nil {
		close(old.removed)
		delete(n.nodes, id)
	}
}

// SetBlocked blocks (down is true) or restores the messages from a to b, in this direction
// only.
func (n *Network) SetBlocked(a, b job.EntryID, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]job.EntryID{a, b}] = down
}

// SetPartitioned blocks or restores the messages between a and b in both directions.
func (n *Network) SetPartitioned(a, b job.EntryID, down bool) {
	n.SetBlocked(a, b, down)
	n.SetBlocked(b, a, down)
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

// Sent returns how many messages of the kind were sent, including answers.
func (n *Network) Sent(kind peer.Kind) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[kind]
}

func (n *Network) route(from, to job.EntryID, kind peer.Kind, answer bool) (*Node, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[kind]++
	if n.blocked[[2]job.EntryID{from, to}] {
		return nil, false
	}
	if n.Drop != nil && n.Drop(from, to, kind, answer) {
		return nil, false
	}
	node := n.nodes[to]
	return node, node != nil
}

// running reports whether the node has been neither removed nor replaced. A node
// that is not running answers nothing.
func (d *Node) running() bool {
	select {
	case <-d.removed:
		return false
	default:
		return true
	}
}

// Self returns the node's identity, including its incarnation.
func (d *Node) Self() job.Owner { return d.self }

// Handle sets the handler of a kind.
func (d *Node) Handle(kind peer.Kind, h peer.Handler) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handlers[kind] = h
}

// HandleInOrder sets a handler that receives the messages of each peer one at a
// time.
func (d *Node) HandleInOrder(kind peer.Kind, h peer.Handler) {
	d.Handle(kind, h)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ordered[kind] = true
}

// Call sends a request and waits for its answer. If the node to is missing or
// blocked, Call returns peer.ErrNotSent. If the request or its answer is lost, Call
// waits until ctx ends and returns peer.ErrNoAnswer. While Drop is set, every
// undelivered request counts as lost.
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
		replyTo, ok := d.net.route(to, d.self.Entry, kind, true)
		if !ok || replyTo != d || !node.running() {
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

// deliver passes one message to its handler after the delay.
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

// queue returns the ordered queue of one sender. The caller holds d.mu.
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
			case <-d.removed:
				return
			}
		}
	}()
	return q
}

// LoseAtRandom returns a Drop function that loses the given share of all messages
// at random, with a fixed seed.
func LoseAtRandom(seed uint64, share float64) func(from, to job.EntryID, kind peer.Kind, answer bool) bool {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, seed))
	return func(job.EntryID, job.EntryID, peer.Kind, bool) bool {
		mu.Lock()
		defer mu.Unlock()
		return r.Float64() < share
	}
}
