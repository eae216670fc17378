package site

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// answerTimeout bounds connecting to a daemon and each read of a line.
const answerTimeout = 10 * time.Second

// Closed takes the place of a line when the connection failed or timed out.
const Closed = "closed"

// lastStatementID numbers the statements of all callers, so that each ID is unique in
// the process.
var lastStatementID atomic.Uint64

// Caller is a client session with a daemon. It must not be used by several goroutines at
// once.
type Caller struct {
	// Refused is the line that the daemon refused the session with: an error, or Closed.
	// It is empty for an open session.
	Refused string

	conn   net.Conn
	reader *bufio.Reader
	// onSend is told the ID of each statement, when its unit began and when it is sent; it
	// may be nil.
	onSend func(id string, unit, at time.Time)
	// unit is when the first statement of the open unit was sent; inTransaction is true
	// after an answer that left a transaction open.
	unit          time.Time
	inTransaction bool
}

// keyOfNoTenant is what callers without a key present.
const keyOfNoTenant = "test"

// Connect opens a session without a key; see ConnectWithKey.
func Connect(address, database string) (*Caller, error) {
	return ConnectWithKey(address, database, keyOfNoTenant)
}

// ConnectWithKey opens a session with a database at an IP:port and presents a key. It
// returns an error only if the TCP connection fails; a session that the daemon refuses has
// Refused set.
func ConnectWithKey(address, database, key string) (*Caller, error) {
	conn, err := net.DialTimeout("tcp4", address, answerTimeout)
	if err != nil {
		return nil, err
	}
	c := &Caller{conn: conn, reader: bufio.NewReader(conn)}
	if err := c.send("START " + database + " " + key); err != nil {
		c.Refused = Closed
	} else if line := c.ReadLine(); line != "READY I -" {
		c.Refused = line
	}
	return c, nil
}

// Close closes the connection without ending the session on the wire.
func (c *Caller) Close() {
	_ = c.conn.Close()
}

// send writes one line.
func (c *Caller) send(line string) error {
	_, err := c.conn.Write([]byte(line + "\r\n"))
	return err
}

// ReadLine reads one line without its line break. It returns Closed if the connection
// fails or no line arrives within answerTimeout.
func (c *Caller) ReadLine() string {
	if err := c.conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return Closed
	}
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return Closed
	}
	return strings.TrimSuffix(line, "\r\n")
}

// Reply is the response to one statement.
type Reply struct {
	// ID is the statement ID.
	ID string
	// Rows holds the rows without the leading ROW.
	Rows []string
	// Completion is the DONE or ERR line, Closed, or an unexpected line.
	Completion string
	// State is the transaction state after the statement: I (idle), T (in a transaction)
	// or E (failed transaction).
	State string
	// Sent is when the statement was sent.
	Sent time.Time
}

// OK reports whether the statement succeeded and carries the signature of a target.
func (r Reply) OK() bool {
	return r.Completion == "DONE sig."+r.ID
}

// RetryAfter returns the time after which the refusal asks for another try. It returns
// false if the reply has none.
func (r Reply) RetryAfter() (time.Duration, bool) {
	for _, f := range strings.Fields(r.Completion) {
		if text, ok := strings.CutPrefix(f, "retry_after_ms="); ok {
			ms, err := strconv.Atoi(text)
			return time.Duration(ms) * time.Millisecond, err == nil
		}
	}
	return 0, false
}

// Code returns the error code, or an empty string if there is none.
func (r Reply) Code() string {
	f := strings.Fields(r.Completion)
	if len(f) > 1 && f[0] == "ERR" {
		return f[1]
	}
	return ""
}

// Query sends one statement with a new ID and reads its reply up to READY.
func (c *Caller) Query(text string) Reply {
	r := Reply{ID: fmt.Sprintf("id%d", lastStatementID.Add(1)), Sent: time.Now()}
	if !c.inTransaction {
		c.unit = r.Sent
	}
	if c.onSend != nil {
		c.onSend(r.ID, c.unit, r.Sent)
	}
	if c.send("QUERY "+r.ID+" "+text) != nil {
		r.Completion = Closed
		return r
	}
	for {
		line := c.ReadLine()
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			r.Rows = append(r.Rows, rest)
		case "DONE", "ERR":
			r.Completion = line
		case "READY":
			r.State, _, _ = strings.Cut(rest, " ")
			c.inTransaction = r.State != "I"
			return r
		default:
			r.Completion = line
			return r
		}
	}
}
