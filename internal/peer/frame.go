// Package peer carries units between daemons of one failure domain. One TCP
// connection a pair carries all units, as CBOR frames.
package peer

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
)

// Version is the version of the protocol; daemons of another one are not used.
const Version = 1

// hello opens a connection, in both directions.
type hello struct {
	Version int    `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	// To is the daemon that is expected; addresses are used again.
	To string `cbor:"3,keyasint,omitempty"`
}

// request is a frame towards the home.
type request struct {
	Unit uint64 `cbor:"1,keyasint,omitempty"`
	// Open is set on the first call of a unit.
	Open  *stmtunit.Header `cbor:"2,keyasint,omitempty"`
	Call  *stmtunit.Call   `cbor:"3,keyasint,omitempty"`
	Close bool             `cbor:"4,keyasint,omitempty"`
	// Ping asks for an answer of any kind.
	Ping bool `cbor:"5,keyasint,omitempty"`
	// Watch asks for changes of one kind of object.
	Watch *WatchRequest `cbor:"6,keyasint,omitempty"`
	// Intents asks for the intents of promotions.
	Intents bool `cbor:"7,keyasint,omitempty"`
}

// response is a frame from the home.
type response struct {
	Unit  uint64          `cbor:"1,keyasint,omitempty"`
	Reply *stmtunit.Reply `cbor:"2,keyasint,omitempty"`
	// Leaving says that the home takes no new units.
	Leaving bool `cbor:"3,keyasint,omitempty"`
	// Watched answers a watch.
	Watched *WatchResponse `cbor:"4,keyasint,omitempty"`
	// Intents answers a question for the intents.
	Intents *IntentsResponse `cbor:"5,keyasint,omitempty"`
}

// Times of a connection.
const (
	// dialTimeout bounds a connect and the hellos within a failure domain.
	dialTimeout = 250 * time.Millisecond
	// dialPause is the time after a failed dial in which no other is tried: those that
	// waited for it would each wait for one of their own.
	dialPause = 500 * time.Millisecond
	// pingAfter is the silence with calls out after which an answer is asked for.
	pingAfter = 200 * time.Millisecond
	// lostAfter is the silence with calls out after which a connection is given up.
	lostAfter = 600 * time.Millisecond
	// writeTimeout bounds one write to a peer that does not read.
	writeTimeout = 500 * time.Millisecond
	// bufferBytes is the size of the read buffer.
	bufferBytes = 4 << 10
)

var encoding, decoding = newModes()

func newModes() (cbor.EncMode, cbor.DecMode) {
	e, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(fmt.Sprintf("cbor options: %v", err))
	}
	d, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 16}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("cbor options: %v", err))
	}
	return e, d
}

// wire writes frames to a connection from any goroutine and reads them from one.
type wire struct {
	conn    net.Conn
	decoder *cbor.Decoder

	mu sync.Mutex // orders writes
}

func newWire(c net.Conn) *wire {
	return &wire{conn: c, decoder: decoding.NewDecoder(bufio.NewReaderSize(c, bufferBytes))}
}

func (w *wire) write(frame any) error {
	data, err := encoding.Marshal(frame)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err = w.conn.Write(data)
	return err
}

func (w *wire) read(frame any) error {
	return w.decoder.Decode(frame)
}
