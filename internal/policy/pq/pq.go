// Package pq is a priority queue from which any item can be removed and in
// which any item's rank can change, each in O(log n). Cancellations and
// occupancy change in the middle of the queues, so container/heap alone, whose
// items don't know their place, would make each of them a search.
package pq

// Node is the place of one item in one queue. An item embeds one Node for each
// queue that it can be in. The zero value is in no queue.
type Node struct{ place int }

// Queued reports whether the item is in the queue.
func (n *Node) Queued() bool { return n.place > 0 }

// Heap holds items with the least first.
type Heap[T any] struct {
	items []T
	less  func(a, b T) bool
	node  func(T) *Node
}

// New returns an empty heap. node returns the item's place in this heap.
func New[T any](less func(a, b T) bool, node func(T) *Node) *Heap[T] {
	return &Heap[T]{less: less, node: node}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// Min returns the least item. It panics on an empty heap.
func (h *Heap[T]) Min() T { return h.items[0] }

// At returns the item at position i of the heap's array: the children of i are
// at 2i+1 and 2i+2 and never less than their parent.
func (h *Heap[T]) At(i int) T { return h.items[i] }

// Push adds an item that is not in the heap.
func (h *Heap[T]) Push(x T) {
	h.items = append(h.items, x)
	h.node(x).place = len(h.items)
	h.up(len(h.items) - 1)
}

// Fix restores the order after the rank of x changed.
func (h *Heap[T]) Fix(x T) {
	i := h.node(x).place - 1
	if !h.down(i) {
		h.up(i)
	}
}

// Remove takes x out, wherever it is; it does nothing for an item that is in
// no queue.
func (h *Heap[T]) Remove(x T) {
	i := h.node(x).place - 1
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	h.node(x).place = 0
	if i < last && !h.down(i) {
		h.up(i)
	}
}

func (h *Heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.node(h.items[i]).place = i + 1
	h.node(h.items[j]).place = j + 1
}

func (h *Heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *Heap[T]) down(i int) bool {
	moved := false
	for {
		least := 2*i + 1
		if least >= len(h.items) {
			return moved
		}
		if r := least + 1; r < len(h.items) && h.less(h.items[r], h.items[least]) {
			least = r
		}
		if !h.less(h.items[least], h.items[i]) {
			return moved
		}
		h.swap(i, least)
		i = least
		moved = true
	}
}
