//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// answerTimeout is how long a caller waits for an answer.
const answerTimeout = 5 * time.Second

// caller is a session of a caller.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dialCaller opens a session with a database.
func dialCaller(address, database string) (*caller, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &caller{conn: conn, reader: bufio.NewReaderSize(conn, 64<<10)}
	if _, err := fmt.Fprintf(conn, "START %s u1\r\n", database); err != nil {
		return nil, err
	}
	if err := conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return nil, err
	}
	line, err := c.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		_ = conn.Close()
		return nil, fmt.Errorf("session refused: %.60q, %w", line, err)
	}
	return c, nil
}

// query sends a statement and returns the DONE or ERR line of its answer, empty if the connection
// ended before.
func (c *caller) query(id, text string) string {
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return ""
	}
	result, _ := c.answer()
	return result
}

// answer reads the answer to a statement and returns its DONE or ERR line. It returns an error if
// the connection ended before, or no line came within answerTimeout.
func (c *caller) answer() (result string, err error) {
	for {
		if err := c.conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
			return "", err
		}
		line, err := c.reader.ReadString('\n')
		switch {
		case err != nil:
			return "", err
		case strings.HasPrefix(line, "READY"):
			return result, nil
		case !strings.HasPrefix(line, "ROW "):
			result = strings.TrimSpace(line)
		}
	}
}

func (c *caller) close() { _ = c.conn.Close() }
