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

// answering returns a server that gives the same bytes to every batch.
func answering(answer []byte) func(net.Conn, []byte) {
	return func(c net.Conn, _ []byte) { _, _ = c.Write(answer) }
}

func runOn(c target.Conn, b wireunit.Batch, sink io.Writer) (target.Reply, error) {
	return c.Exchange(context.Background(), target.Exchange{Batch: b, PipelineStatus: true}, sink)
}

func TestExchange(t *testing.T) {
	Convey("An exchange holds back what tells success and reads the status behind it", t, func() {
		answer := append(encode(columns, oneRow, selected, ready), statusAnswer()...)
		c := newFakeServer(t, answering(answer)).dial()
		var sink bytes.Buffer
		reply, err := runOn(c, simple("SELECT v"), &sink)
		So(err, ShouldBeNil)
		So(sink.Bytes(), ShouldResemble, encode(columns, oneRow))
		So(reply.Held, ShouldResemble, encode(selected))
		So(reply.Tag, ShouldEqual, "SELECT 1")
		So(reply.AfterKnown, ShouldBeTrue)
		So(reply.After.Last, ShouldResemble, position.Position{Term: 2, Index: 9})
		So(reply.After.Applied.Index, ShouldEqual, 8)
		So(c.Reusable(), ShouldBeTrue)
	})

	Convey("An error without success is told apart from one behind a success", t, func() {
		failure := &pgproto3.ErrorResponse{Severity: "ERROR", Code: "LR001", Message: "fenced"}
		for _, c := range []struct {
			answer    []byte
			succeeded bool
		}{{encode(failure, ready), false}, {encode(inserted, failure, ready), true}} {
			conn := newFakeServer(t, answering(append(c.answer, statusAnswer()...))).dial()
			reply, err := runOn(conn, simple("INSERT"), io.Discard)
			So(err, ShouldBeNil)
			So(reply.SQLState, ShouldEqual, target.SQLStateFenced)
			So(reply.Succeeded, ShouldEqual, c.succeeded)
		}
	})
}

