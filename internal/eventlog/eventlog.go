// Package eventlog writes structured lines that explain what a daemon decided and
// believes. Writing never blocks; what is over the budget is counted.
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

// Budgets of one daemon in lines a second. Beliefs change seldom and are never
// sampled; refusals and unknown outcomes go before retries and successes.
const (
	failureLinesPerSecond = 50
	retryLinesPerSecond   = 20
	successLinesPerSecond = 2
	// queueLines bounds the lines that wait for a slow reader.
	queueLines = 1024
)

// Log writes lines to one writer through a bounded queue.
type Log struct {
	lines   chan []byte
	logger  *slog.Logger
	dropped *metrics.Counter

	failures, retries, successes budget
}

// budget counts the lines of one class in the current second.
type budget struct {
	limit   int64
	second  atomic.Int64
	used    atomic.Int64
	omitted atomic.Int64
}

// take reports whether a line may be written, and how many were left out before.
func (b *budget) take(now int64) (omitted int64, ok bool) {
	if b.second.Swap(now) != now {
		b.used.Store(0)
	}
	if b.used.Add(1) > b.limit {
		b.omitted.Add(1)
		return 0, false
	}
	return b.omitted.Swap(0), true
}

// New returns a log that Run writes to w. attrs stand on every line.
func New(attrs ...any) *Log {
	l := &Log{
		lines:   make(chan []byte, queueLines),
		dropped: metrics.GetOrCreateCounter(`laburnumrack_log_lines_dropped_total`),
	}
	l.failures.limit, l.retries.limit, l.successes.limit = failureLinesPerSecond, retryLinesPerSecond, successLinesPerSecond
	l.logger = slog.New(slog.NewJSONHandler(queueWriter{l}, nil)).With(attrs...)
	return l
}

// Discard returns a log that writes nothing.
func Discard() *Log {
	return &Log{lines: make(chan []byte), logger: slog.New(slog.DiscardHandler)}
}

// queueWriter queues lines and drops those that find the queue full.
type queueWriter struct{ log *Log }

// Write queues one line.
func (w queueWriter) Write(p []byte) (int, error) {
	select {
	case w.log.lines <- append([]byte(nil), p...):
	default:
		w.log.dropped.Inc()
	}
	return len(p), nil
}

// Run writes the lines to w until ctx ends, then those that are queued.
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

// StateChange logs a change of what the daemon believes, or of its life.
func (l *Log) StateChange(event string, attrs ...any) {
	l.logger.Info(event, attrs...)
}

// Failure logs a request that ended refused or unknown.
func (l *Log) Failure(event string, attrs ...any) {
	l.sampled(&l.failures, event, attrs)
}

// Retry logs a decision to try a request again.
func (l *Log) Retry(event string, attrs ...any) {
	l.sampled(&l.retries, event, attrs)
}

// Success logs a request that was served.
func (l *Log) Success(event string, attrs ...any) {
	l.sampled(&l.successes, event, attrs)
}

func (l *Log) sampled(b *budget, event string, attrs []any) {
	omitted, ok := b.take(time.Now().Unix())
	if !ok {
		return
	}
	if omitted > 0 {
		attrs = append(attrs, "omitted_before", omitted)
	}
	l.logger.Info(event, attrs...)
}
