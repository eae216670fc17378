package peer

import (
	"context"
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"
)

// udpHeaderBytes is the size of the IPv4 and UDP headers of a packet.
const udpHeaderBytes = 28

// traffic counts the bytes of QUIC connections, headers included.
type traffic struct {
	mu sync.Mutex
	// live holds the open connections.
	live map[*quic.Conn]struct{}
	// sent and received are the byte counts of the connections that have ended.
	sent, received uint64
}

// newTraffic returns a traffic counter and registers its gauges in set. side is the value
// of their side label: dialed or accepted.
func newTraffic(set *metrics.Set, side string) *traffic {
	t := &traffic{live: map[*quic.Conn]struct{}{}}
	set.GetOrCreateGauge(fmt.Sprintf(`laburnumrack_peer_bytes{side=%q,direction="sent"}`, side), func() float64 {
		sent, _ := t.total()
		return float64(sent)
	})
	set.GetOrCreateGauge(fmt.Sprintf(`laburnumrack_peer_bytes{side=%q,direction="received"}`, side), func() float64 {
		_, received := t.total()
		return float64(received)
	})
	set.GetOrCreateGauge(fmt.Sprintf(`laburnumrack_peer_connections{side=%q}`, side), func() float64 {
		t.mu.Lock()
		defer t.mu.Unlock()
		return float64(len(t.live))
	})
	return t
}

// add counts the traffic of a connection until it ends.
func (t *traffic) add(conn *quic.Conn) {
	t.mu.Lock()
	t.live[conn] = struct{}{}
	t.mu.Unlock()
	context.AfterFunc(conn.Context(), func() { t.remove(conn) })
}

// remove adds the traffic of an ended connection to the totals.
func (t *traffic) remove(conn *quic.Conn) {
	sent, received := connBytes(conn)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.live, conn)
	t.sent += sent
	t.received += received
}

// total returns the byte counts of all connections, open and ended.
func (t *traffic) total() (sent, received uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent, received = t.sent, t.received
	for conn := range t.live {
		s, r := connBytes(conn)
		sent += s
		received += r
	}
	return sent, received
}

// connBytes returns the byte counts of one connection, UDP and IP headers included.
func connBytes(conn *quic.Conn) (sent, received uint64) {
	stats := conn.ConnectionStats()
	sent = stats.BytesSent + udpHeaderBytes*stats.PacketsSent
	received = stats.BytesReceived + udpHeaderBytes*stats.PacketsReceived
	return sent, received
}
