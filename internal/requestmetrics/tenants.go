package requestmetrics

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Limits of the metrics of tenants.
const (
	// maxNamedTenants is the number of tenants with metrics of their own. A deployment may
	// have 10,000 tenants, and each label is a time series.
	maxNamedTenants = 32
	// maxCountedTenants is the number of tenants whose operations are counted to select
	// the named ones.
	maxCountedTenants = 20_000
	// maxReasons is the number of reasons for refusals with metrics of their own. The
	// daemons use fewer than 40; the limit holds for reasons that a faulty peer sends.
	maxReasons = 64
	// other is the label of all tenants, and of all reasons, without metrics of their own.
	other = "other"
	// replacementFactor is the number of times as many operations that a tenant must have
	// to replace a named one. It keeps tenants with similar numbers from replacing each
	// other again and again, which would restart their counters.
	replacementFactor = 2
)

// Tenants counts the operations and refusals of tenants. The first tenants get metrics of
// their own, and lose them to others with many more operations; the rest are counted
// together. It is safe for concurrent use.
type Tenants struct {
	set *metrics.Set

	mu sync.Mutex
	// operations counts the operations of each tenant.
	operations map[string]uint64 // guarded by mu
	// named holds the names of the metrics of each tenant that has its own.
	named map[string]map[string]struct{} // guarded by mu
	// reasons holds the reasons with metrics of their own.
	reasons map[string]struct{} // guarded by mu
}

// NewTenants returns counters that are registered in set.
func NewTenants(set *metrics.Set) *Tenants {
	return &Tenants{set: set, operations: map[string]uint64{}, named: map[string]map[string]struct{}{}, reasons: map[string]struct{}{}}
}

// Operation counts an operation of a tenant.
func (t *Tenants) Operation(tenant string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, known := t.operations[tenant]
	if known || len(t.operations) < maxCountedTenants {
		t.operations[tenant] = n + 1
		t.selectNamed(tenant, n+1)
	}
	t.inc(tenant, `laburnumrack_tenant_operations_total{tenant=%q}`)
}

// Refused counts a refusal of a tenant's statement. Reasons beyond the first maxReasons are
// counted together.
func (t *Tenants) Refused(tenant, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.reasons[reason]; !known {
		if len(t.reasons) < maxReasons {
			t.reasons[reason] = struct{}{}
		} else {
			reason = other
		}
	}
	t.inc(tenant, `laburnumrack_tenant_refusals_total{tenant=%q,reason=%q}`, reason)
}

// inc increments the counter of a tenant or that of the other tenants. t.mu must be held.
func (t *Tenants) inc(tenant, format string, labels ...any) {
	names, ok := t.named[tenant]
	if !ok {
		tenant = other
	}
	name := fmt.Sprintf(format, append([]any{tenant}, labels...)...)
	if ok {
		names[name] = struct{}{}
	}
	t.set.GetOrCreateCounter(name).Inc()
}

// selectNamed gives a tenant with n operations metrics of its own if there are few, or if
// it has replacementFactor times the operations of the named tenant with the fewest. t.mu
// must be held.
func (t *Tenants) selectNamed(tenant string, n uint64) {
	if _, ok := t.named[tenant]; ok {
		return
	}
	if len(t.named) >= maxNamedTenants {
		fewest, least := "", n
		for name := range t.named {
			if o := t.operations[name]; o*replacementFactor <= n && (fewest == "" || o < least) {
				fewest, least = name, o
			}
		}
		if fewest == "" {
			return
		}
		for name := range t.named[fewest] {
			t.set.UnregisterMetric(name)
		}
		delete(t.named, fewest)
	}
	t.named[tenant] = map[string]struct{}{}
}
