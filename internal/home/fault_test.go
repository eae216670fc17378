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

// faultDialer is a Dialer that injects faults into the connections it opens.
type faultDialer struct {
	target.Dialer

	mu sync.Mutex
	// fault, if set, replaces the next exchange that match accepts.
	fault func(c target.Conn, ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error)
	match func(x target.Exchange) bool
	// onCancel, if set, replaces every cancel request.
	onCancel func(c target.Conn, ctx context.Context) error
	// ignoreClose keeps the connections open at the target when the home closes them.
	ignoreClose bool
}

func (d *faultDialer) Dial(ctx context.Context, a netip.AddrPort, database string) (target.Conn, error) {
	c, err := d.Dialer.Dial(ctx, a, database)
	if err != nil {
		return nil, err
	}
	return &faultConn{Conn: c, dialer: d}, nil
}

// injectFault replaces the next exchange that matches.
func (d *faultDialer) injectFault(match func(target.Exchange) bool, fault func(target.Conn, context.Context, target.Exchange, io.Writer) (target.Reply, error)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.match, d.fault = match, fault
}

func (d *faultDialer) takeFault(x target.Exchange) func(target.Conn, context.Context, target.Exchange, io.Writer) (target.Reply, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fault == nil || !d.match(x) {
		return nil
	}
	f := d.fault
	d.fault = nil
	return f
}

type faultConn struct {
	target.Conn
	dialer *faultDialer
}

func (c *faultConn) Exchange(ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error) {
	if f := c.dialer.takeFault(x); f != nil {
		return f(c.Conn, ctx, x, sink)
	}
	return c.Conn.Exchange(ctx, x, sink)
}

func (c *faultConn) Close() error {
	c.dialer.mu.Lock()
	ignoreClose := c.dialer.ignoreClose
	c.dialer.mu.Unlock()
	if ignoreClose {
		return nil
	}
	return c.Conn.Close()
}

func (c *faultConn) Cancel(ctx context.Context) error {
	c.dialer.mu.Lock()
	f := c.dialer.onCancel
	c.dialer.mu.Unlock()
	if f != nil {
		return f(c.Conn, ctx)
	}
	return c.Conn.Cancel(ctx)
}

// closeBeforeSend closes the connection before anything is sent.
func closeBeforeSend(c target.Conn, ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error) {
	c.Close()
	return c.Exchange(ctx, x, sink)
}

// loseBeforeExecution closes the connection as if the batch was sent but lost on the way
// to the target.
func loseBeforeExecution(c target.Conn, _ context.Context, x target.Exchange, _ io.Writer) (target.Reply, error) {
	c.Close()
	return target.Reply{Held: x.Held}, fmt.Errorf("%w: cut by the test", target.ErrLost)
}

// loseAfterExecution has the target run the batch and discards its answer.
func loseAfterExecution(c target.Conn, ctx context.Context, x target.Exchange, _ io.Writer) (target.Reply, error) {
	_, err := c.Exchange(ctx, x, io.Discard)
	c.Close()
	if err != nil {
		return target.Reply{Held: x.Held}, err
	}
	return target.Reply{Held: x.Held}, fmt.Errorf("%w: cut by the test", target.ErrLost)
}

// sqlContains matches a batch whose SQL contains a word.
func sqlContains(word string) func(target.Exchange) bool {
	return func(x target.Exchange) bool {
		found := false
		eachSQL(x.Batch, func(sql string) { found = found || hasAnyWord(sql, []string{word}) })
		return found
	}
}

// newFaultyCluster returns a cluster with one home whose connections can be given faults.
func newFaultyCluster(t testing.TB, adjust ...func(*Config)) (*testCluster, *faultDialer) {
	d := &faultDialer{}
	all := append([]func(*Config){func(c *Config) {
		d.Dialer = c.Dialer
		c.Dialer = d
		c.Timings.ConfirmTimeout = 500 * time.Millisecond
	}}, adjust...)
	return newTestCluster(t, 1, all...), d
}
