//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is one committed write in a log.
type entry struct {
	term, number uint64
	id, item     string
	data         string
	at           time.Time
}

// instance is one database instance. All fields below the mutex of its database are guarded
// by it.
type instance struct {
	db            *database
	id, zone      string
	address       string
	listener      net.Listener
	primary       bool
	term, held    uint64
	log           []entry
	conns         map[net.Conn]struct{}
	down          bool
	cutFromStore  bool // its heartbeats don't arrive
	deaf          bool // receives nothing from the primary
	isolated      bool // from the other instances
	loseAnswers   bool // of half of the statements that it runs
	lag           time.Duration
	lastBeat      time.Time
	nextBeat      time.Time
	expired       bool
	seq           int
	born          int64
	reachedNewest time.Time // since when an old primary reaches the newest one
}

// database is one service: a primary and its replicas.
type database struct {
	name      string
	store     *objectStore
	sync      int
	heartbeat time.Duration
	promoteIn time.Duration
	workTime  time.Duration
	delay     func(a, b string) time.Duration // one way, between zones
	rows      func(item string) []string      // rows of a read beyond the value; may be nil
	logf      func(format string, args ...any)

	mu        sync.Mutex
	instances []*instance
	demoted   *instance         // the primary that was demoted last
	runs      map[string]int    // by statement ID
	committed map[string]int    // by ID of the write
	tenants   map[string]string // the tenant that the connection was opened for, by statement ID
	// onPromoted is called, with mu held, when a promotion takes effect.
	onPromoted func(i *instance)
}

func (d *database) start() {
	for _, i := range d.instances {
		i.db = d
		i.conns = map[net.Conn]struct{}{}
		i.born = time.Now().UnixMilli()
		if err := i.listen(); err != nil {
			panic(err)
		}
	}
	d.mu.Lock()
	for n, i := range d.instances {
		i.nextBeat = time.Now().Add(time.Duration(n) * d.heartbeat / 3)
		i.beatLocked(time.Now())
	}
	d.mu.Unlock()
	go d.tick()
}

func (i *instance) listen() error {
	l, err := net.Listen("tcp4", i.address)
	if err != nil {
		return err
	}
	i.listener = l
	go i.accept(l)
	return nil
}

// beatLocked reports the instance to the store, unless it can't reach it.
func (i *instance) beatLocked(now time.Time) {
	for !i.nextBeat.After(now) {
		i.nextBeat = i.nextBeat.Add(i.db.heartbeat)
	}
	if i.down || i.cutFromStore {
		return
	}
	i.seq++
	i.lastBeat, i.expired = now, false
	role := "replica"
	if i.primary {
		role = "primary"
	}
	i.db.store.put("servers", i.id, map[string]any{
		"service": i.db.name, "addr": i.address, "zone": i.zone, "version": "v1", "slots": 3, "state": "ready",
		"cold_left_ms": 0, "db_role": role, "seq": i.seq, "born": i.born,
	})
}

// tick moves logs, heartbeats and expiries on.
func (d *database) tick() {
	for now := range time.Tick(time.Millisecond) {
		d.mu.Lock()
		source := d.newestLocked()
		if source == nil && d.demoted != nil && !d.demoted.down {
			// The rest of its log is still on the way.
			source = d.demoted
		}
		for _, i := range d.instances {
			if !i.nextBeat.After(now) {
				i.beatLocked(now)
			}
			// An entry is removed after three heartbeat intervals of silence.
			if !i.expired && now.Sub(i.lastBeat) > 3*d.heartbeat {
				i.expired = true
				d.store.remove("servers", i.id)
				d.logf("store: entry of %s expired", i.id)
			}
			if source != nil && i != source {
				i.receiveLocked(source, now)
			}
		}
		d.mu.Unlock()
	}
}

// newestLocked returns the running primary of the highest term, or nil.
func (d *database) newestLocked() *instance {
	var newest *instance
	for _, i := range d.instances {
		if i.primary && !i.down && (newest == nil || i.term > newest.term) {
			newest = i
		}
	}
	return newest
}

