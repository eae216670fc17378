package site

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// answerTimeout bounds the wait for an answer.
const answerTimeout = 10 * time.Second

// Closed stands for the answer of a connection that is gone.
const Closed = "closed"

var lastID atomic.Uint64

// Caller is a session of a caller. One goroutine uses it.
type Caller struct {
	// Refused is the error that the session was refused with, empty if it was not.
	Refused string

	conn  net.Conn
	lines *bufio.Reader
}

// Connect opens a session with a database.
func Connect(address, database string) (*Caller, error) {
	conn, err := net.DialTimeout("tcp4", address, answerTimeout)
	if err != nil {
		return nil, err
	}
	c := &Caller{conn: conn, lines: bufio.NewReader(conn)}
	if err := c.send("START " + database + " test"); err != nil {
		c.Refused = Closed
	} else if line := c.ReadLine(); line != "READY I -" {
		c.Refused = line
	}
	return c, nil
}

// Close ends the session without a word.
func (c *Caller) Close() {
	_ = c.conn.Close()
}

func (c *Caller) send(line string) error {
	_, err := c.conn.Write([]byte(line + "\r\n"))
	return err
}

// ReadLine reads a line, or returns Closed.
func (c *Caller) ReadLine() string {
	if err := c.conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return Closed
	}
	line, err := c.lines.ReadString('\n')
	if err != nil {
		return Closed
	}
	return strings.TrimSuffix(line, "\r\n")
}

// Reply is the answer to one statement.
type Reply struct {
	ID         string
	Rows       []string
	Completion string
	State      string
}

// OK reports whether a target signed the answer.
func (r Reply) OK() bool {
	return r.Completion == "DONE sig."+r.ID
}

// Code is the error code, empty for none.
func (r Reply) Code() string {
	f := strings.Fields(r.Completion)
	if len(f) > 1 && f[0] == "ERR" {
		return f[1]
	}
	return ""
}

// Query runs one statement.
func (c *Caller) Query(text string) Reply {
	r := Reply{ID: fmt.Sprintf("id%d", lastID.Add(1))}
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
			return r
		default:
			r.Completion = line
			return r
		}
	}
}
