package pgwire

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"errors"
	"io"
	"math/big"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgxpool"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

var background = context.Background()

// loginErrorCode returns the SQLSTATE of a login that must fail.
func loginErrorCode(url string) string {
	return loginError(url).Code
}

// loginError returns the error of a login that must fail.
func loginError(url string) *pgconn.PgError {
	_, err := pgx.Connect(background, url)
	var e *pgconn.PgError
	So(errors.As(err, &e), ShouldBeTrue)
	return e
}

func selfSignedTLS(t *testing.T) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
}

func TestLogin(t *testing.T) {
	Convey("Given a server", t, func() {
		f := startServer(t, nil)
		Convey("a wrong password and an unknown caller fail with the same error", func() {
			So(loginErrorCode(strings.Replace(f.url(""), "correct", "wrong", 1)), ShouldEqual, "28P01")
			So(loginErrorCode(strings.Replace(f.url(""), "foreman", "nobody", 1)), ShouldEqual, "28P01")
			So(f.refusedCount(outcome.AuthFailed), ShouldEqual, 2)
		})
		Convey("denied or unknown services and invalid parameters are refused", func() {
			So(loginErrorCode(strings.Replace(f.url(""), "grain.bins", "ducts.bins", 1)), ShouldEqual, "42501")
			So(loginErrorCode(strings.Replace(f.url(""), "grain.bins", "other.bins", 1)), ShouldEqual, "3D000")
			So(loginErrorCode(strings.Replace(f.url(""), "grain.bins", "grain", 1)), ShouldEqual, "3D000")
			So(loginErrorCode(f.url("laburnumrack.max_age=never")), ShouldEqual, "22023")
			So(loginErrorCode(f.url("search_path=other")), ShouldEqual, "0A000")
		})
		Convey("startup options set parameters", func() {
			conn := connect(f, "options=-c%20laburnumrack.max_age%3D5s&application_name=crew")
			So(queryRow(conn, "show laburnumrack.max_age"), ShouldEqual, "5s")
			So(queryRow(conn, "show application_name"), ShouldEqual, "crew")
			So(queryRow(conn, "select 1"), ShouldEqual, "1")
			So(f.opener.lastHeader().MaxAge, ShouldEqual, 5*time.Second)
			So(f.opener.lastHeader().Class, ShouldEqual, "fan-order")
			So(conn.Close(background), ShouldBeNil)
		})
	})
	Convey("A stopped service is refused, also on open connections", t, func() {
		f := startServer(t, nil)
		conn := connect(f, "")
		service := f.config.Services["grain"]
		service.Value.State = configuration.ServiceStopped
		stopped := *f.config
		stopped.Services = map[string]configuration.Versioned[configuration.Service]{"grain": service}
		f.server.config.Configuration = configuration.Static{Snapshot: &stopped} // no request is running
		So(execError(conn, "select 1").Code, ShouldEqual, "57P03")
		So(loginErrorCode(f.url("")), ShouldEqual, "57P03")
		So(f.opener.executedSQL(), ShouldEqual, "")
	})
	Convey("A server with RequireTLS serves TLS connections and refuses others", t, func() {
		serverTLS := selfSignedTLS(t)
		f := startServer(t, func(c *Config) {
			c.TLS = func() *tls.Config { return serverTLS }
			c.RequireTLS = true
		})
		conn := connect(f, "sslmode=require")
		So(queryRow(conn, "select 1"), ShouldEqual, "1")
		So(loginErrorCode(f.url("sslmode=disable")), ShouldEqual, "28P01")
	})
	Convey("A caller over the connection limit is refused", t, func() {
		f := startServer(t, func(c *Config) { c.Limits.Connections = 1 })
		first := connect(f, "")
		refused := loginError(f.url(""))
		So(refused.Code, ShouldEqual, "53300")
		So(refused.Detail, ShouldContainSubstring, "retry_after_ms=1000")
		So(queryRow(first, "select 1"), ShouldEqual, "1")
	})
}

