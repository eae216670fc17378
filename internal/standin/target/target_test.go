package target

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/position"
	contract "github.com/laburnumrack/laburnumrack/internal/target"
)

const testTimeout = 20 * time.Second

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func startGroup(t *testing.T, n int) *Group {
	g, err := NewGroup(n)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

func connect(ctx context.Context, in *Instance) *pgx.Conn {
	conn, err := pgx.Connect(ctx, "postgres://lab@"+in.Address().String()+"/silo1?sslmode=disable")
	So(err, ShouldBeNil)
	return conn
}

func codeOf(err error) string {
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return pg.Code
	}
	var own *sqlError
	if errors.As(err, &own) {
		return own.code
	}
	return ""
}

func exec(ctx context.Context, conn *pgx.Conn, sql string, args ...any) string {
	tag, err := conn.Exec(ctx, sql, args...)
	So(err, ShouldBeNil)
	return tag.String()
}

func queryInt(ctx context.Context, conn *pgx.Conn, sql string, args ...any) int {
	var n int
	So(conn.QueryRow(ctx, sql, args...).Scan(&n), ShouldBeNil)
	return n
}

// waitForCatchUp waits until in has joined the primary's term and applied its whole log.
func waitForCatchUp(ctx context.Context, in, primary *Instance) {
	last := primary.Status().Last
	So(in.Wait(ctx, func(s contract.Status) bool { return s.Applied == last && s.Joined == last.Term }), ShouldBeNil)
}

// TestStatements guards against statements, type conversions or error codes that differ
// from PostgreSQL for a client that uses the simple and the extended query protocol.
func TestStatements(t *testing.T) {
	Convey("A stock client reads and writes through both query protocols", t, func() {
		ctx := testContext(t)
		g := startGroup(t, 1)
		conn := connect(ctx, g.Instances[0])
		defer conn.Close(ctx)
		exec(ctx, conn, "CREATE TABLE IF NOT EXISTS reading (id bigint PRIMARY KEY, bin text NOT NULL, celsius double precision, dry boolean)")
		So(exec(ctx, conn, "INSERT INTO reading (id, bin, celsius, dry) VALUES ($1, $2, $3, $4), (2, 'b', 19.5, false)", 1, "a", 21.25, true), ShouldEqual, "INSERT 0 2")

		var bin string
		var celsius float64
		var dry bool
		So(conn.QueryRow(ctx, "SELECT bin, celsius, dry FROM reading WHERE id = $1", 1).Scan(&bin, &celsius, &dry), ShouldBeNil)
		So([]any{bin, celsius, dry}, ShouldResemble, []any{"a", 21.25, true})
		So(queryInt(ctx, conn, "SELECT count(*) FROM reading WHERE celsius > $1", 20.0), ShouldEqual, 1)
		So(queryInt(ctx, conn, "SELECT id FROM reading ORDER BY celsius ASC LIMIT $1", 1), ShouldEqual, 2)
		So(exec(ctx, conn, "UPDATE reading SET id = id, bin = bin || 'x' WHERE dry = true"), ShouldEqual, "UPDATE 1")
		So(exec(ctx, conn, "DELETE FROM reading WHERE bin = 'ax'"), ShouldEqual, "DELETE 1")
		So(exec(ctx, conn, "SELECT * FROM reading"), ShouldEqual, "SELECT 1")
		So(queryInt(ctx, conn, "SELECT 7"), ShouldEqual, 7)

		rows, err := conn.Query(ctx, "SELECT generate_series(1, 50000)")
		So(err, ShouldBeNil)
		numbers, err := pgx.CollectRows(rows, pgx.RowTo[int64])
		So(err, ShouldBeNil)
		So(len(numbers), ShouldEqual, 50000)

		_, err = conn.Exec(ctx, "SELECT nothing FROM nowhere")
		So(codeOf(err), ShouldEqual, codeUndefinedTable)
		_, err = conn.Exec(ctx, "GRUNT")
		So(codeOf(err), ShouldEqual, codeSyntax)
		So(queryInt(ctx, conn, "SELECT 8"), ShouldEqual, 8)
	})
}

