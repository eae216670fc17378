package gateway

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// place says how far away a request was served.
type place int

const (
	placeOwnDomain place = iota
	placeOwnRegion
	placeOtherRegion
	places
)

var placeNames = [places]string{"own_domain", "own_region", "other_region"}

// meters holds the counters of a Gateway.
type meters struct {
	refused     map[outcome.Reason]*metrics.Counter
	unknown     map[outcome.Reason]*metrics.Counter
	retries     map[outcome.Reason]*metrics.Counter
	budgetSpent *metrics.Counter
	// served is indexed by place, replica or primary, read or write.
	served [places][2][2]*metrics.Counter
	// repeated counts requests that had been done before.
	repeated *metrics.Counter
	// forwarded counts units that a home sent on to another failure domain, and
	// fallbacks those whose home there could not be reached.
	forwarded, fallbacks *metrics.Counter
}

func newMeters(set *metrics.Set) *meters {
	m := &meters{
		refused:     make(map[outcome.Reason]*metrics.Counter),
		unknown:     make(map[outcome.Reason]*metrics.Counter),
		retries:     make(map[outcome.Reason]*metrics.Counter),
		budgetSpent: set.GetOrCreateCounter(`laburnumrack_retry_budget_spent_total`),
		forwarded:   set.GetOrCreateCounter(`laburnumrack_entry_forwarded_total`),
		fallbacks:   set.GetOrCreateCounter(`laburnumrack_entry_fallbacks_total`),
		repeated:    set.GetOrCreateCounter(`laburnumrack_repeated_total`),
	}
	for _, r := range outcome.Reasons() {
		m.refused[r] = set.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_refused_total{reason=%q}`, string(r)))
		m.unknown[r] = set.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_unknown_total{reason=%q}`, string(r)))
		m.retries[r] = set.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_retries_total{reason=%q}`, string(r)))
	}
	for p := range places {
		for i, role := range []string{"primary", "replica"} {
			for j, kind := range []string{"write", "read"} {
				name := fmt.Sprintf(`laburnumrack_served_total{place=%q,role=%q,kind=%q}`, placeNames[p], role, kind)
				m.served[p][i][j] = set.GetOrCreateCounter(name)
			}
		}
	}
	return m
}

func (m *meters) retry(r outcome.Reason) {
	inc(m.retries, r)
}

// inc counts a reason; one that a newer home invented counts as nothing.
func inc(counters map[outcome.Reason]*metrics.Counter, r outcome.Reason) {
	if c := counters[r]; c != nil {
		c.Inc()
	}
}

// ended counts the outcome of a batch and where it was served from.
func (m *meters) ended(e *Gateway, b wireunit.Batch, r wireunit.Result) {
	switch r.Outcome.Kind {
	case outcome.Refused:
		inc(m.refused, r.Outcome.Reason)
	case outcome.Unknown:
		inc(m.unknown, r.Outcome.Reason)
	default:
		if b.Auxiliary {
			return
		}
		m.served[e.placeOf(r.Origin)][index(r.Origin.Replica)][index(b.ReadOnly)].Inc()
		if r.Repeated {
			m.repeated.Inc()
		}
	}
}

func index(b bool) int {
	if b {
		return 1
	}
	return 0
}

// placeOf says how far the target that answered is from this VM.
func (e *Gateway) placeOf(o wireunit.Origin) place {
	if o.FailureDomain == e.config.FailureDomain {
		return placeOwnDomain
	}
	region := e.config.Configuration.Current().RegionOf(e.config.FailureDomain)
	if region != "" && region == o.Region {
		return placeOwnRegion
	}
	return placeOtherRegion
}