func TestPipelines(t *testing.T) {
	Convey("Given a pgx connection", t, func() {
		f := startServer(t, nil)
		conn := connect(f, "")
		Convey("a batch that contains a transaction runs completely", func() {
			b := &pgx.Batch{}
			for _, sql := range []string{"begin", "insert into t", "select 1", "commit"} {
				b.Queue(sql)
			}
			So(conn.SendBatch(background, b).Close(), ShouldBeNil)
			So(f.opener.executedSQL(), ShouldEqual, "begin; insert into t; select 1; commit")
			So(f.opener.openUnits(), ShouldEqual, 0)
		})
		Convey("a simple query may contain a transaction, but nothing after COMMIT", func() {
			So(execError(conn, "begin; insert into t; commit; insert into t").Code, ShouldEqual, "0A000")
			So(f.opener.executedSQL(), ShouldEqual, "")
			So(exec(conn, "begin; insert into t; commit"), ShouldEqual, "COMMIT")
			So(f.opener.executedSQL(), ShouldEqual, "begin; insert into t; commit")
		})
		Convey("an error in a batch skips the rest and leaves the connection usable", func() {
			b := &pgx.Batch{}
			for _, sql := range []string{"insert into t", "select broken", "insert into t"} {
				b.Queue(sql)
			}
			So(conn.SendBatch(background, b).Close(), ShouldNotBeNil)
			So(f.opener.executedSQL(), ShouldEqual, "insert into t; select broken")
			So(queryRow(conn, "select 1"), ShouldEqual, "1")
		})
		Convey("statements after COMMIT are refused and nothing runs", func() {
			b := &pgx.Batch{}
			for _, sql := range []string{"insert into t", "commit", "insert into t"} {
				b.Queue(sql)
			}
			err := conn.SendBatch(background, b).Close()
			So(err.(*pgconn.PgError).Code, ShouldEqual, "0A000")
			So(f.opener.executedSQL(), ShouldEqual, "")
		})
		Convey("BEGIN after Flush is refused and leaves no unit open", func() {
			p := conn.PgConn().StartPipeline(background)
			p.SendQueryParams("insert into t", nil, nil, nil, nil)
			p.SendFlushRequest()
			p.SendQueryParams("begin", nil, nil, nil, nil)
			So(p.Sync(), ShouldBeNil)
			So(p.Close().(*pgconn.PgError).Code, ShouldEqual, "0A000")
			So(queryRow(conn, "select 1"), ShouldEqual, "1")
			So(f.opener.openUnits(), ShouldEqual, 0)
		})
		Convey("Flush returns answers before Sync, within one transaction", func() {
			p := conn.PgConn().StartPipeline(background)
			p.SendQueryParams("insert into t", nil, nil, nil, nil)
			p.SendFlushRequest()
			So(p.Flush(), ShouldBeNil)
			results, err := p.GetResults()
			So(err, ShouldBeNil)
			tag, err := results.(*pgconn.ResultReader).Close()
			So(err, ShouldBeNil)
			So(tag.String(), ShouldEqual, "INSERT 0 1")
			p.SendQueryParams("insert into t", nil, nil, nil, nil)
			So(p.Sync(), ShouldBeNil)
			_, err = p.GetResults()
			So(err, ShouldBeNil)
			So(p.Close(), ShouldBeNil)
			So(f.opener.executedSQL(), ShouldEqual, "BEGIN; insert into t; insert into t; COMMIT")
			So(f.opener.openUnits(), ShouldEqual, 0)
		})
	})
}

