package peer

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
)

// Observer is told how a peer behaves.
type Observer interface {
	// Heard says that the peer answered.
	Heard(name string)
	// Lost says that the peer can't be reached or went silent.
	Lost(name string, err error)
	// Leaving says that the peer takes no new units.
	Leaving(name string)
}

// Client opens units at one other daemon. It may be used by any goroutine.
type Client struct {
	self, name, address string
	observer            Observer

	mu       sync.Mutex
	conn     *clientConn // guarded by mu
	failed   error       // guarded by mu; of the last dial
	failedAt time.Time   // guarded by mu
}

// NewClient returns a client of the daemon name at address.
func NewClient(self, name, address string, o Observer) *Client {
	return &Client{self: self, name: name, address: address, observer: o}
}

// Name returns the name of the peer.
func (c *Client) Name() string {
	return c.name
}

// errLost says that the connection was lost while calls were out.
var errLost = errors.New("peer connection was lost")

// clientConn is one connection to a peer.
type clientConn struct {
	client *Client
	wire   *wire
	heard  atomic.Int64 // since boot
	next   atomic.Uint64

	mu    sync.Mutex
	calls map[uint64]chan response // guarded by mu
	lost  bool                     // guarded by mu
	// wake starts the watch over silence when the first call goes out.
	wake chan struct{}
	done chan struct{}
}

// connect returns the connection, which it opens if there is none.
func (c *Client) connect() (*clientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && !c.conn.isLost() {
		return c.conn, nil
	}
	if c.failed != nil && time.Since(c.failedAt) < dialPause {
		return nil, c.failed
	}
	conn, err := c.dial()
	c.failed, c.failedAt = err, time.Now()
	if err != nil {
		c.observer.Lost(c.name, err)
		return nil, err
	}
	c.conn = conn
	c.observer.Heard(c.name)
	go conn.read()
	go conn.watchSilence()
	return conn, nil
}

func (c *Client) dial() (*clientConn, error) {
	tcp, err := net.DialTimeout("tcp4", c.address, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("connect to peer %s: %w", c.name, err)
	}
	w := newWire(tcp)
	if err := c.greet(w); err != nil {
		return nil, errors.Join(fmt.Errorf("greet peer %s: %w", c.name, err), tcp.Close())
	}
	conn := &clientConn{client: c, wire: w, calls: make(map[uint64]chan response), wake: make(chan struct{}, 1), done: make(chan struct{})}
	conn.heard.Store(int64(boottime.Now()))
	return conn, nil
}

func (c *Client) greet(w *wire) error {
	if err := w.conn.SetReadDeadline(time.Now().Add(dialTimeout)); err != nil {
		return err
	}
	if err := w.write(hello{Version: Version, Name: c.self, To: c.name}); err != nil {
		return err
	}
	var h hello
	if err := w.read(&h); err != nil {
		return err
	}
	if h.Version != Version || h.Name != c.name {
		return fmt.Errorf("daemon %q of version %d answers", h.Name, h.Version)
	}
	return w.conn.SetReadDeadline(time.Time{})
}

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
	if conn != nil {
		conn.end(nil)
	}
}

// read handles frames until the connection ends.
func (c *clientConn) read() {
	for {
		var r response
		if err := c.wire.read(&r); err != nil {
			c.end(err)
			return
		}
		c.heard.Store(int64(boottime.Now()))
		if r.Leaving {
			c.client.observer.Leaving(c.client.name)
		}
		if r.Reply == nil && r.Watched == nil && r.Intents == nil {
			continue
		}
		c.mu.Lock()
		answer := c.calls[r.Unit]
		delete(c.calls, r.Unit)
		c.mu.Unlock()
		if answer != nil {
			answer <- r
		}
	}
}

