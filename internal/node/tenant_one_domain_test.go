package node

import (
	"testing"

	"github.com/laburnumrack/laburnumrack/internal/standin/site"
)

// Guards against a relay that the store refuses and that asks none of its followers for the
// configuration that they have. Without another failure domain it has no other source.
func TestKeyChangesInOneDomain(t *testing.T) {
	base := []site.Tenant{{Name: "alder", Keys: []string{"key-a"}}, {Name: "birch", Keys: []string{"key-b"}}}
	tc := newTenantCluster(t, site.DefaultTenantBounds, base, "north", "north")
	for i, n := range tc.nodes {
		t.Run(n.settings.Name, func(t *testing.T) {
			tc.t = t
			changeKeys(tc, base, n, tc.accesses[i])
		})
	}
}
