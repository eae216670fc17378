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

// inlineWriteBytes is the largest batch that is written before the answer is
// read; a larger one is written by a goroutine of its own, so that both ends
// cannot wait for each other.
const inlineWriteBytes = 32 << 10

// conn implements target.Conn.
type conn struct {
	net      net.Conn
	dialer   *net.Dialer
	address  netip.AddrPort
	pid      uint32
	secret   []byte
	reader   *reader
	prepared *prepared
	exchange exchange
	out      []byte
	status   wireunit.TxStatus
	lastTag  string
	fence    position.Term
	// dirty says that a caller may have changed the session.
	dirty bool

	// canceled and closed are also read and set by Cancel and by the watch on
	// the context.
	canceled atomic.Bool
	closed   atomic.Bool
}

func newConn(h *pgconn.HijackedConn, address netip.AddrPort, config Config) *conn {
	return &conn{
		net:      h.Conn,
		dialer:   config.dialer(),
		address:  address,
		pid:      h.PID,
		secret:   h.SecretKey,
		reader:   newReader(h.Conn, config.MaxMessageBytes),
		prepared: newPrepared(config.MaxStatements),
		status:   wireunit.TxStatus(h.TxStatus),
	}
}

func (c *conn) PID() uint32 {
	return c.pid
}

func (c *conn) Fence() position.Term {
	return c.fence
}

// readFence reads the fence under which the connection was opened.
func (c *conn) readFence(ctx context.Context) error {
	e := &c.exchange
	*e = exchange{conn: c, sink: io.Discard, x: target.Exchange{Batch: wireunit.Batch{Messages: statusQuery}}}
	err := e.guarded(ctx, func() error {
		if _, err := e.send(); err != nil {
			return err
		}
		return e.receiveStatus(true)
	})
	if err == nil && !e.reply.AfterKnown {
		c.Close()
		return fmt.Errorf("%w: no status", errProtocol)
	}
	c.fence = e.reply.After.Fence
	return err
}

func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	return c.net.Close()
}

func (c *conn) Reusable() bool {
	return !c.closed.Load() && !c.canceled.Load() && c.status == wireunit.TxIdle &&
		c.reader.unread() == 0 && !conncheck.Closed(c.net)
}

func (c *conn) DisableReuse() {
	c.canceled.Store(true)
}

func (c *conn) Dirty() bool {
	return c.dirty
}

func (c *conn) Cancel(ctx context.Context) error {
	c.DisableReuse()
	side, err := c.dialer.DialContext(ctx, "tcp", c.address.String())
	if err != nil {
		return fmt.Errorf("open connection for cancel request: %w", err)
	}
	defer side.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = side.SetDeadline(deadline)
	}
	message := pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}
	encoded, err := message.Encode(nil)
	if err != nil {
		return fmt.Errorf("encode cancel request: %w", err)
	}
	if _, err := side.Write(encoded); err != nil {
		return fmt.Errorf("send cancel request: %w", err)
	}
	// The target closes the connection once it has handled the request.
	var one [1]byte
	_, _ = side.Read(one[:])
	return nil
}

// Reset runs DISCARD ALL if a caller changed the session.
func (c *conn) Reset(ctx context.Context) error {
	if !c.dirty {
		return nil
	}
	message := pgproto3.Query{String: "DISCARD ALL"}
	encoded, err := message.Encode(nil)
	if err != nil {
		return fmt.Errorf("encode reset: %w", err)
	}
	reply, err := c.discard(ctx, encoded)
	if err != nil {
		return err
	}
	if reply.SQLState != "" {
		c.Close()
		return fmt.Errorf("%w: reset failed with %s", target.ErrLost, reply.SQLState)
	}
	c.prepared.clear()
	c.dirty = false
	return nil
}

// interrupt makes every pending read and write of the connection fail.
func (c *conn) interrupt() {
	_ = c.net.SetDeadline(time.Unix(1, 0))
}
