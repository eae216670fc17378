// Package requesttrace follows one request through the event logs of several daemons.
package requesttrace

import (
	"errors"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/logread"
)

// contextWindow is how long before the first and after the last line of a request state
// changes of its group and its daemons are included.
const contextWindow = 2 * time.Second

// ErrNotFound is returned if no log line mentions the request.
var ErrNotFound = errors.New("no log line mentions the request; successes are sampled, so it may have been served")

// Write writes to w the lines of the logs that mention the request, together with the state
// changes of its groups and daemons around that time, ordered by time. The error wraps
// ErrNotFound if no line mentions the request.
func Write(w io.Writer, request string, logs ...io.Reader) error {
	var lines []logread.Line
	for _, r := range logs {
		read, err := logread.Read(r)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
	selected := selectLines(lines, request)
	if len(selected) == 0 {
		return fmt.Errorf("request %s: %w", request, ErrNotFound)
	}
	for _, l := range selected {
		if _, err := fmt.Fprintln(w, l.Text); err != nil {
			return fmt.Errorf("write request trace: %w", err)
		}
	}
	return nil
}

// selectLines returns the lines of the request and the state changes around them.
func selectLines(lines []logread.Line, request string) []logread.Line {
	groups, vms := map[string]bool{}, map[string]bool{}
	var first, last time.Time
	for _, l := range lines {
		if l.String("request") != request {
			continue
		}
		if first.IsZero() {
			first = l.At
		}
		last = l.At
		groups[l.String("group")] = true
		vms[l.String("vm")] = true
	}
	if first.IsZero() {
		return nil
	}
	var selected []logread.Line
	for _, l := range lines {
		switch {
		case l.String("request") == request:
			selected = append(selected, l)
		case l.String("request") != "" || l.String("session") != "" || l.At.Before(first.Add(-contextWindow)) || l.At.After(last.Add(contextWindow)):
		case l.String("group") != "" && groups[l.String("group")], l.String("group") == "" && vms[l.String("vm")] && isStateChange(l):
			selected = append(selected, l)
		}
	}
	return selected
}

// isStateChange reports whether a line without a group is a state change of the daemon or
// of its view of a dependency.
func isStateChange(l logread.Line) bool {
	switch l.String("msg") {
	case "store_lost", "store_regained", "peer_lost", "peer_leaving", "started", "stopping", "stopped", "configuration_applied", "target_unlisted":
		return true
	default:
		return false
	}
}