// TestTransactions guards against uncommitted writes that other connections see, and
// against transactions that survive an error, a terminated connection or a cancel request.
func TestTransactions(t *testing.T) {
	Convey("Given two connections of one instance", t, func() {
		ctx := testContext(t)
		g := startGroup(t, 1)
		a, b := connect(ctx, g.Instances[0]), connect(ctx, g.Instances[0])
		defer a.Close(ctx)
		defer b.Close(ctx)

		Convey("writes become visible at commit, and a duplicate key is rejected", func() {
			exec(ctx, a, "BEGIN")
			exec(ctx, a, "INSERT INTO laburnumrack_requests (request_id, caller, tag) VALUES ('r1', 'a', '')")
			exec(ctx, a, "UPDATE laburnumrack_requests SET tag = 'INSERT 0 1' WHERE request_id = 'r1'")
			So(queryInt(ctx, b, "SELECT count(*) FROM laburnumrack_requests"), ShouldEqual, 0)
			second := make(chan error, 1)
			go func() {
				_, err := b.Exec(ctx, "INSERT INTO laburnumrack_requests (request_id) VALUES ('r1')")
				second <- err
			}()
			exec(ctx, a, "COMMIT")
			So(codeOf(<-second), ShouldEqual, contract.SQLStateUniqueViolation)
			So(queryInt(ctx, b, "SELECT count(*) FROM laburnumrack_requests WHERE tag = 'INSERT 0 1'"), ShouldEqual, 1)
		})

		Convey("an error fails the transaction until it is rolled back", func() {
			exec(ctx, a, "BEGIN READ ONLY")
			_, err := a.Exec(ctx, "INSERT INTO laburnumrack_requests (request_id) VALUES ('r2')")
			So(codeOf(err), ShouldEqual, contract.SQLStateReadOnly)
			So(a.PgConn().TxStatus(), ShouldEqual, byte('E'))
			_, err = a.Exec(ctx, "SELECT 1")
			So(codeOf(err), ShouldEqual, codeFailedTx)
			So(exec(ctx, a, "COMMIT"), ShouldEqual, "ROLLBACK")
			So(a.PgConn().TxStatus(), ShouldEqual, byte('I'))
		})

		Convey("a query of several statements is one transaction", func() {
			_, err := a.Exec(ctx, "INSERT INTO laburnumrack_requests (request_id) VALUES ('x'); INSERT INTO laburnumrack_requests (request_id) VALUES ('x')")
			So(codeOf(err), ShouldEqual, contract.SQLStateUniqueViolation)
			So(queryInt(ctx, b, "SELECT count(*) FROM laburnumrack_requests"), ShouldEqual, 0)
		})

		Convey("terminate ends a connection and its transaction", func() {
			exec(ctx, a, "BEGIN")
			exec(ctx, a, "INSERT INTO laburnumrack_requests (request_id) VALUES ('r3')")
			exec(ctx, b, "SELECT * FROM laburnumrack_terminate("+processID(a)+")")
			So(exec(ctx, b, "INSERT INTO laburnumrack_requests (request_id) VALUES ('r3')"), ShouldEqual, "INSERT 0 1")
			_, err := a.Exec(ctx, "COMMIT")
			So(err, ShouldNotBeNil)
		})

		Convey("DISCARD ALL drops settings and prepared statements", func() {
			exec(ctx, a, "SET application_name = 'other'")
			exec(ctx, a, "DISCARD ALL")
			var name string
			So(a.QueryRow(ctx, "SHOW application_name", pgx.QueryExecModeSimpleProtocol).Scan(&name), ShouldBeNil)
			So(name, ShouldEqual, "")
		})

		Convey("a cancel request ends the running statement and keeps the connection", func() {
			running := make(chan error, 1)
			go func() {
				_, err := a.Exec(ctx, "SELECT pg_sleep(60)")
				running <- err
			}()
			for g.Instances[0].Load().Running == 0 {
				time.Sleep(time.Millisecond)
			}
			So(a.PgConn().CancelRequest(ctx), ShouldBeNil)
			So(codeOf(<-running), ShouldEqual, codeCanceled)
			So(queryInt(ctx, a, "SELECT 1"), ShouldEqual, 1)
		})
	})
}

