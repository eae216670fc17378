// Package requestmetrics counts refusals, unknown outcomes and retries on the users'
// platform by their reason. Reasons are constants of the code.
package requestmetrics

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Refused counts a refusal: nothing was kept.
func Refused(reason string) {
	count("refused", reason)
}

// Unknown counts an outcome that is not known.
func Unknown(reason string) {
	count("unknown", reason)
}

// Retried counts a try that is followed by another.
func Retried(reason string) {
	count("retries", reason)
}

func count(what, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_%s_total{reason=%q}`, what, reason)).Inc()
}
