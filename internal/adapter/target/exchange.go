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

// statusQuery is the encoded status query.
var statusQuery = encodeStatusQuery()

func encodeStatusQuery() []byte {
	message := pgproto3.Query{String: selectStatus}
	encoded, err := message.Encode(nil)
	if err != nil {
		panic("status query cannot be encoded: " + err.Error())
	}
	return encoded
}

// exchange is the run of one batch on a connection. Each connection has one and
// uses it again.
type exchange struct {
	conn   *conn
	sink   io.Writer
	x      target.Exchange
	expect expected
	plan   plan
	reply  target.Reply
	answer answer
	// runStart and runEnd bound the stretch of the read buffer that is yet to be
	// written to the sink.
	runStart int
	runEnd   int
}

// Exchange runs a batch; see target.Conn.
func (c *conn) Exchange(ctx context.Context, x target.Exchange, sink io.Writer) (target.Reply, error) {
	expect, err := inspect(x.Batch.Messages)
	if err != nil {
		return target.Reply{Held: x.Held}, err
	}
	if expect.simple && len(x.Prelude) > 0 {
		return target.Reply{Held: x.Held}, fmt.Errorf("%w: a prelude needs a batch that ends with Sync", target.ErrMalformed)
	}
	e := &c.exchange
	*e = exchange{conn: c, sink: sink, x: x, expect: expect, reply: target.Reply{Held: x.Held}}
	e.plan = c.prepared.plan(x.Batch.Statements)
	err = e.perform(ctx, true)
	reply := e.reply
	*e = exchange{}
	return reply, err
}

// discard runs a batch whose answer nobody wants.
func (c *conn) discard(ctx context.Context, messages []byte) (target.Reply, error) {
	e := &c.exchange
	*e = exchange{conn: c, sink: io.Discard, x: target.Exchange{Batch: wireunit.Batch{Messages: messages}}}
	e.expect.simple = true
	err := e.perform(ctx, false)
	return e.reply, err
}

// perform sends the batch, reads its answer and, if wanted, the status behind it.
func (e *exchange) perform(ctx context.Context, wantStatus bool) error {
	c := e.conn
	if c.closed.Load() {
		return fmt.Errorf("%w: connection is closed", target.ErrNotSent)
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", target.ErrNotSent, err)
	}
	return e.guarded(ctx, func() error { return e.converse(ctx, wantStatus) })
}

// guarded runs f, and closes the connection if f fails, if the context ends
// meanwhile, or if something is left unread.
func (e *exchange) guarded(ctx context.Context, f func() error) error {
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

func (e *exchange) converse(ctx context.Context, wantStatus bool) error {
	sent, err := e.send()
	if err != nil {
		return err
	}
	if err := e.receive(ctx); err != nil {
		return e.afterSend(sent, err)
	}
	if sent != nil {
		<-sent
	}
	ended := e.reply.Status == wireunit.TxIdle
	switch {
	case !wantStatus:
		return nil
	case e.x.PipelineStatus:
	case ended:
		if _, err := e.conn.net.Write(statusQuery); err != nil {
			return fmt.Errorf("%w: %w", target.ErrLost, err)
		}
	default:
		return nil
	}
	return e.receiveStatus(ended)
}

// send writes the plan, the batch and the status query. A large batch is written
// by a goroutine, which reports how many bytes left.
func (e *exchange) send() (sent <-chan int64, err error) {
	c := e.conn
	c.out, err = appendPrelude(c.out[:0], e.x.Prelude)
	if err == nil {
		c.out, err = appendPlan(c.out, e.plan)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", target.ErrMalformed, err)
	}
	var behind []byte
	if e.x.PipelineStatus {
		behind = statusQuery
	}
	if len(c.out)+len(e.x.Batch.Messages) > inlineWriteBytes {
		return e.sendLarge(net.Buffers{c.out, e.x.Batch.Messages, behind}), nil
	}
	c.out = append(c.out, e.x.Batch.Messages...)
	c.out = append(c.out, behind...)
	n, err := c.net.Write(c.out)
	return nil, sendError(int64(n), err)
}

func (e *exchange) sendLarge(buffers net.Buffers) <-chan int64 {
	sent := make(chan int64, 1)
	c := e.conn
	go func() {
		n, err := buffers.WriteTo(c.net)
		if err != nil {
			c.interrupt()
		}
		sent <- n
	}()
	return sent
}

// afterSend turns a failed receive into its error, after the writing goroutine
// has ended.
func (e *exchange) afterSend(sent <-chan int64, err error) error {
	if sent == nil {
		return err
	}
	e.conn.Close()
	if n := <-sent; n == 0 {
		return fmt.Errorf("%w: %w", target.ErrNotSent, err)
	}
	return err
}

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

// skim calls f for each message up to ReadyForQuery, which is left out.
func (e *exchange) skim(f func(message []byte) error) error {
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

// receive reads the answer up to ReadyForQuery.
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
			return e.finish(message)
		}
		if err := e.take(ctx, message); err != nil {
			return err
		}
	}
}

