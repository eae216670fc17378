package target

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/laburnumrack/laburnumrack/internal/target"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// fakeServer is a PostgreSQL server that accepts every login. Its answers to batches are
// given by the test.
type fakeServer struct {
	testing.TB
	listener net.Listener
	// mute makes the server answer nothing after the login.
	mute bool
	// answer is called for each batch with the connection and the bytes read.
	answer func(conn net.Conn, batch []byte)
}

func newFakeServer(t testing.TB, answer func(conn net.Conn, batch []byte)) *fakeServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeServer{TB: t, listener: listener, answer: answer}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *fakeServer) serve(conn net.Conn) {
	defer conn.Close()
	backend := pgproto3.NewBackend(conn, conn)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.BackendKeyData{ProcessID: 7, SecretKey: []byte{1, 2, 3, 4}})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if backend.Flush() != nil {
		return
	}
	buffer := make([]byte, 64<<10)
	if _, err := io.ReadFull(conn, buffer[:len(statusQuery)]); err != nil {
		return
	}
	if s.mute {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	_, _ = conn.Write(statusAnswer())
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		s.answer(conn, buffer[:n])
	}
}

// dial opens a connection to the server, which is closed at the end of the test.
func (s *fakeServer) dial() target.Conn {
	address := netip.MustParseAddrPort(s.listener.Addr().String())
	c, err := NewDialer(Config{User: "proxy"}).Dial(context.Background(), address, "osijek")
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { c.Close() })
	return c
}

// encode returns the encoding of backend messages.
func encode(messages ...pgproto3.BackendMessage) []byte {
	var out []byte
	for _, m := range messages {
		var err error
		if out, err = m.Encode(out); err != nil {
			panic(err)
		}
	}
	return out
}

// Messages of a typical answer.
var (
	columns  = &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25}}}
	oneRow   = &pgproto3.DataRow{Values: [][]byte{[]byte("on")}}
	selected = &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}
	inserted = &pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")}
	ready    = &pgproto3.ReadyForQuery{TxStatus: 'I'}
)

// statusAnswer returns the answer to the status query: the status of a primary in term 2.
func statusAnswer() []byte {
	row := &pgproto3.DataRow{}
	for _, v := range []string{"t1", "primary", "2", "2", "2", "9", "2", "8"} {
		row.Values = append(row.Values, []byte(v))
	}
	return encode(columns, row, selected, ready)
}

// simpleBatch returns a batch of one Query message.
func simpleBatch(sql string) wireunit.Batch {
	m := pgproto3.Query{String: sql}
	encoded, err := m.Encode(nil)
	if err != nil {
		panic(err)
	}
	return wireunit.Batch{Messages: encoded}
}
