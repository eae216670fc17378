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

// serverStream serves one stream. The goroutine that reads frames hands batches
// to the one that runs them; outMu guards out between the runner and its
// heartbeats.
type serverStream struct {
	server *Server
	stream duplex
	in     *reader

	outMu sync.Mutex
	out   *writer
}

func (st *serverStream) run(ctx context.Context) error {
	k, body, err := st.in.next()
	if err != nil {
		return err
	}
	switch k {
	case kindCall:
		return st.call(ctx, body)
	case kindOpen:
		return st.units(ctx, body)
	default:
		return fmt.Errorf("frame kind %d first: %w", k, errUnexpected)
	}
}

func (st *serverStream) call(ctx context.Context, body []byte) error {
	var m callMessage
	if err := decode(body, &m); err != nil {
		return fmt.Errorf("%w: %w", errUnexpected, err)
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

func (st *serverStream) send(k kind, m any) error {
	st.outMu.Lock()
	defer st.outMu.Unlock()
	if err := st.out.message(k, m); err != nil {
		return err
	}
	return st.out.flush()
}

// units serves one unit after another until the stream ends.
func (st *serverStream) units(ctx context.Context, first []byte) error {
	for body := first; ; {
		var open openMessage
		if err := decode(body, &open); err != nil {
			return fmt.Errorf("%w: %w", errUnexpected, err)
		}
		st.server.counters.units.Inc()
		next, err := st.unit(ctx, open)
		if err != nil || next == nil {
			return err
		}
		body = next
	}
}

// unit runs one unit and returns the body of the open frame after it, or nil at
// the end of the stream.
func (st *serverStream) unit(ctx context.Context, open openMessage) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	unit, o := st.server.opener.Open(ctx, open.Header)
	batches := make(chan wireunit.Batch, 1)
	done := make(chan error, 1)
	go func() { done <- st.exchange(ctx, unit, o, batches) }()
	next, err := st.read(open.Unit, unit, batches)
	close(batches)
	if err != nil {
		// The peer is gone or gave the unit up: what runs is canceled.
		cancel()
	}
	runErr := <-done
	if unit != nil {
		unit.Close()
	}
	return next, errors.Join(err, runErr)
}

// read takes frames of one unit until the next one opens or the stream ends.
func (st *serverStream) read(number uint64, unit wireunit.Unit, batches chan<- wireunit.Batch) ([]byte, error) {
	for {
		k, body, err := st.in.next()
		if err != nil {
			return nil, err
		}
		switch k {
		case kindBatch:
			var b wireunit.Batch
			if err := decode(body, &b); err != nil {
				return nil, fmt.Errorf("%w: %w", errUnexpected, err)
			}
			select {
			case batches <- b:
			default:
				return nil, fmt.Errorf("batch before the result of the last: %w", errUnexpected)
			}
		case kindCancel:
			var m cancelMessage
			if err := decode(body, &m); err != nil {
				return nil, fmt.Errorf("%w: %w", errUnexpected, err)
			}
			if m.Unit == number && unit != nil {
				unit.Cancel()
			}
		case kindClose:
			continue
		case kindOpen:
			return append([]byte(nil), body...), nil
		default:
			return nil, fmt.Errorf("frame kind %d: %w", k, errUnexpected)
		}
	}
}

// exchange runs the batches of one unit, and sends heartbeats until it is over.
func (st *serverStream) exchange(ctx context.Context, unit wireunit.Unit, o outcome.Outcome, batches <-chan wireunit.Batch) error {
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

// runBatch runs one batch and sends heartbeats meanwhile. It returns the
// transaction status that was sent with the result.
func (st *serverStream) runBatch(ctx context.Context, unit wireunit.Unit, o outcome.Outcome, b wireunit.Batch, tick <-chan time.Time) (wireunit.TxStatus, error) {
	if unit == nil {
		return wireunit.TxIdle, st.send(kindResult, wireunit.Result{Outcome: o, Status: wireunit.TxIdle})
	}
	result := make(chan wireunit.Result, 1)
	go func() { result <- unit.Exchange(ctx, b, (*sink)(st)) }()
	for {
		select {
		case r := <-result:
			return r.Status, st.send(kindResult, r)
		case <-tick:
			if err := st.heartbeat(); err != nil {
				return (<-result).Status, err
			}
		}
	}
}

func (st *serverStream) heartbeat() error {
	st.outMu.Lock()
	defer st.outMu.Unlock()
	if err := st.out.frame(kindHeartbeat, nil); err != nil {
		return err
	}
	return st.out.flush()
}

// sink writes the target's messages as data frames.
type sink serverStream

// Write sends p in frames of bounded size.
func (s *sink) Write(p []byte) (int, error) {
	s.outMu.Lock()
	defer s.outMu.Unlock()
	written := 0
	for written < len(p) {
		chunk := min(len(p)-written, maxDataBytes)
		if err := s.out.frame(kindData, p[written:written+chunk]); err != nil {
			return written, err
		}
		written += chunk
	}
	return written, nil
}
