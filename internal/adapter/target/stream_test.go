package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/laburnumrack/laburnumrack/internal/target"
	. "github.com/smartystreets/goconvey/convey"
)

// rowsAnswer returns the answer to a SELECT of n rows.
func rowsAnswer(n int, tag string) []byte {
	out := encode(columns)
	row := encode(&pgproto3.DataRow{Values: [][]byte{make([]byte, 100)}})
	out = append(out, bytes.Repeat(row, n)...)
	out = append(out, encode(&pgproto3.CommandComplete{CommandTag: []byte(tag)}, ready)...)
	return append(out, statusAnswer()...)
}

func TestStreaming(t *testing.T) {
	Convey("A result of 64 MiB passes with buffers that do not grow", t, func() {
		const rows, rowBytes = 1024, 64 << 10
		row := encode(&pgproto3.DataRow{Values: [][]byte{make([]byte, rowBytes)}})
		c := newFakeServer(t, func(c net.Conn, _ []byte) {
			_, _ = c.Write(encode(columns))
			for range rows {
				_, _ = c.Write(row)
			}
			_, _ = c.Write(encode(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1024")}, ready))
			_, _ = c.Write(statusAnswer())
		}).dial()
		largest := 0
		sink := writerFunc(func(p []byte) (int, error) {
			largest = max(largest, cap(c.(*conn).reader.buffer))
			return len(p), nil
		})
		reply, err := runOn(c, simple("SELECT v"), sink)
		So(err, ShouldBeNil)
		So(reply.Tag, ShouldEqual, "SELECT 1024")
		So(largest, ShouldBeLessThanOrEqualTo, 4*rowBytes)
		So(len(c.(*conn).reader.buffer), ShouldEqual, readBufferBytes)
	})
	Convey("A batch that is larger than the sockets' buffers does not block against its answer", t, func() {
		g, c := dialStandIn(t, Config{})
		_ = g
		var messages []byte
		for range 2000 {
			parse := &pgproto3.Parse{Query: "SELECT '" + string(bytes.Repeat([]byte("x"), 4000)) + "'"}
			messages, _ = parse.Encode(messages)
			messages, _ = (&pgproto3.Bind{}).Encode(messages)
			messages, _ = (&pgproto3.Execute{}).Encode(messages)
		}
		messages, _ = (&pgproto3.Sync{}).Encode(messages)
		b := simple("")
		b.Messages = messages
		reply, err := c.Exchange(context.Background(), target.Exchange{Batch: b, Overflow: func(context.Context) error { return nil }}, io.Discard)
		So(err, ShouldBeNil)
		So(reply.SQLState, ShouldBeEmpty)
	})
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// allocations returns the allocations of one exchange of n rows.
func allocations(t testing.TB, n int, tag string) float64 {
	answer := rowsAnswer(n, tag)
	c := newFakeServer(t, answering(answer)).dial()
	b, held := simple("SELECT v"), make([]byte, 0, 256)
	return testing.AllocsPerRun(50, func() {
		reply, err := c.Exchange(context.Background(), target.Exchange{Batch: b, PipelineStatus: true, Held: held[:0]}, io.Discard)
		if err != nil || !reply.AfterKnown {
			t.Fatal(err)
		}
	})
}

// rowAllocations is the bound on the allocations of a row: none.
const rowAllocations = 0

func TestNoAllocationPerRow(t *testing.T) {
	few, many := allocations(t, 1, "SELECT 1"), allocations(t, 2001, "SELECT 2001")
	if perRow := (many - few) / 2000; perRow > rowAllocations+0.01 {
		t.Fatalf("%.3f allocations per row (%.0f for 1 row, %.0f for 2001)", perRow, few, many)
	}
}

func BenchmarkExchange(b *testing.B) {
	for _, bench := range []struct {
		name string
		rows int
		tag  string
	}{{"rows=1", 1, "SELECT 1"}, {"rows=1000", 1000, "SELECT 1000"}} {
		b.Run(bench.name, func(b *testing.B) {
			c := newFakeServer(b, answering(rowsAnswer(bench.rows, bench.tag))).dial()
			batch, held := simple("SELECT v"), make([]byte, 0, 256)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Exchange(context.Background(), target.Exchange{Batch: batch, PipelineStatus: true, Held: held[:0]}, io.Discard); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// FuzzAnswer feeds arbitrary bytes as an answer: the exchange must end, with an
// error or with a whole answer.
func FuzzAnswer(f *testing.F) {
	f.Add(append(encode(columns, oneRow, selected, ready), statusAnswer()...))
	f.Add(encode(inserted, inserted, ready))
	f.Add([]byte{'D', 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, answer []byte) {
		near, far := net.Pipe()
		defer near.Close()
		go func() {
			_, _ = io.Copy(io.Discard, far)
		}()
		go func() {
			_, _ = far.Write(answer)
			far.Close()
		}()
		c := &conn{net: near, reader: newReader(near, 1<<20), prepared: newPrepared(4)}
		reply, err := runOn(c, simple("SELECT v"), io.Discard)
		if err == nil && reply.Status == 0 {
			t.Fatal("an answer without an end was taken for whole")
		}
		if err != nil && !errors.Is(err, target.ErrLost) && !errors.Is(err, target.ErrNotSent) {
			t.Fatalf("untyped error: %v", err)
		}
	})
}

// FuzzInspect checks that a batch is either refused or made of whole messages.
func FuzzInspect(f *testing.F) {
	f.Add(simple("SELECT v").Messages)
	f.Add(extended("a").Messages)
	f.Fuzz(func(t *testing.T, messages []byte) {
		if _, err := inspect(messages); err != nil && !errors.Is(err, target.ErrMalformed) {
			t.Fatalf("untyped error: %v", err)
		}
	})
}

func BenchmarkStatusCall(b *testing.B) {
	_, c := dialStandIn(b, Config{})
	g := c.(*conn).address
	control, err := NewDialer(Config{User: "proxy"}).DialControl(context.Background(), g, "osijek")
	if err != nil {
		b.Fatal(err)
	}
	defer control.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := control.Status(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
}