func TestRequestParameters(t *testing.T) {
	Convey("Given a pgx connection", t, func() {
		f := startServer(t, nil)
		conn := connect(f, "")
		Convey("the request id and the deadline apply to the next request only", func() {
			exec(conn, "set laburnumrack.request_id = 'order-7'; set laburnumrack.deadline = '10s'")
			exec(conn, "insert into t set $1", "y")
			h := f.opener.lastHeader()
			So(h.RequestID, ShouldEqual, "order-7")
			So(h.Remaining, ShouldBeGreaterThan, 0)
			So(h.Remaining, ShouldBeLessThanOrEqualTo, 10*time.Second)
			exec(conn, "insert into t")
			So(f.opener.lastHeader().RequestID, ShouldEqual, "")
			So(f.opener.lastHeader().Remaining, ShouldEqual, 0)
		})
		Convey("a repeated request gets the command tag of the first run in both protocols", func() {
			f.opener.completedTags = map[string]string{"order-7": "INSERT 0 9"}
			exec(conn, "set laburnumrack.request_id = 'order-7'")
			So(exec(conn, "insert into t"), ShouldEqual, "INSERT 0 9")
			exec(conn, "set laburnumrack.request_id = 'order-7'")
			So(exec(conn, "insert into t set $1", "y"), ShouldEqual, "INSERT 0 9")
			So(f.opener.executedSQL(), ShouldEqual, "")
		})
		Convey("a request id applies to the whole transaction, and a repeated one does not run", func() {
			exec(conn, "set laburnumrack.request_id = 'order-7'; begin")
			So(queryRow(conn, "select 1"), ShouldEqual, "1")
			So(f.opener.lastHeader().RequestID, ShouldEqual, "order-7")
			So(execError(conn, "set laburnumrack.request_id = 'order-8'").Code, ShouldEqual, "22023")
			exec(conn, "rollback")
			f.opener.completedTags = map[string]string{"order-7": "COMMIT"}
			exec(conn, "set laburnumrack.request_id = 'order-7'; begin")
			So(execError(conn, "insert into t").Code, ShouldEqual, "23505")
			So(exec(conn, "commit"), ShouldEqual, "ROLLBACK")
			So(f.opener.openUnits(), ShouldEqual, 0)
		})
		Convey("a read leaves the request id for the next request", func() {
			exec(conn, "set laburnumrack.request_id = 'order-7'")
			So(queryRow(conn, "select 1"), ShouldEqual, "1")
			So(f.opener.lastHeader().RequestID, ShouldEqual, "")
			exec(conn, "insert into t")
			So(f.opener.lastHeader().RequestID, ShouldEqual, "order-7")
		})
		Convey("a declared reader runs possible writes read-only, and certain writes are refused", func() {
			exec(conn, "set default_transaction_read_only = on")
			f.opener.answers["select f()"] = answer{rows: 1, cell: "1", tag: "SELECT 1"}
			exec(conn, "select f()")
			So(f.opener.executedSQL(), ShouldEqual, "BEGIN READ ONLY; select f(); COMMIT")
			So(f.opener.lastHeader().ReadOnly, ShouldBeTrue)
			So(execError(conn, "insert into t").Code, ShouldEqual, "42501")
		})
		Convey("outcomes of the home are returned as errors with a detail", func() {
			unknown := outcome.UnknownOutcome(outcome.HomeLost, "the home died")
			f.opener.answers["insert into t"] = answer{failure: &unknown}
			e := execError(conn, "insert into t")
			So(e.Code, ShouldEqual, "08007")
			So(e.Detail, ShouldEqual, "outcome=unknown reason=home_lost")
			exec(conn, "begin")
			So(execError(conn, "insert into t").Code, ShouldEqual, "08007")
			So(execError(conn, "select 1").Code, ShouldEqual, "25P02")
			So(exec(conn, "commit"), ShouldEqual, "ROLLBACK")
			So(f.opener.openUnits(), ShouldEqual, 0)
		})
	})
}

func TestCancel(t *testing.T) {
	Convey("A cancel request cancels the running statement of its connection only", t, func() {
		f := startServer(t, nil)
		conn := connect(f, "")
		other := connect(f, "")
		abandoned := f.server.metrics.startupAbandoned.Get() // not zero: pgx tries TLS first
		failed := make(chan error, 1)
		go func() {
			_, err := conn.Exec(background, "select slow")
			failed <- err
		}()
		<-f.opener.started
		So(other.PgConn().CancelRequest(background), ShouldBeNil)
		f.server.cancel(conn.PgConn().PID(), []byte("none"))
		So(f.opener.cancels, ShouldEqual, 0)
		So(queryRow(other, "select 1"), ShouldEqual, "1")
		So(conn.PgConn().CancelRequest(background), ShouldBeNil)
		So(f.server.metrics.startupAbandoned.Get(), ShouldEqual, abandoned)
		So((<-failed).(*pgconn.PgError).Code, ShouldEqual, "57014")
		So(queryRow(conn, "select 1"), ShouldEqual, "1")
	})
	Convey("A cancel request after the statement has ended has no effect", t, func() {
		f := startServer(t, nil)
		conn := connect(f, "")
		exec(conn, "begin")
		exec(conn, "insert into t")
		So(conn.PgConn().CancelRequest(background), ShouldBeNil)
		So(f.opener.cancels, ShouldEqual, 0)
		So(exec(conn, "commit"), ShouldEqual, "COMMIT")
	})
	Convey("A statement that runs past its deadline is canceled", t, func() {
		f := startServer(t, nil)
		conn := connect(f, "")
		exec(conn, "set laburnumrack.deadline = '5ms'")
		So(execError(conn, "select slow").Code, ShouldEqual, "57014")
	})
}

