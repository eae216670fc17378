package intime

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Loads are the demands that are compared, as shares of the slots' capacity.
var Loads = []float64{0.5, 0.8, 1.0, 1.2, 1.5, 2.0}

// Report runs every policy at every load on the same arrivals and writes a table
// of the share of the bound that each serves in time.
func WriteReport(w io.Writer, name string, mix []Class, slots, count int, seed uint64) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintf(out, "%s, %d slots, %d requests, seed %d\nload\tbound/weight", name, slots, count, seed); err != nil {
		return err
	}
	for _, p := range Policies() {
		fmt.Fprintf(out, "\t%s", p)
	}
	fmt.Fprintln(out, "\treturned\tserved on return")
	for _, load := range Loads {
		jobs := Generate(seed, mix, slots, count, load)
		bound := Bound(jobs, slots)
		var last Score
		for i, p := range Policies() {
			last = Run(jobs, Options{Policy: p, Slots: slots, Seed: seed})
			if i == 0 {
				fmt.Fprintf(out, "%.0f%%\t%.3f", 100*load, bound/last.Weight)
			}
			fmt.Fprintf(out, "\t%.3f", last.InTime/bound)
		}
		back := Run(jobs, Options{Policy: WeightedDeadline, Slots: slots, DelayedRetries: 1, Seed: seed})
		fmt.Fprintf(out, "\t%d\t%.3f\n", back.DelayedRetries, share(back.DelayedRetriesInTime, back.DelayedRetries))
	}
	return out.Flush()
}

// ReportRetries writes a table of what impatient callers do to the weight served
// in time, with and without a retry budget.
func WriteRetryReport(w io.Writer, name string, mix []Class, slots, count int, seed uint64) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(out, "%s, 3 impatient retries, seed %d\nload\tpolicy\tno retries\twithout budget\tretries\twith budget\tretries\n", name, seed)
	for _, load := range Loads {
		jobs := Generate(seed, mix, slots, count, load)
		for _, p := range []PolicyName{FIFO, WeightedDeadline} {
			plain := Run(jobs, Options{Policy: p, Slots: slots, Seed: seed})
			free := Run(jobs, Options{Policy: p, Slots: slots, ImmediateRetries: 3, Seed: seed})
			bounded := Run(jobs, Options{Policy: p, Slots: slots, ImmediateRetries: 3, RetryBudget: true, Seed: seed})
			fmt.Fprintf(out, "%.0f%%\t%s\t%.3f\t%.3f\t%d\t%.3f\t%d\n", 100*load, p,
				plain.InTime/plain.Weight, free.InTime/free.Weight, free.ImmediateRetries, bounded.InTime/bounded.Weight, bounded.ImmediateRetries)
		}
	}
	return out.Flush()
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}
