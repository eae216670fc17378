// Package position defines positions in the replicated log of a database group.
//
// Logs of different terms may diverge, so positions are ordered by the term of the
// entry first and by its index second. Indexes of different terms aren't comparable.
package position

import "fmt"

// Term numbers the successive primaries of one database group; each promotion starts a
// new term. Zero is no term.
type Term uint64

// Position identifies a log entry by the term in which it was written and its index
// in the log. The zero Position precedes every entry.
type Position struct {
	Term  Term   `cbor:"1,keyasint,omitempty" json:"term"`
	Index uint64 `cbor:"2,keyasint,omitempty" json:"index"`
}

// IsZero reports whether p is the zero Position.
func (p Position) IsZero() bool {
	return p == Position{}
}

// Compare returns -1 if p is before q, 0 if they are equal and +1 if p is after q.
func (p Position) Compare(q Position) int {
	switch {
	case p.Term != q.Term:
		return cmp(uint64(p.Term), uint64(q.Term))
	default:
		return cmp(p.Index, q.Index)
	}
}

// Covers reports whether a log that ends at p holds all confirmed entries up to q.
func (p Position) Covers(q Position) bool {
	return p.Compare(q) >= 0
}

// Max returns the later of p and q.
func Max(p, q Position) Position {
	if p.Compare(q) >= 0 {
		return p
	}
	return q
}

// String formats p as term/index.
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Term, p.Index)
}

func cmp(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
