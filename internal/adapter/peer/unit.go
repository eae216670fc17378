package peer

import (
	"context"
	"errors"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// unit implements wireunit.Unit for a unit of work at a peer.
type unit struct {
	client *Client
	vm     fleet.VM
	stream *clientStream
	header wireunit.Header
	number uint64
	// opened reports whether the open frame was sent.
	opened bool
	// release ends the unit's use of the connection.
	release func()
	// ended is set once the stream was returned to the pool or closed.
	ended atomic.Bool
}

// errSink reports a failed write to the caller, which implies nothing about the home.
var errSink = errors.New("write answer to caller failed")

// Exchange sends the batch and forwards the answer to sink. If the stream fails after the
// batch was sent, the outcome is unknown.
func (u *unit) Exchange(ctx context.Context, b wireunit.Batch, sink io.Writer) wireunit.Result {
	if u.ended.Load() {
		return wireunit.Result{Outcome: outcome.Refuse(outcome.TransactionLost, 0, "the unit of work has ended"), Status: wireunit.TxIdle}
	}
	if !u.opened && (u.stream.conn.dead() || u.stream.peerClosed()) {
		u.reset()
		o := outcome.Refuse(outcome.HomeUnreachable, DialTimeout, "the connection to VM %s was closed", u.vm.Name)
		return wireunit.Result{Outcome: o, Status: wireunit.TxIdle}
	}
	stop := context.AfterFunc(ctx, u.reset)
	defer stop()
	if err := u.stream.send(func(w *frameWriter) error { return u.writeFrames(w, b) }); err != nil {
		return u.lostResult(ctx, err)
	}
	result, err := u.receive(sink)
	if err != nil {
		return u.lostResult(ctx, err)
	}
	u.client.observer.PeerResponded(u.vm)
	if result.Status == wireunit.TxIdle {
		u.returnStream()
	}
	return result
}

// writeFrames writes the batch, preceded by the open frame if it is the first one.
func (u *unit) writeFrames(w *frameWriter, b wireunit.Batch) error {
	if !u.opened {
		u.opened = true
		u.client.counters.units.Inc()
		if err := w.writeMessage(kindOpen, openMessage{Unit: u.number, Header: u.header}); err != nil {
			return err
		}
	}
	return w.writeMessage(kindBatch, b)
}

// receive writes data frames to sink until the result arrives. It fails with
// os.ErrDeadlineExceeded if there is no frame for SilenceTimeout.
func (u *unit) receive(sink io.Writer) (wireunit.Result, error) {
	for {
		if err := u.stream.tlsConn.SetReadDeadline(time.Now().Add(SilenceTimeout)); err != nil {
			return wireunit.Result{}, err
		}
		k, body, err := u.stream.in.next()
		if err != nil {
			return wireunit.Result{}, err
		}
		switch k {
		case kindHeartbeat:
			continue
		case kindData:
			if _, err := sink.Write(body); err != nil {
				return wireunit.Result{}, errors.Join(errSink, err)
			}
		case kindResult:
			var r wireunit.Result
			if err := decode(body, &r); err != nil {
				return wireunit.Result{}, err
			}
			return r, nil
		default:
			return wireunit.Result{}, errUnexpectedFrame
		}
	}
}

// lostResult closes the stream after err and returns the result of the batch: a refusal
// if the batch was too large to be sent, otherwise an unknown outcome. Unless the error
// is on the gateway's side, it also checks or drops the connection to the home.
func (u *unit) lostResult(ctx context.Context, err error) wireunit.Result {
	u.reset()
	if errors.Is(err, errFrameTooLarge) {
		return wireunit.Result{Outcome: outcome.Refuse(outcome.TooLarge, 0, "the batch is too large: %v", err), Status: wireunit.TxIdle}
	}
	switch {
	case ctx.Err() != nil, errors.Is(err, errSink):
	case errors.Is(err, os.ErrDeadlineExceeded):
		u.client.counters.streamErrors.Inc()
		u.client.dropConnection(u.vm, u.stream.conn)
		u.client.observer.PeerUnreachable(u.vm)
	default:
		u.client.streamFailed(u.vm, u.stream.conn)
	}
	return wireunit.Result{
		Outcome: outcome.UnknownOutcome(outcome.HomeLost, "connection to the home on VM %s was lost: %v", u.vm.Name, err),
		Status:  wireunit.TxIdle,
	}
}

// Cancel asks the home to cancel the running batch.
func (u *unit) Cancel() {
	if u.ended.Load() {
		return
	}
	_ = u.stream.send(func(w *frameWriter) error {
		return w.writeMessage(kindCancel, cancelMessage{Unit: u.number})
	})
}

// Close aborts the unit if it is still open. A stream on which nothing was sent is
// returned to the pool.
func (u *unit) Close() {
	if !u.opened {
		u.returnStream()
		return
	}
	u.reset()
}

// returnStream ends the unit and returns its stream to the pool.
func (u *unit) returnStream() {
	if u.ended.CompareAndSwap(false, true) {
		u.stream.conn.putIdle(u.stream)
		u.release()
	}
}

// reset ends the unit and closes its stream.
func (u *unit) reset() {
	if u.ended.CompareAndSwap(false, true) {
		u.release()
		u.stream.close()
	}
}
