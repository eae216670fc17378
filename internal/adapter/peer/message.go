package peer

import (
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// openMessage begins a unit of work on a stream. Unit numbers rise on a stream,
// so that a late cancel can't hit the unit after the one it was meant for.
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

// callMessage is a control call. A stream carries one.
type callMessage struct {
	Method string `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint,omitempty"`
}

// replyMessage answers a control call.
type replyMessage struct {
	Body []byte `cbor:"1,keyasint,omitempty"`
	// Error is a sentence; empty when the call succeeded.
	Error string `cbor:"2,keyasint,omitempty"`
}
