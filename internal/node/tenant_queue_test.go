package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/standin/site"
)

// Guards against statements of a revoked key that were queued before the revocation and run
// long after it.
func TestRevocationWithQueue(t *testing.T) {
	Convey("Queued statements of a revoked key are answered, and none runs after the revocation time", t, func() {
		base := []site.Tenant{{Name: "alder", Keys: []string{"key-a"}}, {Name: "birch", Keys: []string{"key-b"}}}
		tc := newTenantCluster(t, site.DefaultTenantBounds, base, "north", "north", "south")
		So(tc.connectAs(tc.nodes[0], dbCurrent, "key-a").Query("WRITE k 0").OK(), ShouldBeTrue)
		tc.group.StatementTime = time.Second
		const queued = 40
		replies := make(chan site.Reply, queued)
		for i := range queued {
			c := tc.connectAs(tc.nodes[i%2], dbCurrent, "key-a")
			go func() { replies <- c.Query(fmt.Sprintf("WRITE q%d v", i)) }()
		}
		time.Sleep(300 * time.Millisecond)
		tc.accesses[1].SetRefused(true)
		tc.declare(base[1:])
		revoked := time.Now()
		limit := site.DefaultTenantBounds.RevocationTime + tc.group.StatementTime
		time.Sleep(time.Until(revoked.Add(limit)))
		So(replies, ShouldHaveLength, queued)
		refused := 0
		for range queued {
			if r := <-replies; r.Code() == "NOAUTH" {
				refused++
			}
		}
		So(refused, ShouldBeGreaterThan, queued/2)
		So(tc.check.WrongTenants(tc.group), ShouldBeEmpty)
	})
}
