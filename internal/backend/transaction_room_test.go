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
				if !target.Pool.ReserveTransaction("", until) {
					return
				}
				c, verdict := target.Pool.Acquire(1, 0, until)
				if verdict != Acquired {
					target.Pool.CancelTransaction("")
					return
				}
				target.Pool.Pin(c)
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
			So(target.Pool.ReserveTransaction("", time.Now()), ShouldBeFalse)
			time.AfterFunc(handshakeTime, func() { target.Pool.Discard(<-held) })
			So(target.Pool.ReserveTransaction("", time.Now().Add(time.Second)), ShouldBeTrue)
		})
	})
	Convey("While the target has no room, the open connections count", t, func() {
		So(transactionLimit(3, 7, true), ShouldEqual, 2)
		So(transactionLimit(3, 7, false), ShouldEqual, 6)
		So(transactionLimit(0, 7, true), ShouldEqual, 1)
		So(transactionLimit(1, 2, true), ShouldEqual, 1)
	})
}

// Guards against a tenant whose many waiting transactions keep those of others from
// beginning: with the order of arrival, they waited behind all of them.
func TestTransactionsOfTenants(t *testing.T) {
	Convey("A transaction of a tenant with none goes before the waiting ones of another", t, func() {
		const limit, waiting = 3, 10
		r := &transactionRoom{}
		r.setLimit(limit)
		for range limit {
			So(r.reserve("large", time.Now()), ShouldBeTrue)
		}
		began := make(chan string, waiting+1)
		var wg sync.WaitGroup
		wait := func(tenant string) {
			wg.Go(func() {
				if r.reserve(tenant, time.Now().Add(10*time.Second)) {
					began <- tenant
				}
			})
		}
		arrived := func(n int) bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return len(r.waiters) == n
		}
		for n := range waiting {
			wait("large")
			for !arrived(n + 1) {
				time.Sleep(time.Millisecond)
			}
		}
		wait("small")
		for !arrived(waiting + 1) {
			time.Sleep(time.Millisecond)
		}
		r.release("large")
		So(<-began, ShouldEqual, "small")
		r.setLimit(limit + waiting)
		wg.Wait()
		So(began, ShouldHaveLength, waiting)
	})
}
