package pgwire

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// quickOpener answers every batch with the same bytes and allocates nothing.
type quickOpener struct{ answer []byte }

func (q quickOpener) Open(context.Context, wireunit.Header) (wireunit.Unit, outcome.Outcome) {
	return q, outcome.Outcome{}
}

func (q quickOpener) Exchange(_ context.Context, _ wireunit.Batch, sink io.Writer) wireunit.Result {
	_, _ = sink.Write(q.answer)
	return wireunit.Result{Status: wireunit.TxIdle}
}

func (q quickOpener) Cancel() {}
func (q quickOpener) Close()  {}

func quick(tb testing.TB) *fixture {
	answer := []byte("C\x00\x00\x00\x0dSELECT 0\x00")
	return start(tb, func(c *Config) { c.Opener = quickOpener{answer: answer} })
}

// rawLogin logs in and returns the bare connection, with nothing of the client
// left in memory.
func rawLogin(tb testing.TB, f *fixture) net.Conn {
	tb.Helper()
	nc, err := net.Dial("tcp", f.address)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = nc.Close() })
	front := pgproto3.NewFrontend(nc, nc)
	client, err := scram.SHA256.NewClient("", testPassword, "")
	if err != nil {
		tb.Fatal(err)
	}
	conversation := client.NewConversation()
	front.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "foreman", "database": "grain.bins"}})
	for {
		if err := front.Flush(); err != nil {
			tb.Fatal(err)
		}
		m, err := front.Receive()
		if err != nil {
			tb.Fatal(err)
		}
		switch m := m.(type) {
		case *pgproto3.AuthenticationSASL:
			first, _ := conversation.Step("")
			front.Send(&pgproto3.SASLInitialResponse{AuthMechanism: mechanism, Data: []byte(first)})
		case *pgproto3.AuthenticationSASLContinue:
			last, _ := conversation.Step(string(m.Data))
			front.Send(&pgproto3.SASLResponse{Data: []byte(last)})
		case *pgproto3.ErrorResponse:
			tb.Fatalf("login: %s", m.Message)
		case *pgproto3.ReadyForQuery:
			return nc
		}
	}
}

// BenchmarkSimpleQuery sends one Query after the other; the client allocates
// nothing, so what is reported is the server's.
func BenchmarkSimpleQuery(b *testing.B) {
	nc := rawLogin(b, quick(b))
	in := bufio.NewReader(nc)
	query := queryMessage("select temperature from readings where bin = 7")
	const answerBytes = 14 + 6
	b.ReportAllocs()
	for b.Loop() {
		if _, err := nc.Write(query); err != nil {
			b.Fatal(err)
		}
		if _, err := in.Discard(answerBytes); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkIdleConnection reports the memory of one idle connection that has
// served a request: the server's side and the socket of its client, without the
// kernel's part.
func BenchmarkIdleConnection(b *testing.B) {
	const connections = 1000
	f := quick(b)
	query := queryMessage("select temperature from readings where bin = 7")
	for b.Loop() {
		conns := make([]net.Conn, connections)
		before := inUse()
		for i := range conns {
			conns[i] = rawLogin(b, f)
			if _, err := conns[i].Write(query); err != nil {
				b.Fatal(err)
			}
			if _, err := io.ReadFull(conns[i], make([]byte, 20)); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(inUse()-before)/connections, "B/conn")
		for _, nc := range conns {
			_ = nc.Close()
		}
	}
}

// inUse returns the bytes of heap and stacks in use.
func inUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
