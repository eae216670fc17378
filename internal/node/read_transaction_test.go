package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a home that ends with all its sessions: a write in a transaction that was begun
// for reads ran at the primary, and COMMIT dereferenced the leader that such a transaction has
// none of.
func TestWriteInReadTransaction(t *testing.T) {
	Convey("A write in a transaction for reads is refused, whichever target runs the transaction", t, func() {
		tc := newTestCluster(t, "north", "south")
		for _, lag := range []time.Duration{0, time.Hour} {
			tc.group.SetLag(1, lag)
			tc.group.SetLag(2, lag)
			for _, database := range []string{dbSession, dbBounded, dbCurrent} {
				c := tc.connect(tc.nodes[1], database)
				So(c.Query("WRITE before x").OK(), ShouldBeTrue)
				for _, statements := range [][]string{{"WRITE k v"}, {"READ before", "WRITE k v"}, {"PREPARE p WRITE shape", "EXEC p k v"}} {
					c.Query("BEGIN READ")
					for _, text := range statements[:len(statements)-1] {
						So(c.Query(text).Completion, ShouldStartWith, "DONE")
					}
					last := c.Query(statements[len(statements)-1])
					So(last.Code(), ShouldEqual, "READONLY")
					So(tc.group.RunCount(last.ID), ShouldEqual, 0)
					So(c.Query("COMMIT").Code(), ShouldEqual, "ABORTED")
					So(c.Query("READ k").Rows, ShouldNotResemble, []string{"v"})
				}
				So(tc.group.Committed("k"), ShouldBeEmpty)
			}
		}
	})
}
