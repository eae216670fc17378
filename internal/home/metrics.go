package home

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

// retryReason is the reason for which a home runs a batch again; empty if it does not.
type retryReason string

// Reasons of retries within a home.
const (
	retryNotSent        retryReason = "not_sent"
	retryReplicaWrite   retryReason = "replica_write"
	retryReplicaInvalid retryReason = "replica_invalid"
	retryReplicaLost    retryReason = "replica_lost"
	// retryPrimaryChanged means that the primary was replaced before the batch took
	// effect.
	retryPrimaryChanged retryReason = "primary_moved"
)

// counters holds the metrics of a Home.
type counters struct {
	set                 *metrics.Set
	replicaBatches      *metrics.Counter
	primaryBatches      *metrics.Counter
	repeated            *metrics.Counter
	settledDone         *metrics.Counter
	settledNotRun       *metrics.Counter
	connectionsOpened   *metrics.Counter
	connectionsDoubtful *metrics.Counter
	confirmTime         *metrics.Histogram
	// statusCalls counts the status calls over control connections.
	statusCalls *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	if set == nil {
		set = metrics.NewSet()
	}
	return &counters{
		set:                 set,
		replicaBatches:      set.GetOrCreateCounter(`laburnumrack_home_batches_total{role="replica"}`),
		primaryBatches:      set.GetOrCreateCounter(`laburnumrack_home_batches_total{role="primary"}`),
		repeated:            set.GetOrCreateCounter(`laburnumrack_home_repeated_total`),
		settledDone:         set.GetOrCreateCounter(`laburnumrack_home_settled_total{result="done"}`),
		settledNotRun:       set.GetOrCreateCounter(`laburnumrack_home_settled_total{result="not_run"}`),
		connectionsOpened:   set.GetOrCreateCounter(`laburnumrack_home_connections_opened_total`),
		connectionsDoubtful: set.GetOrCreateCounter(`laburnumrack_home_connections_doubtful_total`),
		statusCalls:         set.GetOrCreateCounter(`laburnumrack_home_status_calls_total`),
		confirmTime:         set.GetOrCreateHistogram(`laburnumrack_home_confirm_seconds`),
	}
}

// count increments the counter of a refused or unknown outcome.
func (c *counters) count(o outcome.Outcome) {
	switch o.Kind {
	case outcome.Refused:
		c.set.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_refused_total{part="home",reason=%q}`, o.Reason)).Inc()
	case outcome.Unknown:
		c.set.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_unknown_total{part="home",reason=%q}`, o.Reason)).Inc()
	}
}

func (c *counters) retry(r retryReason) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_retries_total{part="home",reason=%q}`, r)).Inc()
}

func (c *counters) promotion(result string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_home_promotions_total{result=%q}`, result)).Inc()
}