func TestBrokenAnswers(t *testing.T) {
	good := encode(columns, oneRow, selected, ready)
	cases := map[string][]byte{
		"cut in the middle of a message":   good[:len(good)-3],
		"end without a command tag":        append(encode(columns, oneRow, ready), statusAnswer()...),
		"a row is missing":                 append(encode(columns, selected, ready), statusAnswer()...),
		"a row is there twice":             append(encode(columns, oneRow, oneRow, selected, ready), statusAnswer()...),
		"the whole answer is there twice":  append(append([]byte{}, good...), append(good, statusAnswer()...)...),
		"a message of absurd length":       {'D', 0xff, 0xff, 0xff, 0xff},
		"a length below the length itself": {'D', 0, 0, 0, 3},
		"copy data that nobody asked for":  encode(&pgproto3.CopyOutResponse{}),
		"a status row with a word":         append(append([]byte{}, good...), encode(columns, oneRow, selected, ready)...),
		"ReadyForQuery of another size":    {'C', 0, 0, 0, 5, 0, 'Z', 0, 0, 0, 6, 'I', 'I'},
	}
	for name, answer := range cases {
		Convey("A broken answer is never a success: "+name, t, func() {
			c := newFakeServer(t, func(c net.Conn, _ []byte) {
				_, _ = c.Write(answer)
				c.Close()
			}).dial()
			_, err := runOn(c, simple("SELECT v"), io.Discard)
			So(errors.Is(err, target.ErrLost), ShouldBeTrue)
			So(c.Reusable(), ShouldBeFalse)
		})
	}

	Convey("An answer with something behind it is whole, but its connection is not used again", t, func() {
		answer := append(append(append([]byte{}, good...), statusAnswer()...), encode(ready)...)
		c := newFakeServer(t, answering(answer)).dial()
		_, err := runOn(c, simple("SELECT v"), io.Discard)
		So(err, ShouldBeNil)
		So(c.Reusable(), ShouldBeFalse)
	})

	Convey("Something behind the answer inside a transaction ends the connection before the next batch", t, func() {
		open := encode(&pgproto3.CommandComplete{CommandTag: []byte("BEGIN")}, &pgproto3.ReadyForQuery{TxStatus: 'T'})
		c := newFakeServer(t, answering(append(open, encode(selected)...))).dial()
		_, err := c.Exchange(context.Background(), target.Exchange{Batch: simple("BEGIN")}, io.Discard)
		So(err, ShouldBeNil)
		_, err = c.Exchange(context.Background(), target.Exchange{Batch: simple("SELECT v")}, io.Discard)
		So(errors.Is(err, target.ErrNotSent), ShouldBeTrue)
	})

	Convey("An idle connection that the target closed or wrote to is not used again", t, func() {
		for _, late := range [][]byte{nil, encode(selected)} {
			served := make(chan net.Conn, 1)
			c := newFakeServer(t, func(c net.Conn, _ []byte) {
				_, _ = c.Write(append(append([]byte{}, good...), statusAnswer()...))
				served <- c
			}).dial()
			_, err := runOn(c, simple("SELECT v"), io.Discard)
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

func TestWhatReachedTheTarget(t *testing.T) {
	Convey("Given a server that never answers", t, func() {
		received := make(chan struct{}, 8)
		c := newFakeServer(t, func(net.Conn, []byte) { received <- struct{}{} }).dial()

		Convey("a closed connection sends nothing and says so", func() {
			So(c.Close(), ShouldBeNil)
			_, err := runOn(c, simple("SELECT v"), io.Discard)
			So(errors.Is(err, target.ErrNotSent), ShouldBeTrue)
		})
		Convey("a context that had ended sends nothing and leaves the connection usable", func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_, err := c.Exchange(ctx, target.Exchange{Batch: simple("SELECT v")}, io.Discard)
			So(errors.Is(err, target.ErrNotSent), ShouldBeTrue)
			So(c.Reusable(), ShouldBeTrue)
			So(received, ShouldBeEmpty)
		})
		Convey("a context that ends meanwhile leaves the batch unclear and closes the connection", func() {
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				<-received
				cancel()
			}()
			_, err := c.Exchange(ctx, target.Exchange{Batch: simple("SELECT v")}, io.Discard)
			So(errors.Is(err, target.ErrLost), ShouldBeTrue)
			So(c.Reusable(), ShouldBeFalse)
		})
	})

	Convey("A sink that fails closes the connection, so that the rest reaches nobody", t, func() {
		c := newFakeServer(t, answering(encode(columns, oneRow))).dial()
		_, w := io.Pipe()
		w.Close()
		_, err := runOn(c, simple("SELECT v"), w)
		So(errors.Is(err, target.ErrSink), ShouldBeTrue)
		So(c.Reusable(), ShouldBeFalse)
	})

	Convey("A batch that is not whole is not sent", t, func() {
		received := make(chan struct{}, 8)
		c := newFakeServer(t, func(net.Conn, []byte) { received <- struct{}{} }).dial()
		whole := simple("SELECT v").Messages
		for _, messages := range [][]byte{
			nil, whole[:len(whole)-1], append(append([]byte{}, whole...), whole...),
			{'d', 0, 0, 0, 4}, {'X', 0, 0, 0, 4}, {'S', 0, 0, 0, 3}, {'H', 0, 0, 0, 4},
		} {
			_, err := runOn(c, wireunit.Batch{Messages: messages}, io.Discard)
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
	Convey("More than the limit behind a success is confirmed before it is passed on", t, func() {
		for _, refusal := range []error{nil, errors.New("deposed")} {
			c := newFakeServer(t, answering(answer)).dial()
			var sink bytes.Buffer
			asked := 0
			reply, err := c.Exchange(context.Background(), target.Exchange{
				Batch: simple("INSERT; SELECT"), PipelineStatus: true,
				Overflow: func(context.Context) error { asked++; return refusal },
			}, &sink)
			So(asked, ShouldEqual, 1)
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

// extended returns a batch that runs a named prepared statement.
func extended(name string) wireunit.Batch {
	var out []byte
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Bind{PreparedStatement: name}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{},
	} {
		out, _ = m.Encode(out)
	}
	return wireunit.Batch{Messages: out, Statements: []wireunit.Statement{{Name: name, SQL: "SELECT 1"}}}
}

// dialStandIn opens a connection to the primary of a stand-in group.
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
	Convey("Missing statements are parsed in front, unseen, and the oldest is closed over the limit", t, func() {
		_, c := dialStandIn(t, Config{MaxStatements: 2})
		for _, name := range []string{"a", "b", "a", "c", "b", "a"} {
			var sink bytes.Buffer
			reply, err := runOn(c, extended(name), &sink)
			So(err, ShouldBeNil)
			So(reply.SQLState, ShouldBeEmpty)
			So(sink.Bytes()[0], ShouldEqual, '2')
			So(len(c.(*conn).prepared.names), ShouldBeLessThanOrEqualTo, 2)
		}
	})
	Convey("A statement that does not parse is not taken for prepared", t, func() {
		_, c := dialStandIn(t, Config{})
		b := extended("broken")
		b.Statements[0].SQL = "SELEKT"
		for range 2 {
			reply, err := runOn(c, b, io.Discard)
			So(err, ShouldBeNil)
			So(reply.SQLState, ShouldEqual, "42601")
		}
		So(c.(*conn).prepared.names, ShouldBeEmpty)
	})
}

func TestPrelude(t *testing.T) {
	Convey("A prelude runs in front, unseen; if it fails, nothing of the batch runs", t, func() {
		_, c := dialStandIn(t, Config{})
		_, err := runOn(c, simple("CREATE TABLE bins (id bigint PRIMARY KEY)"), io.Discard)
		So(err, ShouldBeNil)
		record := "INSERT INTO bins (id) VALUES (1)"
		cases := []struct {
			prelude []string
			state   string
		}{
			{[]string{"BEGIN", record}, ""},
			{[]string{"BEGIN", record}, target.SQLStateUniqueViolation},
			{[]string{"BEGIM", record}, "42601"},
		}
		for n, p := range cases {
			work := extended("a")
			work.Statements[0].SQL = fmt.Sprintf("INSERT INTO bins (id) VALUES (%d)", 10+n)
			work.Statements[0].Name = fmt.Sprint("a", n)
			work.Messages = extended(work.Statements[0].Name).Messages
			var sink bytes.Buffer
			reply, err := c.Exchange(context.Background(), target.Exchange{Prelude: p.prelude, Batch: work}, &sink)
			So(err, ShouldBeNil)
			So(reply.PreludeState, ShouldEqual, p.state)
			So(sink.Len() > 0, ShouldEqual, p.state == "")
			So(len(reply.Held) > 0, ShouldEqual, p.state == "")
			_, err = runOn(c, simple("COMMIT"), io.Discard)
			So(err, ShouldBeNil)
		}
		reply, err := runOn(c, simple("SELECT id FROM bins"), io.Discard)
		So(err, ShouldBeNil)
		So(reply.Tag, ShouldEqual, "SELECT 2")
		_, err = c.Exchange(context.Background(), target.Exchange{Prelude: []string{"BEGIN"}, Batch: simple(record)}, io.Discard)
		So(errors.Is(err, target.ErrMalformed), ShouldBeTrue)
	})
}

func TestReuse(t *testing.T) {
	Convey("A connection in a transaction, or with a cancel request on its way, is not reusable", t, func() {
		_, c := dialStandIn(t, Config{})
		reply, err := runOn(c, simple("BEGIN"), io.Discard)
		So(err, ShouldBeNil)
		So(reply.Status, ShouldEqual, wireunit.TxOpen)
		So(reply.AfterKnown, ShouldBeFalse)
		So(c.Reusable(), ShouldBeFalse)
		reply, err = runOn(c, simple("ROLLBACK"), io.Discard)
		So(err, ShouldBeNil)
		So(reply.AfterKnown, ShouldBeTrue)
		So(c.Reusable(), ShouldBeTrue)
		So(c.Cancel(context.Background()), ShouldBeNil)
		So(c.Reusable(), ShouldBeFalse)
	})
	Convey("A session that was changed is reset before the next caller", t, func() {
		_, c := dialStandIn(t, Config{})
		_, err := runOn(c, extended("a"), io.Discard)
		So(err, ShouldBeNil)
		So(c.Dirty(), ShouldBeFalse)
		_, err = runOn(c, simple("SET default_transaction_read_only = on"), io.Discard)
		So(err, ShouldBeNil)
		So(c.Dirty(), ShouldBeTrue)
		So(c.Reset(context.Background()), ShouldBeNil)
		So(c.Dirty(), ShouldBeFalse)
		reply, err := runOn(c, simple("CREATE TABLE bins (id bigint PRIMARY KEY)"), io.Discard)
		So(err, ShouldBeNil)
		So(reply.SQLState, ShouldBeEmpty)
		_, err = runOn(c, extended("a"), io.Discard)
		So(err, ShouldBeNil)
	})
}

func TestDial(t *testing.T) {
	Convey("A target that stops answering once a connection is open does not hold up the dialer", t, func() {
		s := newFakeServer(t, nil)
		s.mute = true
		address := netip.MustParseAddrPort(s.listener.Addr().String())
		_, err := NewDialer(Config{User: "proxy", DialTimeout: 100 * time.Millisecond}).Dial(context.Background(), address, "osijek")
		So(errors.Is(err, target.ErrNotSent), ShouldBeTrue)
	})
}

func TestControl(t *testing.T) {
	Convey("A control connection reads and sets the term", t, func() {
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
