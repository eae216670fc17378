// Package requesttrace follows one request through the event logs of several daemons.
package requesttrace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// contextWindow is how long before the first and after the last line of a request state
// changes of its group and its daemons are included.
const contextWindow = 2 * time.Second

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// ErrNotFound is returned if no log line mentions the request.
var ErrNotFound = errors.New("no log line mentions the request; successes are sampled, so it may have been served")

// logLine is a parsed line of an event log. text is the unparsed line.
type logLine struct {
	at     time.Time
	fields map[string]any
	text   string
}

func (l logLine) stringField(field string) string {
	s, _ := l.fields[field].(string)
	return s
}

// Write writes to w the lines of the logs that mention the request, together with the state
// changes of its groups and daemons around that time, ordered by time. The error wraps
// ErrNotFound if no line mentions the request.
func Write(w io.Writer, request string, logs ...io.Reader) error {
	var lines []logLine
	for _, r := range logs {
		read, err := readLines(r)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	selected := selectLines(lines, request)
	if len(selected) == 0 {
		return fmt.Errorf("request %s: %w", request, ErrNotFound)
	}
	for _, l := range selected {
		if _, err := fmt.Fprintln(w, l.text); err != nil {
			return fmt.Errorf("write request trace: %w", err)
		}
	}
	return nil
}

// readLines parses the lines of a log and skips those without a valid JSON object and time.
// Text before the object, such as a prefix added by a log collector, is allowed and kept.
func readLines(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		l := logLine{text: text}
		if json.Unmarshal([]byte(text[start:]), &l.fields) != nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, l.stringField("time"))
		if err != nil {
			continue
		}
		l.at = at
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

func selectLines(lines []logLine, request string) []logLine {
	groups, vms := map[string]bool{}, map[string]bool{}
	var first, last time.Time
	for _, l := range lines {
		if l.stringField("request") != request {
			continue
		}
		if first.IsZero() {
			first = l.at
		}
		last = l.at
		groups[l.stringField("group")] = true
		vms[l.stringField("vm")] = true
	}
	if first.IsZero() {
		return nil
	}
	var selected []logLine
	for _, l := range lines {
		switch {
		case l.stringField("request") == request:
			selected = append(selected, l)
		case l.stringField("request") != "" || l.stringField("session") != "" || l.at.Before(first.Add(-contextWindow)) || l.at.After(last.Add(contextWindow)):
		case l.stringField("group") != "" && groups[l.stringField("group")], l.stringField("group") == "" && vms[l.stringField("vm")] && isStateChange(l):
			selected = append(selected, l)
		}
	}
	return selected
}

// isStateChange reports whether a line without a group is a state change of the daemon or
// of its view of a dependency.
func isStateChange(l logLine) bool {
	switch l.stringField("msg") {
	case "store_lost", "store_regained", "peer_lost", "peer_leaving", "started", "stopping", "stopped", "configuration_applied", "target_unlisted":
		return true
	default:
		return false
	}
}
