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

// Target is one database instance of a group. It serves the platform's line protocol.
type Target struct {
	ID      string
	Zone    string
	Address string

	group    *Group
	listener net.Listener

	// The fields below are guarded by group.mu.
	primary bool
	term    uint64
	// heldTerm is the term that the target is held for: it takes no log from a primary
	// of an earlier term. Zero means not held.
	heldTerm uint64
	log      []write
	conns    map[net.Conn]struct{}
	// lag is how old a write must be before replication copies it to this target.
	lag           time.Duration
	down          bool
	partitioned   bool // from the other targets, not from callers
	answersToLose int  // successful answers still to be withheld
	// sheds, if not nil, reports whether the target answers a statement with BUSY. It is not
	// called for control statements.
	sheds    func(text string) bool
	draining bool
	// runCounts holds how often each statement ran, by statement ID.
	runCounts map[string]int
}

// write is one change of an item, with the term in which it was written and the time of
// its commit.
type write struct {
	// id is the ID of the statement that wrote the item.
	id   string
	term uint64
	item string
	data string
	at   time.Time
}

// session is the state of one connection at a target.
type session struct {
	target *Target
	// tenant is the second field of START.
	tenant string
	// arrived is when the statement that runs arrived.
	arrived time.Time
	// values holds the session values, by name.
	values map[string]string
	// prepared holds the access and query of each prepared statement, by its name.
	prepared map[string]string
	// inTransaction is true in an open transaction, readWrite if it began without an
	// access mode, and failed if a statement in it failed: it then accepts only ROLLBACK
	// and COMMIT, which reports ABORTED.
	inTransaction bool
	readWrite     bool
	failed        bool
	// unitStarted is true if a statement of the open transaction has run.
	unitStarted bool
	// pending holds the writes of the open transaction.
	pending []write
}

// start listens on a free port of ip and serves connections.
func (t *Target) start(ip string) error {
	var err error
	if t.listener, err = net.Listen("tcp4", ip+":0"); err != nil {
		return err
	}
	t.Address = t.listener.Addr().String()
	go t.accept(t.listener)
	return nil
}

// accept serves connections until the listener closes. It refuses those over the
// connection limit.
func (t *Target) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.group.mu.Lock()
		refused := t.down || len(t.conns) >= t.group.MaxConnections
		if refused && !t.down {
			t.group.refusedConnections++
		}
		if !refused {
			t.conns[c] = struct{}{}
			t.group.peakConnections = max(t.group.peakConnections, len(t.conns))
		}
		t.group.mu.Unlock()
		if refused {
			// The platform resets connections to a target at its connection limit.
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			continue
		}
		go t.serve(c)
	}
}

// serve runs the protocol on one connection.
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
	s := &session{target: t, tenant: start[2], values: map[string]string{}, prepared: map[string]string{}}
	t.group.connectionOpened(s.tenant)
	defer t.group.connectionClosed(s.tenant)
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

// state returns the transaction state as READY reports it.
func (s *session) state() string {
	switch {
	case s.failed:
		return "E"
	case s.inTransaction:
		return "T"
	default:
		return "I"
	}
}

// position returns the log position as term.index.
func (t *Target) position() string {
	t.group.mu.Lock()
	defer t.group.mu.Unlock()
	return t.positionLocked()
}

// positionLocked returns the log position as term.index. The caller holds group.mu.
func (t *Target) positionLocked() string {
	if len(t.log) == 0 {
		return "1.0"
	}
	return fmt.Sprintf("%d.%d", t.log[len(t.log)-1].term, len(t.log))
}

