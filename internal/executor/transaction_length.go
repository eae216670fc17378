package executor

import (
	"math"
	"sync/atomic"

	"github.com/puzpuzpuz/xsync/v4"
)

const (
	// initialLength is the assumed number of statements of a database's transactions
	// before one has ended.
	initialLength = 4
	// averageWeight is the weight of the latest transaction in the moving average.
	averageWeight = 0.1
)

// transactionLengths keeps a moving average of the number of statements per transaction
// of each database. Admission uses it as the cost of a transaction, which needs a slot
// once per statement for one success of its caller. It is safe for concurrent use.
type transactionLengths struct {
	// means maps a database name to its average, as the bits of a float64.
	means *xsync.Map[string, *atomic.Uint64]
}

func newTransactionLengths() transactionLengths {
	return transactionLengths{means: xsync.NewMap[string, *atomic.Uint64]()}
}

// expected returns the expected number of statements of a transaction on database, its
// commit included.
func (l transactionLengths) expected(database string) float64 {
	mean, ok := l.means.Load(database)
	if !ok {
		return initialLength
	}
	return math.Float64frombits(mean.Load())
}

// record adds a transaction that has ended to the average of its database.
func (l transactionLengths) record(database string, statements int) {
	first := &atomic.Uint64{}
	first.Store(math.Float64bits(initialLength))
	mean, _ := l.means.LoadOrStore(database, first)
	old := mean.Load()
	next := (1-averageWeight)*math.Float64frombits(old) + averageWeight*float64(statements)
	// Losing a race drops this sample, which hardly changes the average.
	mean.CompareAndSwap(old, math.Float64bits(next))
}
