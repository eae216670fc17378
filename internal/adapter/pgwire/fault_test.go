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

// TestRollingShutdown replaces one proxy after the other under load: each insert
// that was answered ran once, and each that was refused did not run.
func TestRollingShutdown(t *testing.T) {
	const workers, requests, replacements = 8, 150, 6
	shared := start(t, nil)
	var address atomic.Value
	address.Store(shared)
	next := func() *fixture { return start(t, func(c *Config) { c.Opener = shared.opener }) }

	var acknowledged, refused atomic.Int64
	var progress sync.WaitGroup
	steps := make(chan struct{}, workers*requests)
	for range workers {
		progress.Go(func() {
			var conn *pgx.Conn
			for range requests {
				for done := false; !done; {
					var err error
					if conn == nil {
						conn, err = pgx.Connect(background, address.Load().(*fixture).url(""))
						if err != nil {
							continue // the proxy left between the choice and the dial
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
						t.Errorf("a request was cut: %v", err)
						return
					}
				}
				steps <- struct{}{}
			}
			_ = conn.Close(background)
		})
	}
	for range replacements {
		for range workers * requests / (replacements + 1) {
			<-steps
		}
		old := address.Load().(*fixture)
		address.Store(next())
		if err := old.server.Shutdown(background); err != nil {
			t.Error(err)
		}
	}
	progress.Wait()
	ran := int64(len(shared.opener.ran))
	if ran != workers*requests || acknowledged.Load() != ran {
		t.Fatalf("%d requests, %d acknowledged, %d ran, %d refused", workers*requests, acknowledged.Load(), ran, refused.Load())
	}
}

func TestSlowCallers(t *testing.T) {
	Convey("A caller that does not read holds the target back, and going away ends it", t, func() {
		f := start(t, nil)
		nc := rawLogin(t, f)
		_, err := nc.Write(queryMessage("select many"))
		So(err, ShouldBeNil)
		one := make([]byte, 1)
		_, err = io.ReadFull(nc, one)
		So(err, ShouldBeNil)
		So(f.opener.units(), ShouldEqual, 1)
		So(nc.Close(), ShouldBeNil)
		waitFor(func() bool { return f.opener.units() == 0 })
	})
	Convey("A caller that goes away does not leave its statement running", t, func() {
		f := start(t, func(c *Config) { c.Limits.CallerCheckInterval = 5 * time.Millisecond })
		stays := rawLogin(t, f)
		leaves := rawLogin(t, f)
		for _, nc := range []net.Conn{stays, leaves} {
			_, err := nc.Write(queryMessage("select slow"))
			So(err, ShouldBeNil)
			<-f.opener.started
		}
		So(leaves.Close(), ShouldBeNil)
		waitFor(func() bool { return f.opener.units() == 1 })
		So(f.server.meters.gone.Get(), ShouldEqual, 1)
		So(f.server.loggedIn.Load(), ShouldBeGreaterThanOrEqualTo, 1)
	})
	Convey("A caller that takes nothing for the write timeout is cut", t, func() {
		f := start(t, func(c *Config) { c.Limits.WriteTimeout = 20 * time.Millisecond })
		nc := rawLogin(t, f)
		_, err := nc.Write(queryMessage("select many"))
		So(err, ShouldBeNil)
		waitFor(func() bool { return f.server.loggedIn.Load() == 0 })
		So(f.opener.units(), ShouldEqual, 0)
	})
	Convey("A half-open start-up ends with the start-up timeout", t, func() {
		f := start(t, func(c *Config) { c.Limits.StartupTimeout = 20 * time.Millisecond })
		nc, err := net.Dial("tcp", f.address)
		So(err, ShouldBeNil)
		defer nc.Close()
		_, err = nc.Write([]byte{0, 0})
		So(err, ShouldBeNil)
		answer, err := io.ReadAll(nc)
		So(err, ShouldBeNil)
		So(string(answer), ShouldContainSubstring, "start-up was not complete")
		So(f.refused(outcome.AuthFailed), ShouldEqual, 1)
	})
	Convey("A transaction that idles too long is rolled back in words", t, func() {
		f := start(t, func(c *Config) { c.Limits.IdleInTransactionTimeout = 20 * time.Millisecond })
		conn := connect(f, "")
		exec(conn, "begin")
		_, err := conn.PgConn().ReceiveMessage(background)
		var e *pgconn.PgError
		So(errors.As(err, &e), ShouldBeTrue)
		So(e.Code, ShouldEqual, "25P03")
	})
	Convey("Messages over the limit are refused before memory is taken", t, func() {
		f := start(t, func(c *Config) { c.Limits.MessageBytes = 1 << 10 })
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
		front := pgproto3.NewFrontend(nc, nc)
		m, err := front.Receive()
		So(err, ShouldBeNil)
		So(m.(*pgproto3.ErrorResponse).Code, ShouldEqual, "54000")
		So(f.opener.sqls(), ShouldEqual, "")
	})
}

func TestTruncatedAnswers(t *testing.T) {
	const row = "D\x00\x00\x00\x0b\x00\x01\x00\x00\x00\x01a"
	lost := outcome.Unclear(outcome.HomeLost, "the home died")
	for name, raw := range map[string]string{"in the header": row + "D\x00\x00", "in the body": row + row[:9], "behind another's end": "Z\x00\x00\x00\x05I", "negative": "D\x00\x00\x00\x00"} {
		t.Run(name, func(t *testing.T) {
			f := start(t, nil)
			f.opener.answers["select cut"] = answer{end: &lost, raw: raw}
			f.opener.answers["select whole"] = answer{end: &lost, raw: row}
			nc := rawLogin(t, f)
			front := pgproto3.NewFrontend(nc, nc)
			front.Send(&pgproto3.Query{String: "select whole"})
			if types, _ := receive(t, front); types != "DEZ" {
				t.Fatalf("a whole answer came as %q, want its row, an error and the end", types)
			}
			if _, err := nc.Write(queryMessage("select cut")); err != nil {
				t.Fatal(err)
			}
			answer, err := io.ReadAll(nc)
			if err != nil {
				t.Fatal(err)
			}
			if strings.Contains(string(answer), "08007") || strings.HasSuffix(string(answer), "Z\x00\x00\x00\x05I") {
				t.Fatalf("something was sent behind half a message: %q", answer)
			}
			if f.server.meters.truncated.Get() != 1 {
				t.Fatal("not counted")
			}
		})
	}
}

func TestMemoryIsBounded(t *testing.T) {
	Convey("Large requests and statements of all connections share one bound", t, func() {
		f := start(t, func(c *Config) { c.Limits.MemoryBytes = 256 << 10 })
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
		front := pgproto3.NewFrontend(first, first)
		m, err := front.Receive()
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

// waitFor waits for a condition that another goroutine brings about.
func waitFor(done func() bool) {
	for !done() {
		time.Sleep(time.Millisecond)
	}
}

// FuzzStartup feeds bytes to a new connection; it must end.
func FuzzStartup(f *testing.F) {
	fixture := start(f, nil)
	f.Add([]byte("\x00\x00\x00\x08\x04\xd2\x16\x2f\x00\x00\x00\x1e\x00\x03\x00\x00user\x00a\x00database\x00a.b\x00\x00p\x00\x00\x00\x04"))
	f.Add([]byte("\x00\x00\x00\x0c\x00\x03\x00\x02a\x00b\x00"))
	f.Add([]byte("\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x01abcd"))
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		c := newConn(fixture.server, far)
		if !fixture.server.register(c) {
			t.Fatal("not registered")
		}
		feed(near, data, c.serve)
	})
}

// FuzzMessages feeds bytes to a connection that is logged in; it must end and
// leave no unit open.
func FuzzMessages(f *testing.F) {
	fixture := start(f, nil)
	f.Add(append(queryMessage("begin; insert into t; commit"), syncMessage...))
	f.Add(append(parseMessage("select 1"), "B\x00\x00\x00\x0c\x00\x00\x00\x00\x00\x00\x00\x00E\x00\x00\x00\x09\x00\x00\x00\x00\x00H\x00\x00\x00\x04S\x00\x00\x00\x04"...))
	f.Fuzz(func(t *testing.T, data []byte) {
		if strings.Contains(string(data), "slow") {
			t.Skip("waits for a cancel")
		}
		near, far := net.Pipe()
		c := newConn(fixture.server, far)
		c.caller, c.database = "foreman", session.Database{Service: "grain", Name: "bins"}
		c.session.Database = c.database
		c.state = stateIdle
		c.in = bufio.NewReaderSize(far, readBufferBytes)
		feed(near, data, func() {
			err := c.requests()
			c.tx.discard()
			if err == nil {
				t.Error("ended without a reason")
			}
			_ = far.Close()
		})
		if open := fixture.opener.units(); open != 0 {
			t.Fatalf("%d units left open", open)
		}
	})
}

// feed writes data to a connection, drops its answers and returns when run has
// ended.
func feed(near net.Conn, data []byte, run func()) {
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
