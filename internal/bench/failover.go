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

// Fault is what happens to the primary in a failover experiment.
type Fault string

// The faults of a primary.
const (
	FaultCrash  Fault = "crash"
	FaultFreeze Fault = "freeze"
)

// undo returns the call that heals the fault.
func (f Fault) undo() (string, error) {
	switch f {
	case FaultCrash:
		return "/restart", nil
	case FaultFreeze:
		return "/thaw", nil
	default:
		return "", fmt.Errorf("fault %q: expected crash or freeze", f)
	}
}

// FailoverConfig describes a failover experiment on one database.
type FailoverConfig struct {
	Deployment Deployment
	Mix        Mix
	Database   string
	Controls   Controls
	Fault      Fault
	Rounds     int
	// Rate is the number of writes a second.
	Rate float64
	// Before and After are how long each round writes before and after the fault.
	Before time.Duration
	After  time.Duration
	Seed   uint64
	Prefix string
	// Warm is as in Load.
	WarmConnections int
}

// FailoverRound is the outcome of one round.
type FailoverRound struct {
	Round int    `json:"round"`
	From  string `json:"from"`
	To    string `json:"to"`
	// GapMS is the longest pause between two acknowledged writes of which the
	// later one came after the fault, while writes kept arriving.
	GapMS float64 `json:"gap_ms"`
	// Over says that writes were acknowledged again before the round ended;
	// otherwise the gap was cut short by the end of the round.
	Recovered bool `json:"over"`
	// Slowest is the request that waited longest for its final answer.
	Slowest SlowRequest `json:"slowest"`
	// Requests, Refused, Unknown, Failed and Late count the requests that were
	// meant to start within the gap, and what became of them.
	Requests int    `json:"requests"`
	Refused  int    `json:"refused"`
	Unknown  int    `json:"unknown"`
	Failed   int    `json:"failed"`
	Late     int    `json:"late"`
	Checks   Checks `json:"checks"`
}

// FailoverReport is the outcome of a failover experiment.
type FailoverReport struct {
	Fault    Fault           `json:"fault"`
	Database string          `json:"database"`
	Rate     float64         `json:"rate_per_second"`
	Seed     uint64          `json:"seed"`
	Rounds   []FailoverRound `json:"rounds"`
	// Gap holds percentiles over the rounds.
	Gap Latency `json:"gap"`
}

// Failover breaks the primary once a round while callers write, and measures the
// pause that they see.
func MeasureFailover(ctx context.Context, config FailoverConfig) (FailoverReport, error) {
	report := FailoverReport{Fault: config.Fault, Database: config.Database, Rate: config.Rate, Seed: config.Seed}
	undo, err := config.Fault.undo()
	if err != nil {
		return report, err
	}
	gaps := newHistogram()
	for round := range config.Rounds {
		result, err := config.round(ctx, round, undo)
		if err != nil {
			return report, fmt.Errorf("round %d: %w", round, err)
		}
		report.Rounds = append(report.Rounds, result)
		record(gaps, time.Duration(result.GapMS*float64(time.Millisecond)))
		report.Gap = latencyOf(gaps)
	}
	return report, nil
}

// failoverMix keeps one class of the mix on one database: writes that may not be
// repeated.
func (c *FailoverConfig) failoverMix() (Mix, error) {
	for _, class := range c.Mix.Classes {
		if class.Operation == Increment {
			class.Deadline = c.After
			return Mix{Name: c.Mix.Name, Service: c.Mix.Service, Databases: []string{c.Database}, Classes: []Class{class}, Writer: c.Mix.Writer}, nil
		}
	}
	return Mix{}, fmt.Errorf("mix %s has no class of counted writes", c.Mix.Name)
}

func (c *FailoverConfig) round(ctx context.Context, round int, undo string) (FailoverRound, error) {
	mix, err := c.failoverMix()
	if err != nil {
		return FailoverRound{}, err
	}
	if err := c.Controls.waitWhole(ctx); err != nil {
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
	var injected time.Duration
	var injectErr error
	results := load.Run(ctx, func(begin time.Time) {
		if sleepUntil(ctx, begin.Add(c.Before)) {
			_, injectErr = control(ctx, http.MethodPost, address, "/"+string(c.Fault))
		}
		injected = time.Since(begin)
	})
	if injectErr != nil {
		return FailoverRound{}, injectErr
	}
	_, after, primaryErr := c.Controls.primary(ctx)
	if _, err := control(ctx, http.MethodPost, address, undo); err != nil {
		return FailoverRound{}, err
	}
	if primaryErr != nil {
		return FailoverRound{}, primaryErr
	}
	if err := c.Controls.waitWhole(ctx); err != nil {
		return FailoverRound{}, err
	}
	outcome := gapOf(results, injected, c.Before+c.After)
	outcome.Round, outcome.From, outcome.To = round, before.Status.Target, after.Status.Target
	outcome.Checks, err = load.Verify(ctx, results)
	return outcome, err
}

// gapOf finds the longest pause between acknowledged writes that ended after the
// fault and before the end of the arrivals, and what became of the requests
// within it. Answers that come after the arrivals have ended say nothing of a
// pause.
func gapOf(results []Result, injected, end time.Duration) FailoverRound {
	var round FailoverRound
	finished := []time.Duration{0}
	for i := range results {
		r := &results[i]
		round.Slowest.compare(r)
		if r.Outcome != Done || r.Finished > end {
			continue
		}
		finished = append(finished, r.Finished)
		round.Recovered = round.Recovered || r.Arrival.At > injected
	}
	finished = append(finished, end)
	slices.Sort(finished)
	var from, to time.Duration
	for i := 1; i < len(finished); i++ {
		if finished[i] >= injected && finished[i]-finished[i-1] > to-from {
			from, to = finished[i-1], finished[i]
		}
	}
	round.GapMS = milliseconds(to - from)
	for i := range results {
		r := &results[i]
		if r.Arrival != nil && r.Arrival.At >= from && r.Arrival.At < to {
			round.count(r)
		}
	}
	return round
}

// SlowRequest is a request that took long.
type SlowRequest struct {
	ID        string  `json:"id"`
	Gateway   int     `json:"entry"`
	AtMS      float64 `json:"at_ms"`
	LatencyMS float64 `json:"latency_ms"`
	Outcome   Outcome `json:"ending"`
	Reason    string  `json:"reason,omitempty"`
}

// compare replaces s by r if that took longer.
func (s *SlowRequest) compare(r *Result) {
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

func (f *FailoverRound) count(r *Result) {
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

// WriteTable writes the report for a person.
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

// GapSeries returns the gaps of the rounds, sorted.
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
