package backend

import (
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/catalog"
)

// Guards against transactions that hold all connections of a home: while a target had few
// connections left, single statements waited in vain for the pauses of transactions.
func TestTransactionsLeaveAConnection(t *testing.T) {
	Convey("However many transactions are open, single statements get a connection at once", t, func() {
		const limit, transactions, statements = 4, 20, 50
		target := NewTarget(catalog.Target{ID: "i-1", Slots: 2}, &cappedDialer{free: limit})
		target.Pool.SetLimits(1, limit)
		var wg sync.WaitGroup
		held := make(chan *PooledConn, transactions)
		for range transactions {
			wg.Go(func() {
				until := time.Now().Add(10 * handshakeTime)
				if !target.Pool.ReserveTransaction(until) {
					return
				}
				c, verdict := target.Pool.Acquire(1, 0, until)
				if verdict != Acquired {
					target.Pool.CancelTransaction()
					return
				}
				target.Pool.Pin(c, "")
				held <- c
			})
		}
		wg.Wait()
		So(len(held), ShouldEqual, limit-1)
		for range statements {
			c, verdict := target.Pool.Acquire(2, 0, time.Now().Add(10*handshakeTime))
			So(verdict, ShouldEqual, Acquired)
			target.Pool.Release(c)
		}
		Convey("and a transaction begins when another one ends", func() {
			So(target.Pool.ReserveTransaction(time.Now()), ShouldBeFalse)
			time.AfterFunc(handshakeTime, func() { target.Pool.Discard(<-held) })
			So(target.Pool.ReserveTransaction(time.Now().Add(time.Second)), ShouldBeTrue)
		})
	})
	Convey("While the target has no room, the open connections count", t, func() {
		So(transactionLimit(3, 7, true), ShouldEqual, 2)
		So(transactionLimit(3, 7, false), ShouldEqual, 6)
		So(transactionLimit(0, 7, true), ShouldEqual, 1)
		So(transactionLimit(1, 2, true), ShouldEqual, 1)
	})
}
