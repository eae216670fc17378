package site

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"strconv"
	"strings"
	"time"
)

// Target is one instance of a group on the platform's wire.
type Target struct {
	ID      string
	Zone    string
	Address string

	group    *Group
	listener net.Listener

	// guarded by group.mu
	primary  bool
	term     uint64
	held     uint64
	log      []write
	conns    map[net.Conn]struct{}
	lag      time.Duration
	down     bool
	cut      bool // from the other targets
	lose     int  // answers still to be lost
	draining bool
	runs     map[string]int
}

// write is one committed change.
type write struct {
	term uint64
	item string
	data string
	at   time.Time
}

// session is the state of one connection at a target.
type session struct {
	target   *Target
	values   map[string]string
	prepared map[string]string
	tx       bool
	plain    bool
	failed   bool
	pending  []write
}

func (t *Target) start(ip string) error {
	var err error
	if t.listener, err = net.Listen("tcp4", ip+":0"); err != nil {
		return err
	}
	t.Address = t.listener.Addr().String()
	go t.accept()
	return nil
}

func (t *Target) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.group.mu.Lock()
		refused := t.down || len(t.conns) >= t.group.MaxConnections
		if refused && !t.down {
			t.group.refused++
		}
		if !refused {
			t.conns[c] = struct{}{}
			t.group.most = max(t.group.most, len(t.conns))
		}
		t.group.mu.Unlock()
		if refused {
			// As the platform does for a target over its cap: a reset.
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			continue
		}
		go t.serve(c)
	}
}

func (t *Target) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		t.group.mu.Lock()
		delete(t.conns, c)
		t.group.mu.Unlock()
	}()
	lines := bufio.NewScanner(c)
	lines.Buffer(nil, 2<<20)
	if !lines.Scan() {
		return
	}
	start := strings.Fields(lines.Text())
	if len(start) < 3 || start[0] != "START" || start[1] != t.group.Name || (len(start) > 3 && start[3] != t.ID) {
		_, _ = fmt.Fprintf(c, "ERR WRONGNODE %s\r\n", t.ID)
		return
	}
	s := &session{target: t, values: map[string]string{}, prepared: map[string]string{}}
	if _, err := fmt.Fprintf(c, "READY I %s\r\n", t.position()); err != nil {
		return
	}
	for lines.Scan() {
		word, rest, _ := strings.Cut(lines.Text(), " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		answer, ok := s.run(id, text)
		if !ok {
			return
		}
		if _, err := fmt.Fprintf(c, "%sREADY %s %s\r\n", answer, s.state(), t.position()); err != nil {
			return
		}
	}
}

func (s *session) state() string {
	switch {
	case s.failed:
		return "E"
	case s.tx:
		return "T"
	default:
		return "I"
	}
}

func (t *Target) position() string {
	t.group.mu.Lock()
	defer t.group.mu.Unlock()
	return t.positionLocked()
}

func (t *Target) positionLocked() string {
	if len(t.log) == 0 {
		return "1.0"
	}
	return fmt.Sprintf("%d.%d", t.log[len(t.log)-1].term, len(t.log))
}

// run runs one statement and returns its answer; false breaks the connection.
func (s *session) run(id, text string) (string, bool) {
	g := s.target.group
	work := g.StatementTime
	word, _, _ := strings.Cut(strings.TrimPrefix(text, "AFTER "), " ")
	if work > 0 && (word == "READ" || word == "WRITE" || word == "EXEC" || word == "COMMIT") {
		time.Sleep(work)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.target.down {
		return "", false
	}
	answer := s.runLocked(id, text)
	if id != "-" && s.target.lose > 0 && strings.HasPrefix(answer, "ROW") || id != "-" && s.target.lose > 0 && strings.HasPrefix(answer, "DONE") {
		s.target.lose--
		return "", false
	}
	return answer, true
}

func fail(code string) string { return "ERR " + code + " stand-in\r\n" }

func (s *session) runLocked(id, text string) string {
	t, g := s.target, s.target.group
	after := uint64(0)
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, statement, _ := strings.Cut(rest, " ")
		_, number, _ := strings.Cut(position, ".")
		after, _ = strconv.ParseUint(number, 10, 64)
		text = statement
	}
	f := strings.Fields(text)
	if s.failed && f[0] != "ROLLBACK" && f[0] != "COMMIT" {
		return fail("BAD")
	}
	if after > uint64(len(t.log)) {
		return fail("BEHIND")
	}
	if s.tx && s.plain && !t.primary && f[0] != "ROLLBACK" {
		s.failed = f[0] != "COMMIT"
		s.tx = s.failed
		return fail("READONLY")
	}
	switch f[0] {
	case "STATUS":
		return t.status()
	case "HOLD":
		if term, _ := strconv.ParseUint(f[1], 10, 64); term > t.term {
			t.held = max(t.held, term)
		}
		return t.status()
	case "RESUME":
		t.held = 0
		return t.status()
	case "DEMOTE":
		if term, _ := strconv.ParseUint(f[1], 10, 64); term > t.term {
			t.primary = false
		}
		return t.status()
	case "SET":
		s.values[f[1]] = strings.Join(f[2:], " ")
	case "RESET":
		s.values, s.prepared = map[string]string{}, map[string]string{}
	case "PREPARE":
		s.prepared[f[1]] = f[2] + " " + f[3]
	case "BEGIN":
		if len(f) == 1 && !t.primary {
			return fail("READONLY")
		}
		s.tx, s.plain, s.pending = true, len(f) == 1, nil
	case "ROLLBACK":
		s.tx, s.failed, s.pending = false, false, nil
	case "COMMIT":
		if s.failed {
			s.tx, s.failed, s.pending = false, false, nil
			return fail("ABORTED")
		}
		t.runs[id]++
		for _, w := range s.pending {
			g.append(t, w)
		}
		s.tx, s.pending = false, nil
		return "DONE sig." + id + "\r\n"
	case "READ":
		return s.read(id, f[1])
	case "WRITE":
		return s.write(id, f[1], strings.Join(f[2:], " "))
	case "EXEC":
		access, _, _ := strings.Cut(s.prepared[f[1]], " ")
		switch access {
		case "READ":
			return s.read(id, f[2])
		case "WRITE":
			return s.write(id, f[2], strings.Join(f[3:], " "))
		}
		return fail("NOSTMT")
	default:
		return fail("BAD")
	}
	return "DONE -\r\n"
}

func (t *Target) status() string {
	role := "replica"
	if t.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\nDONE -\r\n", role, t.term, t.positionLocked(), t.held, len(t.conns))
}

func (s *session) read(id, item string) string {
	t := s.target
	t.runs[id]++
	t.group.sessions[id] = maps.Clone(s.values)
	data := "none"
	for _, w := range t.log {
		if w.item == item {
			data = w.data
		}
	}
	return fmt.Sprintf("ROW %s\r\nDONE sig.%s\r\n", data, id)
}

func (s *session) write(id, item, data string) string {
	t := s.target
	if !t.primary {
		s.failed = s.tx
		return fail("READONLY")
	}
	t.runs[id]++
	t.group.sessions[id] = maps.Clone(s.values)
	w := write{term: t.term, item: item, data: data}
	if s.tx {
		s.pending = append(s.pending, w)
	} else {
		t.group.append(t, w)
	}
	return "DONE sig." + id + "\r\n"
}