func TestShutdown(t *testing.T) {
	Convey("Shutdown closes idle connections and waits for open transactions", t, func() {
		f := startServer(t, nil)
		idle := connect(f, "")
		busy := connect(f, "")
		exec(busy, "begin")
		exec(busy, "insert into t")
		done := make(chan error, 1)
		go func() { done <- f.server.Shutdown(background) }()
		message, err := idle.PgConn().ReceiveMessage(background)
		_, isError := message.(*pgproto3.ErrorResponse)
		So(isError || err != nil, ShouldBeTrue)
		_, err = idle.Exec(background, "select 1")
		So(err, ShouldNotBeNil)
		exec(busy, "insert into t")
		So(exec(busy, "commit"), ShouldEqual, "COMMIT")
		So(<-done, ShouldBeNil)
		_, err = pgx.Connect(background, f.url(""))
		So(err, ShouldNotBeNil)
	})
}

func TestLargeResult(t *testing.T) {
	Convey("A result of a million rows is returned completely", t, func() {
		f := startServer(t, nil)
		pool, err := pgxpool.New(background, f.url("pool_max_conns=2"))
		So(err, ShouldBeNil)
		defer pool.Close()
		rows, err := pool.Query(background, "select many")
		So(err, ShouldBeNil)
		n := 0
		for rows.Next() {
			n++
		}
		So(rows.Err(), ShouldBeNil)
		So(n, ShouldEqual, 1_000_000)
	})
}

// TestStatementNames guards against two statements that share a name at targets, where a
// Bind would then run the wrong one.
func TestStatementNames(t *testing.T) {
	names := map[string]bool{}
	for _, oids := range [][]uint32{nil, {0}, {23}, {25}, {23, 25}, {25, 23}} {
		for _, sql := range []string{"select $1", "select $2"} {
			names[statementName(sql, oids)] = true
		}
	}
	if len(names) != 12 {
		t.Fatalf("got %d names for 12 statements", len(names))
	}
}

// receiveUntilReady reads messages up to ReadyForQuery and returns their types and the
// first cell of each row.
func receiveUntilReady(tb testing.TB, frontend *pgproto3.Frontend) (types string, cells []string) {
	tb.Helper()
	if err := frontend.Flush(); err != nil {
		tb.Fatal(err)
	}
	for {
		m, err := frontend.Receive()
		if err != nil {
			tb.Fatal(err)
		}
		encoded, _ := m.(interface{ Encode([]byte) ([]byte, error) }).Encode(nil)
		types += string(encoded[0])
		switch m := m.(type) {
		case *pgproto3.DataRow:
			cells = append(cells, string(m.Values[0]))
		case *pgproto3.ReadyForQuery:
			return types, cells
		}
	}
}

