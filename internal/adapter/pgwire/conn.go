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

// state is the protocol state of a connection.
type state uint8

const (
	stateStartup state = iota
	stateAuthenticating
	stateIdle
	stateInTransaction
	stateFailed
	stateClosing
)

// lingerTimeout is the maximum wait for a caller to close the connection after a fatal
// error. Closing it earlier may reset the connection and lose the error.
const lingerTimeout = time.Second

// conn is one caller connection. Only its goroutine may use its fields, except raw and
// pid, which don't change once the connection is registered, and the fields of mu.
type conn struct {
	server *Server
	raw    net.Conn
	net    net.Conn // raw, or a TLS connection over raw
	in     *bufio.Reader
	out    *bufio.Writer // nil while waiting for a request
	timed  timedWriter   // destination of out
	sink   messageSink   // wraps out; receives the target's messages
	pid    uint32
	state  state

	caller          string
	database        session.Database
	session         session.State
	parameters      parameters
	statements      map[string]*preparedStatement
	portals         map[string]portal
	pipeline        pipeline
	tx              transaction
	tokenSent       bool
	requestReceived time.Time // when the first message was read
	readBuffer      []byte    // holds the current message
	encodeBuffer    []byte    // holds the message being encoded
	// chargedBytes and statementBytes are the bytes reserved in the server's memory
	// budget for the current request and for prepared statements.
	chargedBytes   int
	statementBytes int

	mu struct {
		sync.Mutex
		// waiting reports whether the goroutine waits for the first byte of a request
		// outside of a transaction.
		waiting bool
		// runningUnit is the unit with a batch in progress, or nil.
		runningUnit wireunit.Unit
		// seenRunning reports whether the batch was already running at the last caller
		// check.
		seenRunning bool
		// cancelSecret is the secret key that a cancel request must present; nil before
		// login.
		cancelSecret []byte
	}
}

// fatalError is an error that is sent to the caller and ends the connection.
type fatalError struct {
	reason  outcome.Reason
	code    string
	message string
	// retryAfter is the time that the caller should wait before it connects again; zero
	// means that connecting again is pointless.
	retryAfter time.Duration
}

func (e *fatalError) Error() string {
	return e.message
}

// fatal returns a fatalError with the SQLSTATE of reason and no time to retry.
func fatal(reason outcome.Reason, format string, args ...any) *fatalError {
	o := outcome.Refuse(reason, 0, format, args...)
	return &fatalError{reason: reason, code: o.SQLState(), message: o.Message}
}

// fatalOutcome returns a fatalError for a refusal.
func fatalOutcome(o outcome.Outcome) *fatalError {
	return &fatalError{reason: o.Reason, code: o.SQLState(), message: o.Message, retryAfter: o.RetryAfter}
}

// errTerminated ends a connection after Terminate or a cancel request, without an error
// to the caller.
var errTerminated = errors.New("connection terminated by the caller")

func newConn(s *Server, nc net.Conn) *conn {
	return &conn{server: s, raw: nc, net: nc}
}

// serve runs the connection until it ends and releases its resources.
func (c *conn) serve() {
	defer c.server.unregister(c)
	defer c.raw.Close()
	err := c.startAndServe()
	c.state = stateClosing
	c.tx.discard()
	c.pipeline.reset()
	c.dropStatements()
	c.releaseBuffers()
	c.sendClosingError(err)
}

// startAndServe runs the startup phase and serves requests until the connection ends.
func (c *conn) startAndServe() error {
	if err := c.startup(); err != nil {
		return err
	}
	defer c.server.loggedIn.Add(-1)
	return c.serveRequests()
}

// serveRequests serves messages until the connection ends. The error is never nil.
func (c *conn) serveRequests() error {
	for {
		if err := c.awaitRequest(); err != nil {
			return err
		}
		if err := c.serveRequest(); err != nil {
			return err
		}
	}
}

// awaitRequest waits for the first byte of the next message. Meanwhile the connection
// holds no write buffer and no large read buffer.
func (c *conn) awaitRequest() error {
	if c.pipeline.open() {
		return nil // within a pipeline: readMessage waits
	}
	c.releaseBuffers()
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

// awaitInTransaction waits for the first byte of the next message of a transaction. After
// IdleInTransactionTimeout it returns a fatalError with SQLSTATE 25P03.
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
		return &fatalError{reason: outcome.TransactionLost, code: "25P03", message: "idle-in-transaction timeout: the transaction was rolled back"}
	}
	if err != nil {
		return err
	}
	return c.raw.SetReadDeadline(time.Time{})
}

// errDraining ends a connection that is idle while the server shuts down.
var errDraining = &fatalError{
	reason:  outcome.ShuttingDown,
	code:    "57P01",
	message: "this proxy is shutting down, connect again",

	retryAfter: retryAfterShutdown,
}

// startWaiting marks the connection as waiting, so that wake reaches it. It returns false
// if the server is shutting down.
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

// wake interrupts a waiting connection when the server shuts down, by a read deadline in
// the past. It is safe for concurrent use.
func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.waiting {
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

// cancelRunning requests cancellation of the running batch, if any. It is safe for
// concurrent use.
func (c *conn) cancelRunning() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.runningUnit != nil {
		c.mu.runningUnit.Cancel()
	}
}

