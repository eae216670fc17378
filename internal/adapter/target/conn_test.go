package target

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/laburnumrack/laburnumrack/internal/position"
	standin "github.com/laburnumrack/laburnumrack/internal/standin/target"
	"github.com/laburnumrack/laburnumrack/internal/target"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
	. "github.com/smartystreets/goconvey/convey"
)

// answerWith returns a fakeServer.answer that sends the same bytes for every batch.
func answerWith(answer []byte) func(net.Conn, []byte) {
	return func(c net.Conn, _ []byte) { _, _ = c.Write(answer) }
}

// runBatch runs b on c with a pipelined status query.
func runBatch(c target.Conn, b wireunit.Batch, sink io.Writer) (target.Reply, error) {
	return c.Exchange(context.Background(), target.Exchange{Batch: b, PipelineStatus: true}, sink)
}

func TestExchange(t *testing.T) {
	Convey("An exchange holds back the success message and reads the status after it", t, func() {
		answer := append(encode(columns, oneRow, selected, ready), statusAnswer()...)
		c := newFakeServer(t, answerWith(answer)).dial()
		var sink bytes.Buffer
		reply, err := runBatch(c, simpleBatch("SELECT v"), &sink)
		So(err, ShouldBeNil)
		So(sink.Bytes(), ShouldResemble, encode(columns, oneRow))
		So(reply.Held, ShouldResemble, encode(selected))
		So(reply.Tag, ShouldEqual, "SELECT 1")
		So(reply.HasStatusAfter, ShouldBeTrue)
		So(reply.StatusAfter.Last, ShouldResemble, position.Position{Term: 2, Index: 9})
		So(reply.StatusAfter.Applied.Index, ShouldEqual, 8)
		So(c.Reusable(), ShouldBeTrue)
	})

	Convey("A reply reports whether a statement succeeded before the error", t, func() {
		failure := &pgproto3.ErrorResponse{Severity: "ERROR", Code: "LR001", Message: "fenced"}
		for _, c := range []struct {
			answer    []byte
			succeeded bool
		}{{encode(failure, ready), false}, {encode(inserted, failure, ready), true}} {
			conn := newFakeServer(t, answerWith(append(c.answer, statusAnswer()...))).dial()
			reply, err := runBatch(conn, simpleBatch("INSERT"), io.Discard)
			So(err, ShouldBeNil)
			So(reply.SQLState, ShouldEqual, target.SQLStateFenced)
			So(reply.Succeeded, ShouldEqual, c.succeeded)
		}
	})
}

func TestBrokenAnswers(t *testing.T) {
	good := encode(columns, oneRow, selected, ready)
	cases := map[string][]byte{
		"truncated message":             good[:len(good)-3],
		"no command tag":                append(encode(columns, oneRow, ready), statusAnswer()...),
		"missing row":                   append(encode(columns, selected, ready), statusAnswer()...),
		"duplicated row":                append(encode(columns, oneRow, oneRow, selected, ready), statusAnswer()...),
		"duplicated answer":             append(append([]byte{}, good...), append(good, statusAnswer()...)...),
		"message length over the limit": {'D', 0xff, 0xff, 0xff, 0xff},
		"message length below the size of the length field": {'D', 0, 0, 0, 3},
		"unrequested copy data":                             encode(&pgproto3.CopyOutResponse{}),
		"status row without the status columns":             append(append([]byte{}, good...), encode(columns, oneRow, selected, ready)...),
		"ReadyForQuery of the wrong size":                   {'C', 0, 0, 0, 5, 0, 'Z', 0, 0, 0, 6, 'I', 'I'},
	}
	for name, answer := range cases {
		Convey("An invalid answer is never a success: "+name, t, func() {
			c := newFakeServer(t, func(c net.Conn, _ []byte) {
				_, _ = c.Write(answer)
				c.Close()
			}).dial()
			_, err := runBatch(c, simpleBatch("SELECT v"), io.Discard)
			So(errors.Is(err, target.ErrLost), ShouldBeTrue)
			So(c.Reusable(), ShouldBeFalse)
		})
	}

	Convey("After an answer that is followed by extra bytes, the connection is not reusable", t, func() {
		answer := append(append(append([]byte{}, good...), statusAnswer()...), encode(ready)...)
		c := newFakeServer(t, answerWith(answer)).dial()
		_, err := runBatch(c, simpleBatch("SELECT v"), io.Discard)
		So(err, ShouldBeNil)
		So(c.Reusable(), ShouldBeFalse)
	})

	Convey("Extra bytes after an answer within a transaction close the connection before the next batch", t, func() {
		open := encode(&pgproto3.CommandComplete{CommandTag: []byte("BEGIN")}, &pgproto3.ReadyForQuery{TxStatus: 'T'})
		c := newFakeServer(t, answerWith(append(open, encode(selected)...))).dial()
		_, err := c.Exchange(context.Background(), target.Exchange{Batch: simpleBatch("BEGIN")}, io.Discard)
		So(err, ShouldBeNil)
		_, err = c.Exchange(context.Background(), target.Exchange{Batch: simpleBatch("SELECT v")}, io.Discard)
		So(errors.Is(err, target.ErrNotSent), ShouldBeTrue)
	})

	Convey("An idle connection that the target closed or wrote to is not reusable", t, func() {
		for _, late := range [][]byte{nil, encode(selected)} {
			served := make(chan net.Conn, 1)
			c := newFakeServer(t, func(c net.Conn, _ []byte) {
				_, _ = c.Write(append(append([]byte{}, good...), statusAnswer()...))
				served <- c
			}).dial()
			_, err := runBatch(c, simpleBatch("SELECT v"), io.Discard)
			So(err, ShouldBeNil)
			peer := <-served
			if late != nil {
				_, _ = peer.Write(late)
			} else {
				peer.Close()
			}
			for c.Reusable() {
				runtime.Gosched()
			}
			So(c.Reusable(), ShouldBeFalse)
		}
	})
}

