// Package membudget limits how much memory one kind of data takes over all sessions of a
// daemon.
package membudget

import "sync/atomic"

// Budget is a limit in bytes. A nil budget has no limit. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns the budget of a share of the memory of a VM, in bytes; nil if the memory is not
// known.
func New(memory int64, share float64) *Budget {
	if memory <= 0 {
		return nil
	}
	return &Budget{limit: int64(share * float64(memory))}
}

// Add takes a number of bytes from the budget, or returns some if it is negative. It reports
// false, and takes nothing, if they are more than the budget has left.
func (b *Budget) Add(bytes int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(bytes) > b.limit && bytes > 0 {
		b.used.Add(-bytes)
		return false
	}
	return true
}

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}
