package target

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/target"
)

// control implements target.Control. The token channel serializes the calls: it holds
// one token, which a call takes while it uses the connection.
type control struct {
	token chan struct{}
	conn  *pgconn.PgConn
}

func newControl(conn *pgconn.PgConn) *control {
	c := &control{token: make(chan struct{}, 1), conn: conn}
	c.token <- struct{}{}
	return c
}

// Status implements target.Control.
func (c *control) Status(ctx context.Context) (target.Status, error) {
	return c.queryStatus(ctx, selectStatus)
}

// Fence implements target.Control.
func (c *control) Fence(ctx context.Context, t position.Term) (target.Status, error) {
	return c.queryStatus(ctx, fmt.Sprintf("SELECT * FROM %s(%d)", target.FuncFence, t))
}

// Promote implements target.Control.
func (c *control) Promote(ctx context.Context, t position.Term) (target.Status, error) {
	return c.queryStatus(ctx, fmt.Sprintf("SELECT * FROM %s(%d)", target.FuncPromote, t))
}

// Follow implements target.Control.
func (c *control) Follow(ctx context.Context, t position.Term, primary netip.AddrPort) (target.Status, error) {
	return c.queryStatus(ctx, fmt.Sprintf("SELECT * FROM %s(%d, '%s')", target.FuncFollow, t, primary))
}

// Terminate implements target.Control.
func (c *control) Terminate(ctx context.Context, pid uint32) error {
	_, err := c.queryRow(ctx, fmt.Sprintf("SELECT * FROM %s(%d)", target.FuncTerminate, pid))
	return err
}

// Close implements target.Control.
func (c *control) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return c.conn.Close(ctx)
}

func (c *control) queryStatus(ctx context.Context, sql string) (target.Status, error) {
	row, err := c.queryRow(ctx, sql)
	if err != nil {
		return target.Status{}, err
	}
	return parseStatusRow(row)
}

// queryRow runs a statement that returns exactly one row. The error wraps
// target.ErrNotSent if the statement was not sent; otherwise see controlError.
func (c *control) queryRow(ctx context.Context, sql string) ([][]byte, error) {
	select {
	case <-c.token:
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", target.ErrNotSent, ctx.Err())
	}
	defer func() { c.token <- struct{}{} }()
	if c.conn.IsClosed() {
		return nil, fmt.Errorf("%w: control connection is closed", target.ErrNotSent)
	}
	results, err := c.conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, controlError(err)
	}
	if len(results) != 1 || len(results[0].Rows) != 1 {
		return nil, fmt.Errorf("%w: %s did not return exactly one row", errProtocol, sql)
	}
	return results[0].Rows[0], nil
}

// controlError classifies the error of a statement: target.ErrFenced if the target
// refused it because of its fence, target.ErrLost if there was no answer.
func controlError(err error) error {
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		return fmt.Errorf("%w: %w", target.ErrLost, err)
	}
	if pgErr.Code == target.SQLStateFenced {
		return fmt.Errorf("%w: %s", target.ErrFenced, pgErr.Message)
	}
	return fmt.Errorf("target returned SQLSTATE %s: %w", pgErr.Code, err)
}

// parseStatusRow parses the text columns of a status row, which have a fixed order.
func parseStatusRow(row [][]byte) (target.Status, error) {
	var s target.Status
	if len(row) != statusColumns {
		return s, fmt.Errorf("%w: status row has %d columns", errProtocol, len(row))
	}
	var numbers [statusColumns]uint64
	for i := columnFence; i < statusColumns; i++ {
		n, err := strconv.ParseUint(string(row[i]), 10, 64)
		if err != nil {
			return s, fmt.Errorf("%w: status column %d: %w", errProtocol, i, err)
		}
		numbers[i] = n
	}
	s.Target = string(row[columnTarget])
	s.Primary = string(row[columnRole]) == rolePrimary
	s.Fence = position.Term(numbers[columnFence])
	s.Joined = position.Term(numbers[columnJoined])
	s.Last = position.Position{Term: position.Term(numbers[columnLastTerm]), Index: numbers[columnLastIndex]}
	s.Applied = position.Position{Term: position.Term(numbers[columnAppliedTerm]), Index: numbers[columnAppliedIndex]}
	return s, nil
}
