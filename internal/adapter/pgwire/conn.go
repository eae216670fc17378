package pgwire

import (
	"bufio"
	"crypto/subtle"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"k8s.io/klog/v2"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/session"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// state is where a connection stands.
type state uint8

const (
	stateStartup state = iota
	stateAuthenticating
	stateIdle
	stateInTransaction
	stateFailed
	stateClosing
)

// lingerTimeout bounds the wait for a caller to close after a fatal error, so
// that the error is not lost to a reset.
const lingerTimeout = time.Second

// conn is one caller connection. Its fields belong to its goroutine, but for
// raw and pid, which do not change once the connection is registered, and the
// group under mu.
type conn struct {
	server *Server
	raw    net.Conn
	net    net.Conn // raw, or TLS over it
	in     *bufio.Reader
	out    *bufio.Writer // nil while the connection waits for a request
	timed  timedWriter   // what out writes to
	sink   messageSink   // where targets answer to: out
	pid    uint32
	state  state

	caller     string
	database   session.Database
	session    session.State
	parameters parameters
	statements map[string]*prepared
	portals    map[string]portal
	pipeline   pipeline
	tx         transaction
	sentToken  bool
	arrived    time.Time // when the first message of the request came
	buffer     []byte    // the current message
	scratch    []byte    // the message being encoded
	// charged and statementBytes are what the connection holds of the server's
	// memory: for the current request, and for prepared statements.
	charged        int
	statementBytes int

	mu struct {
		sync.Mutex
		// waiting says that the goroutine waits for the first byte of a request
		// outside of a transaction.
		waiting bool
		// running is the unit with a batch in progress.
		running wireunit.Unit
		// swept says that the batch was running at the last sweep.
		swept bool
		// secret is what a cancel request must show; nil before login.
		secret []byte
	}
}

// fatalError ends the connection after it was sent to the caller.
type fatalError struct {
	reason  outcome.Reason
	code    string
	message string
	// retryAfter is zero if coming back is of no use.
	retryAfter time.Duration
}

func (e *fatalError) Error() string {
	return e.message
}

func fatal(reason outcome.Reason, format string, args ...any) *fatalError {
	o := outcome.Refuse(reason, 0, format, args...)
	return &fatalError{reason: reason, code: o.SQLState(), message: o.Message}
}

// fatalOutcome is the end of a connection with a refusal that has been decided.
func fatalOutcome(o outcome.Outcome) *fatalError {
	return &fatalError{reason: o.Reason, code: o.SQLState(), message: o.Message, retryAfter: o.RetryAfter}
}

// errTerminated says that the caller ended the connection.
var errTerminated = errors.New("terminated by the caller")

func newConn(s *Server, nc net.Conn) *conn {
	return &conn{server: s, raw: nc, net: nc}
}

// serve runs the connection to its end.
func (c *conn) serve() {
	defer c.server.unregister(c)
	defer c.raw.Close()
	err := c.loop()
	c.state = stateClosing
	c.tx.discard()
	c.pipeline.reset()
	c.dropStatements()
	c.shrink()
	c.finish(err)
}

func (c *conn) loop() error {
	if err := c.startup(); err != nil {
		return err
	}
	defer c.server.loggedIn.Add(-1)
	return c.requests()
}

// requests serves one request after the other.
func (c *conn) requests() error {
	for {
		if err := c.awaitRequest(); err != nil {
			return err
		}
		if err := c.serveRequest(); err != nil {
			return err
		}
	}
}

// awaitRequest waits for the first byte of the next message. Between requests
// the write buffer is given back.
func (c *conn) awaitRequest() error {
	if c.pipeline.open() {
		return nil // in the middle of a pipeline: readMessage waits
	}
	c.shrink()
	if c.in.Buffered() > 0 {
		return nil
	}
	if err := c.releaseWriter(); err != nil {
		return err
	}
	if c.state != stateIdle {
		return c.awaitInTransaction()
	}
	if !c.startWaiting() {
		return errDraining
	}
	_, err := c.in.Peek(1)
	c.stopWaiting()
	if errors.Is(err, os.ErrDeadlineExceeded) && c.server.draining.Load() {
		return errDraining
	}
	return err
}

// awaitInTransaction waits for the next message of a transaction.
func (c *conn) awaitInTransaction() error {
	limit := c.server.config.Limits.IdleInTransactionTimeout
	if limit == 0 {
		_, err := c.in.Peek(1)
		return err
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	_, err := c.in.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &fatalError{reason: outcome.TransactionLost, code: "25P03", message: "idle in transaction for too long: rolled back"}
	}
	if err != nil {
		return err
	}
	return c.raw.SetReadDeadline(time.Time{})
}

var errDraining = &fatalError{
	reason:  outcome.ShuttingDown,
	code:    "57P01",
	message: "this proxy is shutting down: connect again",

	retryAfter: retryElsewhere,
}

// startWaiting reports false if the server is shutting down.
func (c *conn) startWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server.draining.Load() {
		return false
	}
	c.mu.waiting = true
	return true
}

