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

// unit is an open unit of work at a peer.
type unit struct {
	client *Client
	vm     fleet.VM
	stream *clientStream
	header wireunit.Header
	number uint64
	opened bool
	// end marks the connection as no longer busy with this unit.
	end func()
	// over is set when the stream was given back or reset.
	over atomic.Bool
}

// errSink marks an error of the gateway's own side, which says nothing about the
// home.
var errSink = errors.New("write to the caller")

// Exchange sends the batch and passes the answer on. After the batch was sent,
// a lost stream leaves the outcome unknown.
func (u *unit) Exchange(ctx context.Context, b wireunit.Batch, sink io.Writer) wireunit.Result {
	if u.over.Load() {
		return wireunit.Result{Outcome: outcome.Refuse(outcome.TransactionLost, 0, "the unit of work is over"), Status: wireunit.TxIdle}
	}
	if !u.opened && (u.stream.conn.dead() || u.stream.ended()) {
		u.reset()
		o := outcome.Refuse(outcome.HomeUnreachable, DialTimeout, "the connection to VM %s ended", u.vm.Name)
		return wireunit.Result{Outcome: o, Status: wireunit.TxIdle}
	}
	stop := context.AfterFunc(ctx, u.reset)
	defer stop()
	if err := u.stream.send(func(w *writer) error { return u.frames(w, b) }); err != nil {
		return u.lost(ctx, err)
	}
	result, err := u.receive(sink)
	if err != nil {
		return u.lost(ctx, err)
	}
	u.client.observer.Heard(u.vm)
	if result.Status == wireunit.TxIdle {
		u.finish()
	}
	return result
}

// frames writes the batch, and the open frame in front of the first one.
func (u *unit) frames(w *writer, b wireunit.Batch) error {
	if !u.opened {
		u.opened = true
		u.client.counters.units.Inc()
		if err := w.message(kindOpen, openMessage{Unit: u.number, Header: u.header}); err != nil {
			return err
		}
	}
	return w.message(kindBatch, b)
}

// receive passes data frames to sink until the result comes.
func (u *unit) receive(sink io.Writer) (wireunit.Result, error) {
	for {
		if err := u.stream.tls.SetReadDeadline(time.Now().Add(SilenceTimeout)); err != nil {
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
			return wireunit.Result{}, errUnexpected
		}
	}
}

// lost gives up the stream and says what is known of the batch.
func (u *unit) lost(ctx context.Context, err error) wireunit.Result {
	u.reset()
	if errors.Is(err, errFrameTooLarge) {
		return wireunit.Result{Outcome: outcome.Refuse(outcome.TooLarge, 0, "the batch is too large: %v", err), Status: wireunit.TxIdle}
	}
	switch {
	case ctx.Err() != nil, errors.Is(err, errSink):
	case errors.Is(err, os.ErrDeadlineExceeded):
		u.client.counters.streamErrors.Inc()
		u.client.drop(u.vm, u.stream.conn)
		u.client.observer.Silent(u.vm)
	default:
		u.client.failed(u.vm, u.stream.conn)
	}
	return wireunit.Result{
		Outcome: outcome.Unclear(outcome.HomeLost, "the home on VM %s was lost: %v", u.vm.Name, err),
		Status:  wireunit.TxIdle,
	}
}

// Cancel asks the home to cancel the running batch.
func (u *unit) Cancel() {
	if u.over.Load() {
		return
	}
	_ = u.stream.send(func(w *writer) error {
		return w.message(kindCancel, cancelMessage{Unit: u.number})
	})
}

// Close gives the unit up if it is still open. A stream on which nothing was
// sent is kept for the next unit.
func (u *unit) Close() {
	if !u.opened {
		u.finish()
		return
	}
	u.reset()
}

func (u *unit) finish() {
	if u.over.CompareAndSwap(false, true) {
		u.stream.conn.putIdle(u.stream)
		u.end()
	}
}

func (u *unit) reset() {
	if u.over.CompareAndSwap(false, true) {
		u.end()
		u.stream.close()
	}
}
