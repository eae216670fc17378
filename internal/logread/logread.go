// Package logread reads the event logs that daemons have written.
package logread

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Line is a parsed line of an event log.
type Line struct {
	// At is the time of day at the daemon.
	At     time.Time
	Fields map[string]any
	// Text is the whole line, and Prefix what a log collector put before the object.
	Text, Prefix string
}

// String returns a field that is text, or "" if there is none.
func (l Line) String(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// Number returns a field that is a number, or 0 if there is none.
func (l Line) Number(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

// Read parses the lines of a log and skips those without a valid JSON object and time.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parse(scanner.Text()); ok {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

// parse parses one line. It reports false for a line that is not of an event log.
func parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{Text: text, Prefix: text[:start]}
	if json.Unmarshal([]byte(text[start:]), &l.Fields) != nil {
		return Line{}, false
	}
	var err error
	l.At, err = time.Parse(time.RFC3339Nano, l.String("time"))
	return l, err == nil
}
