package bench

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/laburnumrack/laburnumrack/internal/target"
)

// insertRows is how many rows one INSERT of Prepare has.
const insertRows = 200

// Prepare creates the tables of the mix, the rows to read and one row for each
// counted request.
func (l *Load) Prepare(ctx context.Context) error {
	for _, database := range l.Mix.Databases {
		conn, err := l.Deployment.connect(ctx, 0, l.Mix.Writer, l.Mix.Service, database)
		if err != nil {
			return fmt.Errorf("connect to %s: %w", database, err)
		}
		err = l.prepareDatabase(ctx, conn, database)
		_ = conn.Close(ctx)
		if err != nil {
			return fmt.Errorf("prepare %s: %w", database, err)
		}
	}
	return l.waitReadable(ctx)
}

// readyTimeout bounds the check of one database through one entry.
const readyTimeout = 5 * time.Second

// Ready checks that every entry reads every database at its primary.
func CheckReady(ctx context.Context, d Deployment, mix Mix) error {
	for entry := range d.Gateways {
		for _, database := range mix.Databases {
			if err := d.readyAt(ctx, entry, mix, database); err != nil {
				return fmt.Errorf("%s through %s: %w", database, d.Gateways[entry], err)
			}
		}
	}
	return nil
}

func (d *Deployment) readyAt(ctx context.Context, entry int, mix Mix, database string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	conn, err := d.connect(ctx, entry, mix.Writer, mix.Service, database)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, "SELECT count(*) FROM "+target.RecordTable)
	return err
}

// readableTimeout bounds the wait for the prepared rows, and readableInterval is
// the time between two looks.
const (
	readableTimeout  = 20 * time.Second
	readableInterval = 50 * time.Millisecond
)

// waitReadable returns when every class that reads sees the prepared rows of
// every database through every entry. A caller that accepts old data may be shown
// a replica from before they were made.
func (l *Load) waitReadable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readableTimeout)
	defer cancel()
	for i := range l.Mix.Classes {
		class := &l.Mix.Classes[i]
		if class.Operation != Read {
			continue
		}
		for _, database := range l.Mix.Databases {
			for entry := range l.Deployment.Gateways {
				if err := l.waitRow(ctx, entry, class, database); err != nil {
					return fmt.Errorf("%s of %s through %s: %w", class.Table, database, l.Deployment.Gateways[entry], err)
				}
			}
		}
	}
	return nil
}

func (l *Load) waitRow(ctx context.Context, entry int, class *Class, database string) error {
	for {
		err := l.readRow(ctx, entry, class, database)
		if err == nil {
			return nil
		}
		if !sleepUntil(ctx, time.Now().Add(readableInterval)) {
			return err
		}
	}
}

// readRow reads the last prepared row through a connection of its own.
func (l *Load) readRow(ctx context.Context, entry int, class *Class, database string) error {
	conn, err := l.Deployment.connect(ctx, entry, class.Caller, l.Mix.Service, database)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	var note string
	return conn.QueryRow(ctx, "SELECT note FROM "+class.Table+" WHERE id = $1", rowID(readRows-1)).Scan(&note)
}

func (l *Load) prepareDatabase(ctx context.Context, conn *pgx.Conn, database string) error {
	created := map[string]bool{}
	for i := range l.Mix.Classes {
		class := &l.Mix.Classes[i]
		if created[class.Table] {
			continue
		}
		created[class.Table] = true
		create := "CREATE TABLE IF NOT EXISTS " + class.Table + " (id text PRIMARY KEY, note text, runs bigint)"
		if _, err := conn.Exec(ctx, create); err != nil {
			return err
		}
		if err := insertAll(ctx, conn, class.Table, l.preparedRows(class, database)); err != nil {
			return err
		}
	}
	return nil
}

// preparedRows returns the ids that a class needs before the run.
func (l *Load) preparedRows(class *Class, database string) []string {
	var ids []string
	switch class.Operation {
	case Read:
		for row := range readRows {
			ids = append(ids, rowID(row))
		}
	case Increment:
		for i := range l.Plan {
			a := &l.Plan[i]
			if a.Class.Table == class.Table && a.Class.Operation == Increment && a.Database == database {
				ids = append(ids, a.ID())
			}
		}
	}
	return ids
}

func insertAll(ctx context.Context, conn *pgx.Conn, table string, ids []string) error {
	for len(ids) > 0 {
		n := min(insertRows, len(ids))
		rows := make([]string, n)
		for i, id := range ids[:n] {
			rows[i] = fmt.Sprintf("('%s', 'prepared', 0)", id)
		}
		insert := "INSERT INTO " + table + " (id, note, runs) VALUES " + strings.Join(rows, ", ") + " ON CONFLICT DO NOTHING"
		if _, err := conn.Exec(ctx, insert); err != nil {
			return err
		}
		ids = ids[n:]
	}
	return nil
}