func TestBareProtocol(t *testing.T) {
	Convey("Given a connection without a client library", t, func() {
		f := startServer(t, nil)
		nc := rawLogin(t, f)
		frontend := pgproto3.NewFrontend(nc, nc)
		send := func(messages ...pgproto3.FrontendMessage) (string, []string) {
			for _, m := range messages {
				frontend.Send(m)
			}
			return receiveUntilReady(t, frontend)
		}
		Convey("the unnamed statement is kept when named statements are prepared", func() {
			types, cells := send(
				&pgproto3.Parse{Query: "select 1"},
				&pgproto3.Parse{Name: "s", Query: "select a where x=$1"},
				&pgproto3.Bind{}, &pgproto3.Execute{},
				&pgproto3.Bind{DestinationPortal: "p", PreparedStatement: "s", Parameters: [][]byte{[]byte("y")}},
				&pgproto3.Execute{Portal: "p"},
				&pgproto3.Sync{})
			So(types, ShouldEqual, "112DC2DCSZ")
			So(cells, ShouldResemble, []string{"1", "a"})
			types, cells = send(&pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
			So(types, ShouldEqual, "2DCSZ")
			So(cells, ShouldResemble, []string{"1"})
		})
		Convey("a pipeline with a write at any place is not read-only", func() {
			for _, order := range [][]string{{"insert into t", "select 1"}, {"select 1", "insert into t"}, {"select 1", "select 1"}} {
				for _, sql := range order {
					frontend.Send(&pgproto3.Parse{Query: sql})
					frontend.Send(&pgproto3.Bind{})
					frontend.Send(&pgproto3.Execute{})
				}
				_, _ = send(&pgproto3.Sync{})
			}
			So(f.opener.flags, ShouldResemble, []string{"", "", "read"})
		})
		Convey("batches are flagged as read-only, auxiliary or not committing", func() {
			for _, sql := range []string{"begin", "insert into t", "select 1", "savepoint s", "insert into t; commit", "begin read only", "select 1", "commit", "insert into t"} {
				f.opener.answers["savepoint s"] = answer{tag: "SAVEPOINT"}
				_, _ = send(&pgproto3.Query{String: sql})
			}
			_, _ = send(&pgproto3.Parse{Name: "s", Query: "insert into t"}, &pgproto3.Sync{})
			So(f.opener.flags, ShouldResemble, []string{
				"aux nocommit", "nocommit", "nocommit", "aux nocommit", "",
				"aux nocommit read", "nocommit read", "aux read", "",
				"aux read"})
		})
		Convey("SHOW, and Sync without messages, are answered without a target", func() {
			types, cells := send(
				&pgproto3.Parse{Query: "show laburnumrack.deadline"}, &pgproto3.Describe{ObjectType: 'S'},
				&pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Close{ObjectType: 'S'}, &pgproto3.Sync{})
			So(types, ShouldEqual, "1tT2DC3Z")
			So(cells, ShouldResemble, []string{""})
			types, _ = send(&pgproto3.Sync{})
			So(types, ShouldEqual, "Z")
			So(f.opener.headers, ShouldBeEmpty)
		})
		Convey("a statement name can be used again after its Parse failed", func() {
			bad := &pgproto3.Parse{Name: "s", Query: "syntax error"}
			for range 2 {
				types, _ := send(bad, &pgproto3.Sync{})
				So(types, ShouldEqual, "EZ")
			}
			types, _ := send(&pgproto3.Parse{Name: "good", Query: "select 1"}, bad, &pgproto3.Parse{Name: "skipped", Query: "select 1"}, &pgproto3.Sync{})
			So(types, ShouldEqual, "1EZ")
			types, _ = send(&pgproto3.Parse{Name: "skipped", Query: "select 1"}, &pgproto3.Sync{})
			So(types, ShouldEqual, "1SZ")
			types, _ = send(&pgproto3.Parse{Name: "refused", Query: "select 1"}, &pgproto3.Bind{PreparedStatement: "none"}, &pgproto3.Sync{})
			So(types, ShouldEqual, "EZ")
			types, _ = send(&pgproto3.Parse{Name: "refused", Query: "select 1"}, &pgproto3.Sync{})
			So(types, ShouldEqual, "1SZ")
			frontend.Send(&pgproto3.Parse{Name: "good", Query: "select 1"})
			frontend.Send(&pgproto3.Sync{})
			So(frontend.Flush(), ShouldBeNil)
			m, err := frontend.Receive()
			So(err, ShouldBeNil)
			So(m.(*pgproto3.ErrorResponse).Code, ShouldEqual, "42P05")
		})
		Convey("a portal of a lost transaction is refused without a target", func() {
			lost := outcome.Refuse(outcome.TransactionLost, 0, "lost")
			f.opener.answers["select lost"] = answer{failure: &lost}
			_, _ = send(&pgproto3.Query{String: "begin"})
			_, _ = send(&pgproto3.Parse{Query: "select 1"}, &pgproto3.Bind{DestinationPortal: "p"}, &pgproto3.Sync{})
			_, _ = send(&pgproto3.Query{String: "select lost"})
			ran := len(f.opener.headers)
			for _, m := range []pgproto3.FrontendMessage{&pgproto3.Execute{Portal: "p"}, &pgproto3.Describe{ObjectType: 'P', Name: "p"}} {
				frontend.Send(m)
				frontend.Send(&pgproto3.Sync{})
				So(frontend.Flush(), ShouldBeNil)
				answer, err := frontend.Receive()
				So(err, ShouldBeNil)
				So(answer.(*pgproto3.ErrorResponse).Code, ShouldEqual, "25P02")
				end, err := frontend.Receive()
				So(err, ShouldBeNil)
				So(end.(*pgproto3.ReadyForQuery).TxStatus, ShouldEqual, byte('E'))
			}
			So(len(f.opener.headers), ShouldEqual, ran)
			types, _ := send(&pgproto3.Query{String: "rollback"})
			So(types, ShouldEqual, "CZ")
		})
		Convey("an unknown statement or portal fails its pipeline only", func() {
			types, _ := send(&pgproto3.Bind{PreparedStatement: "none"}, &pgproto3.Execute{}, &pgproto3.Sync{})
			So(types, ShouldEqual, "EZ")
			types, _ = send(&pgproto3.Execute{Portal: "none"}, &pgproto3.Sync{})
			So(types, ShouldEqual, "EZ")
			types, _ = send(&pgproto3.Query{String: "select 1"})
			So(types, ShouldEqual, "TDCSZ")
		})
	})
	Convey("A later minor version and protocol options are negotiated down", t, func() {
		f := startServer(t, nil)
		nc, err := net.Dial("tcp", f.address)
		So(err, ShouldBeNil)
		defer nc.Close()
		message, err := (&pgproto3.StartupMessage{ProtocolVersion: 3<<16 | 9, Parameters: map[string]string{"user": "foreman", "database": "grain.bins", "_pq_.x": "1"}}).Encode(nil)
		So(err, ShouldBeNil)
		_, err = nc.Write(message)
		So(err, ShouldBeNil)
		m, err := pgproto3.NewFrontend(nc, nc).Receive()
		So(err, ShouldBeNil)
		So(m, ShouldResemble, &pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: pgproto3.ProtocolVersion32, UnrecognizedOptions: []string{"_pq_.x"}})
	})
}

