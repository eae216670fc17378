package main

import (
	"bufio"
	"errors"
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

// query sends a statement and returns the DONE or ERR line of the answer and the bytes of its
// rows. The line is empty if the connection ended before.
func (c *caller) query(id, text string) (result string, rowBytes int) {
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return "", 0
	}
	return c.read()
}

// answer reads the answer to a statement and returns its DONE or ERR line.
func (c *caller) answer() (string, error) {
	result, _ := c.read()
	if result == "" {
		return "", errEnded
	}
	return result, nil
}

// errEnded means that the connection ended, or no answer came within answerTimeout.
var errEnded = errors.New("no answer")

// read reads an answer and returns its DONE or ERR line, empty if the connection ended before,
// and the bytes of its rows.
func (c *caller) read() (result string, rowBytes int) {
	for {
		if err := c.conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
			return "", rowBytes
		}
		line, err := c.reader.ReadString('\n')
		switch {
		case err != nil:
			return "", rowBytes
		case strings.HasPrefix(line, "ROW "):
			rowBytes += len(line)
		case strings.HasPrefix(line, "READY"):
			return result, rowBytes
		default:
			result = strings.TrimSpace(line)
		}
	}
}

func (c *caller) close() { _ = c.conn.Close() }
