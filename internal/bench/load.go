package bench

import (
	"context"
	"fmt"
	"time"
)

// LoadConfig holds the parameters of MeasureLoad.
type LoadConfig struct {
	Deployment      Deployment
	Plan            PlanConfig
	RetryRefused    bool
	WarmConnections int
	// InjectFaults, if not nil, runs concurrently with the arrivals. MeasureLoad
	// returns only after it has returned.
	InjectFaults func()
}

// MeasureLoad prepares the deployment, runs one plan, verifies the written rows and
// returns the report and the result of each arrival. It fails if the rows cannot be
// prepared or read back, or if the counters of the link cannot be read.
func MeasureLoad(ctx context.Context, config LoadConfig) (Report, []Result, error) {
	config.Plan.Gateways = len(config.Deployment.Gateways)
	load := &Load{Deployment: config.Deployment, Mix: config.Plan.Mix, Plan: Plan(config.Plan), RetryRefused: config.RetryRefused, WarmConnections: config.WarmConnections}
	if err := load.Prepare(ctx); err != nil {
		return Report{}, nil, err
	}
	linesBefore, err := readLines(ctx, config.Deployment.Link)
	if err != nil {
		return Report{}, nil, fmt.Errorf("read link counters before the run: %w", err)
	}
	loadsBefore := config.Deployment.Controls.readLoads(ctx)
	before, _ := Scrape(ctx, config.Deployment.Admins, ReportedPrefixes()...)
	results := load.Run(ctx, func(time.Time) {
		if config.InjectFaults != nil {
			config.InjectFaults()
		}
	})
	after, unreachable := Scrape(ctx, config.Deployment.Admins, ReportedPrefixes()...)
	linesAfter, err := readLines(ctx, config.Deployment.Link)
	if err != nil {
		return Report{}, results, fmt.Errorf("read link counters after the run: %w", err)
	}
	report := Summarize(config.Plan.Mix, results)
	report.Seed = config.Plan.Seed
	report.Rate = config.Plan.Rate
	report.DurationSeconds = config.Plan.Duration.Seconds()
	report.Served = Difference(before, after)
	report.ReplicaShare = ReplicaShare(report.Served)
	report.UnreachableDaemons = unreachable
	report.Targets = loadDifference(loadsBefore, config.Deployment.Controls.readLoads(ctx))
	report.Lines = lineDifference(linesBefore, linesAfter)
	checks, err := load.Verify(ctx, results)
	if err != nil {
		return report, results, fmt.Errorf("verify written rows: %w", err)
	}
	report.Checks = checks
	return report, results, nil
}

// LatencySeries returns, for each class, the latency in milliseconds by percentile of
// the requests that were done.
func LatencySeries(mix Mix, results []Result) []Series {
	var all []Series
	for i := range mix.Classes {
		h := newHistogram()
		for j := range results {
			if r := &results[j]; r.Arrival != nil && r.Arrival.Class.Name == mix.Classes[i].Name && r.Outcome == Done {
				recordLatency(h, r.Latency)
			}
		}
		series := Series{Name: mix.Classes[i].Name}
		for percentile := 0.0; percentile <= 100; percentile += 0.5 {
			ms := float64(h.ValueAtPercentile(percentile)) / float64(time.Millisecond/time.Microsecond)
			series.Points = append(series.Points, Point{X: percentile, Y: ms})
		}
		all = append(all, series)
	}
	return all
}
