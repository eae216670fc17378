package bench

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

// Fault is the fault injected into the primary in a failover experiment.
type Fault string

// Faults of a primary.
const (
	// FaultCrash drops all connections of the primary and stops its listener.
	FaultCrash Fault = "crash"
	// FaultFreeze stops the primary from reading and answering, with its connections
	// open.
	FaultFreeze Fault = "freeze"
)

// recoveryPath returns the path of the fault control call that ends the fault.
func (f Fault) recoveryPath() (string, error) {
	switch f {
	case FaultCrash:
		return "/restart", nil
	case FaultFreeze:
		return "/thaw", nil
	default:
		return "", fmt.Errorf("fault %q: expected crash or freeze", f)
	}
}

// FailoverConfig holds the parameters of a failover experiment on one database.
type FailoverConfig struct {
	Deployment Deployment
	Mix        Mix
	Database   string
	Controls   Controls
	Fault      Fault
	Rounds     int
	// Rate is the mean number of writes per second.
	Rate float64
	// Before and After are the durations of the load before and after the fault in each
	// round. After is also the deadline of the writes.
	Before time.Duration
	After  time.Duration
	Seed   uint64
	Prefix string
	// WarmConnections has the meaning of Load.WarmConnections.
	WarmConnections int
}

// FailoverRound is the result of one round. From and To are the names of the primary
// before the fault and at the end of the round.
type FailoverRound struct {
	Round int    `json:"round"`
	From  string `json:"from"`
	To    string `json:"to"`
	// GapMS is the longest time in milliseconds between two consecutive acknowledged
	// writes of which the later one was acknowledged after the fault, while writes
	// kept arriving.
	GapMS float64 `json:"gap_ms"`
	// Recovered is set if a write that arrived after the fault was acknowledged before
	// the end of the round. Otherwise the end of the round limits GapMS.
	Recovered bool `json:"over"`
	// Slowest is the request with the longest latency.
	Slowest SlowRequest `json:"slowest"`
	// Requests counts the requests whose intended start is within the gap. Refused,
	// Unknown, Failed and Late count those of them with that outcome; Late ones were
	// done after their deadline.
	Requests int    `json:"requests"`
	Refused  int    `json:"refused"`
	Unknown  int    `json:"unknown"`
	Failed   int    `json:"failed"`
	Late     int    `json:"late"`
	Checks   Checks `json:"checks"`
}

// FailoverReport is the result of a failover experiment.
type FailoverReport struct {
	Fault    Fault           `json:"fault"`
	Database string          `json:"database"`
	Rate     float64         `json:"rate_per_second"`
	Seed     uint64          `json:"seed"`
	Rounds   []FailoverRound `json:"rounds"`
	// Gap holds the percentiles of the gap over the rounds.
	Gap Latency `json:"gap"`
}

// MeasureFailover injects the fault into the primary once per round while callers write,
// and measures the time without acknowledged writes. On an error the report holds the
// rounds that ended before it.
func MeasureFailover(ctx context.Context, config FailoverConfig) (FailoverReport, error) {
	report := FailoverReport{Fault: config.Fault, Database: config.Database, Rate: config.Rate, Seed: config.Seed}
	recoveryPath, err := config.Fault.recoveryPath()
	if err != nil {
		return report, err
	}
	gaps := newHistogram()
	for round := range config.Rounds {
		result, err := config.runRound(ctx, round, recoveryPath)
		if err != nil {
			return report, fmt.Errorf("round %d: %w", round, err)
		}
		report.Rounds = append(report.Rounds, result)
		recordLatency(gaps, time.Duration(result.GapMS*float64(time.Millisecond)))
		report.Gap = newLatency(gaps)
	}
	return report, nil
}

// failoverMix returns a mix with the first class of operation Increment on the measured
// database. Increments must not be repeated, so a duplicated write is detected.
func (c *FailoverConfig) failoverMix() (Mix, error) {
	for _, class := range c.Mix.Classes {
		if class.Operation == Increment {
			class.Deadline = c.After
			return Mix{Name: c.Mix.Name, Service: c.Mix.Service, Databases: []string{c.Database}, Classes: []Class{class}, Writer: c.Mix.Writer}, nil
		}
	}
	return Mix{}, fmt.Errorf("mix %s has no class with operation count", c.Mix.Name)
}

