package bench

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histograms, in microseconds.
const (
	minLatencyUS     = 1
	maxLatencyUS     = 120_000_000
	latencyPrecision = 3
)

// Latency holds percentiles in milliseconds.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyUS, maxLatencyUS, latencyPrecision)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minLatencyUS), maxLatencyUS))
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	at := func(percentile float64) float64 {
		return float64(h.ValueAtPercentile(percentile)) / 1000
	}
	return Latency{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1000}
}

// Tally counts one kind of ending.
type Tally struct {
	Outcome  Outcome `json:"ending"`
	SQLState string  `json:"sqlstate,omitempty"`
	Reason   string  `json:"reason,omitempty"`
	Count    int     `json:"count"`
}

// ClassReport is what became of one class.
type ClassReport struct {
	Class    string `json:"class"`
	Requests int    `json:"requests"`
	Done     int    `json:"done"`
	InTime   int    `json:"in_time"`
	// Overheld counts the answers that came after the deadline that the proxy
	// was told.
	PastDeadline int `json:"overheld"`
	// Returned counts the requests that came back after a refusal, and
	// ReturnedInTime those of them that were then answered by their deadline.
	Retried       int `json:"returned"`
	RetriedInTime int `json:"returned_in_time"`
	// Answered is the latency of the requests that were done, AllAnswers that of
	// all final answers.
	Answered   Latency `json:"answered"`
	AllAnswers Latency `json:"all_answers"`
}

// Report is the outcome of one run.
type Report struct {
	Mix             string        `json:"mix"`
	Seed            uint64        `json:"seed"`
	Rate            float64       `json:"rate_per_second"`
	DurationSeconds float64       `json:"duration_seconds"`
	Classes         []ClassReport `json:"classes"`
	Tallies         []Tally       `json:"tallies"`
	// InTimeShare weighs each class by its weight.
	InTimeShare  float64   `json:"in_time_share"`
	Served       []Counter `json:"served,omitempty"`
	ReplicaShare float64   `json:"replica_share"`
	// Targets tells the load of each target, if its control address is known.
	Targets []TargetLoad `json:"targets,omitempty"`
	// Lines tells the bytes that crossed each line, if links were simulated.
	Lines []LineBytes `json:"lines,omitempty"`
	// SilentDaemons counts the daemons whose counters could not be read.
	UnreachableDaemons int    `json:"silent_daemons,omitempty"`
	Checks             Checks `json:"checks"`
}

// Summarize turns results into a report without counters and checks.
func Summarize(mix Mix, results []Result) Report {
	report := Report{Mix: mix.Name}
	weight, inTime := 0, 0
	for i := range mix.Classes {
		class := &mix.Classes[i]
		c := summarizeClass(class, results)
		weight += c.Requests * class.Weight
		inTime += c.InTime * class.Weight
		report.Classes = append(report.Classes, c)
	}
	if weight > 0 {
		report.InTimeShare = float64(inTime) / float64(weight)
	}
	report.Tallies = tallies(results)
	return report
}

func summarizeClass(class *Class, results []Result) ClassReport {
	answered, all := newHistogram(), newHistogram()
	c := ClassReport{Class: class.Name}
	for i := range results {
		r := &results[i]
		if r.Arrival == nil || r.Arrival.Class.Name != class.Name {
			continue
		}
		c.Requests++
		record(all, r.Latency)
		if r.Outcome == Done {
			c.Done++
			record(answered, r.Latency)
		}
		if r.InTime() {
			c.InTime++
		}
		if r.PastDeadline {
			c.PastDeadline++
		}
		if r.Retries > 0 {
			c.Retried++
			if r.InTime() {
				c.RetriedInTime++
			}
		}
	}
	c.Answered, c.AllAnswers = latencyOf(answered), latencyOf(all)
	return c
}

func tallies(results []Result) []Tally {
	counts := map[Tally]int{}
	for i := range results {
		r := &results[i]
		counts[Tally{Outcome: r.Outcome, SQLState: r.SQLState, Reason: r.Reason}]++
	}
	out := make([]Tally, 0, len(counts))
	for tally, n := range counts {
		tally.Count = n
		out = append(out, tally)
	}
	slices.SortFunc(out, func(a, b Tally) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.SQLState, b.SQLState))
	})
	return out
}

// WriteJSON writes any report as indented JSON.
func WriteJSON(w io.Writer, report any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// WriteTable writes the report for a person.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "mix %s, seed %d, %.0f requests/s for %.0f s\n", r.Mix, r.Seed, r.Rate, r.DurationSeconds)
	fmt.Fprintln(t, "class\trequests\tdone\tin time\toverheld\treturned\tthen in time\tp50 ms\tp90 ms\tp99 ms\tmax ms\t")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n", c.Class, c.Requests, c.Done, c.InTime, c.PastDeadline, c.Retried, c.RetriedInTime,
			c.Answered.P50, c.Answered.P90, c.Answered.P99, c.Answered.Max)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nanswered in time (weighted): %.2f%%\n", 100*r.InTimeShare)
	fmt.Fprintf(w, "reads served by replicas:    %.2f%%\n", 100*r.ReplicaShare)
	for _, tally := range r.Tallies {
		fmt.Fprintf(w, "%8d  %s %s %s\n", tally.Count, tally.Outcome, tally.SQLState, tally.Reason)
	}
	for _, counter := range r.Served {
		fmt.Fprintf(w, "%8.0f  %s\n", counter.Value, counter.Name)
	}
	for _, load := range r.Targets {
		fmt.Fprintf(w, "target %s: %d statements, %d beyond its slots, %d connections\n", load.Target, load.Statements, load.Overuse, load.Connections)
	}
	for _, line := range r.Lines {
		fmt.Fprintf(w, "line %s: %d bytes there, %d bytes back\n", line.Line, line.AToB, line.BToA)
	}
	if r.UnreachableDaemons > 0 {
		fmt.Fprintf(w, "daemons whose counters could not be read: %d\n", r.UnreachableDaemons)
	}
	_, err := fmt.Fprintf(w, "checked %d writes: %d lost, %d doubled, %d ran after a refusal, %d own writes not seen\n",
		r.Checks.Requests, r.Checks.Lost, r.Checks.Duplicated, r.Checks.RanAfterRefusal, r.Checks.MissedOwnWrites)
	return err
}
