package peer

import (
	"errors"
	"fmt"
	"time"
)

// QuotaKind says what a QuotaRequest asks for.
type QuotaKind uint8

// Kinds of requests.
const (
	// QuotaProbe asks for any answer, to check that the daemon can be reached.
	QuotaProbe QuotaKind = iota
	// QuotaAdmit asks for Count operations.
	QuotaAdmit
	// QuotaTransfer asks for Count thousandths of tokens for the account of another failure
	// domain.
	QuotaTransfer
	// QuotaState asks for the state of the account.
	QuotaState
)

// QuotaRequest asks the quota owner of a tenant in the receiver's failure domain.
type QuotaRequest struct {
	Kind   QuotaKind `cbor:"1,keyasint,omitempty"`
	Tenant string    `cbor:"2,keyasint,omitempty"`
	// Rate and Burst are the limit of the tenant in the configuration Version.
	Rate    float64 `cbor:"3,keyasint,omitempty"`
	Burst   float64 `cbor:"4,keyasint,omitempty"`
	Version uint64  `cbor:"5,keyasint,omitempty"`
	Count   uint64  `cbor:"6,keyasint,omitempty"`
	// ID numbers the transfer requests of a daemon.
	ID uint64 `cbor:"7,keyasint,omitempty"`
	// Forwarded is true if a daemon that is not the owner sends the request on for another.
	Forwarded bool `cbor:"8,keyasint,omitempty"`
	// Urgent is the part of the tokens of a transfer that operations wait for.
	Urgent uint64 `cbor:"9,keyasint,omitempty"`
}

// QuotaResponse answers a QuotaRequest.
type QuotaResponse struct {
	// Owner is false if the receiver does not act as quota owner; nothing was granted then.
	Owner bool `cbor:"1,keyasint,omitempty"`
	// Granted is the number of operations, or of thousandths of tokens, that are granted.
	Granted uint64 `cbor:"2,keyasint,omitempty"`
	// Spare is the number of thousandths of tokens left for transfers.
	Spare uint64 `cbor:"3,keyasint,omitempty"`
	// RetryAfter is when the first refused operation may be tried again and RetryStep the
	// time between two of them, in microseconds.
	RetryAfter uint64 `cbor:"4,keyasint,omitempty"`
	RetryStep  uint64 `cbor:"5,keyasint,omitempty"`
	// State answers QuotaState; nil if the owner has no account of the tenant.
	State *QuotaAccount `cbor:"6,keyasint,omitempty"`
}

// QuotaAccount is the state of an account. Use and Demand are operations a second that were
// admitted and asked for.
type QuotaAccount struct {
	Rate    float64 `cbor:"1,keyasint,omitempty"`
	Burst   float64 `cbor:"2,keyasint,omitempty"`
	Version uint64  `cbor:"3,keyasint,omitempty"`
	Balance float64 `cbor:"4,keyasint,omitempty"`
	Use     float64 `cbor:"5,keyasint,omitempty"`
	Demand  float64 `cbor:"6,keyasint,omitempty"`
}

// QuotaSource answers quota requests of the daemon from.
type QuotaSource interface {
	HandleQuota(from string, r QuotaRequest) QuotaResponse
}

func (c *serverConn) answerQuota(id uint64, r QuotaRequest) {
	var answer QuotaResponse
	if c.server.Quotas != nil {
		answer = c.server.Quotas.HandleQuota(c.peer, r)
	}
	// The client learns of a failed write from the end of the connection.
	_ = c.frames.write(response{Unit: id, Quota: &answer})
}

// Errors of quota requests.
var (
	// ErrNoQuota is returned if the peer does not answer quota requests.
	ErrNoQuota = errors.New("peer does not answer quota requests")
	// ErrQuotaSilent is returned if the peer does not answer in time.
	ErrQuotaSilent = errors.New("no answer to a quota request")
)

// Quota sends a quota request and waits up to timeout, including a dial, for the answer.
// The error may wrap ErrNoQuota, ErrQuotaSilent or syscall.ECONNREFUSED. An answer that
// comes later is dropped. The call stays pending beyond the time-out until a silent
// connection counts as lost, because the liveness check runs only during pending calls.
func (c *Client) Quota(r QuotaRequest, timeout time.Duration) (QuotaResponse, error) {
	type result struct {
		answer QuotaResponse
		err    error
	}
	done := make(chan result, 1)
	go func() {
		answer, err := c.quota(r)
		done <- result{answer, err}
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-done:
		return r.answer, r.err
	case <-timer.C:
		return QuotaResponse{}, fmt.Errorf("quota request to peer %s, within %s: %w", c.name, timeout, ErrQuotaSilent)
	}
}

func (c *Client) quota(r QuotaRequest) (QuotaResponse, error) {
	conn, err := c.connect()
	if err != nil {
		return QuotaResponse{}, err
	}
	if !conn.answersQuota {
		return QuotaResponse{}, fmt.Errorf("quota request to peer %s: %w", c.name, ErrNoQuota)
	}
	answer, _, err := conn.roundTrip(request{Unit: conn.lastID.Add(1), Quota: &r}, lostAfter+2*pingAfter)
	if err != nil {
		return QuotaResponse{}, fmt.Errorf("quota request to peer %s: %w", c.name, err)
	}
	if answer.Quota == nil {
		return QuotaResponse{}, fmt.Errorf("quota request to peer %s: %w", c.name, ErrNoQuota)
	}
	return *answer.Quota, nil
}
