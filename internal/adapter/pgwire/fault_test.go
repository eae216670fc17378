package pgwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/session"
)

// TestRollingShutdown guards against requests that are lost or run twice when proxies are
// shut down one after the other under load. Each acknowledged insert must have run once,
// and each refused one must not have run.
func TestRollingShutdown(t *testing.T) {
	const workers, requests, replacements = 8, 150, 6
	shared := startServer(t, nil)
	var current atomic.Value
	current.Store(shared)
	next := func() *fixture { return startServer(t, func(c *Config) { c.Opener = shared.opener }) }

	var acknowledged, refused atomic.Int64
	var group sync.WaitGroup
	completed := make(chan struct{}, workers*requests)
	for range workers {
		group.Go(func() {
			var conn *pgx.Conn
			for range requests {
				for done := false; !done; {
					var err error
					if conn == nil {
						conn, err = pgx.Connect(background, current.Load().(*fixture).url(""))
						if err != nil {
							continue // the proxy shut down after it was chosen
						}
					}
					_, err = conn.Exec(background, "insert into t")
					if done = err == nil; done {
						acknowledged.Add(1)
						continue
					}
					conn = nil
					var e *pgconn.PgError
					switch {
					case errors.As(err, &e) && e.Code == "57P01" && strings.Contains(e.Detail, "not_run=true"):
						refused.Add(1)
					case pgconn.SafeToRetry(err):
					default:
						t.Errorf("a request failed without a definite outcome: %v", err)
						return
					}
				}
				completed <- struct{}{}
			}
			_ = conn.Close(background)
		})
	}
	for range replacements {
		for range workers * requests / (replacements + 1) {
			<-completed
		}
		old := current.Load().(*fixture)
		current.Store(next())
		if err := old.server.Shutdown(background); err != nil {
			t.Error(err)
		}
	}
	group.Wait()
	ran := int64(len(shared.opener.executed))
	if ran != workers*requests || acknowledged.Load() != ran {
		t.Fatalf("%d requests, %d acknowledged, %d ran, %d refused", workers*requests, acknowledged.Load(), ran, refused.Load())
	}
}

func TestSlowCallers(t *testing.T) {
	Convey("A caller that does not read stops the target, and its unit ends when it disconnects", t, func() {
		f := startServer(t, nil)
		nc := rawLogin(t, f)
		_, err := nc.Write(queryMessage("select many"))
		So(err, ShouldBeNil)
		one := make([]byte, 1)
		_, err = io.ReadFull(nc, one)
		So(err, ShouldBeNil)
		So(f.opener.openUnits(), ShouldEqual, 1)
		So(nc.Close(), ShouldBeNil)
		waitFor(func() bool { return f.opener.openUnits() == 0 })
	})
	Convey("The running statement of a caller that disconnects is canceled", t, func() {
		f := startServer(t, func(c *Config) { c.Limits.CallerCheckInterval = 5 * time.Millisecond })
		connected := rawLogin(t, f)
		disconnecting := rawLogin(t, f)
		for _, nc := range []net.Conn{connected, disconnecting} {
			_, err := nc.Write(queryMessage("select slow"))
			So(err, ShouldBeNil)
			<-f.opener.started
		}
		So(disconnecting.Close(), ShouldBeNil)
		waitFor(func() bool { return f.opener.openUnits() == 1 })
		So(f.server.metrics.callersGone.Get(), ShouldEqual, 1)
		So(f.server.loggedIn.Load(), ShouldBeGreaterThanOrEqualTo, 1)
	})
	Convey("A caller that does not read for the write timeout is disconnected", t, func() {
		f := startServer(t, func(c *Config) { c.Limits.WriteTimeout = 20 * time.Millisecond })
		nc := rawLogin(t, f)
		_, err := nc.Write(queryMessage("select many"))
		So(err, ShouldBeNil)
		waitFor(func() bool { return f.server.loggedIn.Load() == 0 })
		So(f.opener.openUnits(), ShouldEqual, 0)
	})
	Convey("An incomplete startup ends with the startup timeout", t, func() {
		f := startServer(t, func(c *Config) { c.Limits.StartupTimeout = 20 * time.Millisecond })
		nc, err := net.Dial("tcp", f.address)
		So(err, ShouldBeNil)
		defer nc.Close()
		_, err = nc.Write([]byte{0, 0})
		So(err, ShouldBeNil)
		answer, err := io.ReadAll(nc)
		So(err, ShouldBeNil)
		So(string(answer), ShouldContainSubstring, "startup was not complete")
		So(f.refusedCount(outcome.AuthFailed), ShouldEqual, 1)
	})
	Convey("A transaction that is idle for too long is rolled back with an error message", t, func() {
		f := startServer(t, func(c *Config) { c.Limits.IdleInTransactionTimeout = 20 * time.Millisecond })
		conn := connect(f, "")
		exec(conn, "begin")
		_, err := conn.PgConn().ReceiveMessage(background)
		var e *pgconn.PgError
		So(errors.As(err, &e), ShouldBeTrue)
		So(e.Code, ShouldEqual, "25P03")
	})
	Convey("A message over the limit is refused before its body arrives, and so is a pipeline over the limit", t, func() {
		f := startServer(t, func(c *Config) { c.Limits.MessageBytes = 1 << 10 })
		nc := rawLogin(t, f)
		_, err := nc.Write([]byte{'Q', 0x7f, 0xff, 0xff, 0xff})
		So(err, ShouldBeNil)
		answer, err := io.ReadAll(nc)
		So(err, ShouldBeNil)
		So(string(answer), ShouldContainSubstring, "54000")
		nc = rawLogin(t, f)
		sync := append([]byte(nil), syncMessage...)
		many := strings.Repeat(string(parseMessage("select 1")), 200)
		_, err = nc.Write(append([]byte(many), sync...))
		So(err, ShouldBeNil)
		frontend := pgproto3.NewFrontend(nc, nc)
		m, err := frontend.Receive()
		So(err, ShouldBeNil)
		So(m.(*pgproto3.ErrorResponse).Code, ShouldEqual, "54000")
		So(f.opener.executedSQL(), ShouldEqual, "")
	})
}