// receiveLocked copies what has arrived from the primary p.
func (i *instance) receiveLocked(p *instance, now time.Time) {
	if i.down || i.deaf || i.isolated || p.isolated || i.held > p.term {
		return
	}
	if i.primary {
		// The old primary continues until a second after it can reach the new one.
		if i.reachedNewest.IsZero() {
			i.reachedNewest = now
		}
		if now.Sub(i.reachedNewest) < time.Second {
			return
		}
		i.primary = false
		i.closeConnsLocked()
	}
	i.reachedNewest = time.Time{}
	if i.term < p.term {
		common := 0
		for common < len(i.log) && common < len(p.log) && i.log[common].id == p.log[common].id && i.log[common].term == p.log[common].term {
			common++
		}
		i.log = i.log[:common:common]
		i.term, i.held = p.term, 0
		i.beatLocked(now)
	}
	delay := i.db.delay(p.zone, i.zone)
	for len(i.log) < len(p.log) && now.Sub(p.log[len(i.log)].at) >= delay {
		i.log = append(i.log, p.log[len(i.log)])
	}
}

// promote makes an instance lead the next term, some time after the call.
func (d *database) promote(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range d.instances {
		if i.id != id || i.down {
			continue
		}
		if d.newestLocked() == i {
			return http.StatusOK
		}
		time.AfterFunc(d.promoteIn, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			if i.down {
				return
			}
			term := uint64(0)
			for _, o := range d.instances {
				term = max(term, o.term)
			}
			i.primary, i.term, i.held = true, term+1, 0
			d.logf("promote: %s leads term %d with %d entries", i.id, i.term, len(i.log))
			if d.onPromoted != nil {
				d.onPromoted(i)
			}
			i.beatLocked(time.Now())
		})
		return http.StatusOK
	}
	return http.StatusConflict
}

// crash takes an instance down, and restart brings it back with its log.
func (i *instance) crash() {
	i.db.mu.Lock()
	defer i.db.mu.Unlock()
	i.down = true
	_ = i.listener.Close()
	i.closeConnsLocked()
}

func (i *instance) closeConnsLocked() {
	for c := range i.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (i *instance) restart() {
	i.db.mu.Lock()
	defer i.db.mu.Unlock()
	if err := i.listen(); err != nil {
		panic(err)
	}
	newest := i.db.newestLocked()
	if i.primary && newest != nil && newest != i && newest.term > i.term {
		i.primary = false
	}
	i.down, i.held, i.born = false, 0, time.Now().UnixMilli()
	i.beatLocked(time.Now())
}

// maxInstanceConns is the connection limit of an instance.
const maxInstanceConns = 21

func (i *instance) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		i.db.mu.Lock()
		full := i.down || len(i.conns) >= maxInstanceConns
		if !full {
			i.conns[c] = struct{}{}
		}
		i.db.mu.Unlock()
		if full {
			_, _ = fmt.Fprintf(c, "ERR TOOMANY %s\r\n", i.id)
			_ = c.Close()
			continue
		}
		go i.serve(c)
	}
}

// instanceSession is one connection at an instance.
type instanceSession struct {
	i        *instance
	tenant   string
	out      *bufio.Writer
	prepared map[string]string
	inTx     bool
	readOnly bool
	failed   bool
	pending  []entry
}

func (i *instance) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		i.db.mu.Lock()
		delete(i.conns, c)
		i.db.mu.Unlock()
	}()
	in := bufio.NewReaderSize(c, 64<<10)
	s := &instanceSession{i: i, out: bufio.NewWriterSize(c, 64<<10), prepared: map[string]string{}}
	line, err := in.ReadString('\n')
	f := strings.Fields(line)
	if err != nil || len(f) < 3 || f[0] != "START" || f[1] != i.db.name || len(f) > 3 && f[3] != i.id {
		_, _ = fmt.Fprintf(c, "ERR WRONGNODE %s\r\n", i.id)
		return
	}
	s.tenant = f[2]
	s.ready()
	if s.out.Flush() != nil {
		return
	}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSuffix(line, "\r\n")
		word, rest, _ := strings.Cut(line, " ")
		id, text, _ := strings.Cut(rest, " ")
		if word != "QUERY" {
			return
		}
		if !s.run(id, text) {
			return
		}
		if i.loseAnswers && id != "-" && rand.IntN(2) == 0 {
			return
		}
		s.ready()
		if s.out.Flush() != nil {
			return
		}
	}
}

