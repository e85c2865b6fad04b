package api

import "sync/atomic"

// ByteBudget bounds the total number of bytes that submissions hold in memory.
// Without it, a burst of large bodies exhausts the memory of a small VM: the
// process ends, and every submission it works on is lost.
type ByteBudget struct {
	limit int64
	used  atomic.Int64
}

// NewByteBudget returns a budget of limit bytes.
func NewByteBudget(limit int64) *ByteBudget { return &ByteBudget{limit: limit} }

// Reserve reserves n bytes. It reports false, and reserves nothing, if fewer than n
// bytes are free.
func (b *ByteBudget) Reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// Release releases n reserved bytes.
func (b *ByteBudget) Release(n int64) { b.used.Add(-n) }

// Used returns the number of reserved bytes.
func (b *ByteBudget) Used() int64 { return b.used.Load() }

// Limit returns the number of bytes that can be reserved at once.
func (b *ByteBudget) Limit() int64 { return b.limit }

// reservation is the part of a budget that one request holds. Only the goroutine of the
// request uses it.
type reservation struct {
	budget *ByteBudget
	bytes  int64
}

// resize changes the reservation to n bytes. It reports false, and changes nothing, if it
// would grow beyond the free bytes of the budget.
func (r *reservation) resize(n int64) bool {
	if n > r.bytes && !r.budget.Reserve(n-r.bytes) {
		return false
	}
	if n < r.bytes {
		r.budget.Release(r.bytes - n)
	}
	r.bytes = n
	return true
}

// release releases the whole reservation.
func (r *reservation) release() { r.resize(0) }
