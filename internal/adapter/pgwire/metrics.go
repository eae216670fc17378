package pgwire

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

// serverMetrics holds the counters of a Server.
type serverMetrics struct {
	refused          map[outcome.Reason]*metrics.Counter
	accepted         *metrics.Counter
	cancelRequests   *metrics.Counter
	dropped          *metrics.Counter
	startupAbandoned *metrics.Counter
	batches          *metrics.Counter
	callersGone      *metrics.Counter
	truncatedAnswers *metrics.Counter
}

func newServerMetrics(set *metrics.Set, s *Server) *serverMetrics {
	m := &serverMetrics{
		refused:          make(map[outcome.Reason]*metrics.Counter),
		accepted:         set.GetOrCreateCounter(`laburnumrack_pgwire_accepted_total`),
		cancelRequests:   set.GetOrCreateCounter(`laburnumrack_pgwire_cancel_requests_total`),
		dropped:          set.GetOrCreateCounter(`laburnumrack_pgwire_dropped_total`),
		startupAbandoned: set.GetOrCreateCounter(`laburnumrack_pgwire_startup_abandoned_total`),
		callersGone:      set.GetOrCreateCounter(`laburnumrack_pgwire_callers_gone_total`),
		truncatedAnswers: set.GetOrCreateCounter(`laburnumrack_pgwire_truncated_answers_total`),
		batches:          set.GetOrCreateCounter(`laburnumrack_pgwire_batches_total`),
	}
	for _, r := range outcome.Reasons() {
		m.refused[r] = set.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_refused_total{reason=%q}`, string(r)))
	}
	set.GetOrCreateGauge(`laburnumrack_pgwire_connections`, func() float64 { return float64(s.loggedIn.Load()) })
	return m
}