func TestFailedExchange(t *testing.T) {
	Convey("Given a server that never answers", t, func() {
		received := make(chan struct{}, 8)
		c := newFakeServer(t, func(net.Conn, []byte) { received <- struct{}{} }).dial()

		Convey("an exchange on a closed connection sends nothing and returns ErrNotSent", func() {
			So(c.Close(), ShouldBeNil)
			_, err := runBatch(c, simpleBatch("SELECT v"), io.Discard)
			So(errors.Is(err, target.ErrNotSent), ShouldBeTrue)
		})
		Convey("a context that ended before sends nothing and leaves the connection reusable", func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_, err := c.Exchange(ctx, target.Exchange{Batch: simpleBatch("SELECT v")}, io.Discard)
			So(errors.Is(err, target.ErrNotSent), ShouldBeTrue)
			So(c.Reusable(), ShouldBeTrue)
			So(received, ShouldBeEmpty)
		})
		Convey("a context that ends during the exchange returns ErrLost and closes the connection", func() {
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				<-received
				cancel()
			}()
			_, err := c.Exchange(ctx, target.Exchange{Batch: simpleBatch("SELECT v")}, io.Discard)
			So(errors.Is(err, target.ErrLost), ShouldBeTrue)
			So(c.Reusable(), ShouldBeFalse)
		})
	})

	Convey("A failed write to the sink closes the connection", t, func() {
		c := newFakeServer(t, answerWith(encode(columns, oneRow))).dial()
		_, w := io.Pipe()
		w.Close()
		_, err := runBatch(c, simpleBatch("SELECT v"), w)
		So(errors.Is(err, target.ErrSink), ShouldBeTrue)
		So(c.Reusable(), ShouldBeFalse)
	})

	Convey("A malformed batch is not sent", t, func() {
		received := make(chan struct{}, 8)
		c := newFakeServer(t, func(net.Conn, []byte) { received <- struct{}{} }).dial()
		whole := simpleBatch("SELECT v").Messages
		for _, messages := range [][]byte{
			nil, whole[:len(whole)-1], append(append([]byte{}, whole...), whole...),
			{'d', 0, 0, 0, 4}, {'X', 0, 0, 0, 4}, {'S', 0, 0, 0, 3}, {'H', 0, 0, 0, 4},
		} {
			_, err := runBatch(c, wireunit.Batch{Messages: messages}, io.Discard)
			So(errors.Is(err, target.ErrMalformed), ShouldBeTrue)
		}
		So(received, ShouldBeEmpty)
		So(c.Reusable(), ShouldBeTrue)
	})
}

