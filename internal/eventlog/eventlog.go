// Package eventlog writes structured log lines about state changes of a daemon and outcomes
// of requests. Logging never blocks: lines over the rate limit of their class, or that don't
// fit in the queue, are dropped and counted.
package eventlog

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Rate limits of one daemon in lines per second. State changes are rare and never sampled.
// Refusals and unknown outcomes have a higher limit than retries, and retries than
// successes.
const (
	failureLinesPerSecond = 50
	retryLinesPerSecond   = 20
	successLinesPerSecond = 2
	// queueLines is the capacity of the queue for a writer that is slow.
	queueLines = 1024
)

// Log queues lines for one writer. It is safe for concurrent use.
type Log struct {
	lines   chan []byte
	logger  *slog.Logger
	dropped *metrics.Counter

	failures, retries, successes budget
}

// budget limits the lines of one class per second.
type budget struct {
	limit   int64
	second  atomic.Int64
	used    atomic.Int64
	omitted atomic.Int64
}

// allow reports whether a line may be written at now, in Unix seconds, and returns how many
// lines were omitted since the last one that was written.
func (b *budget) allow(now int64) (omitted int64, ok bool) {
	if b.second.Swap(now) != now {
		b.used.Store(0)
	}
	if b.used.Add(1) > b.limit {
		b.omitted.Add(1)
		return 0, false
	}
	return b.omitted.Swap(0), true
}

// New returns a log whose lines Run writes. attrs are added to every line.
func New(attrs ...any) *Log {
	l := &Log{
		lines:   make(chan []byte, queueLines),
		dropped: metrics.GetOrCreateCounter(`laburnumrack_log_lines_dropped_total`),
	}
	l.failures.limit, l.retries.limit, l.successes.limit = failureLinesPerSecond, retryLinesPerSecond, successLinesPerSecond
	l.logger = slog.New(slog.NewJSONHandler(queueWriter{l}, nil)).With(attrs...)
	return l
}

// Discard returns a log that discards all lines.
func Discard() *Log {
	return &Log{lines: make(chan []byte), logger: slog.New(slog.DiscardHandler)}
}

// queueWriter is the slog output. It drops lines if the queue is full.
type queueWriter struct{ log *Log }

// Write queues a copy of one line. It never fails.
func (w queueWriter) Write(p []byte) (int, error) {
	select {
	case w.log.lines <- append([]byte(nil), p...):
	default:
		w.log.dropped.Inc()
	}
	return len(p), nil
}

// Run writes queued lines to w until ctx ends, then the lines that are still queued. It
// returns the first error of w.
func (l *Log) Run(ctx context.Context, w io.Writer) error {
	for {
		select {
		case line := <-l.lines:
			if _, err := w.Write(line); err != nil {
				return fmt.Errorf("write log: %w", err)
			}
		case <-ctx.Done():
			return l.drain(w)
		}
	}
}

func (l *Log) drain(w io.Writer) error {
	for {
		select {
		case line := <-l.lines:
			if _, err := w.Write(line); err != nil {
				return fmt.Errorf("write log: %w", err)
			}
		default:
			return nil
		}
	}
}

// StateChange logs a change of the daemon's own state or of its view of other components.
// It is never sampled.
func (l *Log) StateChange(event string, attrs ...any) {
	l.logger.Info(event, attrs...)
}

// Failure logs a request that was refused or whose outcome is unknown.
func (l *Log) Failure(event string, attrs ...any) {
	l.logSampled(&l.failures, event, attrs)
}

// Retry logs the decision to retry a request.
func (l *Log) Retry(event string, attrs ...any) {
	l.logSampled(&l.retries, event, attrs)
}

// Success logs a request that succeeded.
func (l *Log) Success(event string, attrs ...any) {
	l.logSampled(&l.successes, event, attrs)
}

func (l *Log) logSampled(b *budget, event string, attrs []any) {
	omitted, ok := b.allow(time.Now().Unix())
	if !ok {
		return
	}
	if omitted > 0 {
		attrs = append(attrs, "omitted_before", omitted)
	}
	l.logger.Info(event, attrs...)
}