// cancelUnit requests cancellation of the running batch if it belongs to unit. It is safe
// for concurrent use.
func (c *conn) cancelUnit(unit wireunit.Unit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.runningUnit == unit {
		unit.Cancel()
	}
}

// setRunning sets the unit with a batch in progress; nil when the batch has ended. A
// cancel request that arrives later has no effect.
func (c *conn) setRunning(u wireunit.Unit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.runningUnit = u
	c.mu.seenRunning = false
}

// setCancelSecret sets the secret key for cancel requests.
func (c *conn) setCancelSecret(secret []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.cancelSecret = secret
}

// matchesCancelSecret reports whether secret is the connection's secret key for cancel
// requests. It is safe for concurrent use.
func (c *conn) matchesCancelSecret(secret []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.mu.cancelSecret) > 0 && subtle.ConstantTimeCompare(c.mu.cancelSecret, secret) == 1
}

// serveRequest reads and handles one message.
func (c *conn) serveRequest() error {
	f, err := c.readMessage()
	if err != nil {
		return err
	}
	c.acquireWriter()
	if !c.pipeline.open() {
		c.requestReceived = c.server.config.Now()
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
		return nil // follows a refused COPY; the protocol requires to ignore it
	default:
		return fatal(outcome.Malformed, "unknown message type %q", f.kind)
	}
}

func (c *conn) readMessage() (frame, error) {
	f, buf, err := readFrame(c.in, c.readBuffer, c.server.config.Limits.MessageBytes, c.charge)
	c.readBuffer = buf
	return f, frameError(err)
}

// frameError converts an error of readFrame into the fatalError for the caller. Errors of
// the connection are returned as they are.
func frameError(err error) error {
	if err == nil {
		return nil
	}
	var tooLong *lengthError
	switch {
	case errors.As(err, &tooLong):
		return fatal(outcome.TooLarge, "%v", tooLong)
	case errors.Is(err, errMemoryLimit):
		return fatal(outcome.TooLarge, "%v", err)
	case errors.Is(err, errNegativeLength):
		return fatal(outcome.Malformed, "%v", err)
	default:
		return err
	}
}

func (c *conn) functionCall() error {
	c.refuse(outcome.Refuse(outcome.Unsupported, 0, "the function call protocol is not supported"))
	return c.sendReady()
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

// releaseWriter flushes the write buffer and returns it to the pool.
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

// send adds one message to the caller to the write buffer.
func (c *conn) send(m pgproto3.BackendMessage) {
	encoded, err := m.Encode(c.encodeBuffer[:0])
	if err != nil {
		panic(fmt.Sprintf("pgwire: encode %T: %v", m, err)) // unreachable: all messages sent here can be encoded
	}
	c.encodeBuffer = encoded
	_, _ = c.out.Write(encoded) // Flush returns the error
}

// sendReady ends a request: it ends an implicit transaction, sends the session token and
// ReadyForQuery, and flushes the write buffer. It returns errTruncated if the target's
// answer ended within a message.
func (c *conn) sendReady() error {
	c.endImplicit()
	if !c.sink.atBoundary() {
		c.server.metrics.truncatedAnswers.Inc()
		return errTruncated
	}
	c.state = c.tx.state()
	c.sendToken()
	c.send(&pgproto3.ReadyForQuery{TxStatus: byte(c.tx.status())})
	return c.out.Flush()
}

// sendToken sends the session token if it changed since it was last sent and no
// transaction is open.
func (c *conn) sendToken() {
	if c.tokenSent || c.tx.open() {
		return
	}
	c.tokenSent = true
	text, err := c.server.config.Keyring.Encode(c.session.Token())
	if err != nil {
		klog.Errorf(logPrefix+"failed to encode the session token of caller %s: %v", c.caller, err)
		return
	}
	c.send(&pgproto3.ParameterStatus{Name: parameterSession, Value: text})
}

// refuse counts a refusal decided by this package, sends its error and fails the open
// transaction. Refusals by the Opener are counted there.
func (c *conn) refuse(o outcome.Outcome) {
	c.server.metrics.refused[o.Reason].Inc()
	c.sendOutcome(o)
	c.tx.fail()
}

// sendOutcome sends the error of an outcome. If the target's answer ended within a
// message, it sends nothing, and the connection ends with the request.
func (c *conn) sendOutcome(o outcome.Outcome) {
	if !c.sink.atBoundary() {
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

// sendClosingError sends a fatalError to the caller. Other errors are only logged: after
// them, nothing more can be sent.
func (c *conn) sendClosingError(err error) {
	var f *fatalError
	if !errors.As(err, &f) {
		c.logEnd(err)
		return
	}
	c.server.metrics.refused[f.reason].Inc()
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

func (c *conn) logEnd(err error) {
	if errors.Is(err, errTerminated) || errors.Is(err, io.EOF) {
		return
	}
	klog.V(2).Infof(logPrefix+"connection of %q from %v ended: %v", c.caller, c.raw.RemoteAddr(), err)
}

// linger closes the sending side and discards input until the caller closes the
// connection, at most for lingerTimeout. Closing at once may reset the connection and
// lose the last message.
func (c *conn) linger() {
	_ = c.raw.SetDeadline(time.Now().Add(lingerTimeout))
	if half, ok := c.net.(interface{ CloseWrite() error }); ok && half.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.raw, int64(c.server.config.Limits.MessageBytes))
}