// run runs one statement and returns its answer. It returns false if the connection must
// be closed without an answer.
func (s *session) run(id, text string) (string, bool) {
	g := s.target.group
	s.arrived = time.Now()
	statementTime := g.StatementTime
	word, _, _ := strings.Cut(strings.TrimPrefix(text, "AFTER "), " ")
	if statementTime > 0 && (word == "READ" || word == "WRITE" || word == "EXEC" || word == "COMMIT") {
		time.Sleep(statementTime)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.target.down {
		return "", false
	}
	answer := s.runLocked(id, text)
	if id != "-" && s.target.answersToLose > 0 && strings.HasPrefix(answer, "ROW") || id != "-" && s.target.answersToLose > 0 && strings.HasPrefix(answer, "DONE") {
		s.target.answersToLose--
		return "", false
	}
	return answer, true
}

// errorReply returns an ERR line with a code.
func errorReply(code string) string { return "ERR " + code + " stand-in\r\n" }

// runLocked runs one statement and returns its answer. The caller holds group.mu.
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
	if t.sheds != nil && !isControl(f[0]) && t.sheds(text) {
		return errorReply("BUSY")
	}
	if s.failed && f[0] != "ROLLBACK" && f[0] != "COMMIT" {
		return errorReply("BAD")
	}
	if after > uint64(len(t.log)) {
		return errorReply("BEHIND")
	}
	if s.inTransaction && s.readWrite && !t.primary && f[0] != "ROLLBACK" {
		s.failed = f[0] != "COMMIT"
		s.inTransaction = s.failed
		return errorReply("READONLY")
	}
	switch f[0] {
	case "STATUS":
		return t.status()
	case "HOLD":
		if term, _ := strconv.ParseUint(f[1], 10, 64); term > t.term {
			t.heldTerm = max(t.heldTerm, term)
		}
		return t.status()
	case "RESUME":
		t.heldTerm = 0
		return t.status()
	case "DEMOTE":
		if term, _ := strconv.ParseUint(f[1], 10, 64); term > t.term {
			if t.primary {
				t.group.demoted = t
			}
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
			return errorReply("READONLY")
		}
		s.inTransaction, s.readWrite, s.pending, s.unitStarted = true, len(f) == 1, nil, false
	case "ROLLBACK":
		s.inTransaction, s.failed, s.pending = false, false, nil
	case "COMMIT":
		if s.failed {
			s.inTransaction, s.failed, s.pending = false, false, nil
			return errorReply("ABORTED")
		}
		s.recordRun(id)
		for _, w := range s.pending {
			g.appendWrite(t, w)
		}
		s.inTransaction, s.pending = false, nil
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
		return errorReply("NOSTMT")
	default:
		return errorReply("BAD")
	}
	return "DONE -\r\n"
}

// isControl reports whether a statement is about the target itself.
func isControl(word string) bool {
	return word == "STATUS" || word == "HOLD" || word == "RESUME" || word == "DEMOTE"
}

// recordRun records the run of a statement and returns the record. The caller holds
// group.mu.
func (s *session) recordRun(id string) *Run {
	t := s.target
	t.runCounts[id]++
	r := &Run{ID: id, Tenant: s.tenant, Target: t.ID, At: s.arrived, First: !s.inTransaction || !s.unitStarted}
	s.unitStarted = s.inTransaction
	t.group.runs = append(t.group.runs, r)
	return r
}

// status returns the answer to STATUS. The caller holds group.mu.
func (t *Target) status() string {
	role := "replica"
	if t.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\nDONE -\r\n", role, t.term, t.positionLocked(), t.heldTerm, len(t.conns))
}

// read returns the newest value of an item in the target's log, or "none". The caller
// holds group.mu.
func (s *session) read(id, item string) string {
	t := s.target
	run := s.recordRun(id)
	t.group.sessionValues[id] = maps.Clone(s.values)
	data := "none"
	for i, w := range t.log {
		if w.item == item {
			data = w.data
			run.ReadID, run.ReadPosition = w.id, i+1
		}
	}
	return fmt.Sprintf("ROW %s\r\nDONE sig.%s\r\n", data, id)
}

// write writes an item, at COMMIT if a transaction is open. It fails at a replica. The
// caller holds group.mu.
func (s *session) write(id, item, data string) string {
	t := s.target
	if !t.primary {
		s.failed = s.inTransaction
		return errorReply("READONLY")
	}
	s.recordRun(id)
	t.group.sessionValues[id] = maps.Clone(s.values)
	w := write{id: id, term: t.term, item: item, data: data}
	if s.inTransaction {
		s.pending = append(s.pending, w)
	} else {
		t.group.appendWrite(t, w)
	}
	return "DONE sig." + id + "\r\n"
}