func (c *conn) stopWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.waiting = false
	if c.server.draining.Load() {
		_ = c.raw.SetReadDeadline(time.Time{})
	}
}

// wake makes a waiting connection notice that the server is shutting down. It
// may be called by any goroutine.
func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.waiting {
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

// cancelRunning asks for the running batch to be canceled. It may be called by
// any goroutine.
func (c *conn) cancelRunning() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.running != nil {
		c.mu.running.Cancel()
	}
}

// cancelUnit asks for the running batch to be canceled if it is one of unit. It
// may be called by any goroutine.
func (c *conn) cancelUnit(unit wireunit.Unit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.running == unit {
		unit.Cancel()
	}
}

// setRunning marks the unit whose batch is in progress; nil when it has ended.
// A cancel that comes later finds nothing to cancel.
func (c *conn) setRunning(u wireunit.Unit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.running = u
	c.mu.swept = false
}

// setSecret makes the connection cancelable.
func (c *conn) setSecret(secret []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.secret = secret
}

// hasSecret reports whether secret is that of the connection. It may be called
// by any goroutine.
func (c *conn) hasSecret(secret []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.mu.secret) > 0 && subtle.ConstantTimeCompare(c.mu.secret, secret) == 1
}

// serveRequest reads one message and acts on it.
func (c *conn) serveRequest() error {
	f, err := c.readMessage()
	if err != nil {
		return err
	}
	c.acquireWriter()
	if !c.pipeline.open() {
		c.arrived = c.server.config.Now()
	}
	switch f.kind {
	case 'Q':
		return c.simpleQuery(f)
	case 'P', 'B', 'D', 'E', 'C', 'H', 'S':
		return c.extended(f)
	case 'X':
		return errTerminated
	case 'F':
		return c.functionCall()
	case 'd', 'c', 'f':
		return nil // left over from a refused COPY: the protocol says to ignore it
	default:
		return fatal(outcome.Malformed, "unknown message type %q", f.kind)
	}
}

func (c *conn) readMessage() (frame, error) {
	f, buf, err := readFrame(c.in, c.buffer, c.server.config.Limits.MessageBytes, c.charge)
	c.buffer = buf
	return f, frameFault(err)
}

// frameFault turns an error of readFrame into what is said to the caller.
func frameFault(err error) error {
	if err == nil {
		return nil
	}
	var tooLong *lengthError
	switch {
	case errors.As(err, &tooLong):
		return fatal(outcome.TooLarge, "%v", tooLong)
	case errors.Is(err, errNoMemory):
		return fatal(outcome.TooLarge, "%v", err)
	case errors.Is(err, errNegativeLength):
		return fatal(outcome.Malformed, "%v", err)
	default:
		return err
	}
}

