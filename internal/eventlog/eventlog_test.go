package eventlog

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// blockedWriter blocks in Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestLog(t *testing.T) {
	Convey("A blocked writer doesn't block logging", t, func() {
		l := New("vm", "a")
		ctx, cancel := context.WithCancel(context.Background())
		w := blockedWriter{make(chan struct{})}
		ended := make(chan error)
		go func() { ended <- l.Run(ctx, w) }()
		before := l.dropped.Get()
		began := time.Now()
		for range 3 * queueLines {
			l.StateChange("leader_lost", "group", "g")
		}
		So(time.Since(began), ShouldBeLessThan, 2*time.Second)
		So(l.dropped.Get()-before, ShouldBeGreaterThanOrEqualTo, uint64(queueLines))
		cancel()
		close(w.release)
		So(<-ended, ShouldBeNil)
	})
	Convey("Lines are limited per class, with a higher limit for failures, and omitted lines are counted", t, func() {
		l := New("vm", "a")
		for range 1000 {
			l.Success("served")
			l.Failure("refused", "request", "x")
		}
		So(len(l.lines), ShouldBeBetweenOrEqual, failureLinesPerSecond, 2*(failureLinesPerSecond+successLinesPerSecond))
		time.Sleep(1100 * time.Millisecond)
		for len(l.lines) > 0 {
			<-l.lines
		}
		l.Failure("refused", "request", "y")
		var line map[string]any
		So(json.Unmarshal(<-l.lines, &line), ShouldBeNil)
		So(line["request"], ShouldEqual, "y")
		So(line["vm"], ShouldEqual, "a")
		So(line["omitted_before"], ShouldBeGreaterThan, 900)
	})
	Convey("Queued lines are written when the context ends", t, func() {
		l := New()
		l.StateChange("stopped")
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		var out bytes.Buffer
		So(l.Run(ctx, &out), ShouldBeNil)
		So(strings.Count(out.String(), "stopped"), ShouldEqual, 1)
	})
}

func TestDiscard(t *testing.T) {
	Convey("A discarding log writes no line of any class", t, func() {
		l := Discard()
		l.StateChange("started")
		l.Failure("refused")
		l.Retry("retry")
		l.Success("served")
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		var out bytes.Buffer
		So(l.Run(ctx, &out), ShouldBeNil)
		So(out.Len(), ShouldEqual, 0)
	})
}

func BenchmarkSampledLine(b *testing.B) {
	l := New("vm", "a")
	for b.Loop() {
		l.Success("served", "request", "x", "database", "d")
	}
}
