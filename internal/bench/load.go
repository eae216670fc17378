package bench

import (
	"context"
	"fmt"
	"time"
)

// LoadConfig describes a load experiment.
type LoadConfig struct {
	Deployment      Deployment
	Plan            PlanConfig
	RetryRefused    bool
	WarmConnections int
	// Disturb, if not nil, runs beside the arrivals; Measure waits for its end.
	InjectFaults func()
}

// Measure prepares the deployment, plays one plan, reads it back and reports.
func MeasureLoad(ctx context.Context, config LoadConfig) (Report, []Result, error) {
	config.Plan.Gateways = len(config.Deployment.Gateways)
	load := &Load{Deployment: config.Deployment, Mix: config.Plan.Mix, Plan: Plan(config.Plan), RetryRefused: config.RetryRefused, WarmConnections: config.WarmConnections}
	if err := load.Prepare(ctx); err != nil {
		return Report{}, nil, err
	}
	linesBefore, err := lines(ctx, config.Deployment.Link)
	if err != nil {
		return Report{}, nil, fmt.Errorf("links: %w", err)
	}
	loadsBefore := config.Deployment.Controls.loads(ctx)
	before, _ := Scrape(ctx, config.Deployment.Admins, ReportedPrefixes()...)
	results := load.Run(ctx, func(time.Time) {
		if config.InjectFaults != nil {
			config.InjectFaults()
		}
	})
	after, silent := Scrape(ctx, config.Deployment.Admins, ReportedPrefixes()...)
	linesAfter, err := lines(ctx, config.Deployment.Link)
	if err != nil {
		return Report{}, results, fmt.Errorf("links: %w", err)
	}
	report := Summarize(config.Plan.Mix, results)
	report.Seed = config.Plan.Seed
	report.Rate = config.Plan.Rate
	report.DurationSeconds = config.Plan.Duration.Seconds()
	report.Served = Difference(before, after)
	report.ReplicaShare = ReplicaShare(report.Served)
	report.UnreachableDaemons = silent
	report.Targets = addedLoad(loadsBefore, config.Deployment.Controls.loads(ctx))
	report.Lines = crossed(linesBefore, linesAfter)
	checks, err := load.Verify(ctx, results)
	if err != nil {
		return report, results, fmt.Errorf("check: %w", err)
	}
	report.Checks = checks
	return report, results, nil
}

// LatencySeries returns a percentile curve for each class of the results.
func LatencySeries(mix Mix, results []Result) []Series {
	var all []Series
	for i := range mix.Classes {
		h := newHistogram()
		for j := range results {
			if r := &results[j]; r.Arrival != nil && r.Arrival.Class.Name == mix.Classes[i].Name && r.Outcome == Done {
				record(h, r.Latency)
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
