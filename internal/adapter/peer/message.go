package peer

import (
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// openMessage opens a unit of work on a stream. Unit numbers increase on a stream, so
// that a late cancel message does not cancel the next unit.
type openMessage struct {
	Unit   uint64          `cbor:"1,keyasint"`
	Header wireunit.Header `cbor:"2,keyasint"`
}

// cancelMessage asks the home to cancel the running batch of a unit.
type cancelMessage struct {
	Unit uint64 `cbor:"1,keyasint"`
}

// methodPing is a control call that every server answers.
const methodPing = "ping"

// callMessage is a control call. A QUIC stream carries one.
type callMessage struct {
	Method string `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint,omitempty"`
}

// replyMessage is the reply to a control call.
type replyMessage struct {
	Body []byte `cbor:"1,keyasint,omitempty"`
	// Error is the text of the handler's error; empty if the call succeeded.
	Error string `cbor:"2,keyasint,omitempty"`
}