// runRound waits until the group is in sync, runs the load with one fault, ends the
// fault, waits again, and verifies the written rows.
func (c *FailoverConfig) runRound(ctx context.Context, round int, recoveryPath string) (FailoverRound, error) {
	mix, err := c.failoverMix()
	if err != nil {
		return FailoverRound{}, err
	}
	if err := c.Controls.waitInSync(ctx); err != nil {
		return FailoverRound{}, err
	}
	address, before, err := c.Controls.primary(ctx)
	if err != nil {
		return FailoverRound{}, err
	}
	load := &Load{Deployment: c.Deployment, Mix: mix, WarmConnections: c.WarmConnections, Plan: Plan(PlanConfig{
		Mix: mix, Rate: c.Rate, Duration: c.Before + c.After, Gateways: len(c.Deployment.Gateways),
		Seed: c.Seed + uint64(round), Prefix: fmt.Sprintf("%sf%d-", c.Prefix, round),
	})}
	if err := load.Prepare(ctx); err != nil {
		return FailoverRound{}, err
	}
	var faultAt time.Duration
	var injectErr error
	results := load.Run(ctx, func(begin time.Time) {
		if sleepUntil(ctx, begin.Add(c.Before)) {
			_, injectErr = callControl(ctx, http.MethodPost, address, "/"+string(c.Fault))
		}
		faultAt = time.Since(begin)
	})
	if injectErr != nil {
		return FailoverRound{}, injectErr
	}
	_, after, primaryErr := c.Controls.primary(ctx)
	if _, err := callControl(ctx, http.MethodPost, address, recoveryPath); err != nil {
		return FailoverRound{}, err
	}
	if primaryErr != nil {
		return FailoverRound{}, primaryErr
	}
	if err := c.Controls.waitInSync(ctx); err != nil {
		return FailoverRound{}, err
	}
	outcome := findGap(results, faultAt, c.Before+c.After)
	outcome.Round, outcome.From, outcome.To = round, before.Status.Target, after.Status.Target
	outcome.Checks, err = load.Verify(ctx, results)
	return outcome, err
}

// findGap returns a round with the longest gap between acknowledged writes that ends
// after the fault, and the outcomes of the requests that arrived within it. Answers
// after the end of the arrivals are ignored, because a gap between them would be due to
// missing arrivals. Times are measured from the start of the run.
func findGap(results []Result, faultAt, end time.Duration) FailoverRound {
	var round FailoverRound
	finished := []time.Duration{0}
	for i := range results {
		r := &results[i]
		round.Slowest.keepSlower(r)
		if r.Outcome != Done || r.Finished > end {
			continue
		}
		finished = append(finished, r.Finished)
		round.Recovered = round.Recovered || r.Arrival.At > faultAt
	}
	finished = append(finished, end)
	slices.Sort(finished)
	var from, to time.Duration
	for i := 1; i < len(finished); i++ {
		if finished[i] >= faultAt && finished[i]-finished[i-1] > to-from {
			from, to = finished[i-1], finished[i]
		}
	}
	round.GapMS = milliseconds(to - from)
	for i := range results {
		r := &results[i]
		if r.Arrival != nil && r.Arrival.At >= from && r.Arrival.At < to {
			round.countOutcome(r)
		}
	}
	return round
}

// SlowRequest describes the request with the longest latency. AtMS is its intended
// start from the start of the run.
type SlowRequest struct {
	ID        string  `json:"id"`
	Gateway   int     `json:"entry"`
	AtMS      float64 `json:"at_ms"`
	LatencyMS float64 `json:"latency_ms"`
	Outcome   Outcome `json:"ending"`
	Reason    string  `json:"reason,omitempty"`
}

// keepSlower replaces s with r if r has the longer latency.
func (s *SlowRequest) keepSlower(r *Result) {
	if r.Arrival == nil || milliseconds(r.Latency) <= s.LatencyMS {
		return
	}
	*s = SlowRequest{
		ID: r.Arrival.ID(), Gateway: r.Arrival.Gateway, AtMS: milliseconds(r.Arrival.At),
		LatencyMS: milliseconds(r.Latency), Outcome: r.Outcome, Reason: r.Reason,
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// countOutcome counts a request that arrived within the gap.
func (f *FailoverRound) countOutcome(r *Result) {
	f.Requests++
	switch {
	case r.Outcome == Refused:
		f.Refused++
	case r.Outcome == Unknown:
		f.Unknown++
	case r.Outcome == Failed:
		f.Failed++
	case !r.InTime():
		f.Late++
	}
}

// WriteTable writes the report as text, one line per round.
func (r *FailoverReport) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%s of the primary of %s, %.0f writes/s, seed %d, %d rounds\n", r.Fault, r.Database, r.Rate, r.Seed, len(r.Rounds))
	for _, f := range r.Rounds {
		fmt.Fprintf(w, "round %2d  %s to %s  gap %8.1f ms  %d requests in it: %d refused, %d unknown, %d failed, %d late; over: %t; slowest answer %.1f ms (%s %s, started at %.0f ms through entry %d); checks ok: %t\n",
			f.Round, f.From, f.To, f.GapMS, f.Requests, f.Refused, f.Unknown, f.Failed, f.Late, f.Recovered,
			f.Slowest.LatencyMS, f.Slowest.Outcome, f.Slowest.Reason, f.Slowest.AtMS, f.Slowest.Gateway+1, f.Checks.OK())
	}
	_, err := fmt.Fprintf(w, "gap p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, max %.1f ms\n", r.Gap.P50, r.Gap.P90, r.Gap.P99, r.Gap.Max)
	return err
}

// GapSeries returns the gaps of the rounds in milliseconds by percentile.
func (r *FailoverReport) GapSeries() []Series {
	gaps := make([]float64, len(r.Rounds))
	for i, f := range r.Rounds {
		gaps[i] = f.GapMS
	}
	slices.SortFunc(gaps, cmp.Compare[float64])
	series := Series{Name: string(r.Fault)}
	for i, gap := range gaps {
		series.Points = append(series.Points, Point{X: 100 * float64(i+1) / float64(len(gaps)), Y: gap})
	}
	return []Series{series}
}
