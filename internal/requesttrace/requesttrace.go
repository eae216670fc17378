// Package requesttrace finds what the logs of several daemons say of one request.
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

// around is how long before the first and after the last line of a request the
// beliefs of its group and its daemons belong to its story.
const around = 2 * time.Second

// maxLineBytes bounds one line.
const maxLineBytes = 1 << 20

// ErrNotFound says that no line names the request.
var ErrNotFound = errors.New("no line names the request; successes are sampled, so it may have been served")

// line is one line of a log.
type line struct {
	at     time.Time
	fields map[string]any
	text   string
}

func (l line) string(field string) string {
	s, _ := l.fields[field].(string)
	return s
}

// Write writes the lines that name the request, and the beliefs about its groups and
// of its daemons around them, in the order of time.
func Write(w io.Writer, request string, logs ...io.Reader) error {
	var lines []line
	for _, r := range logs {
		read, err := readLines(r)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	chosen := choose(lines, request)
	if len(chosen) == 0 {
		return fmt.Errorf("request %s: %w", request, ErrNotFound)
	}
	for _, l := range chosen {
		if _, err := fmt.Fprintln(w, l.text); err != nil {
			return fmt.Errorf("write story: %w", err)
		}
	}
	return nil
}

// readLines returns the lines of a log. What stands before the object of a line,
// such as the time and name that a collector adds, is kept in its text.
func readLines(r io.Reader) ([]line, error) {
	var lines []line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		l := line{text: text}
		if json.Unmarshal([]byte(text[start:]), &l.fields) != nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, l.string("time"))
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

func choose(lines []line, request string) []line {
	groups, vms := map[string]bool{}, map[string]bool{}
	var first, last time.Time
	for _, l := range lines {
		if l.string("request") != request {
			continue
		}
		if first.IsZero() {
			first = l.at
		}
		last = l.at
		groups[l.string("group")] = true
		vms[l.string("vm")] = true
	}
	if first.IsZero() {
		return nil
	}
	var chosen []line
	for _, l := range lines {
		switch {
		case l.string("request") == request:
			chosen = append(chosen, l)
		case l.string("request") != "" || l.string("session") != "" || l.at.Before(first.Add(-around)) || l.at.After(last.Add(around)):
		case l.string("group") != "" && groups[l.string("group")], l.string("group") == "" && vms[l.string("vm")] && isBelief(l):
			chosen = append(chosen, l)
		}
	}
	return chosen
}

// isBelief reports whether a line without a group says what a daemon believes of
// its dependencies or its own life.
func isBelief(l line) bool {
	switch l.string("msg") {
	case "store_lost", "store_regained", "peer_lost", "peer_leaving", "started", "stopping", "stopped", "configuration_applied", "target_unlisted":
		return true
	default:
		return false
	}
}