func (s *instanceSession) ready() {
	state := "I"
	if s.failed {
		state = "E"
	} else if s.inTx {
		state = "T"
	}
	s.i.db.mu.Lock()
	p := s.i.positionLocked()
	s.i.db.mu.Unlock()
	fmt.Fprintf(s.out, "READY %s %s\r\n", state, p)
}

func (i *instance) positionLocked() string {
	if len(i.log) == 0 {
		return "1.0"
	}
	e := i.log[len(i.log)-1]
	return fmt.Sprintf("%d.%d", e.term, e.number)
}

func (s *instanceSession) fail(code string) bool {
	if s.inTx {
		s.failed = true
	}
	fmt.Fprintf(s.out, "ERR %s %s\r\n", code, s.i.id)
	return true
}

func (s *instanceSession) done(id string) bool {
	fmt.Fprintf(s.out, "DONE sig.%s.%s\r\n", s.i.id, id)
	return true
}

// run runs one statement and reports whether there is an answer.
func (s *instanceSession) run(id, text string) bool {
	i, d := s.i, s.i.db
	after := ""
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		after, text, _ = strings.Cut(rest, " ")
	}
	word, rest, _ := strings.Cut(text, " ")
	if d.workTime > 0 && (word == "READ" || word == "WRITE" || word == "EXEC") {
		time.Sleep(d.workTime)
	}
	d.mu.Lock()
	unlocked := false
	unlock := func() {
		if !unlocked {
			unlocked = true
			d.mu.Unlock()
		}
	}
	defer unlock()
	if i.down {
		return false
	}
	if s.failed && word != "ROLLBACK" && word != "COMMIT" {
		return s.fail("BAD")
	}
	if after != "" && !i.coversLocked(after) {
		return s.fail("BEHIND")
	}
	if s.inTx && !s.readOnly && !i.primary && word != "ROLLBACK" && (word != "COMMIT" || len(s.pending) > 0) {
		s.inTx, s.pending = word != "COMMIT", nil
		return s.fail("READONLY")
	}
	switch word {
	case "STATUS":
		return s.status()
	case "HOLD":
		if t, _ := strconv.ParseUint(rest, 10, 64); t > i.term {
			i.held = max(i.held, t)
		}
		return s.status()
	case "RESUME":
		i.held = 0
		return s.status()
	case "DEMOTE":
		if t, _ := strconv.ParseUint(rest, 10, 64); t > i.term && i.primary {
			i.primary, d.demoted = false, i
			i.beatLocked(time.Now())
		}
		return s.status()
	case "SET":
	case "RESET":
		s.prepared = map[string]string{}
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
	case "FORGET":
		delete(s.prepared, rest)
	case "BEGIN":
		if rest == "" && !i.primary {
			return s.fail("READONLY")
		}
		s.inTx, s.readOnly, s.pending = true, rest == "READ", nil
	case "ROLLBACK":
		s.inTx, s.failed, s.pending = false, false, nil
	case "COMMIT":
		if s.failed {
			s.inTx, s.failed, s.pending = false, false, nil
			return s.fail("ABORTED")
		}
		pending := s.pending
		s.inTx, s.pending = false, nil
		s.ranLocked(id)
		if !s.commitLocked(pending, unlock) {
			return false
		}
		return s.done(id)
	case "READ":
		return s.read(id, rest)
	case "WRITE":
		item, data, _ := strings.Cut(rest, " ")
		return s.write(id, item, data, unlock)
	case "EXEC":
		name, arguments, _ := strings.Cut(rest, " ")
		access, _, _ := strings.Cut(s.prepared[name], " ")
		item, data, _ := strings.Cut(arguments, " ")
		switch access {
		case "READ":
			return s.read(id, item)
		case "WRITE":
			return s.write(id, item, data, unlock)
		}
		return s.fail("NOSTMT")
	default:
		return s.fail("BAD")
	}
	fmt.Fprint(s.out, "DONE -\r\n")
	return true
}