// TestTruncatedAnswers guards against messages that are sent after a target's answer ended
// within a message: the caller would read them as part of it. The connection must be
// closed instead.
func TestTruncatedAnswers(t *testing.T) {
	const row = "D\x00\x00\x00\x0b\x00\x01\x00\x00\x00\x01a"
	lost := outcome.UnknownOutcome(outcome.HomeLost, "the home died")
	for name, raw := range map[string]string{"in the header": row + "D\x00\x00", "in the body": row + row[:9], "after ReadyForQuery": "Z\x00\x00\x00\x05I", "negative": "D\x00\x00\x00\x00"} {
		t.Run(name, func(t *testing.T) {
			f := startServer(t, nil)
			f.opener.answers["select cut"] = answer{failure: &lost, raw: raw}
			f.opener.answers["select whole"] = answer{failure: &lost, raw: row}
			nc := rawLogin(t, f)
			frontend := pgproto3.NewFrontend(nc, nc)
			frontend.Send(&pgproto3.Query{String: "select whole"})
			if types, _ := receiveUntilReady(t, frontend); types != "DEZ" {
				t.Fatalf("a complete answer and an error have message types %q, want DEZ", types)
			}
			if _, err := nc.Write(queryMessage("select cut")); err != nil {
				t.Fatal(err)
			}
			answer, err := io.ReadAll(nc)
			if err != nil {
				t.Fatal(err)
			}
			if strings.Contains(string(answer), "08007") || strings.HasSuffix(string(answer), "Z\x00\x00\x00\x05I") {
				t.Fatalf("a message was sent after a truncated one: %q", answer)
			}
			if f.server.metrics.truncatedAnswers.Get() != 1 {
				t.Fatal("the truncated answer was not counted")
			}
		})
	}
}

