package pgwire

import (
	"context"
	"database/sql"
	"errors"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/lib/pq"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

func connect(f *fixture, params string) *pgx.Conn {
	conn, err := pgx.Connect(context.Background(), f.url(params))
	So(err, ShouldBeNil)
	return conn
}

func exec(conn *pgx.Conn, sql string, args ...any) string {
	tag, err := conn.Exec(context.Background(), sql, args...)
	So(err, ShouldBeNil)
	return tag.String()
}

// execError runs a statement that must fail and returns its error.
func execError(conn *pgx.Conn, sql string) *pgconn.PgError {
	_, err := conn.Exec(context.Background(), sql)
	var e *pgconn.PgError
	So(errors.As(err, &e), ShouldBeTrue)
	return e
}

func queryRow(conn *pgx.Conn, sql string, args ...any) string {
	var cell string
	So(conn.QueryRow(context.Background(), sql, args...).Scan(&cell), ShouldBeNil)
	return cell
}

func TestPgx(t *testing.T) {
	Convey("Given a pgx connection", t, func() {
		f := startServer(t, nil)
		conn := connect(f, "")
		Reset(func() { _ = conn.Close(context.Background()) })

		Convey("simple and extended queries with prepared statements run", func() {
			So(queryRow(conn, "select 1"), ShouldEqual, "1")
			So(queryRow(conn, "select 1"), ShouldEqual, "1")
			So(queryRow(conn, "select a where x=$1", "y"), ShouldEqual, "a")
			So(exec(conn, "insert into t set $1", "y"), ShouldEqual, "INSERT 0 1")
			So(exec(conn, "insert into t"), ShouldEqual, "INSERT 0 1")
			So(f.opener.openUnits(), ShouldEqual, 0)
		})
		Convey("BEGIN is sent to the target with the first statement", func() {
			tx, err := conn.Begin(context.Background())
			So(err, ShouldBeNil)
			So(f.opener.executedSQL(), ShouldEqual, "")
			_, err = tx.Exec(context.Background(), "insert into t")
			So(err, ShouldBeNil)
			So(f.opener.openUnits(), ShouldEqual, 1)
			So(tx.Commit(context.Background()), ShouldBeNil)
			So(f.opener.executedSQL(), ShouldEqual, "begin; insert into t; commit")
			So(f.opener.openUnits(), ShouldEqual, 0)
		})
		Convey("an error fails the transaction until ROLLBACK", func() {
			tx, err := conn.Begin(context.Background())
			So(err, ShouldBeNil)
			_, err = tx.Exec(context.Background(), "select broken")
			So(err, ShouldNotBeNil)
			_, err = tx.Exec(context.Background(), "select 1")
			So(err.(*pgconn.PgError).Code, ShouldEqual, "25P02")
			So(tx.Rollback(context.Background()), ShouldBeNil)
			So(queryRow(conn, "select 1"), ShouldEqual, "1")
		})
		Convey("a statement whose Parse was refused can be prepared again", func() {
			noPrimary := outcome.Refuse(outcome.NoPrimary, 0, "no primary")
			f.opener.answers["select 1"] = answer{rows: 1, cell: "1", tag: "SELECT 1", failure: &noPrimary, firstParseOnly: true}
			err := conn.QueryRow(context.Background(), "select 1").Scan(nil)
			var e *pgconn.PgError
			So(errors.As(err, &e), ShouldBeTrue)
			So(e.Code, ShouldEqual, "57P03")
			So(queryRow(conn, "select 1"), ShouldEqual, "1")
		})
		Convey("a session token is returned after a commit, and another connection can present it", func() {
			exec(conn, "insert into t")
			token := conn.PgConn().ParameterStatus("laburnumrack.session")
			So(token, ShouldNotBeEmpty)
			other := connect(f, "laburnumrack.session="+token)
			defer other.Close(context.Background())
			exec(other, "insert into t")
			So(f.opener.lastHeader().Seen.Index, ShouldEqual, 1)
		})
		Convey("refusals leave the connection usable", func() {
			for _, sql := range []string{"copy t from stdin", "listen x", "set search_path = other", "create temp table x()", "prepare p as select 1"} {
				So(execError(conn, sql).Code, ShouldEqual, "0A000")
			}
			So(execError(conn, "set laburnumrack.max_age = '2h'").Code, ShouldEqual, "42501")
			So(execError(conn, "set laburnumrack.deadline = 'soon'").Code, ShouldEqual, "22023")
			So(execError(conn, "set laburnumrack.session = 'forged'").Code, ShouldEqual, "22023")
			So(f.opener.executedSQL(), ShouldEqual, "")
			So(queryRow(conn, "select 1"), ShouldEqual, "1")
			So(f.refusedCount(outcome.Unsupported), ShouldEqual, 5)
		})
	})
}

func TestLibPQ(t *testing.T) {
	Convey("Given database/sql over lib/pq", t, func() {
		f := startServer(t, nil)
		db, err := sql.Open("postgres", f.url("sslmode=disable"))
		So(err, ShouldBeNil)
		defer db.Close()
		var cell string
		So(db.QueryRow("select 1").Scan(&cell), ShouldBeNil)
		So(db.QueryRow("select a where x=$1", "y").Scan(&cell), ShouldBeNil)
		So(cell, ShouldEqual, "a")
		stmt, err := db.Prepare("insert into t set $1")
		So(err, ShouldBeNil)
		for range 3 {
			_, err = stmt.Exec("y")
			So(err, ShouldBeNil)
		}
		So(stmt.Close(), ShouldBeNil)
		tx, err := db.Begin()
		So(err, ShouldBeNil)
		_, err = tx.Exec("insert into t set $1", "y")
		So(err, ShouldBeNil)
		So(tx.Commit(), ShouldBeNil)
		_, err = db.Exec("select broken")
		So(err, ShouldNotBeNil)
		So(db.Ping(), ShouldBeNil)
	})
}