// ranLocked records the run of a caller's statement.
func (s *instanceSession) ranLocked(id string) {
	s.i.db.runs[id]++
	s.i.db.tenants[id] = s.tenant
	s.i.db.logf("ran %s at %s for %s", id, s.i.id, s.tenant)
}

// coversLocked reports whether the log holds a position.
func (i *instance) coversLocked(p string) bool {
	t, n, _ := strings.Cut(p, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.ParseUint(n, 10, 64)
	applied := len(i.log)
	for applied > 0 && !i.primary && time.Since(i.log[applied-1].at) < i.lag {
		applied--
	}
	if number == 0 {
		return true
	}
	if applied == 0 {
		return false
	}
	e := i.log[applied-1]
	return e.term > term || e.term == term && e.number >= number
}

func (s *instanceSession) status() bool {
	i := s.i
	role := "replica"
	if i.primary {
		role = "primary"
	}
	fmt.Fprintf(s.out, "ROW %s %d %s %d 0 0 %d\r\nDONE -\r\n", role, i.term, i.positionLocked(), i.held, len(i.conns))
	return true
}

func (s *instanceSession) read(id, item string) bool {
	s.ranLocked(id)
	value := "none"
	for _, e := range s.i.log {
		if e.item == item {
			value = e.data
		}
	}
	if s.i.db.rows != nil {
		for _, row := range s.i.db.rows(item) {
			fmt.Fprintf(s.out, "ROW %s\r\n", row)
		}
	}
	fmt.Fprintf(s.out, "ROW %s\r\n", value)
	return s.done(id)
}

func (s *instanceSession) write(id, item, data string, unlock func()) bool {
	i := s.i
	if !i.primary {
		return s.fail("READONLY")
	}
	s.ranLocked(id)
	e := entry{id: id, item: item, data: data}
	if s.inTx {
		s.pending = append(s.pending, e)
		return s.done(id)
	}
	if !s.commitLocked([]entry{e}, unlock) {
		return false
	}
	return s.done(id)
}

// commitLocked appends writes to the log and waits until enough replicas have received them.
// It reports false if the instance goes down or is demoted meanwhile.
func (s *instanceSession) commitLocked(writes []entry, unlock func()) bool {
	i, d := s.i, s.i.db
	if len(writes) == 0 {
		return true
	}
	now := time.Now()
	for _, e := range writes {
		e.term, e.number, e.at = i.term, uint64(len(i.log)+1), now
		i.log = append(i.log, e)
		d.committed[e.id]++
	}
	last := i.log[len(i.log)-1]
	unlock()
	if d.sync == 0 {
		return true
	}
	for {
		d.mu.Lock()
		if i.down || !i.primary || i.term != last.term {
			d.mu.Unlock()
			return false
		}
		received := 0
		for _, r := range d.instances {
			// The replica's receipt takes the way back too.
			back := 2 * d.delay(i.zone, r.zone)
			if r != i && !r.down && !r.isolated && !i.isolated && r.term == last.term && uint64(len(r.log)) >= last.number && time.Since(last.at) >= back {
				received++
			}
		}
		d.mu.Unlock()
		if received >= d.sync {
			return true
		}
		time.Sleep(time.Millisecond)
	}
}

// promoteServer serves promote calls.
type promoteServer struct {
	databases map[string]*database
	logf      func(format string, args ...any)
}

func (p *promoteServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || p.databases[body.Service] == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := p.databases[body.Service].promote(body.ID)
	p.logf("promote: call of %s, token %s, for %s: %d", r.Header.Get("Duty-Holder"), r.Header.Get("Fence-Token"), body.ID, status)
	w.WriteHeader(status)
}
