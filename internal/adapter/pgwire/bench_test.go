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

// staticOpener answers every batch with the same bytes and allocates nothing.
type staticOpener struct{ answer []byte }

func (o staticOpener) Open(context.Context, wireunit.Header) (wireunit.Unit, outcome.Outcome) {
	return o, outcome.Outcome{}
}

func (o staticOpener) Exchange(_ context.Context, _ wireunit.Batch, sink io.Writer) wireunit.Result {
	_, _ = sink.Write(o.answer)
	return wireunit.Result{Status: wireunit.TxIdle}
}

func (o staticOpener) Cancel() {}
func (o staticOpener) Close()  {}

func startStatic(tb testing.TB) *fixture {
	answer := []byte("C\x00\x00\x00\x0dSELECT 0\x00")
	return startServer(tb, func(c *Config) { c.Opener = staticOpener{answer: answer} })
}

// rawLogin logs in as foreman and returns the network connection without a client
// library, so that a benchmark measures no memory of a client.
func rawLogin(tb testing.TB, f *fixture) net.Conn {
	tb.Helper()
	nc, err := net.Dial("tcp", f.address)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = nc.Close() })
	frontend := pgproto3.NewFrontend(nc, nc)
	client, err := scram.SHA256.NewClient("", testPassword, "")
	if err != nil {
		tb.Fatal(err)
	}
	conversation := client.NewConversation()
	frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "foreman", "database": "grain.bins"}})
	for {
		if err := frontend.Flush(); err != nil {
			tb.Fatal(err)
		}
		m, err := frontend.Receive()
		if err != nil {
			tb.Fatal(err)
		}
		switch m := m.(type) {
		case *pgproto3.AuthenticationSASL:
			first, _ := conversation.Step("")
			frontend.Send(&pgproto3.SASLInitialResponse{AuthMechanism: scramMechanism, Data: []byte(first)})
		case *pgproto3.AuthenticationSASLContinue:
			last, _ := conversation.Step(string(m.Data))
			frontend.Send(&pgproto3.SASLResponse{Data: []byte(last)})
		case *pgproto3.ErrorResponse:
			tb.Fatalf("login: %s", m.Message)
		case *pgproto3.ReadyForQuery:
			return nc
		}
	}
}

// BenchmarkSimpleQuery measures sequential Query messages. The client allocates nothing,
// so all reported allocations are the server's.
func BenchmarkSimpleQuery(b *testing.B) {
	nc := rawLogin(b, startStatic(b))
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

// BenchmarkIdleConnection reports the memory of one idle connection that has served a
// request. It includes the client's socket, but not the memory of the kernel.
func BenchmarkIdleConnection(b *testing.B) {
	const connections = 1000
	f := startStatic(b)
	query := queryMessage("select temperature from readings where bin = 7")
	for b.Loop() {
		conns := make([]net.Conn, connections)
		before := memoryInUse()
		for i := range conns {
			conns[i] = rawLogin(b, f)
			if _, err := conns[i].Write(query); err != nil {
				b.Fatal(err)
			}
			if _, err := io.ReadFull(conns[i], make([]byte, 20)); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(memoryInUse()-before)/connections, "B/conn")
		for _, nc := range conns {
			_ = nc.Close()
		}
	}
}

// memoryInUse returns the bytes of heap and stacks in use, after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