func TestHeldOverflow(t *testing.T) {
	big := &pgproto3.DataRow{Values: [][]byte{make([]byte, 40<<10)}}
	count := &pgproto3.CommandComplete{CommandTag: []byte("SELECT 5")}
	rows := encode(columns, big, big, big, big, big, count)
	answer := append(append(encode(inserted), rows...), append(encode(ready), statusAnswer()...)...)
	Convey("Held back messages over the limit are confirmed before they are written to the sink", t, func() {
		for _, refusal := range []error{nil, errors.New("deposed")} {
			c := newFakeServer(t, answerWith(answer)).dial()
			var sink bytes.Buffer
			overflowCalls := 0
			reply, err := c.Exchange(context.Background(), target.Exchange{
				Batch: simpleBatch("INSERT; SELECT"), PipelineStatus: true,
				Overflow: func(context.Context) error { overflowCalls++; return refusal },
			}, &sink)
			So(overflowCalls, ShouldEqual, 1)
			So(len(reply.Held), ShouldBeLessThanOrEqualTo, target.HeldLimit)
			if refusal == nil {
				So(err, ShouldBeNil)
				So(append(sink.Bytes(), reply.Held...), ShouldResemble, append(encode(inserted), rows...))
				So(reply.Held, ShouldResemble, encode(count))
			} else {
				So(errors.Is(err, target.ErrLost), ShouldBeTrue)
				So(sink.Len(), ShouldEqual, 0)
			}
		}
	})
}

// extendedBatch returns a batch of the extended protocol that runs a named prepared
// statement.
func extendedBatch(name string) wireunit.Batch {
	var out []byte
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Bind{PreparedStatement: name}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{},
	} {
		out, _ = m.Encode(out)
	}
	return wireunit.Batch{Messages: out, Statements: []wireunit.Statement{{Name: name, SQL: "SELECT 1"}}}
}

