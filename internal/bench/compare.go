package bench

import (
	"context"
	"fmt"
	"io"
	"slices"
)

// CompareConfig describes an interleaved comparison of two deployments, or of
// two policies on one.
type CompareConfig struct {
	A, B            Deployment
	Plan            PlanConfig
	Rounds          int
	RetryRefused    bool
	WarmConnections int
}

// CompareRound is one pair of runs over the same arrivals.
type CompareRound struct {
	Seed uint64 `json:"seed"`
	A    Report `json:"a"`
	B    Report `json:"b"`
}

// Ratio is one measure of B against A: the median over the rounds, and the
// range.
type Ratio struct {
	Measure string  `json:"measure"`
	A       float64 `json:"a"`
	B       float64 `json:"b"`
	Median  float64 `json:"median_ratio"`
	Min     float64 `json:"least_ratio"`
	Max     float64 `json:"most_ratio"`
}

// CompareReport is the outcome of a comparison.
type CompareReport struct {
	Rounds []CompareRound `json:"rounds"`
	Ratios []Ratio        `json:"ratios"`
}

// Compare runs A and B in turns, in alternating order, each round on the same
// plan.
func Compare(ctx context.Context, config CompareConfig) (CompareReport, error) {
	var report CompareReport
	for round := range config.Rounds {
		plan := config.Plan
		plan.Seed += uint64(round)
		pair := CompareRound{Seed: plan.Seed}
		runs := []compareRun{{config.A, "a", &pair.A}, {config.B, "b", &pair.B}}
		if round%2 == 1 {
			slices.Reverse(runs)
		}
		for _, run := range runs {
			plan.Prefix = fmt.Sprintf("%s%s%d-", config.Plan.Prefix, run.name, round)
			measured, _, err := MeasureLoad(ctx, LoadConfig{Deployment: run.deployment, Plan: plan, RetryRefused: config.RetryRefused, WarmConnections: config.WarmConnections})
			if err != nil {
				return report, fmt.Errorf("round %d of %s: %w", round, run.name, err)
			}
			*run.into = measured
		}
		report.Rounds = append(report.Rounds, pair)
	}
	report.Ratios = ratios(report.Rounds)
	return report, nil
}

type compareRun struct {
	deployment Deployment
	name       string
	into       *Report
}

// measure is one figure of a report.
type measure struct {
	name  string
	value func(*Report) float64
}

func measures(mix []ClassReport) []measure {
	out := []measure{
		{"in time share", func(r *Report) float64 { return r.InTimeShare }},
		{"replica share", func(r *Report) float64 { return r.ReplicaShare }},
	}
	for i := range mix {
		out = append(out,
			measure{mix[i].Class + " p50 ms", func(r *Report) float64 { return r.Classes[i].Answered.P50 }},
			measure{mix[i].Class + " p99 ms", func(r *Report) float64 { return r.Classes[i].Answered.P99 }},
		)
	}
	return out
}

func ratios(rounds []CompareRound) []Ratio {
	if len(rounds) == 0 {
		return nil
	}
	var out []Ratio
	for _, m := range measures(rounds[0].A.Classes) {
		var a, b, ratio []float64
		for i := range rounds {
			x, y := m.value(&rounds[i].A), m.value(&rounds[i].B)
			a, b = append(a, x), append(b, y)
			if x != 0 {
				ratio = append(ratio, y/x)
			}
		}
		if len(ratio) > 0 {
			out = append(out, Ratio{Measure: m.name, A: median(a), B: median(b), Median: median(ratio), Min: slices.Min(ratio), Max: slices.Max(ratio)})
		}
	}
	return out
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	if n == 0 {
		return 0
	}
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// WriteTable writes the report for a person.
func (r *CompareReport) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%-24s %12s %12s %10s %18s\n", "measure", "A", "B", "B / A", "range")
	for _, ratio := range r.Ratios {
		fmt.Fprintf(w, "%-24s %12.3f %12.3f %10.3f %8.3f to %.3f\n", ratio.Measure, ratio.A, ratio.B, ratio.Median, ratio.Min, ratio.Max)
	}
	ok := !slices.ContainsFunc(r.Rounds, func(c CompareRound) bool { return !c.A.Checks.OK() || !c.B.Checks.OK() })
	_, err := fmt.Fprintf(w, "%d rounds in turns, checks ok: %t\n", len(r.Rounds), ok)
	return err
}
