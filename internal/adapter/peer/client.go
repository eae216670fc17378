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

// Observer is notified which peers answer. Its methods must be safe for concurrent use
// and must not block.
type Observer interface {
	// PeerResponded is called when vm has answered.
	PeerResponded(vm fleet.VM)
	// PeerUnreachable is called when a dial, a call or a unit has failed because vm did
	// not answer.
	PeerUnreachable(vm fleet.VM)
}

// Client holds the connections to peers, one for each address. It is safe for concurrent
// use.
type Client struct {
	transport *quic.Transport
	// localAddr is the source address of streams.
	localAddr net.Addr
	keys      *Keys
	observer  Observer
	counters  *counters
	traffic   *traffic

	mu    sync.Mutex
	peers map[netip.AddrPort]*connection
}

// NewClient returns a client that dials QUIC connections from socket and registers its
// metrics in set.
func NewClient(socket net.PacketConn, keys *Keys, observer Observer, set *metrics.Set) *Client {
	return &Client{
		transport: &quic.Transport{Conn: socket},
		localAddr: localTCPAddr(socket),
		keys:      keys,
		observer:  observer,
		counters:  newCounters(set),
		traffic:   newTraffic(set, "dialed"),
		peers:     map[netip.AddrPort]*connection{},
	}
}

// localTCPAddr returns the IP address of a UDP socket as a TCP address without a port, or
// nil if socket is not a UDP socket.
func localTCPAddr(socket net.PacketConn) net.Addr {
	udp, ok := socket.LocalAddr().(*net.UDPAddr)
	if !ok {
		return nil
	}
	return &net.TCPAddr{IP: udp.IP}
}

// Close closes all connections and the transport.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.peers {
		conn.close()
		delete(c.peers, address)
	}
	return c.transport.Close()
}

// Opener returns an Opener for units of work at vm.
func (c *Client) Opener(vm fleet.VM) wireunit.Opener {
	return remoteOpener{client: c, vm: vm}
}

// remoteOpener implements wireunit.Opener for one VM.
type remoteOpener struct {
	client *Client
	vm     fleet.VM
}

// Open acquires a stream to the VM. It sends nothing before the first batch, so the
// outcome of a failure is a refusal.
func (r remoteOpener) Open(ctx context.Context, h wireunit.Header) (wireunit.Unit, outcome.Outcome) {
	s, err := r.client.acquireStream(ctx, r.vm)
	if err != nil {
		return nil, outcome.Refuse(outcome.HomeUnreachable, DialTimeout, "VM %s is unreachable: %v", r.vm.Name, err)
	}
	s.number++
	u := &unit{
		client:  r.client,
		vm:      r.vm,
		stream:  s,
		header:  h,
		number:  s.number,
		release: s.conn.release,
	}
	return u, outcome.Outcome{}
}

// Call makes a control call to vm and returns the body of the reply. An error of the
// handler is returned with its text.
func (c *Client) Call(ctx context.Context, vm fleet.VM, method string, body []byte) ([]byte, error) {
	conn, err := c.connect(ctx, vm)
	if err != nil {
		return nil, err
	}
	defer conn.release()
	answer, err := c.callOn(ctx, conn, vm, method, body)
	switch {
	case err == nil:
	case ctx.Err() != nil, conn.dead():
		// The peer may have failed without the connection having detected it yet.
		c.counters.streamErrors.Inc()
		c.dropConnection(vm, conn)
		c.observer.PeerUnreachable(vm)
	}
	return answer, err
}

// callOn makes a control call on one connection.
func (c *Client) callOn(ctx context.Context, conn *connection, vm fleet.VM, method string, body []byte) ([]byte, error) {
	stream, err := conn.quicConn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("open stream to %s: %w", vm.Name, err)
	}
	stop := context.AfterFunc(ctx, func() { reset(stream, codeAborted) })
	defer stop()
	c.counters.calls.Inc()
	answer, err := exchangeCall(stream, callMessage{Method: method, Body: body})
	if err != nil {
		reset(stream, codeAborted)
		return nil, fmt.Errorf("call %s at %s: %w", method, vm.Name, err)
	}
	_ = stream.Close()
	c.observer.PeerResponded(vm)
	return answer, nil
}