func processID(c *pgx.Conn) string {
	return intValue(int64(c.PgConn().PID())).Text
}

// TestReplication guards against replicas that differ from the primary, and against
// commits in an old term after a fence, a promotion, a freeze or a crash.
func TestReplication(t *testing.T) {
	Convey("Given a group of three", t, func() {
		ctx := testContext(t)
		g := startGroup(t, 3)
		one, two, three := g.Instances[0], g.Instances[1], g.Instances[2]
		a := connect(ctx, one)
		defer a.Close(ctx)
		insert := "INSERT INTO laburnumrack_requests (request_id) VALUES ($1)"
		exec(ctx, a, insert, "first")
		waitForCatchUp(ctx, two, one)
		waitForCatchUp(ctx, three, one)

		Convey("replicas return the rows and reject writes", func() {
			b := connect(ctx, two)
			defer b.Close(ctx)
			So(queryInt(ctx, b, "SELECT count(*) FROM laburnumrack_requests"), ShouldEqual, 1)
			_, err := b.Exec(ctx, insert, "second")
			So(codeOf(err), ShouldEqual, contract.SQLStateReadOnly)
		})

		Convey("a lagging replica receives an entry before it is visible to reads", func() {
			two.SetLag(time.Hour)
			exec(ctx, a, insert, "second")
			last := one.Status().Last
			So(two.Wait(ctx, func(s contract.Status) bool { return s.Last == last }), ShouldBeNil)
			So(two.Status().Applied.Index, ShouldEqual, last.Index-1)
			two.SetLag(0)
			waitForCatchUp(ctx, two, one)
		})

		Convey("a transaction that is open when its instance is fenced does not commit", func() {
			exec(ctx, a, "BEGIN")
			exec(ctx, a, insert, "late")
			_, err := one.Fence(2)
			So(err, ShouldBeNil)
			_, err = a.Exec(ctx, "COMMIT")
			So(codeOf(err), ShouldEqual, contract.SQLStateFenced)
			So(queryInt(ctx, a, "SELECT count(*) FROM laburnumrack_requests"), ShouldEqual, 1)
			_, err = one.Promote(1)
			So(codeOf(err), ShouldEqual, contract.SQLStateFenced)
		})

		Convey("a connection opened before a fence cannot write, even if its instance is the primary of the new term", func() {
			b := connect(ctx, two)
			defer b.Close(ctx)
			_, err := two.Fence(2)
			So(err, ShouldBeNil)
			_, err = two.Promote(2)
			So(err, ShouldBeNil)
			_, err = b.Exec(ctx, insert, "on its way")
			So(codeOf(err), ShouldEqual, contract.SQLStateFenced)
			So(queryInt(ctx, b, "SELECT count(*) FROM laburnumrack_requests"), ShouldEqual, 1)
			c := connect(ctx, two)
			defer c.Close(ctx)
			So(exec(ctx, c, insert, "fresh"), ShouldEqual, "INSERT 0 1")
		})

		Convey("an old primary that follows a new one drops the entries that the new one does not have", func() {
			two.PauseReplication(true)
			three.PauseReplication(true)
			exec(ctx, a, insert, "unconfirmed 1")
			exec(ctx, a, insert, "unconfirmed 2")
			for _, in := range []*Instance{two, three} {
				in.PauseReplication(false)
				_, err := in.Fence(2)
				So(err, ShouldBeNil)
			}
			So(two.Status().Last, ShouldResemble, position.Position{Term: 1, Index: 2})
			status, err := two.Promote(2)
			So(err, ShouldBeNil)
			So(status.Last, ShouldResemble, position.Position{Term: 2, Index: 3})
			_, err = three.Follow(2, two.Address())
			So(err, ShouldBeNil)
			waitForCatchUp(ctx, three, two)

			before, err := one.Fence(2)
			So(err, ShouldBeNil)
			So(before.Joined, ShouldEqual, position.Term(1))
			_, err = one.Follow(2, two.Address())
			So(err, ShouldBeNil)
			waitForCatchUp(ctx, one, two)
			So(one.Log(), ShouldResemble, two.Log())
			So(queryInt(ctx, a, "SELECT count(*) FROM laburnumrack_requests"), ShouldEqual, 1)
		})

		Convey("a frozen primary resumes in its old term, and its writes do not reach the new primary", func() {
			one.Freeze()
			_, err := two.Fence(2)
			So(err, ShouldBeNil)
			_, err = two.Promote(2)
			So(err, ShouldBeNil)
			one.Thaw()
			So(exec(ctx, a, insert, "stale"), ShouldEqual, "INSERT 0 1")
			So(two.Status().Last, ShouldResemble, position.Position{Term: 2, Index: 3})
		})

		Convey("a crash loses open transactions and nothing else", func() {
			exec(ctx, a, "BEGIN")
			exec(ctx, a, insert, "open")
			two.Crash()
			one.Crash()
			So(one.Restart(), ShouldBeNil)
			So(two.Restart(), ShouldBeNil)
			b := connect(ctx, one)
			defer b.Close(ctx)
			So(exec(ctx, b, insert, "open"), ShouldEqual, "INSERT 0 1")
			So(queryInt(ctx, b, "SELECT count(*) FROM laburnumrack_requests"), ShouldEqual, 2)
			waitForCatchUp(ctx, two, one)
		})
	})
}