func TestMemoryIsBounded(t *testing.T) {
	Convey("Large requests and prepared statements of all connections share one memory limit", t, func() {
		f := startServer(t, func(c *Config) { c.Limits.MemoryBytes = 256 << 10 })
		large := queryMessage("insert into t" + strings.Repeat(" ", 250<<10))
		first, second := rawLogin(t, f), rawLogin(t, f)
		_, err := first.Write(large[:len(large)-1])
		So(err, ShouldBeNil)
		waitFor(func() bool { return f.server.memory.used.Load() > 128<<10 })
		_, err = second.Write(large)
		So(err, ShouldBeNil)
		answer, err := io.ReadAll(second)
		So(err, ShouldBeNil)
		So(string(answer), ShouldContainSubstring, "54000")
		_, err = first.Write(large[len(large)-1:])
		So(err, ShouldBeNil)
		frontend := pgproto3.NewFrontend(first, first)
		m, err := frontend.Receive()
		So(err, ShouldBeNil)
		So(m, ShouldHaveSameTypeAs, &pgproto3.CommandComplete{})
		waitFor(func() bool { return f.server.memory.used.Load() == 0 })

		conn := connect(f, "")
		_, err = conn.Prepare(background, "one", "select 1")
		So(err, ShouldBeNil)
		So(f.server.memory.used.Load(), ShouldBeGreaterThan, 0)
		_, err = conn.Prepare(background, "two", strings.Repeat(" ", 300<<10))
		So(err, ShouldNotBeNil)
		exec(conn, "deallocate all")
		So(f.server.memory.used.Load(), ShouldEqual, 0)
		exec(conn, "insert into t")
		So(execError(conn, "set application_name = '"+strings.Repeat("x", 2000)+"'").Code, ShouldEqual, "22023")
	})
}

func parseMessage(sql string) []byte {
	m, _ := (&pgproto3.Parse{Query: sql}).Encode(nil)
	return m
}

// waitFor polls until done returns true.
func waitFor(done func() bool) {
	for !done() {
		time.Sleep(time.Millisecond)
	}
}

// FuzzStartup sends arbitrary bytes to a new connection, which must end.
func FuzzStartup(f *testing.F) {
	fixture := startServer(f, nil)
	f.Add([]byte("\x00\x00\x00\x08\x04\xd2\x16\x2f\x00\x00\x00\x1e\x00\x03\x00\x00user\x00a\x00database\x00a.b\x00\x00p\x00\x00\x00\x04"))
	f.Add([]byte("\x00\x00\x00\x0c\x00\x03\x00\x02a\x00b\x00"))
	f.Add([]byte("\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x01abcd"))
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		c := newConn(fixture.server, far)
		if !fixture.server.register(c) {
			t.Fatal("the server refused to register the connection")
		}
		feedConn(near, data, c.serve)
	})
}

// FuzzMessages sends arbitrary bytes to a logged-in connection, which must end and leave
// no unit open.
func FuzzMessages(f *testing.F) {
	fixture := startServer(f, nil)
	f.Add(append(queryMessage("begin; insert into t; commit"), syncMessage...))
	f.Add(append(parseMessage("select 1"), "B\x00\x00\x00\x0c\x00\x00\x00\x00\x00\x00\x00\x00E\x00\x00\x00\x09\x00\x00\x00\x00\x00H\x00\x00\x00\x04S\x00\x00\x00\x04"...))
	f.Fuzz(func(t *testing.T, data []byte) {
		if strings.Contains(string(data), "slow") {
			t.Skip("the statement would block until it is canceled")
		}
		near, far := net.Pipe()
		c := newConn(fixture.server, far)
		c.caller, c.database = "foreman", session.Database{Service: "grain", Name: "bins"}
		c.session.Database = c.database
		c.state = stateIdle
		c.in = bufio.NewReaderSize(far, readBufferBytes)
		feedConn(near, data, func() {
			err := c.serveRequests()
			c.tx.discard()
			if err == nil {
				t.Error("serveRequests ended without an error")
			}
			_ = far.Close()
		})
		if open := fixture.opener.openUnits(); open != 0 {
			t.Fatalf("%d units left open", open)
		}
	})
}

// feedConn runs run, writes data to its connection, discards the answers, closes the
// connection and waits until run returns.
func feedConn(near net.Conn, data []byte, run func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	go func() { _, _ = io.Copy(io.Discard, near) }()
	_, _ = near.Write(data)
	_ = near.Close()
	<-done
}

func TestFrameLengths(t *testing.T) {
	for _, length := range []uint32{0, 3, 1 << 31, 1<<32 - 1} {
		raw := binary.BigEndian.AppendUint32([]byte{'Q'}, length)
		if _, _, err := readFrame(bufio.NewReader(strings.NewReader(string(raw))), nil, 1<<20, nil); err == nil {
			t.Errorf("length %d was accepted", length)
		}
	}
}
