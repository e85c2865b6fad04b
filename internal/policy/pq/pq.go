// Package pq provides a priority queue in which any item can be removed and any item's
// rank can change, each in O(log n). Cancellations and changes in occupancy affect items
// in the middle of the queues. With container/heap alone, each of them would need a
// search, because its items do not know their position.
package pq

// Node is the position of one item in one queue, counted from 1. An item contains one
// Node for each queue that it can be in. The zero value is in no queue.
type Node struct{ position int }

// Queued reports whether the item is in the queue.
func (n *Node) Queued() bool { return n.position > 0 }

// Heap is a binary heap with the least item first.
type Heap[T any] struct {
	items []T
	less  func(a, b T) bool
	node  func(T) *Node
}

// New returns an empty heap. node returns the item's Node for this heap.
func New[T any](less func(a, b T) bool, node func(T) *Node) *Heap[T] {
	return &Heap[T]{less: less, node: node}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// Min returns the least item. It panics if the heap is empty.
func (h *Heap[T]) Min() T { return h.items[0] }

// At returns the item at index i of the heap's array. The children of the item at i are
// at 2i+1 and 2i+2 and are never less than it.
func (h *Heap[T]) At(i int) T { return h.items[i] }

// Push adds an item that is not in the heap.
func (h *Heap[T]) Push(x T) {
	h.items = append(h.items, x)
	h.node(x).position = len(h.items)
	h.up(len(h.items) - 1)
}

// Fix restores the order after the rank of x has changed.
func (h *Heap[T]) Fix(x T) {
	i := h.node(x).position - 1
	if !h.down(i) {
		h.up(i)
	}
}

// Remove removes x from any position. It does nothing if x is not in the heap.
func (h *Heap[T]) Remove(x T) {
	i := h.node(x).position - 1
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	h.node(x).position = 0
	if i < last && !h.down(i) {
		h.up(i)
	}
}

func (h *Heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.node(h.items[i]).position = i + 1
	h.node(h.items[j]).position = j + 1
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
