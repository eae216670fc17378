package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// serverStream serves one stream. One goroutine reads frames and passes the batches to
// another, which runs them and sends the heartbeats. outMu guards out, which both use
// together with the sink of the running batch.
type serverStream struct {
	server *Server
	stream resettableStream
	in     *frameReader

	outMu sync.Mutex
	out   *frameWriter
}

// run serves a control call or units of work, depending on the kind of the first frame.
// The error wraps errUnexpectedFrame or errFrameTooLarge if the peer violated the
// protocol.
func (st *serverStream) run(ctx context.Context) error {
	k, body, err := st.in.next()
	if err != nil {
		return err
	}
	switch k {
	case kindCall:
		return st.serveCall(ctx, body)
	case kindOpen:
		return st.serveUnits(ctx, body)
	default:
		return fmt.Errorf("first frame has kind %d: %w", k, errUnexpectedFrame)
	}
}

// serveCall runs the handler of a control call and sends its reply.
func (st *serverStream) serveCall(ctx context.Context, body []byte) error {
	var m callMessage
	if err := decode(body, &m); err != nil {
		return fmt.Errorf("%w: %w", errUnexpectedFrame, err)
	}
	st.server.counters.calls.Inc()
	if m.Method == methodPing {
		return st.send(kindReply, replyMessage{})
	}
	handler, ok := st.server.handlers[m.Method]
	if !ok {
		return st.send(kindReply, replyMessage{Error: fmt.Sprintf("unknown method %q", m.Method)})
	}
	answer, err := handler(ctx, m.Body)
	if err != nil {
		return st.send(kindReply, replyMessage{Error: err.Error()})
	}
	return st.send(kindReply, replyMessage{Body: answer})
}

// send sends one frame whose body is the CBOR encoding of m.
func (st *serverStream) send(k frameKind, m any) error {
	st.outMu.Lock()
	defer st.outMu.Unlock()
	if err := st.out.writeMessage(k, m); err != nil {
		return err
	}
	return st.out.flush()
}

// serveUnits serves one unit after another until the stream ends. first is the body of
// the first open frame.
func (st *serverStream) serveUnits(ctx context.Context, first []byte) error {
	for body := first; ; {
		var open openMessage
		if err := decode(body, &open); err != nil {
			return fmt.Errorf("%w: %w", errUnexpectedFrame, err)
		}
		st.server.counters.units.Inc()
		next, err := st.serveUnit(ctx, open)
		if err != nil || next == nil {
			return err
		}
		body = next
	}
}

// serveUnit runs one unit and returns the body of the next open frame, or nil at the end
// of the stream.
func (st *serverStream) serveUnit(ctx context.Context, open openMessage) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	unit, o := st.server.opener.Open(ctx, open.Header)
	batches := make(chan wireunit.Batch, 1)
	done := make(chan error, 1)
	go func() { done <- st.runBatches(ctx, unit, o, batches) }()
	next, err := st.readFrames(open.Unit, unit, batches)
	close(batches)
	if err != nil {
		// The peer has closed or reset the stream, or violated the protocol, so the
		// running batch is canceled.
		cancel()
	}
	runErr := <-done
	if unit != nil {
		unit.Close()
	}
	return next, errors.Join(err, runErr)
}

// readFrames reads the frames of one unit until the next unit is opened, whose open
// frame's body it returns, or until the stream ends.
func (st *serverStream) readFrames(number uint64, unit wireunit.Unit, batches chan<- wireunit.Batch) ([]byte, error) {
	for {
		k, body, err := st.in.next()
		if err != nil {
			return nil, err
		}
		switch k {
		case kindBatch:
			var b wireunit.Batch
			if err := decode(body, &b); err != nil {
				return nil, fmt.Errorf("%w: %w", errUnexpectedFrame, err)
			}
			select {
			case batches <- b:
			default:
				return nil, fmt.Errorf("batch received before the result of the previous one: %w", errUnexpectedFrame)
			}
		case kindCancel:
			var m cancelMessage
			if err := decode(body, &m); err != nil {
				return nil, fmt.Errorf("%w: %w", errUnexpectedFrame, err)
			}
			if m.Unit == number && unit != nil {
				unit.Cancel()
			}
		case kindClose:
			continue
		case kindOpen:
			return append([]byte(nil), body...), nil
		default:
			return nil, fmt.Errorf("frame kind %d: %w", k, errUnexpectedFrame)
		}
	}
}

// runBatches runs the batches of one unit and sends heartbeats until the transaction
// ends.
func (st *serverStream) runBatches(ctx context.Context, unit wireunit.Unit, o outcome.Outcome, batches <-chan wireunit.Batch) error {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case b, ok := <-batches:
			if !ok {
				return nil
			}
			status, err := st.runBatch(ctx, unit, o, b, ticker.C)
			if err != nil {
				return err
			}
			if status == wireunit.TxIdle {
				ticker.Stop()
			}
		case <-ticker.C:
			if err := st.heartbeat(); err != nil {
				return err
			}
		}
	}
}

// runBatch runs one batch and sends a heartbeat for each tick until the result is known.
// It returns the transaction status that was sent with the result. If unit is nil because
// it was refused with o, the result is o.
func (st *serverStream) runBatch(ctx context.Context, unit wireunit.Unit, o outcome.Outcome, b wireunit.Batch, heartbeats <-chan time.Time) (wireunit.TxStatus, error) {
	if unit == nil {
		return wireunit.TxIdle, st.send(kindResult, wireunit.Result{Outcome: o, Status: wireunit.TxIdle})
	}
	result := make(chan wireunit.Result, 1)
	go func() { result <- unit.Exchange(ctx, b, (*dataSink)(st)) }()
	for {
		select {
		case r := <-result:
			return r.Status, st.send(kindResult, r)
		case <-heartbeats:
			if err := st.heartbeat(); err != nil {
				return (<-result).Status, err
			}
		}
	}
}

// heartbeat sends a heartbeat frame.
func (st *serverStream) heartbeat() error {
	st.outMu.Lock()
	defer st.outMu.Unlock()
	if err := st.out.writeFrame(kindHeartbeat, nil); err != nil {
		return err
	}
	return st.out.flush()
}

// dataSink writes the target's messages to the stream as data frames.
type dataSink serverStream

// Write writes p as frames of at most maxDataBytes.
func (s *dataSink) Write(p []byte) (int, error) {
	s.outMu.Lock()
	defer s.outMu.Unlock()
	written := 0
	for written < len(p) {
		chunk := min(len(p)-written, maxDataBytes)
		if err := s.out.writeFrame(kindData, p[written:written+chunk]); err != nil {
			return written, err
		}
		written += chunk
	}
	return written, nil
}
