package intime

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Loads are the compared loads, as multiples of the capacity of the slots.
var Loads = []float64{0.5, 0.8, 1.0, 1.2, 1.5, 2.0}

// WriteReport runs every policy at every load with the same arrivals and writes a table
// with the weight that each serves in time, as a share of the bound. The last two columns
// are the number of delayed retries with WeightedDeadline, at most one per refused
// caller, and the share of them that is served in time.
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
		delayed := Run(jobs, Options{Policy: WeightedDeadline, Slots: slots, DelayedRetries: 1, Seed: seed})
		fmt.Fprintf(out, "\t%d\t%.3f\n", delayed.DelayedRetries, share(delayed.DelayedRetriesInTime, delayed.DelayedRetries))
	}
	return out.Flush()
}

// WriteRetryReport writes a table with the share of the weight that is served in time
// when refused callers retry at once, with and without a retry budget.
func WriteRetryReport(w io.Writer, name string, mix []Class, slots, count int, seed uint64) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(out, "%s, 3 impatient retries, seed %d\nload\tpolicy\tno retries\twithout budget\tretries\twith budget\tretries\n", name, seed)
	for _, load := range Loads {
		jobs := Generate(seed, mix, slots, count, load)
		for _, p := range []PolicyName{FIFO, WeightedDeadline} {
			withoutRetries := Run(jobs, Options{Policy: p, Slots: slots, Seed: seed})
			unlimited := Run(jobs, Options{Policy: p, Slots: slots, ImmediateRetries: 3, Seed: seed})
			budgeted := Run(jobs, Options{Policy: p, Slots: slots, ImmediateRetries: 3, RetryBudget: true, Seed: seed})
			fmt.Fprintf(out, "%.0f%%\t%s\t%.3f\t%.3f\t%d\t%.3f\t%d\n", 100*load, p,
				withoutRetries.InTime/withoutRetries.Weight, unlimited.InTime/unlimited.Weight, unlimited.ImmediateRetries, budgeted.InTime/budgeted.Weight, budgeted.ImmediateRetries)
		}
	}
	return out.Flush()
}

// share returns part/whole, or 1 if whole is zero.
func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}
