package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"

	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// Observer learns which peers answer. Its methods may be called by any goroutine
// and must not block.
type Observer interface {
	Heard(vm fleet.VM)
	Silent(vm fleet.VM)
}

// Client holds the connections to peers, one for each address. It may be used by
// any goroutine.
type Client struct {
	transport *quic.Transport
	// local is the address that streams start from.
	local    net.Addr
	keys     *Keys
	observer Observer
	counters *counters
	traffic  *traffic

	mu    sync.Mutex
	peers map[netip.AddrPort]*connection
}

// NewClient returns a client that dials from socket.
func NewClient(socket net.PacketConn, keys *Keys, observer Observer, set *metrics.Set) *Client {
	return &Client{
		transport: &quic.Transport{Conn: socket},
		local:     localAddress(socket),
		keys:      keys,
		observer:  observer,
		counters:  newCounters(set),
		traffic:   newTraffic(set, "dialed"),
		peers:     map[netip.AddrPort]*connection{},
	}
}

// localAddress returns the address of a socket without its port, for TCP.
func localAddress(socket net.PacketConn) net.Addr {
	udp, ok := socket.LocalAddr().(*net.UDPAddr)
	if !ok {
		return nil
	}
	return &net.TCPAddr{IP: udp.IP}
}

// Close ends all connections.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.peers {
		conn.close()
		delete(c.peers, address)
	}
	return c.transport.Close()
}

// Opener returns the way to open units of work at vm.
func (c *Client) Opener(vm fleet.VM) wireunit.Opener {
	return remote{client: c, vm: vm}
}

// remote opens units at one VM.
type remote struct {
	client *Client
	vm     fleet.VM
}

// Open takes a stream to the VM. Nothing is sent before the first batch, so a
// failure here is a refusal.
func (r remote) Open(ctx context.Context, h wireunit.Header) (wireunit.Unit, outcome.Outcome) {
	s, err := r.client.stream(ctx, r.vm)
	if err != nil {
		return nil, outcome.Refuse(outcome.HomeUnreachable, DialTimeout, "VM %s can't be reached: %v", r.vm.Name, err)
	}
	s.number++
	u := &unit{
		client: r.client,
		vm:     r.vm,
		stream: s,
		header: h,
		number: s.number,
		end:    s.conn.end,
	}
	return u, outcome.Outcome{}
}

// Call makes a control call to vm.
func (c *Client) Call(ctx context.Context, vm fleet.VM, method string, body []byte) ([]byte, error) {
	conn, err := c.connect(ctx, vm)
	if err != nil {
		return nil, err
	}
	defer conn.end()
	answer, err := c.callOn(ctx, conn, vm, method, body)
	switch {
	case err == nil:
	case ctx.Err() != nil, conn.dead():
		// The peer may be dead without the connection knowing it yet.
		c.counters.streamErrors.Inc()
		c.drop(vm, conn)
		c.observer.Silent(vm)
	}
	return answer, err
}

// callOn makes a control call on one connection.
func (c *Client) callOn(ctx context.Context, conn *connection, vm fleet.VM, method string, body []byte) ([]byte, error) {
	stream, err := conn.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("open stream to %s: %w", vm.Name, err)
	}
	stop := context.AfterFunc(ctx, func() { reset(stream, codeGivenUp) })
	defer stop()
	c.counters.calls.Inc()
	answer, err := exchangeCall(stream, callMessage{Method: method, Body: body})
	if err != nil {
		reset(stream, codeGivenUp)
		return nil, fmt.Errorf("call %s at %s: %w", method, vm.Name, err)
	}
	_ = stream.Close()
	c.observer.Heard(vm)
	return answer, nil
}

func exchangeCall(stream *quic.Stream, m callMessage) ([]byte, error) {
	out := newWriter(stream)
	if err := out.message(kindCall, m); err != nil {
		return nil, err
	}
	if err := out.flush(); err != nil {
		return nil, err
	}
	k, body, err := newReader(stream).next()
	if err != nil {
		return nil, err
	}
	if k != kindReply {
		return nil, fmt.Errorf("frame kind %d: %w", k, errUnexpected)
	}
	var reply replyMessage
	if err := decode(body, &reply); err != nil {
		return nil, err
	}
	if reply.Error != "" {
		return nil, errors.New(reply.Error)
	}
	return reply.Body, nil
}