// dialStandIn starts a simulated group and opens a connection to its primary.
func dialStandIn(t testing.TB, config Config) (*standin.Group, target.Conn) {
	g, err := standin.NewGroup(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	config.User = "proxy"
	c, err := NewDialer(config).Dial(context.Background(), g.Instances[0].Address(), "osijek")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return g, c
}

func TestPreparedStatements(t *testing.T) {
	Convey("Missing statements are parsed before the batch, and the least recently used ones are closed over the limit", t, func() {
		_, c := dialStandIn(t, Config{MaxStatements: 2})
		for _, name := range []string{"a", "b", "a", "c", "b", "a"} {
			var sink bytes.Buffer
			reply, err := runBatch(c, extendedBatch(name), &sink)
			So(err, ShouldBeNil)
			So(reply.SQLState, ShouldBeEmpty)
			So(sink.Bytes()[0], ShouldEqual, '2')
			So(len(c.(*conn).statements.byName), ShouldBeLessThanOrEqualTo, 2)
		}
	})
	Convey("A statement that fails to parse is not recorded as prepared", t, func() {
		_, c := dialStandIn(t, Config{})
		b := extendedBatch("broken")
		b.Statements[0].SQL = "SELEKT"
		for range 2 {
			reply, err := runBatch(c, b, io.Discard)
			So(err, ShouldBeNil)
			So(reply.SQLState, ShouldEqual, "42601")
		}
		So(c.(*conn).statements.byName, ShouldBeEmpty)
	})
}

func TestPrelude(t *testing.T) {
	Convey("A prelude runs before the batch without output; if it fails, the batch does not run", t, func() {
		_, c := dialStandIn(t, Config{})
		_, err := runBatch(c, simpleBatch("CREATE TABLE bins (id bigint PRIMARY KEY)"), io.Discard)
		So(err, ShouldBeNil)
		insertRow := "INSERT INTO bins (id) VALUES (1)"
		cases := []struct {
			prelude []string
			state   string
		}{
			{[]string{"BEGIN", insertRow}, ""},
			{[]string{"BEGIN", insertRow}, target.SQLStateUniqueViolation},
			{[]string{"BEGIM", insertRow}, "42601"},
		}
		for n, p := range cases {
			b := extendedBatch("a")
			b.Statements[0].SQL = fmt.Sprintf("INSERT INTO bins (id) VALUES (%d)", 10+n)
			b.Statements[0].Name = fmt.Sprint("a", n)
			b.Messages = extendedBatch(b.Statements[0].Name).Messages
			var sink bytes.Buffer
			reply, err := c.Exchange(context.Background(), target.Exchange{Prelude: p.prelude, Batch: b}, &sink)
			So(err, ShouldBeNil)
			So(reply.PreludeState, ShouldEqual, p.state)
			So(sink.Len() > 0, ShouldEqual, p.state == "")
			So(len(reply.Held) > 0, ShouldEqual, p.state == "")
			_, err = runBatch(c, simpleBatch("COMMIT"), io.Discard)
			So(err, ShouldBeNil)
		}
		reply, err := runBatch(c, simpleBatch("SELECT id FROM bins"), io.Discard)
		So(err, ShouldBeNil)
		So(reply.Tag, ShouldEqual, "SELECT 2")
		_, err = c.Exchange(context.Background(), target.Exchange{Prelude: []string{"BEGIN"}, Batch: simpleBatch(insertRow)}, io.Discard)
		So(errors.Is(err, target.ErrMalformed), ShouldBeTrue)
	})
}

func TestReuse(t *testing.T) {
	Convey("A connection in a transaction or with a pending cancel request is not reusable", t, func() {
		_, c := dialStandIn(t, Config{})
		reply, err := runBatch(c, simpleBatch("BEGIN"), io.Discard)
		So(err, ShouldBeNil)
		So(reply.Status, ShouldEqual, wireunit.TxOpen)
		So(reply.HasStatusAfter, ShouldBeFalse)
		So(c.Reusable(), ShouldBeFalse)
		reply, err = runBatch(c, simpleBatch("ROLLBACK"), io.Discard)
		So(err, ShouldBeNil)
		So(reply.HasStatusAfter, ShouldBeTrue)
		So(c.Reusable(), ShouldBeTrue)
		So(c.Cancel(context.Background()), ShouldBeNil)
		So(c.Reusable(), ShouldBeFalse)
	})
	Convey("Reset clears the session state that a caller left", t, func() {
		_, c := dialStandIn(t, Config{})
		_, err := runBatch(c, extendedBatch("a"), io.Discard)
		So(err, ShouldBeNil)
		So(c.Dirty(), ShouldBeFalse)
		_, err = runBatch(c, simpleBatch("SET default_transaction_read_only = on"), io.Discard)
		So(err, ShouldBeNil)
		So(c.Dirty(), ShouldBeTrue)
		So(c.Reset(context.Background()), ShouldBeNil)
		So(c.Dirty(), ShouldBeFalse)
		reply, err := runBatch(c, simpleBatch("CREATE TABLE bins (id bigint PRIMARY KEY)"), io.Discard)
		So(err, ShouldBeNil)
		So(reply.SQLState, ShouldBeEmpty)
		_, err = runBatch(c, extendedBatch("a"), io.Discard)
		So(err, ShouldBeNil)
	})
}

func TestDial(t *testing.T) {
	Convey("Dial times out if the target stops answering after the login", t, func() {
		s := newFakeServer(t, nil)
		s.mute = true
		address := netip.MustParseAddrPort(s.listener.Addr().String())
		_, err := NewDialer(Config{User: "proxy", DialTimeout: 100 * time.Millisecond}).Dial(context.Background(), address, "osijek")
		So(errors.Is(err, target.ErrNotSent), ShouldBeTrue)
	})
}

func TestControl(t *testing.T) {
	Convey("A control connection reads the status and sets the fence and the role", t, func() {
		g, _ := dialStandIn(t, Config{})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		c, err := NewDialer(Config{User: "proxy"}).DialControl(ctx, g.Instances[0].Address(), "osijek")
		So(err, ShouldBeNil)
		defer c.Close()
		s, err := c.Status(ctx)
		So(err, ShouldBeNil)
		So(s, ShouldResemble, g.Instances[0].Status())
		s, err = c.Fence(ctx, 5)
		So(err, ShouldBeNil)
		So(s.Fence, ShouldEqual, 5)
		So(s.Primary, ShouldBeFalse)
		_, err = c.Fence(ctx, 4)
		So(errors.Is(err, target.ErrFenced), ShouldBeTrue)
		s, err = c.Promote(ctx, 5)
		So(err, ShouldBeNil)
		So(s.Primary, ShouldBeTrue)
		So(s.Last.Term, ShouldEqual, 5)
	})
}
