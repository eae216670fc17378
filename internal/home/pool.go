package home

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/ledger"
	"github.com/laburnumrack/laburnumrack/internal/target"
)

// spareConnections is how many connections beyond the slots are kept open, as
// replacements for connections that are closed.
const spareConnections = 1

// resetTimeout bounds the reset of a connection between two callers.
const resetTimeout = time.Second

// errPoolClosed is returned by a pool that was closed.
var errPoolClosed = errors.New("pool is closed")

// pooledConn is a connection with the generation of the pool in which it was opened.
type pooledConn struct {
	target.Conn
	generation uint64
	account    *account
}

// Close closes the connection and its account.
func (c *pooledConn) Close() error {
	c.account.close()
	return c.Conn.Close()
}

// pool holds the connections of one home to one target, up to a limit. It opens minOpen
// of them ahead of need. Its methods are safe for concurrent use.
type pool struct {
	dial func(ctx context.Context) (target.Conn, error)
	// openAccount returns the account of a new connection.
	openAccount func() *account
	ctx         context.Context
	// onDoubtful is called for each connection that is closed because its state is in
	// doubt.
	onDoubtful func()

	mu sync.Mutex
	// limit bounds open, which counts idle, used and opening connections.
	limit int
	open  int
	// minOpen is how many connections are kept open.
	minOpen int
	idle    []*pooledConn
	// generation is incremented by each flush; connections of older generations are not
	// reused.
	generation uint64
	waiting    []chan *pooledConn
	closed     bool
}

func newPool(ctx context.Context, dial func(context.Context) (target.Conn, error), openAccount func() *account, onDoubtful func()) *pool {
	return &pool{dial: dial, openAccount: openAccount, ctx: ctx, onDoubtful: onDoubtful}
}

// resize sets the limit and the number of connections that are kept open.
func (p *pool) resize(limit, minOpen int) {
	p.mu.Lock()
	p.limit, p.minOpen = max(limit, 0), min(max(minOpen, 0), max(limit, 0))
	var surplus []*pooledConn
	for p.open > p.limit && len(p.idle) > 0 {
		surplus = append(surplus, p.popLocked())
		p.open--
	}
	p.mu.Unlock()
	closeAll(surplus)
	p.openAhead()
}

// get returns an idle connection, or a new one within the limit, or waits for one. It
// returns an error that wraps target.ErrNotSent if ctx ends or the pool is closed, or the
// error of a failed dial.
func (p *pool) get(ctx context.Context) (*pooledConn, error) {
	for {
		c, ready, err := p.tryTake()
		if err != nil {
			return nil, err
		}
		if c == nil && ready == nil {
			return p.openCounted(ctx)
		}
		if c == nil {
			c, err = p.await(ctx, ready)
		}
		if err != nil {
			return nil, err
		}
		if c == nil {
			continue
		}
		if c.Reusable() {
			return c, nil
		}
		p.discard(c)
	}
}

// getFenced returns a connection that may be used at a placement. For writes the
// connection must have been opened under the fence of the placement's term; the target
// then refuses to run anything on it in a later term. getFenced returns target.ErrFenced
// if the instance has a fence of a later term.
func (p *pool) getFenced(ctx context.Context, at placement) (*pooledConn, error) {
	for {
		c, err := p.get(ctx)
		if err != nil || at.replica || c.Fence() == at.term {
			return c, err
		}
		if c.Fence() > at.term {
			p.put(c)
			return nil, target.ErrFenced
		}
		p.discard(c)
	}
}

// tryTake returns an idle connection, or a channel to wait on, or neither if the caller
// may open a connection.
func (p *pool) tryTake() (*pooledConn, chan *pooledConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, errors.Join(target.ErrNotSent, errPoolClosed)
	}
	if len(p.idle) > 0 {
		return p.popLocked(), nil, nil
	}
	if p.open < p.limit {
		p.open++
		return nil, nil, nil
	}
	ready := make(chan *pooledConn, 1)
	p.waiting = append(p.waiting, ready)
	return nil, ready, nil
}

func (p *pool) popLocked() *pooledConn {
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

// await waits for a connection. A nil connection without an error means that the caller
// should try again.
func (p *pool) await(ctx context.Context, ready chan *pooledConn) (*pooledConn, error) {
	select {
	case c := <-ready:
		return c, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	for i, w := range p.waiting {
		if w == ready {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			break
		}
	}
	p.mu.Unlock()
	select {
	case c := <-ready:
		if c != nil {
			p.put(c)
		} else {
			p.wakeFirst()
		}
	default:
	}
	return nil, errors.Join(target.ErrNotSent, ctx.Err())
}

// openCounted opens a connection that is already counted in open.
func (p *pool) openCounted(ctx context.Context) (*pooledConn, error) {
	p.mu.Lock()
	generation := p.generation
	p.mu.Unlock()
	c, err := p.dial(ctx)
	if err != nil {
		p.uncountOpen()
		return nil, err
	}
	return &pooledConn{Conn: c, generation: generation, account: p.openAccount()}, nil
}

// put returns a connection to the pool. A connection whose state is in doubt is closed;
// one whose session state a caller changed is reset in the background.
func (p *pool) put(c *pooledConn) {
	c.account.set(ledger.Free, ledger.Holder{})
	switch {
	case !c.Reusable():
		p.onDoubtful()
		p.discard(c)
	case c.Dirty():
		go p.reset(c)
	case !p.offer(c):
		p.discard(c)
	}
}

func (p *pool) reset(c *pooledConn) {
	ctx, cancel := context.WithTimeout(p.ctx, resetTimeout)
	defer cancel()
	if err := c.Reset(ctx); err != nil || !p.offer(c) {
		p.discard(c)
	}
}

// offer hands a clean connection to the first waiter or makes it idle. It returns false
// if the pool does not keep the connection.
func (p *pool) offer(c *pooledConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.limit || c.generation != p.generation {
		return false
	}
	if len(p.waiting) > 0 {
		p.waiting[0] <- c
		p.waiting = p.waiting[1:]
		return true
	}
	p.idle = append(p.idle, c)
	return true
}

// discard closes a connection and opens another if fewer than minOpen are left.
func (p *pool) discard(c *pooledConn) {
	c.Close()
	p.uncountOpen()
	p.openAhead()
}

func (p *pool) uncountOpen() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	p.wakeFirst()
}

// wakeFirst makes the first waiter try again if a connection may be opened.
func (p *pool) wakeFirst() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) > 0 && p.open < p.limit {
		p.waiting[0] <- nil
		p.waiting = p.waiting[1:]
	}
}

// openAhead opens connections ahead of need, until minOpen are open.
func (p *pool) openAhead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.closed && p.open < p.minOpen {
		p.open++
		go p.openIdle()
	}
}

func (p *pool) openIdle() {
	c, err := p.openCounted(p.ctx)
	if err != nil {
		return
	}
	if !p.offer(c) {
		c.Close()
		p.uncountOpen()
	}
}

// flush closes the idle connections now, and the used ones when they are returned.
func (p *pool) flush() {
	p.mu.Lock()
	p.generation++
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.mu.Unlock()
	closeAll(idle)
	for range idle {
		p.wakeFirst()
	}
	p.openAhead()
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	waiting := p.waiting
	p.waiting = nil
	p.mu.Unlock()
	closeAll(idle)
	for _, w := range waiting {
		w <- nil
	}
}

func closeAll(conns []*pooledConn) {
	for _, c := range conns {
		c.Close()
	}
}

// load returns how many connections are used, idle and not open.
func (p *pool) load() (used, idle, free int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open - len(p.idle), len(p.idle), max(p.limit-p.open, 0)
}
