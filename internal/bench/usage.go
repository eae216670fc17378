package bench

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"
)

// Metrics that Usage is computed from, in addition to those of the control cost.
const (
	batchesMetric     = "laburnumrack_pgwire_batches_total"
	statusCallsMetric = "laburnumrack_home_status_calls_total"
	unitsMetric       = "laburnumrack_peer_units_total"
)

// Usage is the resource usage of the daemons of a deployment over an interval, summed
// over the daemons.
type Usage struct {
	Seconds float64 `json:"seconds"`
	Daemons int     `json:"daemons"`
	// CPUSeconds is the processor time used within the interval.
	CPUSeconds float64 `json:"cpu_seconds"`
	// MemoryBytes is the resident memory at the end of the interval, PeerBytes the
	// traffic with other daemons within it.
	MemoryBytes float64 `json:"memory_bytes"`
	PeerBytes   float64 `json:"peer_bytes"`
	// Batches counts the message batches of callers, StatusCalls the status calls to
	// targets, and Units the units forwarded to another daemon. A forwarded unit is
	// counted by the sending and by the receiving daemon.
	Batches     float64 `json:"batches"`
	StatusCalls float64 `json:"status_calls"`
	Units       float64 `json:"units"`
}

// MeasureUsage measures the resource usage of the daemons for the given time. It fails
// if a daemon does not answer a scrape.
func MeasureUsage(ctx context.Context, admins []string, length time.Duration) (Usage, error) {
	prefixes := []string{cpuMetric, memoryMetric, peerBytesMetric, batchesMetric, statusCallsMetric, unitsMetric}
	before, unreachable := Scrape(ctx, admins, prefixes...)
	if unreachable > 0 {
		return Usage{}, fmt.Errorf("%d daemons did not answer the metrics scrape", unreachable)
	}
	start := time.Now()
	if err := sleep(ctx, length); err != nil {
		return Usage{}, err
	}
	after, unreachable := Scrape(ctx, admins, prefixes...)
	if unreachable > 0 {
		return Usage{}, fmt.Errorf("%d daemons did not answer the metrics scrape", unreachable)
	}
	increase := func(prefix string) float64 {
		sum := 0.0
		for name, value := range after {
			if strings.HasPrefix(name, prefix) {
				sum += value - before[name]
			}
		}
		return sum
	}
	return Usage{
		Seconds:     time.Since(start).Seconds(),
		Daemons:     len(admins),
		CPUSeconds:  increase(cpuMetric),
		MemoryBytes: after[memoryMetric],
		PeerBytes:   increase(peerBytesMetric),
		Batches:     increase(batchesMetric),
		StatusCalls: increase(statusCallsMetric),
		Units:       increase(unitsMetric),
	}, nil
}

// WriteTable writes the usage as text, as averages per daemon and second.
func (u *Usage) WriteTable(w io.Writer) error {
	perDaemonSecond := 1 / (u.Seconds * float64(u.Daemons))
	_, err := fmt.Fprintf(w, `%d daemons for %.1f s, for each in a second:
  processor     %.4f of a core
  batches       %.2f
  status calls  %.2f
  peer bytes    %.0f
  peer units    %.2f (both ends)
memory for each: %.1f MB
processor time for each batch of callers: %.1f us
`, u.Daemons, u.Seconds, u.CPUSeconds*perDaemonSecond, u.Batches*perDaemonSecond, u.StatusCalls*perDaemonSecond, u.PeerBytes*perDaemonSecond, u.Units*perDaemonSecond,
		u.MemoryBytes/float64(u.Daemons)/1e6, 1e6*u.CPUSeconds/max(u.Batches, 1))
	return err
}
