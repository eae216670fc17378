package gateway

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// locality is the distance between this VM and the target that served a request.
type locality int

const (
	localityOwnDomain locality = iota
	localityOwnRegion
	localityOtherRegion
	localityCount
)

// localityNames are the values of the metric label place.
var localityNames = [localityCount]string{"own_domain", "own_region", "other_region"}

// counters holds the counters of a Gateway.
type counters struct {
	refused     map[outcome.Reason]*metrics.Counter
	unknown     map[outcome.Reason]*metrics.Counter
	retries     map[outcome.Reason]*metrics.Counter
	budgetSpent *metrics.Counter
	// served is indexed by locality, role (0 primary, 1 replica) and kind (0 write,
	// 1 read).
	served [localityCount][2][2]*metrics.Counter
	// repeated counts requests that had already been executed.
	repeated *metrics.Counter
	// forwarded counts redirects of units to another failure domain, fallbacks the
	// units that returned to the local home because the other one was unreachable.
	forwarded, fallbacks *metrics.Counter
}

// newCounters registers the counters in set.
func newCounters(set *metrics.Set) *counters {
	c := &counters{
		refused:     make(map[outcome.Reason]*metrics.Counter),
		unknown:     make(map[outcome.Reason]*metrics.Counter),
		retries:     make(map[outcome.Reason]*metrics.Counter),
		budgetSpent: set.GetOrCreateCounter(`laburnumrack_retry_budget_spent_total`),
		forwarded:   set.GetOrCreateCounter(`laburnumrack_entry_forwarded_total`),
		fallbacks:   set.GetOrCreateCounter(`laburnumrack_entry_fallbacks_total`),
		repeated:    set.GetOrCreateCounter(`laburnumrack_repeated_total`),
	}
	for _, r := range outcome.Reasons() {
		c.refused[r] = set.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_refused_total{reason=%q}`, string(r)))
		c.unknown[r] = set.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_unknown_total{reason=%q}`, string(r)))
		c.retries[r] = set.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_retries_total{reason=%q}`, string(r)))
	}
	for l := range localityCount {
		for i, role := range []string{"primary", "replica"} {
			for j, kind := range []string{"write", "read"} {
				name := fmt.Sprintf(`laburnumrack_served_total{place=%q,role=%q,kind=%q}`, localityNames[l], role, kind)
				c.served[l][i][j] = set.GetOrCreateCounter(name)
			}
		}
	}
	return c
}

// recordRetry counts a retry by the reason of the failed attempt.
func (c *counters) recordRetry(r outcome.Reason) {
	inc(c.retries, r)
}

// inc increments the counter of a reason. A home of a newer version may send reasons
// that this version does not know; these are not counted.
func inc(byReason map[outcome.Reason]*metrics.Counter, r outcome.Reason) {
	if counter := byReason[r]; counter != nil {
		counter.Inc()
	}
}

// recordResult counts the outcome of a batch and, if the batch was served, the
// locality, role and kind.
func (c *counters) recordResult(g *Gateway, b wireunit.Batch, r wireunit.Result) {
	switch r.Outcome.Kind {
	case outcome.Refused:
		inc(c.refused, r.Outcome.Reason)
	case outcome.Unknown:
		inc(c.unknown, r.Outcome.Reason)
	default:
		if b.Auxiliary {
			return
		}
		c.served[g.localityOf(r.Origin)][boolIndex(r.Origin.Replica)][boolIndex(b.ReadOnly)].Inc()
		if r.Repeated {
			c.repeated.Inc()
		}
	}
}

// boolIndex returns 1 for true and 0 for false.
func boolIndex(b bool) int {
	if b {
		return 1
	}
	return 0
}

// localityOf returns the locality of the target that answered.
func (g *Gateway) localityOf(o wireunit.Origin) locality {
	if o.FailureDomain == g.config.FailureDomain {
		return localityOwnDomain
	}
	region := g.config.Configuration.Current().RegionOf(g.config.FailureDomain)
	if region != "" && region == o.Region {
		return localityOwnRegion
	}
	return localityOtherRegion
}