// TestLimits guards against an instance that exceeds its connection limit or its slots, and
// against load counters that count status queries as overuse.
func TestLimits(t *testing.T) {
	Convey("Given an instance with one slot and two connections", t, func() {
		ctx := testContext(t)
		in, err := Start(Config{Name: "small", Slots: 1, Connections: 2, ConnectDelay: -1, PrimaryTerm: 1})
		So(err, ShouldBeNil)
		defer in.Close()
		a, b := connect(ctx, in), connect(ctx, in)
		defer a.Close(ctx)
		defer b.Close(ctx)

		_, err = pgx.Connect(ctx, "postgres://lab@"+in.Address().String()+"/silo1?sslmode=disable")
		So(codeOf(err), ShouldEqual, contract.SQLStateTooManyConnections)

		running := make(chan error, 1)
		go func() {
			_, err := a.Exec(ctx, "SELECT pg_sleep(60)")
			running <- err
		}()
		for in.Load().Running == 0 {
			time.Sleep(time.Millisecond)
		}
		So(in.Load().Overuse, ShouldEqual, 0)
		exec(ctx, b, "SELECT * FROM laburnumrack_status()")
		So(in.Load().Overuse, ShouldEqual, 0)
		waiting := make(chan error, 1)
		go func() {
			_, err := b.Exec(ctx, "SELECT 1")
			waiting <- err
		}()
		for in.Load().Waiting == 0 {
			time.Sleep(time.Millisecond)
		}
		So(in.Load(), ShouldResemble, Load{Connections: 2, Running: 1, Peak: 1, Waiting: 1, Overuse: 1, Statements: 3})
		So(a.PgConn().CancelRequest(ctx), ShouldBeNil)
		So(<-waiting, ShouldBeNil)
		So(codeOf(<-running), ShouldEqual, codeCanceled)
	})
}

// FuzzParse guards against SQL texts that make the parser or the parameter type inference
// panic.
func FuzzParse(f *testing.F) {
	f.Add("SELECT a, count(*) FROM t WHERE a = $1 AND b >= 'x''y' ORDER BY a DESC LIMIT 3")
	f.Add("begin isolation level serializable read only; commit")
	f.Fuzz(func(t *testing.T, sql string) {
		statements, err := parse(sql)
		if err != nil {
			return
		}
		in := &Instance{tables: newCatalog()}
		for _, st := range statements {
			_, _ = in.parameterTypes(st, nil)
		}
	})
}
