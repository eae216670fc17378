package node

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a promotion beside a healthy primary. After an outage in which the
// entries of targets expired, they come back one by one; a daemon that had seen only one
// replica promoted it.
func TestPartialList(t *testing.T) {
	Convey("Nothing is promoted while entries of targets may still come back", t, func() {
		tc := newTestCluster(t)
		entry := func(i int) map[string]any {
			var e map[string]any
			data, err := json.Marshal(tc.group.ServerSpec(i))
			So(err, ShouldBeNil)
			So(json.Unmarshal(data, &e), ShouldBeNil)
			return e
		}
		primary, replica := entry(0), entry(1)
		for _, target := range tc.group.Targets {
			tc.store.Remove("servers", target.ID)
		}
		n := tc.start("vm-late", "north")
		tc.eventually(5*time.Second, "the daemon is ready", n.Ready)
		tc.store.Put("servers", tc.group.Targets[1].ID, replica)
		c := tc.connect(n, dbCurrent)
		for began := time.Now(); time.Since(began) < 2*time.Second; {
			So(c.Query("WRITE a 1").Code(), ShouldEqual, "BUSY")
		}
		tc.store.Put("servers", tc.group.Targets[0].ID, primary)
		tc.eventually(3*time.Second, "writes succeed at the primary", func() bool { return c.Query("WRITE a 2").OK() })
		So(tc.promotionServer.Calls(), ShouldBeEmpty)
		_, term := tc.group.Primary()
		So(term, ShouldEqual, 1)
	})
}
