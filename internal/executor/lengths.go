package executor

import (
	"math"
	"sync/atomic"

	"github.com/puzpuzpuz/xsync/v4"
)

const (
	// firstLength is the first guess of the statements of a transaction.
	firstLength = 4
	// lengthWeight is the weight of the last transaction in the moving average.
	lengthWeight = 0.1
)

// lengths follows how many statements the transactions of each database have. A
// transaction takes that many turns of a target for one success of its caller.
type lengths struct {
	// means maps databases to the bits of a float64.
	means *xsync.Map[string, *atomic.Uint64]
}

func newLengths() lengths {
	return lengths{means: xsync.NewMap[string, *atomic.Uint64]()}
}

// expected returns the statements of a transaction that begins now, its commit
// included.
func (l lengths) expected(database string) float64 {
	mean, ok := l.means.Load(database)
	if !ok {
		return firstLength
	}
	return math.Float64frombits(mean.Load())
}

// note takes in a transaction that has ended.
func (l lengths) note(database string, statements int) {
	first := &atomic.Uint64{}
	first.Store(math.Float64bits(firstLength))
	mean, _ := l.means.LoadOrStore(database, first)
	old := mean.Load()
	next := (1-lengthWeight)*math.Float64frombits(old) + lengthWeight*float64(statements)
	// A note that loses a race to another is not missed.
	mean.CompareAndSwap(old, math.Float64bits(next))
}
