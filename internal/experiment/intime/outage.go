package intime

import (
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"
)

// Outage is a time during which nothing is served, such as a failure of power of all VMs.
// Requests that were made meanwhile arrive after it, when their callers have connected
// again, and keep their deadlines.
type Outage struct {
	From, Length time.Duration
	// Return is the time after the outage within which the callers are back, each at a
	// random moment.
	Return time.Duration
}

// end returns the end of the outage.
func (o Outage) end() time.Duration {
	return o.From + o.Length
}

// Apply returns the jobs as they arrive with the outage.
func (o Outage) Apply(jobs []Job, seed uint64) []Job {
	rng := rand.New(rand.NewPCG(seed, 2))
	out := make([]Job, len(jobs))
	for i, j := range jobs {
		if j.Arrival >= o.From && j.Arrival < o.end() {
			deadline := j.Deadline()
			j.Arrival = o.end() + time.Duration(rng.Float64()*float64(o.Return))
			j.Timeout = deadline - j.Arrival
		}
		out[i] = j
	}
	return out
}

// WindowBound is the weight of the requests that were made in one window, and an upper bound
// on what any scheduler can serve of it in time, together with the other windows.
type WindowBound struct {
	From          time.Duration
	Weight, Bound float64
}

// OutageBounds returns the bounds of the windows of the given length by the time at which
// the requests were made. asked are the jobs as they were made and arrived the same jobs as
// they arrive.
func OutageBounds(asked, arrived []Job, slots int, window time.Duration) []WindowBound {
	served := servedShares(arrived, slots)
	var out []WindowBound
	for i, j := range asked {
		n := int(j.Arrival / window)
		for len(out) <= n {
			out = append(out, WindowBound{From: time.Duration(len(out)) * window})
		}
		out[n].Weight += float64(j.Weight)
		out[n].Bound += float64(j.Weight) * served[i]
	}
	return out
}

// WriteOutageReport writes a table of the bounds by window for a mix, at a load and with an
// outage.
func WriteOutageReport(w io.Writer, mix []Class, slots, count int, load float64, o Outage, window time.Duration, seed uint64) error {
	asked := Generate(seed, mix, slots, count, load)
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(out, "%d slots, load %.0f%%, nothing served from %s to %s, callers back within %s, seed %d\nfrom\tweight\tbound\n", slots, 100*load, o.From, o.end(), o.Return, seed)
	for _, b := range OutageBounds(asked, o.Apply(asked, seed), slots, window) {
		fmt.Fprintf(out, "%s\t%.0f\t%.3f\n", b.From, b.Weight, b.Bound/max(b.Weight, 1))
	}
	return out.Flush()
}
