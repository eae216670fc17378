// Package peer implements the protocol between daemons. A client opens units at the daemon
// that is the home of a group, and asks relays for objects and intents. Each pair of daemons
// multiplexes its calls over one TCP connection, as CBOR frames.
package peer

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
)

// Version is the protocol version. Daemons of another version are refused, so it stays as
// long as releases run side by side: docs/design/versions.md says how messages change.
const Version = 1

// hello is the first frame in each direction.
type hello struct {
	Version int    `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	// To is the name of the expected daemon. An address may since have been reused by
	// another daemon.
	To string `cbor:"3,keyasint,omitempty"`
	// Address is the address at which the sender accepts peers; empty if it is not told.
	Address string `cbor:"4,keyasint,omitempty"`
	// Quota is true if the sender answers requests with Quota.
	Quota bool `cbor:"16,keyasint,omitempty"`
	// Confirmations is true if the sender answers watches with Confirmations.
	Confirmations bool `cbor:"17,keyasint,omitempty"`
}

// request is a frame from the client to the server.
type request struct {
	Unit uint64 `cbor:"1,keyasint,omitempty"`
	// Open is set in the first call of a unit.
	Open  *stmtunit.Header `cbor:"2,keyasint,omitempty"`
	Call  *stmtunit.Call   `cbor:"3,keyasint,omitempty"`
	Close bool             `cbor:"4,keyasint,omitempty"`
	// Ping asks for any response, to check that the peer is alive.
	Ping bool `cbor:"5,keyasint,omitempty"`
	// Watch asks for the changed objects of one kind.
	Watch *WatchRequest `cbor:"6,keyasint,omitempty"`
	// Intents asks for the intents of promotions.
	Intents bool `cbor:"7,keyasint,omitempty"`
	// FromStore is set with Intents if they are to be read from the store, not from another
	// daemon.
	FromStore bool `cbor:"17,keyasint,omitempty"`
	// PositionOf names the group for whose primary's log position the request asks.
	PositionOf string `cbor:"8,keyasint,omitempty"`
	// Quota asks for operations or tokens of a tenant. It is sent only to a daemon whose
	// hello has Quota set.
	Quota *QuotaRequest `cbor:"16,keyasint,omitempty"`
}

// response is a frame from the server to the client.
type response struct {
	Unit  uint64          `cbor:"1,keyasint,omitempty"`
	Reply *stmtunit.Reply `cbor:"2,keyasint,omitempty"`
	// Leaving is true if the server accepts no new units.
	Leaving bool `cbor:"3,keyasint,omitempty"`
	// Watched answers a request with Watch.
	Watched *WatchResponse `cbor:"4,keyasint,omitempty"`
	// Intents answers a request with Intents.
	Intents *IntentsResponse `cbor:"5,keyasint,omitempty"`
	// Position answers a request with PositionOf.
	Position *PositionResponse `cbor:"6,keyasint,omitempty"`
	// Quota answers a request with Quota.
	Quota *QuotaResponse `cbor:"16,keyasint,omitempty"`
	// Unknown is true if the server has no answer to the request, which is of a kind that a
	// later release has added. Nothing was done.
	Unknown bool `cbor:"17,keyasint,omitempty"`
}

// isAnswer reports whether the response answers a request in a way that this release knows.
func (r *response) isAnswer() bool {
	return r.Reply != nil || r.Watched != nil || r.Intents != nil || r.Position != nil || r.Quota != nil
}

// unknownFrames counts the frames of a direction, "request" or "response", of which this
// release knows no content.
func unknownFrames(direction string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`laburnumrack_peer_unknown_total{frame="` + direction + `"}`)
}

// Timeouts and buffer size of a connection.
const (
	// dialTimeout limits both the connect and the handshake within a failure domain.
	dialTimeout = 250 * time.Millisecond
	// redialDelay is how long after a failed dial no other is tried. Otherwise each call that
	// waited for the failed dial would start and wait for a dial of its own.
	redialDelay = 500 * time.Millisecond
	// pingAfter is the silence during pending calls after which the peer is pinged.
	pingAfter = 200 * time.Millisecond
	// lostAfter is the silence during pending calls after which the connection is closed.
	lostAfter = 600 * time.Millisecond
	// writeTimeout limits the write of one part of a frame to a peer that doesn't read.
	writeTimeout = 500 * time.Millisecond
	// writePartBytes is the size of the parts in which a frame is written. A large frame may
	// take seconds on the link of a small VM, to a peer that reads all the time.
	writePartBytes  = 4 << 10
	readBufferBytes = 4 << 10
)

var encoding, decoding = newModes()

func newModes() (cbor.EncMode, cbor.DecMode) {
	e, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(fmt.Sprintf("invalid CBOR encoding options: %v", err))
	}
	d, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 16}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("invalid CBOR decoding options: %v", err))
	}
	return e, d
}

// frameConn encodes and decodes frames on a connection. write is safe for concurrent use;
// read must be called by one goroutine.
type frameConn struct {
	conn    net.Conn
	decoder *cbor.Decoder
	// lastRead is when bytes were last received, as time since boot. A peer that is
	// sending a large frame is alive before the frame is complete.
	lastRead atomic.Int64

	mu sync.Mutex // orders writes
}

func newFrameConn(c net.Conn) *frameConn {
	w := &frameConn{conn: c}
	w.decoder = decoding.NewDecoder(bufio.NewReaderSize(w, readBufferBytes))
	return w
}

// Read implements io.Reader for the decoder.
func (w *frameConn) Read(b []byte) (int, error) {
	n, err := w.conn.Read(b)
	if n > 0 {
		w.markRead()
	}
	return n, err
}

// markRead starts the time of silence anew.
func (w *frameConn) markRead() {
	w.lastRead.Store(int64(boottime.Now()))
}

// silence returns the time since bytes were last received.
func (w *frameConn) silence() time.Duration {
	return boottime.Now() - time.Duration(w.lastRead.Load())
}

func (w *frameConn) write(frame any) error {
	data, err := encoding.Marshal(frame)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for part := range slices.Chunk(data, writePartBytes) {
		if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := w.conn.Write(part); err != nil {
			return err
		}
	}
	return nil
}

func (w *frameConn) read(frame any) error {
	return w.decoder.Decode(frame)
}
