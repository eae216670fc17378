package requestmetrics

import (
	"fmt"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"
)

// tenantLabels returns the distinct values of the label tenant in set.
func tenantLabels(set *metrics.Set) map[string]bool {
	labels := map[string]bool{}
	for _, name := range set.ListMetricNames() {
		_, rest, _ := strings.Cut(name, `tenant="`)
		label, _, _ := strings.Cut(rest, `"`)
		labels[label] = true
	}
	return labels
}

func TestTenants(t *testing.T) {
	// Guards against a number of time series that grows with the number of tenants.
	Convey("At most 32 of 10,000 tenants have a label, the rest are counted as other", t, func() {
		set := metrics.NewSet()
		c := NewTenants(set)
		for i := range 10_000 {
			name := fmt.Sprint("t", i)
			c.Operation(name)
			c.Refused(name, "rate_limit")
		}
		So(len(tenantLabels(set)), ShouldEqual, maxNamedTenants+1)
		So(set.GetOrCreateCounter(`laburnumrack_tenant_operations_total{tenant="t0"}`).Get(), ShouldEqual, 1)
		So(set.GetOrCreateCounter(`laburnumrack_tenant_operations_total{tenant="other"}`).Get(), ShouldEqual, 10_000-maxNamedTenants)
		So(set.GetOrCreateCounter(`laburnumrack_tenant_refusals_total{tenant="other",reason="rate_limit"}`).Get(), ShouldEqual, 10_000-maxNamedTenants)
	})
	// Guards against a number of time series that grows with the texts that a peer sends.
	Convey("At most 64 reasons have a label, the rest are counted as other", t, func() {
		set := metrics.NewSet()
		c := NewTenants(set)
		c.Operation("a")
		for range 2 {
			for i := range 1000 {
				c.Refused("a", fmt.Sprint("reason-", i))
			}
		}
		So(set.GetOrCreateCounter(`laburnumrack_tenant_refusals_total{tenant="a",reason="reason-0"}`).Get(), ShouldEqual, 2)
		So(set.GetOrCreateCounter(`laburnumrack_tenant_refusals_total{tenant="a",reason="other"}`).Get(), ShouldEqual, 2*(1000-maxReasons))
		So(len(set.ListMetricNames()), ShouldEqual, 1+maxReasons+1)
	})
	// Guards against a large tenant that is not visible because 32 small ones came first.
	Convey("A tenant with many more operations gets the label of one with few", t, func() {
		set := metrics.NewSet()
		c := NewTenants(set)
		for i := range maxNamedTenants {
			for range 10 + i {
				c.Operation(fmt.Sprint("t", i))
			}
			c.Refused(fmt.Sprint("t", i), "too_late")
		}
		for range 100 {
			c.Operation("large")
		}
		labels := tenantLabels(set)
		So(labels["large"], ShouldBeTrue)
		So(labels["t0"], ShouldBeFalse)
		So(labels["t1"], ShouldBeTrue)
		So(len(labels), ShouldEqual, maxNamedTenants+1)
	})
}
