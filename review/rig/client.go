package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// session is the session of a client.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
	// values are the values whose SET was acknowledged.
	values map[string]string
}

// answer is the answer to one statement.
type answer struct {
	rows      []string
	signature string
	code      string
	state     string
	position  string
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// connect opens a session. It fails if READY takes more than 2 s, as for any client.
func connect(front, database string) (*session, error) {
	c, err := net.DialTimeout("tcp4", front, 2*time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{conn: c, reader: bufio.NewReader(c), values: map[string]string{}}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(c, "START %s u%s\r\n", database, newID()[:4]); err != nil {
		_ = c.Close()
		return nil, err
	}
	line, err := s.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		_ = c.Close()
		return nil, fmt.Errorf("start answered %q, %v", line, err)
	}
	return s, nil
}

// query sends one statement and reads its answer within a time.
func (s *session) query(id, text string, within time.Duration) (answer, error) {
	_ = s.conn.SetDeadline(time.Now().Add(within))
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{}, err
	}
	var a answer
	for {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "DONE":
			a.signature = rest
		case "ERR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, a.position, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}

// set sets a session value.
func (s *session) set(name, value string) error {
	a, err := s.query(newID(), "SET "+name+" "+value, 3*time.Second)
	if err == nil && a.code != "" {
		err = fmt.Errorf("SET answered %s", a.code)
	}
	if err == nil {
		s.values[name] = value
	}
	return err
}
