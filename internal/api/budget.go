package api

import "sync/atomic"

// ByteBudget bounds the bytes that submissions hold in memory together.
// Without it a burst of large bodies ends the process on a small VM, and with
// it every submission that the process works on.
type ByteBudget struct {
	limit int64
	used  atomic.Int64
}

// NewByteBudget returns a budget of limit bytes.
func NewByteBudget(limit int64) *ByteBudget { return &ByteBudget{limit: limit} }

// Take takes n bytes and reports whether they were there.
func (b *ByteBudget) Take(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// Give returns n bytes that were taken.
func (b *ByteBudget) Give(n int64) { b.used.Add(-n) }

// Used returns the bytes that are taken.
func (b *ByteBudget) Used() int64 { return b.used.Load() }
