// Package requestmetrics counts refused, unknown and retried requests on the users' platform
// by reason. Reasons are constants, which bounds the number of metrics.
package requestmetrics

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Refused counts a request that was refused without any effect.
func Refused(reason string) {
	count("refused", reason)
}

// Unknown counts a request whose outcome is unknown.
func Unknown(reason string) {
	count("unknown", reason)
}

// Retried counts a failed attempt that is followed by another attempt.
func Retried(reason string) {
	count("retries", reason)
}

func count(outcome, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_%s_total{reason=%q}`, outcome, reason)).Inc()
}
