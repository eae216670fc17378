package home

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/target"
)

// tamperer is a Dialer whose connections can be disturbed once.
type tamperer struct {
	target.Dialer

	mu sync.Mutex
	// exchange, if set, takes the place of the next exchange with a batch that
	// matches.
	exchange func(c target.Conn, ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error)
	match    func(x target.Exchange) bool
	// cancel, if set, takes the place of every cancel request.
	cancel func(c target.Conn, ctx context.Context) error
	// deaf keeps the target from noticing that a connection was closed.
	deaf bool
}

func (d *tamperer) Dial(ctx context.Context, a netip.AddrPort, database string) (target.Conn, error) {
	c, err := d.Dialer.Dial(ctx, a, database)
	if err != nil {
		return nil, err
	}
	return &tampered{Conn: c, by: d}, nil
}

// next disturbs the next exchange that matches.
func (d *tamperer) next(match func(target.Exchange) bool, exchange func(target.Conn, context.Context, target.Exchange, io.Writer) (target.Reply, error)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.match, d.exchange = match, exchange
}

func (d *tamperer) take(x target.Exchange) func(target.Conn, context.Context, target.Exchange, io.Writer) (target.Reply, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.exchange == nil || !d.match(x) {
		return nil
	}
	f := d.exchange
	d.exchange = nil
	return f
}

type tampered struct {
	target.Conn
	by *tamperer
}

func (c *tampered) Exchange(ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error) {
	if f := c.by.take(x); f != nil {
		return f(c.Conn, ctx, x, sink)
	}
	return c.Conn.Exchange(ctx, x, sink)
}

func (c *tampered) Close() error {
	c.by.mu.Lock()
	deaf := c.by.deaf
	c.by.mu.Unlock()
	if deaf {
		return nil
	}
	return c.Conn.Close()
}

func (c *tampered) Cancel(ctx context.Context) error {
	c.by.mu.Lock()
	f := c.by.cancel
	c.by.mu.Unlock()
	if f != nil {
		return f(c.Conn, ctx)
	}
	return c.Conn.Cancel(ctx)
}

// cutBeforeSend closes the connection before anything is sent.
func cutBeforeSend(c target.Conn, ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error) {
	c.Close()
	return c.Exchange(ctx, x, sink)
}

// cutBeforeEffect loses a batch that was sent but never reached the target.
func cutBeforeEffect(c target.Conn, _ context.Context, x target.Exchange, _ io.Writer) (target.Reply, error) {
	c.Close()
	return target.Reply{Held: x.Held}, fmt.Errorf("%w: cut by the test", target.ErrLost)
}

// cutAfterEffect loses the answer to a batch that took effect.
func cutAfterEffect(c target.Conn, ctx context.Context, x target.Exchange, _ io.Writer) (target.Reply, error) {
	_, err := c.Exchange(ctx, x, io.Discard)
	c.Close()
	if err != nil {
		return target.Reply{Held: x.Held}, err
	}
	return target.Reply{Held: x.Held}, fmt.Errorf("%w: cut by the test", target.ErrLost)
}

// holding matches a batch whose SQL holds a word.
func holding(word string) func(target.Exchange) bool {
	return func(x target.Exchange) bool {
		found := false
		eachSQL(x.Batch, func(sql string) { found = found || hasAnyWord(sql, []string{word}) })
		return found
	}
}

// newTamperedBench returns a bench with one home whose connections can be
// disturbed.
func newTamperedBench(t testing.TB, adjust ...func(*Config)) (*bench, *tamperer) {
	d := &tamperer{}
	all := append([]func(*Config){func(c *Config) {
		d.Dialer = c.Dialer
		c.Dialer = d
		c.Timings.ConfirmTimeout = 500 * time.Millisecond
	}}, adjust...)
	return newBench(t, 1, all...), d
}
