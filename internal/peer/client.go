package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
)

// Observer is notified of the state of peers.
type Observer interface {
	// PeerResponded is called when a connection to the peer is established.
	PeerResponded(name string)
	// PeerUnreachable is called when the peer can't be reached or its connection is lost.
	PeerUnreachable(name string, err error)
	// PeerLeaving is called when the peer accepts no new units.
	PeerLeaving(name string)
}

// Identity is what a daemon tells its peers of itself.
type Identity struct {
	Name string
	// Address is the address at which the daemon accepts peers, as host:port. It is empty
	// if they need not know it.
	Address string
}

// Client opens units at one other daemon. It is safe for concurrent use.
type Client struct {
	self          Identity
	name, address string
	observer      Observer

	// watches has a connection of its own for watches, so that their large answers don't
	// delay the answers to other calls. It is nil in itself.
	watches *Client

	// closed ends when the client is closed; it interrupts a dial.
	closed context.Context
	close  context.CancelFunc

	mu           sync.Mutex
	conn         *clientConn // guarded by mu
	dialErr      error       // guarded by mu; of the last dial
	dialFailedAt time.Time   // guarded by mu
}

// NewClient returns a client of the daemon name at address, given as host:port. self is
// this daemon. No connection is made before the first call.
func NewClient(self Identity, name, address string, o Observer) *Client {
	c := newClient(self, name, address, o)
	// A connection for watches does not introduce this daemon a second time.
	c.watches = newClient(Identity{Name: self.Name}, name, address, o)
	return c
}

func newClient(self Identity, name, address string, o Observer) *Client {
	c := &Client{self: self, name: name, address: address, observer: o}
	c.closed, c.close = context.WithCancel(context.Background())
	return c
}

// Name returns the name of the peer.
func (c *Client) Name() string {
	return c.name
}

var (
	// errLost is returned if a connection is lost during pending calls.
	errLost = errors.New("peer connection was lost")
	// errUnknown is returned if the peer does not know the request, or answers it in a way
	// that this release does not know.
	errUnknown = errors.New("peer of another release does not know the request")
	// errClosed is returned by calls of a closed client.
	errClosed = errors.New("peer client is closed")
)

// clientConn is one connection to a peer.
type clientConn struct {
	client *Client
	frames *frameConn
	lastID atomic.Uint64
	// answersQuota is whether the peer answers requests with Quota.
	answersQuota bool
	// answersConfirmations is whether the peer answers watches with Confirmations.
	answersConfirmations bool

	mu    sync.Mutex
	calls map[uint64]chan response // guarded by mu
	lost  bool                     // guarded by mu
	// wake starts the liveness check when a call becomes pending.
	wake chan struct{}
	done chan struct{}
}

// connect returns the open connection, or dials a new one.
func (c *Client) connect() (*clientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed.Err() != nil {
		return nil, errClosed
	}
	if c.conn != nil && !c.conn.isLost() {
		return c.conn, nil
	}
	if c.dialErr != nil && time.Since(c.dialFailedAt) < redialDelay {
		return nil, c.dialErr
	}
	conn, err := c.dial()
	c.dialErr, c.dialFailedAt = err, time.Now()
	if c.closed.Err() != nil {
		if conn != nil {
			_ = conn.frames.conn.Close()
		}
		return nil, errClosed
	}
	if err != nil {
		c.observer.PeerUnreachable(c.name, err)
		return nil, err
	}
	c.conn = conn
	c.observer.PeerResponded(c.name)
	go conn.readLoop()
	go conn.checkLiveness()
	return conn, nil
}

func (c *Client) dial() (*clientConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	tcp, err := dialer.DialContext(c.closed, "tcp4", c.address)
	if err != nil {
		return nil, fmt.Errorf("connect to peer %s: %w", c.name, err)
	}
	stop := context.AfterFunc(c.closed, func() { _ = tcp.Close() })
	defer stop()
	w := newFrameConn(tcp)
	h, err := c.handshake(w)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("handshake with peer %s: %w", c.name, err), tcp.Close())
	}
	conn := &clientConn{client: c, frames: w, calls: make(map[uint64]chan response), wake: make(chan struct{}, 1), done: make(chan struct{}), answersQuota: h.Quota, answersConfirmations: h.Confirmations}
	return conn, nil
}

// handshake exchanges hellos and returns that of the peer.
func (c *Client) handshake(w *frameConn) (hello, error) {
	var h hello
	if err := w.conn.SetReadDeadline(time.Now().Add(dialTimeout)); err != nil {
		return h, err
	}
	if err := w.write(hello{Version: Version, Name: c.self.Name, Address: c.self.Address, To: c.name}); err != nil {
		return h, err
	}
	if err := w.read(&h); err != nil {
		return h, err
	}
	if h.Version != Version || h.Name != c.name {
		return h, fmt.Errorf("unexpected daemon %q with protocol version %d", h.Name, h.Version)
	}
	return h, w.conn.SetReadDeadline(time.Time{})
}

// Connect makes sure that there is a connection to the peer, by which the peer learns of
// this daemon.
func (c *Client) Connect() error {
	_, err := c.connect()
	return err
}

