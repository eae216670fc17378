// Package daylosses turns the event logs of a fleet into a table of when, where and why
// requests were not served.
//
// Daemons bound the lines that they write of requests; a line says how many were left out
// before it, and these are counted with the line.
package daylosses

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/logread"
)

// Loss is the number of requests of one window that ended in the same way at the same place.
type Loss struct {
	// Window is the start of the window, since the first line of the logs.
	Window time.Duration
	// Event is how the requests ended: refused, unknown, timeout or transaction_lost.
	Event, Reason, Group, VM string
	Requests                 int
	// Tries is the number of exchanges with targets, and Waited the time that the requests
	// were held, both summed over the lines that were written.
	Tries  int
	Waited time.Duration
	lines  int
}

// MeanWaited returns how long a request was held on average.
func (l Loss) MeanWaited() time.Duration {
	return l.Waited / time.Duration(max(l.lines, 1))
}

// lossEvents are the events that end a request without success.
var lossEvents = []string{"refused", "unknown", "timeout", "transaction_lost"}

// omittedField is the field of a line that counts the lines left out before it.
const omittedField = "omitted_before"

// key identifies a Loss.
type key struct {
	window                   time.Duration
	event, reason, group, vm string
}

// Collect counts the losses of logs in windows of the given length, by window and then with
// the greatest first.
func Collect(lines []logread.Line, window time.Duration) []Loss {
	if len(lines) == 0 {
		return nil
	}
	first := slices.MinFunc(lines, func(a, b logread.Line) int { return a.At.Compare(b.At) }).At
	losses := map[key]*Loss{}
	for _, l := range lines {
		event := l.String("msg")
		if !slices.Contains(lossEvents, event) {
			continue
		}
		k := key{l.At.Sub(first).Truncate(window), event, l.String("reason"), l.String("group"), l.String("vm")}
		loss := losses[k]
		if loss == nil {
			loss = &Loss{Window: k.window, Event: k.event, Reason: k.reason, Group: k.group, VM: k.vm}
			losses[k] = loss
		}
		loss.lines++
		loss.Requests += 1 + int(l.Number(omittedField))
		loss.Tries += int(l.Number("tries"))
		loss.Waited += time.Duration(l.Number("waited_ms")) * time.Millisecond
	}
	out := make([]Loss, 0, len(losses))
	for _, l := range losses {
		out = append(out, *l)
	}
	slices.SortFunc(out, compare)
	return out
}

// compare orders losses by window, then by the number of requests, then by name.
func compare(a, b Loss) int {
	return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(b.Requests, a.Requests),
		cmp.Compare(a.Event+a.Reason+a.Group+a.VM, b.Event+b.Reason+b.Group+b.VM))
}

// Write writes a table of the losses, with at most perWindow rows a window; a last row counts
// the rest of the window. start is the time since the first line at which windows are
// numbered 0.
func Write(w io.Writer, losses []Loss, start time.Duration, perWindow int) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "second\trequests\thow\treason\tgroup\tvm\ttries\tmean wait")
	for len(losses) > 0 {
		end := slices.IndexFunc(losses, func(l Loss) bool { return l.Window != losses[0].Window })
		if end < 0 {
			end = len(losses)
		}
		writeWindow(out, losses[:end], start, perWindow)
		losses = losses[end:]
	}
	return out.Flush()
}

// writeWindow writes the rows of one window.
func writeWindow(w io.Writer, losses []Loss, start time.Duration, perWindow int) {
	second := (losses[0].Window - start).Seconds()
	rest := 0
	for i, l := range losses {
		if i >= perWindow {
			rest += l.Requests
			continue
		}
		fmt.Fprintf(w, "%.0f\t%d\t%s\t%s\t%s\t%s\t%d\t%s\n", second, l.Requests, l.Event, cmp.Or(l.Reason, "-"), cmp.Or(l.Group, "-"), l.VM, l.Tries, l.MeanWaited().Round(time.Millisecond))
	}
	if rest > 0 {
		fmt.Fprintf(w, "%.0f\t%d\tother\t\t\t\t\t\n", second, rest)
	}
}
