//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// clientTimeout bounds each step of a client.
const clientTimeout = 10 * time.Second

var lastID atomic.Uint64

// newID returns a new statement ID.
func newID() string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+lastID.Add(1)) }

// client is a session of a caller.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

// answer is the answer to one statement.
type answer struct {
	id   string
	rows int
	// last is the last row.
	last string
	// end is the DONE or ERR line, or "no answer".
	end   string
	state string
}

const noAnswer = "no answer"

// ok reports whether the statement succeeded with an instance's signature.
func (a answer) ok() bool { return strings.HasPrefix(a.end, "DONE sig.") }

// code returns the code of an error.
func (a answer) code() string {
	f := strings.Fields(a.end)
	if len(f) > 1 && f[0] == "ERR" {
		return f[1]
	}
	return ""
}

// open starts a session.
func open(address, database string) (*client, error) {
	return openAs(address, database, "u1")
}

// openAs starts a session with a key.
func openAs(address, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, in: bufio.NewReaderSize(conn, 64<<10)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "START %s %s\r\n", database, key)
	line, err := c.in.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY I") {
		_ = conn.Close()
		return nil, fmt.Errorf("not ready: %.80q %w", line, errOr(err))
	}
	return c, nil
}

func errOr(err error) error {
	if err != nil {
		return err
	}
	return fmt.Errorf("refused")
}

func (c *client) close() { _ = c.conn.Close() }

// query sends one statement and waits for its answer.
func (c *client) query(text string) answer {
	return c.queryWithID(newID(), text)
}

func (c *client) queryWithID(id, text string) answer {
	a := answer{id: id, end: noAnswer}
	_ = c.conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := c.conn.Write([]byte("QUERY " + id + " " + text + "\r\n")); err != nil {
		return a
	}
	end := ""
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return a
		}
		line = strings.TrimSuffix(line, "\r\n")
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.rows++
			a.last = rest
		case "DONE", "ERR":
			end = line
		case "READY":
			a.end = end
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		default:
			return a
		}
	}
}