func (c *conn) functionCall() error {
	c.refuse(outcome.Refuse(outcome.Unsupported, 0, "the function call protocol is not served"))
	return c.ready()
}

func (c *conn) acquireWriter() {
	if c.out != nil {
		return
	}
	c.out = writerPool.Get().(*bufio.Writer)
	c.timed = timedWriter{conn: c.net, timeout: c.server.config.Limits.WriteTimeout}
	c.out.Reset(&c.timed)
	c.sink = messageSink{w: c.out}
}

// releaseWriter sends what is buffered and gives the write buffer back.
func (c *conn) releaseWriter() error {
	if c.out == nil {
		return nil
	}
	err := c.out.Flush()
	c.out.Reset(nil)
	writerPool.Put(c.out)
	c.out = nil
	return err
}

// send buffers one message to the caller.
func (c *conn) send(m pgproto3.BackendMessage) {
	encoded, err := m.Encode(c.scratch[:0])
	if err != nil {
		panic(fmt.Sprintf("pgwire: encode %T: %v", m, err)) // all our messages can be encoded
	}
	c.scratch = encoded
	_, _ = c.out.Write(encoded) // the error comes back with Flush
}

// ready ends a request: it tells the caller the state and sends everything.
func (c *conn) ready() error {
	c.endImplicit()
	if !c.sink.whole() {
		c.server.meters.truncated.Inc()
		return errTruncated
	}
	c.state = c.tx.state()
	c.sendToken()
	c.send(&pgproto3.ReadyForQuery{TxStatus: byte(c.tx.status())})
	return c.out.Flush()
}

// sendToken returns what the session has seen to the caller, if that is news.
func (c *conn) sendToken() {
	if c.sentToken || c.tx.open() {
		return
	}
	c.sentToken = true
	text, err := c.server.config.Keyring.Encode(c.session.Token())
	if err != nil {
		klog.Errorf(logPrefix+"session token of %s: %v", c.caller, err)
		return
	}
	c.send(&pgproto3.ParameterStatus{Name: parameterSession, Value: text})
}

// refuse sends the error of an outcome and counts it here. Outcomes of the
// Opener were counted there.
func (c *conn) refuse(o outcome.Outcome) {
	c.server.meters.refused[o.Reason].Inc()
	c.sendOutcome(o)
	c.tx.fail()
}

// sendOutcome sends the error of an outcome, unless the answer broke off within a
// message: then the connection ends with the request.
func (c *conn) sendOutcome(o outcome.Outcome) {
	if !c.sink.whole() {
		return
	}
	c.send(&pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                o.SQLState(),
		Message:             o.Message,
		Detail:              o.Detail(),
	})
}

// finish says why the connection ends, if the caller may still listen.
func (c *conn) finish(err error) {
	var f *fatalError
	if !errors.As(err, &f) {
		c.quietEnd(err)
		return
	}
	c.server.meters.refused[f.reason].Inc()
	c.acquireWriter()
	c.send(&pgproto3.ErrorResponse{
		Severity:            "FATAL",
		SeverityUnlocalized: "FATAL",
		Code:                f.code,
		Message:             f.message,
		Detail:              outcome.Outcome{Kind: outcome.Refused, Reason: f.reason, RetryAfter: f.retryAfter}.Detail(),
	})
	if c.releaseWriter() == nil {
		c.linger()
	}
}

func (c *conn) quietEnd(err error) {
	if errors.Is(err, errTerminated) || errors.Is(err, io.EOF) {
		return
	}
	klog.V(2).Infof(logPrefix+"connection of %q from %v ended: %v", c.caller, c.raw.RemoteAddr(), err)
}

// linger closes the sending side and drops what still comes in, so that the
// last message is not lost.
func (c *conn) linger() {
	_ = c.raw.SetDeadline(time.Now().Add(lingerTimeout))
	if half, ok := c.net.(interface{ CloseWrite() error }); ok && half.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.raw, int64(c.server.config.Limits.MessageBytes))
}