// watchSilence pings a silent peer while calls are out, and gives the connection up
// if it stays silent.
func (c *clientConn) watchSilence() {
	for {
		select {
		case <-c.done:
			return
		case <-c.wake:
		}
		for c.outstanding() > 0 {
			time.Sleep(pingAfter / 2)
			silence := boottime.Now() - time.Duration(c.heard.Load())
			if silence > lostAfter {
				c.end(errLost)
				return
			}
			if silence > pingAfter {
				go func() { _ = c.wire.write(request{Ping: true}) }()
			}
		}
	}
}

func (c *clientConn) outstanding() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls)
}

func (c *clientConn) isLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}

// end closes the connection, if it is open, and fails the calls that are out. A loss
// is told to the observer first, so that whoever runs a failed call elsewhere does not
// choose this peer again; nil stands for a close that is none.
func (c *clientConn) end(loss error) {
	c.mu.Lock()
	if c.lost {
		c.mu.Unlock()
		return
	}
	c.lost = true
	calls := c.calls
	c.calls = nil
	c.mu.Unlock()
	close(c.done)
	// The connection is given up; its close can't be acted on.
	_ = c.wire.conn.Close()
	if loss != nil {
		c.client.observer.Lost(c.client.name, loss)
	}
	for _, answer := range calls {
		close(answer)
	}
}

// exchange sends a frame and waits for the answer with its unit's id, at most for
// limit. sent tells whether the frame may have reached the peer.
func (c *clientConn) exchange(r request, limit time.Duration) (answer response, sent bool, err error) {
	done := make(chan response, 1)
	c.mu.Lock()
	if c.lost {
		c.mu.Unlock()
		return response{}, false, errLost
	}
	if len(c.calls) == 0 {
		c.heard.Store(int64(boottime.Now()))
	}
	c.calls[r.Unit] = done
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	if err := c.wire.write(r); err != nil {
		c.end(err)
		return response{}, true, err
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case answer, ok := <-done:
		if !ok {
			return response{}, true, errLost
		}
		return answer, true, nil
	case <-timer.C:
		c.mu.Lock()
		delete(c.calls, r.Unit)
		c.mu.Unlock()
		return response{}, true, fmt.Errorf("no answer in %s", limit)
	}
}

// remoteUnit is a unit at another daemon.
type remoteUnit struct {
	client *Client
	header stmtunit.Header
	id     uint64
	conn   *clientConn
	ended  bool
}

// Open opens a unit; the peer hears of it with the first call.
func (c *Client) Open(h stmtunit.Header) stmtunit.Unit {
	return &remoteUnit{client: c, header: h}
}

// callSlack is the time beyond a statement's time-out after which a call is lost.
const callSlack = 500 * time.Millisecond

// defaultLimit bounds a call whose route names no time-out.
const defaultLimit = 5 * time.Second

// Run runs one statement at the peer.
func (u *remoteUnit) Run(c stmtunit.Call) stmtunit.Reply {
	r := request{Call: &c}
	if u.conn == nil {
		conn, err := u.client.connect()
		if err != nil {
			return stmtunit.Reply{Fate: stmtunit.NotRun}
		}
		u.conn, u.id, r.Open = conn, conn.next.Add(1), &u.header
	}
	r.Unit = u.id
	limit := defaultLimit
	if t := u.header.Route.StatementTimeout; t > 0 {
		limit = t + callSlack
	}
	answer, sent, err := u.conn.exchange(r, limit)
	switch {
	case err == nil && answer.Reply != nil:
		return *answer.Reply
	case sent:
		return stmtunit.Reply{Fate: stmtunit.Lost}
	case r.Open == nil:
		// The unit ended with its connection.
		return stmtunit.Reply{Fate: stmtunit.Lost}
	default:
		return stmtunit.Reply{Fate: stmtunit.NotRun}
	}
}

// Close ends the unit at the peer.
func (u *remoteUnit) Close() {
	if u.conn == nil || u.ended || u.header.Begin == nil {
		return
	}
	u.ended = true
	if u.conn.isLost() {
		return
	}
	go func(c *clientConn, id uint64) {
		// A peer that can't be told closes the unit with the connection.
		_ = c.wire.write(request{Unit: id, Close: true})
	}(u.conn, u.id)
}