// TestMalformedMessages guards against malformed startup packets and messages that stop
// the server or get no error. Each must get a fatal error, and the server must still serve.
func TestMalformedMessages(t *testing.T) {
	f := startServer(t, nil)
	startup := func(length uint32, rest string) string {
		return string(binary.BigEndian.AppendUint32(nil, length)) + rest
	}
	login := startup(30, "\x00\x03\x00\x00user\x00a\x00database\x00a.b\x00\x00")
	for name, bytes := range map[string]string{
		"http":            "GET / HTTP/1.1\r\n\r\n",
		"absurd length":   startup(1<<31, ""),
		"zero length":     startup(0, ""),
		"version 2":       startup(8, "\x00\x02\x00\x00"),
		"no parameters":   startup(8, "\x00\x03\x00\x00"),
		"short cancel":    startup(8, "\x04\xd2\x16\x2e"),
		"query for login": login + "Q\x00\x00\x00\x05\x00",
		"huge password":   login + "p\x7f\xff\xff\xff",
		"negative length": login + "p\xff\xff\xff\xff",
	} {
		t.Run(name, func(t *testing.T) {
			nc, err := net.Dial("tcp", f.address)
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			if _, err := io.WriteString(nc, bytes); err != nil {
				t.Fatal(err)
			}
			answer, err := io.ReadAll(nc)
			if err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(string(answer), "FATAL") {
				t.Fatalf("answer %q contains no fatal error", answer)
			}
		})
	}
	conn, err := pgx.Connect(background, f.url(""))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close(background)
	if _, err := conn.Exec(background, "select 1"); err != nil {
		t.Fatal(err)
	}
}