// checked returns a connection to vm on which the peer was heard lately. It counts
// as busy until its end is called.
func (c *Client) checked(ctx context.Context, vm fleet.VM) (*connection, error) {
	conn, err := c.connect(ctx, vm)
	if err != nil {
		return nil, err
	}
	if !conn.stale() {
		return conn, nil
	}
	pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	if _, err := c.callOn(pingCtx, conn, vm, methodPing, nil); err == nil {
		return conn, nil
	}
	c.counters.pingErrors.Inc()
	conn.end()
	c.drop(vm, conn)
	return c.connect(ctx, vm)
}

// drop forgets a connection and ends it.
func (c *Client) drop(vm fleet.VM, conn *connection) {
	c.forget(vm, conn)
	conn.close()
}

// forget lets nothing new find a connection.
func (c *Client) forget(vm fleet.VM, conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers[vm.Peer] == conn {
		delete(c.peers, vm.Peer)
	}
}

// connect returns the live connection to vm, dialing it if need be. It counts as
// busy until its end is called.
func (c *Client) connect(ctx context.Context, vm fleet.VM) (*connection, error) {
	for {
		conn, err := c.current(ctx, vm)
		if err != nil {
			return nil, err
		}
		if conn.begin() {
			return conn, nil
		}
	}
}

// current returns the latest connection to vm. Goroutines that want the same peer
// share one dial.
func (c *Client) current(ctx context.Context, vm fleet.VM) (*connection, error) {
	c.mu.Lock()
	conn, ok := c.peers[vm.Peer]
	if ok && conn.dead() {
		delete(c.peers, vm.Peer)
		ok = false
	}
	if !ok {
		conn = &connection{ready: make(chan struct{})}
		c.peers[vm.Peer] = conn
		go c.dial(vm, conn)
	}
	c.mu.Unlock()
	select {
	case <-conn.ready:
		return conn, conn.err
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w", vm.Name, ctx.Err())
	}
}

func (c *Client) dial(vm fleet.VM, conn *connection) {
	ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
	defer cancel()
	c.counters.dials.Inc()
	q, err := c.transport.Dial(ctx, net.UDPAddrFromAddrPort(vm.Peer), c.keys.client(ProtocolVersions), quicConfig(leaveUniStream))
	if err != nil {
		c.counters.dialErrors.Inc()
		conn.err = fmt.Errorf("dial %s: %w", vm.Name, err)
		c.observer.Silent(vm)
	} else {
		conn.quic = q
		c.traffic.add(q)
		conn.lastUse = time.Now()
		c.observer.Heard(vm)
		context.AfterFunc(q.Context(), conn.closeIdle)
		go c.awaitLeave(vm, conn)
	}
	close(conn.ready)
}

// awaitLeave retires a connection when its server says that it leaves: nothing new
// is sent on it, and it ends with the last unit.
func (c *Client) awaitLeave(vm fleet.VM, conn *connection) {
	if _, err := conn.quic.AcceptUniStream(conn.quic.Context()); err != nil {
		return
	}
	c.forget(vm, conn)
	conn.retire()
}

// failed records a failed stream. A stream alone may fail for reasons of its own,
// so the peer is asked whether it is there.
func (c *Client) failed(vm fleet.VM, conn *connection) {
	c.counters.streamErrors.Inc()
	if conn.dead() {
		c.drop(vm, conn)
		c.observer.Silent(vm)
		return
	}
	if conn.suspected.CompareAndSwap(false, true) {
		go c.verify(vm, conn)
	}
}

// verify pings a peer on a suspected connection, and drops it without an answer.
func (c *Client) verify(vm fleet.VM, conn *connection) {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	_, err := c.callOn(ctx, conn, vm, methodPing, nil)
	conn.suspected.Store(false)
	if err != nil {
		c.counters.pingErrors.Inc()
		c.drop(vm, conn)
		c.observer.Silent(vm)
	}
}
