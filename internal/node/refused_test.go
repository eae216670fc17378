package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/membership"
	"github.com/laburnumrack/laburnumrack/internal/standin/site"
)

// Guards against a daemon that can't start while the store refuses its VM: after all
// processes had been killed, three of eight daemons served nobody for 4 s although their
// neighbors had everything that they lacked.
func TestStartWhileStoreRefusesVM(t *testing.T) {
	Convey("A daemon that the store refuses starts with what its neighbors know", t, func() {
		tc := newTestCluster(t, "north", "south")
		refusing, err := site.NewStore("127.0.0.1")
		So(err, ShouldBeNil)
		t.Cleanup(refusing.Close)
		refusing.SetFault(site.Unavailable)
		tc.refusingStore = refusing.Address
		refused := tc.start("vm-refused", "north")
		// The VM has been registered before.
		tc.store.Put(string(membership.KindVM), "vm-refused", map[string]any{"address": refused.members.Self().Peer.String(), "failure_domain": "north"})
		tc.eventually(4*time.Second, "the refused daemon is ready", refused.Ready)
		c := tc.connect(refused, dbCurrent)
		tc.eventually(3*time.Second, "writes succeed", func() bool { return c.Query("WRITE k v").OK() })
		So(c.Query("READ k").Rows, ShouldResemble, []string{"v"})
	})
}