// exchangeCall sends a control call on stream and reads its reply.
func exchangeCall(stream *quic.Stream, m callMessage) ([]byte, error) {
	out := newFrameWriter(stream)
	if err := out.writeMessage(kindCall, m); err != nil {
		return nil, err
	}
	if err := out.flush(); err != nil {
		return nil, err
	}
	k, body, err := newFrameReader(stream).next()
	if err != nil {
		return nil, err
	}
	if k != kindReply {
		return nil, fmt.Errorf("read reply: frame kind %d: %w", k, errUnexpectedFrame)
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

// checkedConnection returns a connection to vm that was used recently or whose peer has
// just answered a ping. If the peer does not answer, the connection is replaced by a new
// one. The caller must release the connection.
func (c *Client) checkedConnection(ctx context.Context, vm fleet.VM) (*connection, error) {
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
	conn.release()
	c.dropConnection(vm, conn)
	return c.connect(ctx, vm)
}

// dropConnection removes a connection from the client and closes it.
func (c *Client) dropConnection(vm fleet.VM, conn *connection) {
	c.removeConnection(vm, conn)
	conn.close()
}

// removeConnection removes a connection from the client, so that nothing new starts on
// it.
func (c *Client) removeConnection(vm fleet.VM, conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers[vm.Peer] == conn {
		delete(c.peers, vm.Peer)
	}
}

// connect returns an open connection to vm and dials it if necessary. The caller must
// release the connection.
func (c *Client) connect(ctx context.Context, vm fleet.VM) (*connection, error) {
	for {
		conn, err := c.currentConnection(ctx, vm)
		if err != nil {
			return nil, err
		}
		if conn.acquire() {
			return conn, nil
		}
	}
}

// currentConnection returns the latest connection to vm once it is dialed. Concurrent
// callers for the same peer share one dial.
func (c *Client) currentConnection(ctx context.Context, vm fleet.VM) (*connection, error) {
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

// dial dials vm and stores the result in conn, whose ready channel it then closes.
func (c *Client) dial(vm fleet.VM, conn *connection) {
	ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
	defer cancel()
	c.counters.dials.Inc()
	quicConn, err := c.transport.Dial(ctx, net.UDPAddrFromAddrPort(vm.Peer), c.keys.clientConfig(ProtocolVersions), quicConfig(leavingUniStreams))
	if err != nil {
		c.counters.dialErrors.Inc()
		conn.err = fmt.Errorf("dial %s: %w", vm.Name, err)
		c.observer.PeerUnreachable(vm)
	} else {
		conn.quicConn = quicConn
		c.traffic.add(quicConn)
		conn.lastUse = time.Now()
		c.observer.PeerResponded(vm)
		context.AfterFunc(quicConn.Context(), conn.closeIdleStreams)
		go c.awaitLeaving(vm, conn)
	}
	close(conn.ready)
}

// awaitLeaving retires a connection when its server announces that it is leaving: nothing
// new is sent on it, and it is closed after the last unit.
func (c *Client) awaitLeaving(vm fleet.VM, conn *connection) {
	if _, err := conn.quicConn.AcceptUniStream(conn.quicConn.Context()); err != nil {
		return
	}
	c.removeConnection(vm, conn)
	conn.retire()
}

// streamFailed records a failed stream. A single stream may fail for other reasons than a
// failed peer, so the peer is pinged unless the connection has ended already.
func (c *Client) streamFailed(vm fleet.VM, conn *connection) {
	c.counters.streamErrors.Inc()
	if conn.dead() {
		c.dropConnection(vm, conn)
		c.observer.PeerUnreachable(vm)
		return
	}
	if conn.suspected.CompareAndSwap(false, true) {
		go c.pingSuspected(vm, conn)
	}
}

// pingSuspected pings the peer of a suspected connection and drops the connection if
// there is no answer.
func (c *Client) pingSuspected(vm fleet.VM, conn *connection) {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	_, err := c.callOn(ctx, conn, vm, methodPing, nil)
	conn.suspected.Store(false)
	if err != nil {
		c.counters.pingErrors.Inc()
		c.dropConnection(vm, conn)
		c.observer.PeerUnreachable(vm)
	}
}
