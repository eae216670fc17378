package bench

import (
	"context"
	"fmt"
	"io"
	"slices"
)

// CompareConfig holds the parameters of an interleaved comparison of two deployments,
// or of two policies on one deployment.
type CompareConfig struct {
	A, B            Deployment
	Plan            PlanConfig
	Rounds          int
	RetryRefused    bool
	WarmConnections int
}

// CompareRound holds the reports of two runs with the same arrivals.
type CompareRound struct {
	Seed uint64 `json:"seed"`
	A    Report `json:"a"`
	B    Report `json:"b"`
}

// Ratio compares one measure of B with that of A. A and B are medians over the rounds;
// Median, Min and Max refer to the ratio B/A of each round.
type Ratio struct {
	Measure string  `json:"measure"`
	A       float64 `json:"a"`
	B       float64 `json:"b"`
	Median  float64 `json:"median_ratio"`
	Min     float64 `json:"least_ratio"`
	Max     float64 `json:"most_ratio"`
}

// CompareReport is the result of a comparison.
type CompareReport struct {
	Rounds []CompareRound `json:"rounds"`
	Ratios []Ratio        `json:"ratios"`
}

// Compare runs A and B once per round, with the same plan for both. The order
// alternates between rounds, so that a drift of the machine affects both alike.
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
				return report, fmt.Errorf("round %d, deployment %s: %w", round, run.name, err)
			}
			*run.report = measured
		}
		report.Rounds = append(report.Rounds, pair)
	}
	report.Ratios = computeRatios(report.Rounds)
	return report, nil
}

type compareRun struct {
	deployment Deployment
	name       string
	report     *Report
}

// measure is a named value of a report that is compared.
type measure struct {
	name  string
	value func(*Report) float64
}

// reportMeasures returns the measures of a report, which has the given classes.
func reportMeasures(classes []ClassReport) []measure {
	out := []measure{
		{"in time share", func(r *Report) float64 { return r.InTimeShare }},
		{"replica share", func(r *Report) float64 { return r.ReplicaShare }},
	}
	for i := range classes {
		out = append(out,
			measure{classes[i].Class + " p50 ms", func(r *Report) float64 { return r.Classes[i].Answered.P50 }},
			measure{classes[i].Class + " p99 ms", func(r *Report) float64 { return r.Classes[i].Answered.P99 }},
		)
	}
	return out
}

// computeRatios compares every measure over the rounds. Rounds in which A measured
// zero are left out of the ratio, and measures without any ratio are omitted.
func computeRatios(rounds []CompareRound) []Ratio {
	if len(rounds) == 0 {
		return nil
	}
	var out []Ratio
	for _, m := range reportMeasures(rounds[0].A.Classes) {
		var a, b, ratio []float64
		for i := range rounds {
			valueA, valueB := m.value(&rounds[i].A), m.value(&rounds[i].B)
			a, b = append(a, valueA), append(b, valueB)
			if valueA != 0 {
				ratio = append(ratio, valueB/valueA)
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

// WriteTable writes the report as a text table.
func (r *CompareReport) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%-24s %12s %12s %10s %18s\n", "measure", "A", "B", "B / A", "range")
	for _, ratio := range r.Ratios {
		fmt.Fprintf(w, "%-24s %12.3f %12.3f %10.3f %8.3f to %.3f\n", ratio.Measure, ratio.A, ratio.B, ratio.Median, ratio.Min, ratio.Max)
	}
	ok := !slices.ContainsFunc(r.Rounds, func(c CompareRound) bool { return !c.A.Checks.OK() || !c.B.Checks.OK() })
	_, err := fmt.Fprintf(w, "%d rounds in turns, checks ok: %t\n", len(r.Rounds), ok)
	return err
}
