package home

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/laburnumrack/laburnumrack/internal/target"
)

// countedConn is a stubConn that counts the open connections.
type countedConn struct {
	stubConn
	open   *atomic.Int64
	closed atomic.Bool
	broken atomic.Bool
}

func (c *countedConn) Reusable() bool { return !c.broken.Load() && !c.closed.Load() }
func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return nil
}

func newCountedPool(limit, ahead int) (*pool, *atomic.Int64) {
	open := new(atomic.Int64)
	dial := func(context.Context) (target.Conn, error) {
		open.Add(1)
		return &countedConn{open: open}, nil
	}
	p := newPool(context.Background(), dial, func() *account { return nil }, func() {})
	p.resize(limit, ahead)
	return p, open
}

// TestPool guards against a pool that exceeds its limit, loses a waiter, or reuses
// connections that are broken or were opened before a flush.
func TestPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, open := newCountedPool(2, 1)
		synctest.Wait()
		expectOpen := func(what string, want int64) {
			t.Helper()
			synctest.Wait()
			if got := open.Load(); got != want {
				t.Fatalf("%s: %d connections are open, want %d", what, got, want)
			}
		}
		expectOpen("after opening ahead of need", 1)
		mustGet := func() *pooledConn {
			c, err := p.get(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			return c
		}
		first, second := mustGet(), mustGet()
		third := make(chan *pooledConn, 1)
		go func() { third <- mustGet() }()
		expectOpen("at the limit", 2)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if _, err := p.get(ctx); !errors.Is(err, target.ErrNotSent) {
			t.Fatalf("get with a canceled context returned %v, want target.ErrNotSent", err)
		}
		first.Conn.(*countedConn).broken.Store(true)
		p.put(first)
		if c := <-third; c == first || c == second {
			t.Fatal("get returned a connection that is broken or in use")
		} else {
			p.put(c)
		}
		expectOpen("after a broken connection was replaced", 2)
		p.flush()
		expectOpen("after a flush closed the idle connections", 1)
		p.put(second)
		expectOpen("after a used connection of an older generation was replaced", 1)
		if c := mustGet(); c == second {
			t.Fatal("get returned a connection of an older generation")
		} else {
			p.resize(0, 0)
			p.put(c)
		}
		expectOpen("after the limit was lowered", 0)
		p.close()
		if _, err := p.get(context.Background()); !errors.Is(err, errPoolClosed) {
			t.Fatalf("get on a closed pool returned %v, want errPoolClosed", err)
		}
	})
}