// Close closes the connection, if any, for good. Pending calls are lost and a dial is
// interrupted; later calls fail at once.
func (c *Client) Close() {
	if c.watches != nil {
		c.watches.Close()
	}
	c.close()
	c.mu.Lock()
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
	if conn != nil {
		conn.shutdown(nil)
	}
}

// readLoop reads frames and delivers responses until the connection ends.
func (c *clientConn) readLoop() {
	for {
		var r response
		if err := c.frames.read(&r); err != nil {
			c.shutdown(err)
			return
		}
		if r.Leaving {
			c.client.observer.PeerLeaving(c.client.name)
		}
		if r.Unit == 0 {
			continue
		}
		if !r.isAnswer() {
			unknownFrames("response").Inc()
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

// checkLiveness pings a silent peer while calls are pending, and closes the connection if
// the peer stays silent.
func (c *clientConn) checkLiveness() {
	for {
		select {
		case <-c.done:
			return
		case <-c.wake:
		}
		for c.pendingCalls() > 0 {
			time.Sleep(pingAfter / 2)
			silence := c.frames.silence()
			if silence > lostAfter {
				c.shutdown(errLost)
				return
			}
			if silence > pingAfter {
				go func() { _ = c.frames.write(request{Ping: true}) }()
			}
		}
	}
}

func (c *clientConn) pendingCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls)
}

func (c *clientConn) isLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}

// shutdown closes the connection, if it is open, and fails the pending calls. loss is the
// error that caused it, nil for a deliberate shutdown. The observer learns of a loss before
// the calls fail, so that a caller that retries a failed call doesn't choose this peer
// again.
func (c *clientConn) shutdown(loss error) {
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
	// The connection is abandoned; an error of Close can't be handled.
	_ = c.frames.conn.Close()
	if loss != nil {
		c.client.observer.PeerUnreachable(c.client.name, loss)
	}
	for _, answer := range calls {
		close(answer)
	}
}

// roundTrip sends a frame and waits up to timeout for the response with the same unit id.
// sent reports whether the frame may have reached the peer.
func (c *clientConn) roundTrip(r request, timeout time.Duration) (answer response, sent bool, err error) {
	done := make(chan response, 1)
	c.mu.Lock()
	if c.lost {
		c.mu.Unlock()
		return response{}, false, errLost
	}
	if len(c.calls) == 0 {
		c.frames.markRead()
	}
	c.calls[r.Unit] = done
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	if err := c.frames.write(r); err != nil {
		c.shutdown(err)
		return response{}, true, err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer, ok := <-done:
		switch {
		case !ok:
			return response{}, true, errLost
		case !answer.isAnswer():
			return response{}, true, errUnknown
		}
		return answer, true, nil
	case <-timer.C:
		c.mu.Lock()
		delete(c.calls, r.Unit)
		c.mu.Unlock()
		return response{}, true, fmt.Errorf("no response within %s", timeout)
	}
}

// remoteUnit is a unit at another daemon.
type remoteUnit struct {
	client *Client
	header stmtunit.Header
	id     uint64
	conn   *clientConn
	closed bool
}

// Open returns a unit for h. The peer opens it with the first call.
func (c *Client) Open(h stmtunit.Header) stmtunit.Unit {
	return &remoteUnit{client: c, header: h}
}

// callTimeoutMargin is added to the time-out of a statement to get that of its call.
const callTimeoutMargin = 500 * time.Millisecond

// defaultCallTimeout limits a call if the route has no statement time-out.
const defaultCallTimeout = 5 * time.Second

// Run runs one statement at the peer. The outcome is stmtunit.NotRun if the peer did not
// get the call, and stmtunit.Lost if it may have run.
func (u *remoteUnit) Run(c stmtunit.Call) stmtunit.Reply {
	r := request{Call: &c}
	if u.conn == nil {
		conn, err := u.client.connect()
		if err != nil {
			return stmtunit.Reply{Outcome: stmtunit.NotRun}
		}
		u.conn, u.id, r.Open = conn, conn.lastID.Add(1), &u.header
	}
	r.Unit = u.id
	timeout := defaultCallTimeout
	if t := u.header.Route.StatementTimeout; t > 0 {
		timeout = t + callTimeoutMargin
	}
	answer, sent, err := u.conn.roundTrip(r, timeout)
	switch {
	case err == nil && answer.Reply != nil:
		return *answer.Reply
	case sent:
		return stmtunit.Reply{Outcome: stmtunit.Lost}
	case r.Open == nil:
		// The unit was closed when its connection ended.
		return stmtunit.Reply{Outcome: stmtunit.Lost}
	default:
		return stmtunit.Reply{Outcome: stmtunit.NotRun}
	}
}

// Close closes the unit at the peer, without waiting for it.
func (u *remoteUnit) Close() {
	if u.conn == nil || u.closed || u.header.Begin == nil {
		return
	}
	u.closed = true
	if u.conn.isLost() {
		return
	}
	go func(c *clientConn, id uint64) {
		// If the write fails, the peer closes the unit when the connection ends.
		_ = c.frames.write(request{Unit: id, Close: true})
	}(u.conn, u.id)
}