// refill writes what is pending and reads more.
func (e *exchange) refill() error {
	if err := e.flush(); err != nil {
		return err
	}
	if err := e.conn.reader.fill(); err != nil {
		return fmt.Errorf("%w: %w", target.ErrLost, err)
	}
	return nil
}

// take handles one message of the answer.
func (e *exchange) take(ctx context.Context, message []byte) error {
	pass, err := e.record(message)
	if err != nil {
		return fmt.Errorf("%w: %w", target.ErrLost, err)
	}
	if !pass {
		return nil
	}
	if e.answer.holding {
		return e.hold(ctx, message)
	}
	return e.pass(message)
}

// pass adds a message to the stretch that is written next.
func (e *exchange) pass(message []byte) error {
	end := e.conn.reader.start
	if e.runEnd != end-len(message) {
		if err := e.flush(); err != nil {
			return err
		}
		e.runStart = end - len(message)
	}
	e.runEnd = end
	return nil
}

// flush writes the pending stretch to the sink.
func (e *exchange) flush() error {
	if e.runStart == e.runEnd {
		return nil
	}
	run := e.conn.reader.buffer[e.runStart:e.runEnd]
	e.runStart, e.runEnd = 0, 0
	if _, err := e.sink.Write(run); err != nil {
		return fmt.Errorf("%w: %w", target.ErrSink, err)
	}
	return nil
}

// hold keeps a message back. When too much is held, it must be confirmed before
// the exchange goes on; what follows then passes up to the next result.
func (e *exchange) hold(ctx context.Context, message []byte) error {
	if err := e.flush(); err != nil {
		return err
	}
	if len(e.reply.Held)+len(message) <= target.HeldLimit || e.x.Overflow == nil {
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
	return e.pass(message)
}

func (e *exchange) releaseHeld(ctx context.Context) error {
	if err := e.x.Overflow(ctx); err != nil {
		return fmt.Errorf("%w: %w", target.ErrLost, err)
	}
	if _, err := e.sink.Write(e.reply.Held); err != nil {
		return fmt.Errorf("%w: %w", target.ErrSink, err)
	}
	e.reply.Held = e.reply.Held[:0]
	return nil
}

// finish handles ReadyForQuery.
func (e *exchange) finish(message []byte) error {
	if err := e.flush(); err != nil {
		return err
	}
	if len(message) != headerBytes+1 {
		return fmt.Errorf("%w: %w: ReadyForQuery of %d bytes", target.ErrLost, errProtocol, len(message))
	}
	if err := e.answer.complete(e.expect, e.plan, len(e.x.Prelude)); err != nil {
		return fmt.Errorf("%w: %w", target.ErrLost, err)
	}
	e.reply.Status = wireunit.TxStatus(message[headerBytes])
	e.conn.status = e.reply.Status
	return nil
}

// receiveStatus reads the answer to the status query. Its row counts only if the
// transaction had ended before it.
func (e *exchange) receiveStatus(ended bool) error {
	return e.skim(func(message []byte) error {
		switch message[0] {
		case 'T', 'C', 'E', 'N', 'S', 'A':
			return nil
		case 'D':
			status, err := decodeStatus(message[headerBytes:])
			e.reply.After, e.reply.AfterKnown = status, ended && err == nil
			return err
		default:
			return fmt.Errorf("%w: message %q in a status answer", errProtocol, message[0])
		}
	})
}
