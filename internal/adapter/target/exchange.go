package target

import (
	"context"
	"fmt"
	"io"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/laburnumrack/laburnumrack/internal/target"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// statusQuery is the encoded Query message that reads the status of an instance.
var statusQuery = encodeStatusQuery()

func encodeStatusQuery() []byte {
	message := pgproto3.Query{String: selectStatus}
	encoded, err := message.Encode(nil)
	if err != nil {
		panic("target: encode status query: " + err.Error())
	}
	return encoded
}

// exchange holds the state of one batch that runs on a connection. A connection has one
// exchange and reuses it for each batch.
type exchange struct {
	conn        *conn
	sink        io.Writer
	request     target.Exchange
	expect      answerCounts
	preparation preparation
	reply       target.Reply
	answer      answer
	// pendingStart and pendingEnd delimit the part of the read buffer that has not been
	// written to the sink yet.
	pendingStart int
	pendingEnd   int
}

// Exchange implements target.Conn.
func (c *conn) Exchange(ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error) {
	expect, err := inspect(x.Batch.Messages)
	if err != nil {
		return target.Reply{Held: x.Held}, err
	}
	if expect.simple && len(x.Prelude) > 0 {
		return target.Reply{Held: x.Held}, fmt.Errorf("%w: batch with a prelude must end with Sync", target.ErrMalformed)
	}
	e := &c.exchange
	*e = exchange{conn: c, sink: sink, request: x, expect: expect, reply: target.Reply{Held: x.Held}}
	e.preparation = c.statements.prepare(x.Batch.Statements)
	err = e.run(ctx, true)
	reply := e.reply
	*e = exchange{}
	return reply, err
}

// execSimple runs one Query message and discards the rows of its answer.
func (c *conn) execSimple(ctx context.Context, messages []byte) (target.Reply, error) {
	e := &c.exchange
	*e = exchange{conn: c, sink: io.Discard, request: target.Exchange{Batch: wireunit.Batch{Messages: messages}}}
	e.expect.simple = true
	err := e.run(ctx, false)
	return e.reply, err
}

// run sends the batch and reads its answer. If wantStatus is set and the batch ended the
// transaction, it also reads the instance's status. The error wraps one of the errors
// that target.Conn documents for Exchange.
func (e *exchange) run(ctx context.Context, wantStatus bool) error {
	c := e.conn
	if c.closed.Load() {
		return fmt.Errorf("%w: connection is closed", target.ErrNotSent)
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", target.ErrNotSent, err)
	}
	return e.runOrClose(ctx, func() error { return e.sendAndReceive(ctx, wantStatus) })
}

// runOrClose runs f. It closes the connection if f fails, if the context ends while f
// runs, or if input is left unread.
func (e *exchange) runOrClose(ctx context.Context, f func() error) error {
	c := e.conn
	stop := context.AfterFunc(ctx, c.interrupt)
	err := f()
	if !stop() || c.reader.unread() > 0 {
		c.Close()
	}
	if err != nil {
		c.Close()
	}
	c.reader.shrink()
	return err
}

// sendAndReceive runs the exchange on an open connection. Without PipelineStatus, the
// status query is sent only after the batch has ended the transaction.
func (e *exchange) sendAndReceive(ctx context.Context, wantStatus bool) error {
	written, err := e.send()
	if err != nil {
		return err
	}
	if err := e.receive(ctx); err != nil {
		return e.receiveError(written, err)
	}
	if written != nil {
		<-written
	}
	txEnded := e.reply.Status == wireunit.TxIdle
	switch {
	case !wantStatus:
		return nil
	case e.request.PipelineStatus:
	case txEnded:
		if _, err := e.conn.netConn.Write(statusQuery); err != nil {
			return fmt.Errorf("%w: %w", target.ErrLost, err)
		}
	default:
		return nil
	}
	return e.receiveStatus(txEnded)
}

// send writes the prelude, the preparation, the batch and, with PipelineStatus, the
// status query. A large batch is written by a goroutine, which sends the number of bytes
// written to the returned channel; otherwise the channel is nil.
func (e *exchange) send() (written <-chan int64, err error) {
	c := e.conn
	c.writeBuffer, err = appendPrelude(c.writeBuffer[:0], e.request.Prelude)
	if err == nil {
		c.writeBuffer, err = appendPreparation(c.writeBuffer, e.preparation)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", target.ErrMalformed, err)
	}
	var trailer []byte
	if e.request.PipelineStatus {
		trailer = statusQuery
	}
	if len(c.writeBuffer)+len(e.request.Batch.Messages) > inlineWriteBytes {
		return e.sendAsync(net.Buffers{c.writeBuffer, e.request.Batch.Messages, trailer}), nil
	}
	c.writeBuffer = append(c.writeBuffer, e.request.Batch.Messages...)
	c.writeBuffer = append(c.writeBuffer, trailer...)
	n, err := c.netConn.Write(c.writeBuffer)
	return nil, sendError(int64(n), err)
}

// sendAsync writes buffers in a goroutine. If the write fails, it interrupts the read of
// the answer.
func (e *exchange) sendAsync(buffers net.Buffers) <-chan int64 {
	written := make(chan int64, 1)
	c := e.conn
	go func() {
		n, err := buffers.WriteTo(c.netConn)
		if err != nil {
			c.interrupt()
		}
		written <- n
	}()
	return written
}

// receiveError returns the error of an exchange whose receive failed with err. It waits
// for the writing goroutine, if any, and returns target.ErrNotSent if nothing was
// written.
func (e *exchange) receiveError(written <-chan int64, err error) error {
	if written == nil {
		return err
	}
	e.conn.Close()
	if n := <-written; n == 0 {
		return fmt.Errorf("%w: %w", target.ErrNotSent, err)
	}
	return err
}

// sendError classifies the error of a write of which n bytes were sent.
func sendError(n int64, err error) error {
	switch {
	case err == nil:
		return nil
	case n == 0:
		return fmt.Errorf("%w: %w", target.ErrNotSent, err)
	default:
		return fmt.Errorf("%w: %w", target.ErrLost, err)
	}
}

// forEachMessage calls f for each message before ReadyForQuery and consumes
// ReadyForQuery.
func (e *exchange) forEachMessage(f func(message []byte) error) error {
	r := e.conn.reader
	for {
		message, ok, err := r.next()
		switch {
		case err != nil:
		case !ok:
			err = r.fill()
		case message[0] == 'Z':
			return nil
		default:
			err = f(message)
		}
		if err != nil {
			return fmt.Errorf("%w: %w", target.ErrLost, err)
		}
	}
}

// receive reads the answer up to and including ReadyForQuery.
func (e *exchange) receive(ctx context.Context) error {
	r := e.conn.reader
	for {
		message, ok, err := r.next()
		if err != nil {
			return fmt.Errorf("%w: %w", target.ErrLost, err)
		}
		if !ok {
			if err := e.refill(); err != nil {
				return err
			}
			continue
		}
		if message[0] == 'Z' {
			return e.handleReadyForQuery(message)
		}
		if err := e.handleMessage(ctx, message); err != nil {
			return err
		}
	}
}

// refill writes the pending messages to the sink and reads more input.
func (e *exchange) refill() error {
	if err := e.flush(); err != nil {
		return err
	}
	if err := e.conn.reader.fill(); err != nil {
		return fmt.Errorf("%w: %w", target.ErrLost, err)
	}
	return nil
}

// handleMessage counts one message of the answer and forwards it or holds it back.
func (e *exchange) handleMessage(ctx context.Context, message []byte) error {
	forward, err := e.record(message)
	if err != nil {
		return fmt.Errorf("%w: %w", target.ErrLost, err)
	}
	if !forward {
		return nil
	}
	if e.answer.holding {
		return e.holdBack(ctx, message)
	}
	return e.forward(message)
}

// forward adds a message to the pending part of the read buffer. Messages that are
// adjacent in the buffer are written to the sink together.
func (e *exchange) forward(message []byte) error {
	end := e.conn.reader.start
	if e.pendingEnd != end-len(message) {
		if err := e.flush(); err != nil {
			return err
		}
		e.pendingStart = end - len(message)
	}
	e.pendingEnd = end
	return nil
}

// flush writes the pending part of the read buffer to the sink.
func (e *exchange) flush() error {
	if e.pendingStart == e.pendingEnd {
		return nil
	}
	pending := e.conn.reader.buffer[e.pendingStart:e.pendingEnd]
	e.pendingStart, e.pendingEnd = 0, 0
	if _, err := e.sink.Write(pending); err != nil {
		return fmt.Errorf("%w: %w", target.ErrSink, err)
	}
	return nil
}

// holdBack appends a message to the held back messages. If they would exceed
// target.HeldLimit, they are confirmed by Overflow and released; the messages after them
// are forwarded again up to the next result.
func (e *exchange) holdBack(ctx context.Context, message []byte) error {
	if err := e.flush(); err != nil {
		return err
	}
	if len(e.reply.Held)+len(message) <= target.HeldLimit || e.request.Overflow == nil {
		e.reply.Held = append(e.reply.Held, message...)
		return nil
	}
	if err := e.releaseHeld(ctx); err != nil {
		return err
	}
	if isResult(message[0]) {
		e.reply.Held = append(e.reply.Held, message...)
		return nil
	}
	e.answer.holding = false
	return e.forward(message)
}

// releaseHeld asks Overflow to confirm the held back messages and writes them to the
// sink.
func (e *exchange) releaseHeld(ctx context.Context) error {
	if err := e.request.Overflow(ctx); err != nil {
		return fmt.Errorf("%w: %w", target.ErrLost, err)
	}
	if _, err := e.sink.Write(e.reply.Held); err != nil {
		return fmt.Errorf("%w: %w", target.ErrSink, err)
	}
	e.reply.Held = e.reply.Held[:0]
	return nil
}

// handleReadyForQuery checks that the answer is complete and stores the transaction
// status.
func (e *exchange) handleReadyForQuery(message []byte) error {
	if err := e.flush(); err != nil {
		return err
	}
	if len(message) != headerBytes+1 {
		return fmt.Errorf("%w: %w: ReadyForQuery of %d bytes", target.ErrLost, errProtocol, len(message))
	}
	if err := e.answer.checkComplete(e.expect, e.preparation, len(e.request.Prelude)); err != nil {
		return fmt.Errorf("%w: %w", target.ErrLost, err)
	}
	e.reply.Status = wireunit.TxStatus(message[headerBytes])
	e.conn.txStatus = e.reply.Status
	return nil
}

// receiveStatus reads the answer to the status query. The status is used only if the
// transaction had ended before the query.
func (e *exchange) receiveStatus(txEnded bool) error {
	return e.forEachMessage(func(message []byte) error {
		switch message[0] {
		case 'T', 'C', 'E', 'N', 'S', 'A':
			return nil
		case 'D':
			status, err := decodeStatus(message[headerBytes:])
			e.reply.StatusAfter, e.reply.HasStatusAfter = status, txEnded && err == nil
			return err
		default:
			return fmt.Errorf("%w: unexpected message %q in answer to status query", errProtocol, message[0])
		}
	})
}
