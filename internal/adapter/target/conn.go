package target

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/laburnumrack/laburnumrack/internal/conncheck"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/target"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// inlineWriteBytes is the maximum size of a batch that is written before its answer is
// read. A larger batch is written by a separate goroutine: otherwise proxy and target
// could deadlock, each blocked on a write until the other reads.
const inlineWriteBytes = 32 << 10

// conn implements target.Conn on a connection hijacked from pgconn.
type conn struct {
	netConn     net.Conn
	dialer      *net.Dialer
	address     netip.AddrPort
	pid         uint32
	secretKey   []byte
	reader      *reader
	statements  *statementCache
	exchange    exchange
	writeBuffer []byte
	txStatus    wireunit.TxStatus
	lastTag     string
	fence       position.Term
	// dirty reports whether a caller may have left session state.
	dirty bool

	// reuseDisabled is also set by Cancel and DisableReuse, which are called from
	// other goroutines.
	reuseDisabled atomic.Bool
	closed        atomic.Bool
}

func newConn(h *pgconn.HijackedConn, address netip.AddrPort, config Config) *conn {
	return &conn{
		netConn:    h.Conn,
		dialer:     config.netDialer(),
		address:    address,
		pid:        h.PID,
		secretKey:  h.SecretKey,
		reader:     newReader(h.Conn, config.MaxMessageBytes),
		statements: newStatementCache(config.MaxStatements),
		txStatus:   wireunit.TxStatus(h.TxStatus),
	}
}

// PID implements target.Conn.
func (c *conn) PID() uint32 {
	return c.pid
}

// Fence implements target.Conn.
func (c *conn) Fence() position.Term {
	return c.fence
}

// readFence runs the status query and stores the fence under which the connection was
// opened. On an error the connection is closed.
func (c *conn) readFence(ctx context.Context) error {
	e := &c.exchange
	*e = exchange{conn: c, sink: io.Discard, request: target.Exchange{Batch: wireunit.Batch{Messages: statusQuery}}}
	err := e.runOrClose(ctx, func() error {
		if _, err := e.send(); err != nil {
			return err
		}
		return e.receiveStatus(true)
	})
	if err == nil && !e.reply.HasStatusAfter {
		c.Close()
		return fmt.Errorf("%w: no status row received", errProtocol)
	}
	c.fence = e.reply.StatusAfter.Fence
	return err
}

// Close implements target.Conn.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	return c.netConn.Close()
}

// Reusable implements target.Conn.
func (c *conn) Reusable() bool {
	return !c.closed.Load() && !c.reuseDisabled.Load() && c.txStatus == wireunit.TxIdle &&
		c.reader.unread() == 0 && !conncheck.Closed(c.netConn)
}

// DisableReuse implements target.Conn.
func (c *conn) DisableReuse() {
	c.reuseDisabled.Store(true)
}

// Dirty implements target.Conn.
func (c *conn) Dirty() bool {
	return c.dirty
}

// Cancel implements target.Conn. It sends a CancelRequest over a new connection and
// waits until the target has processed it or the deadline of ctx passes.
func (c *conn) Cancel(ctx context.Context) error {
	c.DisableReuse()
	cancelConn, err := c.dialer.DialContext(ctx, "tcp", c.address.String())
	if err != nil {
		return fmt.Errorf("open connection for cancel request: %w", err)
	}
	defer cancelConn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = cancelConn.SetDeadline(deadline)
	}
	message := pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secretKey}
	encoded, err := message.Encode(nil)
	if err != nil {
		return fmt.Errorf("encode cancel request: %w", err)
	}
	if _, err := cancelConn.Write(encoded); err != nil {
		return fmt.Errorf("send cancel request: %w", err)
	}
	// The target closes the connection once it has processed the request.
	var one [1]byte
	_, _ = cancelConn.Read(one[:])
	return nil
}

// Reset implements target.Conn. It runs DISCARD ALL if a caller may have left session
// state. If DISCARD ALL fails, the connection is closed.
func (c *conn) Reset(ctx context.Context) error {
	if !c.dirty {
		return nil
	}
	message := pgproto3.Query{String: "DISCARD ALL"}
	encoded, err := message.Encode(nil)
	if err != nil {
		return fmt.Errorf("encode DISCARD ALL: %w", err)
	}
	reply, err := c.execSimple(ctx, encoded)
	if err != nil {
		return err
	}
	if reply.SQLState != "" {
		c.Close()
		return fmt.Errorf("%w: DISCARD ALL failed with SQLSTATE %s", target.ErrLost, reply.SQLState)
	}
	c.statements.clear()
	c.dirty = false
	return nil
}

// interrupt makes all pending and later reads and writes of the connection fail.
func (c *conn) interrupt() {
	_ = c.netConn.SetDeadline(time.Unix(1, 0))
}
