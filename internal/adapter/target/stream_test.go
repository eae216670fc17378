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

// rowsAnswer returns the answer to a SELECT of n rows with the given command tag,
// followed by a status answer.
func rowsAnswer(n int, tag string) []byte {
	out := encode(columns)
	row := encode(&pgproto3.DataRow{Values: [][]byte{make([]byte, 100)}})
	out = append(out, bytes.Repeat(row, n)...)
	out = append(out, encode(&pgproto3.CommandComplete{CommandTag: []byte(tag)}, ready)...)
	return append(out, statusAnswer()...)
}

func TestStreaming(t *testing.T) {
	Convey("A result of 64 MiB is forwarded through buffers of bounded size", t, func() {
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
		reply, err := runBatch(c, simpleBatch("SELECT v"), sink)
		So(err, ShouldBeNil)
		So(reply.Tag, ShouldEqual, "SELECT 1024")
		So(largest, ShouldBeLessThanOrEqualTo, 4*rowBytes)
		So(len(c.(*conn).reader.buffer), ShouldEqual, readBufferBytes)
	})
	Convey("A batch larger than the socket buffers does not deadlock with its answer", t, func() {
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
		b := simpleBatch("")
		b.Messages = messages
		reply, err := c.Exchange(context.Background(), target.Exchange{Batch: b, Overflow: func(context.Context) error { return nil }}, io.Discard)
		So(err, ShouldBeNil)
		So(reply.SQLState, ShouldBeEmpty)
	})
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// allocsPerExchange returns the number of allocations of one exchange with n rows.
func allocsPerExchange(t testing.TB, n int, tag string) float64 {
	answer := rowsAnswer(n, tag)
	c := newFakeServer(t, answerWith(answer)).dial()
	b, held := simpleBatch("SELECT v"), make([]byte, 0, 256)
	return testing.AllocsPerRun(50, func() {
		reply, err := c.Exchange(context.Background(), target.Exchange{Batch: b, PipelineStatus: true, Held: held[:0]}, io.Discard)
		if err != nil || !reply.HasStatusAfter {
			t.Fatal(err)
		}
	})
}

// maxAllocsPerRow is the limit of allocations for each forwarded row.
const maxAllocsPerRow = 0

// TestNoAllocationPerRow guards against allocations that grow with the number of rows:
// it compares an exchange of 2001 rows with one of a single row.
func TestNoAllocationPerRow(t *testing.T) {
	few, many := allocsPerExchange(t, 1, "SELECT 1"), allocsPerExchange(t, 2001, "SELECT 2001")
	if perRow := (many - few) / 2000; perRow > maxAllocsPerRow+0.01 {
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
			c := newFakeServer(b, answerWith(rowsAnswer(bench.rows, bench.tag))).dial()
			batch, held := simpleBatch("SELECT v"), make([]byte, 0, 256)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Exchange(context.Background(), target.Exchange{Batch: batch, PipelineStatus: true, Held: held[:0]}, io.Discard); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// FuzzAnswer answers a batch with arbitrary bytes. The exchange must return either an
// error of a documented kind or a complete answer.
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
		c := &conn{netConn: near, reader: newReader(near, 1<<20), statements: newStatementCache(4)}
		reply, err := runBatch(c, simpleBatch("SELECT v"), io.Discard)
		if err == nil && reply.Status == 0 {
			t.Fatal("exchange accepted an answer without ReadyForQuery")
		}
		if err != nil && !errors.Is(err, target.ErrLost) && !errors.Is(err, target.ErrNotSent) {
			t.Fatalf("error is neither ErrLost nor ErrNotSent: %v", err)
		}
	})
}

// FuzzInspect checks that inspect refuses arbitrary bytes only with ErrMalformed.
func FuzzInspect(f *testing.F) {
	f.Add(simpleBatch("SELECT v").Messages)
	f.Add(extendedBatch("a").Messages)
	f.Fuzz(func(t *testing.T, messages []byte) {
		if _, err := inspect(messages); err != nil && !errors.Is(err, target.ErrMalformed) {
			t.Fatalf("error is not ErrMalformed: %v", err)
		}
	})
}

func BenchmarkStatusCall(b *testing.B) {
	_, c := dialStandIn(b, Config{})
	address := c.(*conn).address
	control, err := NewDialer(Config{User: "proxy"}).DialControl(context.Background(), address, "osijek")
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
