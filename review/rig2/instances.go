//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/standin/site"
)

// Times of the instances, as on the sheet of the small deployment.
const (
	heartbeat     = 1200 * time.Millisecond
	entryLifetime = 3 * heartbeat
	promoteTime   = 600 * time.Millisecond
	replicaLag    = 8 * time.Millisecond
	workTime      = 4 * time.Millisecond
	stepDownAfter = time.Second
	maxConns      = 21
	maxMessage    = 1 << 20
)

// entry is one commit in the log of an instance.
type entry struct {
	term           uint64
	id, item, data string
	at             time.Time
}

// instance is one member of a service: it serves the line protocol as PROTOCOL.md says.
type instance struct {
	id, zone, addr string
	s              *service
	listener       net.Listener

	// The fields below are guarded by s.mu.
	primary bool
	term    uint64
	held    uint64
	log     []entry
	conns   map[net.Conn]struct{}
	gone    bool // lost for good
	deaf    bool // receives nothing
	cut     bool // partitioned from the other instances, the store and the daemons that use it
	// cutFrom names the daemons from which alone the instance is partitioned.
	cutFrom  map[string]bool
	listed   bool
	lastBeat time.Time
	// metSince is when the instance began to reach a primary of a later term.
	metSince time.Time
}

// service is one database service with its replication.
type service struct {
	name  string
	store *site.Store
	log   *recorder
	// owner returns the name of the daemon that has opened a connection.
	owner func(net.Conn) string

	mu        sync.Mutex
	instances []*instance
	// promotedAt is when each term began to be led.
	promotedAt map[uint64]time.Time
	runs       []run
	// lag is how long after its commit a replica has an entry.
	lag time.Duration
	// syncReplicas is how many replicas receive a commit before it is acknowledged.
	syncReplicas int
	// promotedLogs holds, by term, the log with which an instance began to lead it.
	promotedLogs map[uint64][]entry
	stopped      chan struct{}
}

// run is one run of a client's statement.
type run struct {
	id, text, instance string
	term               uint64
	at                 time.Time
	number             int // of the commit, 0 for none
}

func newService(name, ip string, zones []string, store *site.Store, log *recorder) (*service, error) {
	s := &service{name: name, store: store, log: log, promotedAt: map[uint64]time.Time{}, promotedLogs: map[uint64][]entry{}, lag: replicaLag, stopped: make(chan struct{})}
	for i, zone := range zones {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		t := &instance{id: fmt.Sprintf("i-%s-%c", name, 'a'+i), zone: zone, addr: l.Addr().String(), s: s, listener: l, primary: i == 0, term: 1, conns: map[net.Conn]struct{}{}}
		s.instances = append(s.instances, t)
		go t.accept(l)
	}
	go s.live()
	return s, nil
}

func (s *service) close() {
	close(s.stopped)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.instances {
		_ = t.listener.Close()
	}
}

// live runs heartbeats, replication and the stepping down of old primaries.
func (s *service) live() {
	ticker := time.NewTicker(4 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopped:
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		now := time.Now()
		for _, t := range s.instances {
			s.beat(t, now)
			s.stepDown(t, now)
			s.receive(t, now)
		}
		s.mu.Unlock()
	}
}

// beat writes the entry of an instance at each heartbeat, and removes it after three of silence.
func (s *service) beat(t *instance, now time.Time) {
	switch {
	case !t.gone && !t.cut && now.Sub(t.lastBeat) >= heartbeat:
		s.publish(t)
	case t.listed && now.Sub(t.lastBeat) > entryLifetime:
		t.listed = false
		s.store.Remove("servers", t.id)
		s.log.event("store", "the entry of %s is removed after %s of silence", t.id, entryLifetime)
	}
}

// publish writes the entry of an instance. s.mu must be held.
func (s *service) publish(t *instance) {
	role := "replica"
	if t.primary {
		role = "primary"
	}
	if !t.listed {
		s.log.event("store", "the entry of %s is written (%s)", t.id, role)
	}
	t.listed, t.lastBeat = true, time.Now()
	s.store.Put("servers", t.id, map[string]any{
		"service": s.name, "addr": t.addr, "zone": t.zone, "version": "v1", "slots": 3, "state": "ready", "cold_left_ms": 0, "db_role": role, "seq": 1, "born": 1,
	})
}

// reaches reports whether two instances reach each other.
func reaches(a, b *instance) bool {
	return !a.gone && !b.gone && !a.cut && !b.cut
}

// stepDown makes an old primary a replica a second after it can reach a newer one.
func (s *service) stepDown(t *instance, now time.Time) {
	met := false
	for _, p := range s.instances {
		met = met || p != t && p.primary && p.term > t.term && reaches(t, p)
	}
	switch {
	case !t.primary || !met:
		t.metSince = time.Time{}
	case t.metSince.IsZero():
		t.metSince = now
	case now.Sub(t.metSince) >= stepDownAfter:
		t.primary = false
		s.log.event(t.id, "steps down: it reaches a newer primary")
		s.publish(t)
	}
}

// receive copies the log of the newest primary in reach.
func (s *service) receive(t *instance, now time.Time) {
	if t.gone || t.deaf || t.primary {
		return
	}
	var source *instance
	for _, p := range s.instances {
		if p != t && p.primary && p.term >= t.term && reaches(t, p) && (source == nil || p.term > source.term) {
			source = p
		}
	}
	if source == nil || t.held > source.term {
		return
	}
	if t.term < source.term {
		t.term, t.held = source.term, 0
		s.log.event(t.id, "joins term %d of %s", t.term, source.id)
	}
	n := 0
	for n < len(source.log) && now.Sub(source.log[n].at) >= s.lag {
		n++
	}
	same := 0
	for same < len(t.log) && same < len(source.log) && t.log[same] == source.log[same] {
		same++
	}
	t.log = append(t.log[:same:same], source.log[same:max(n, same)]...)
}

// promote makes an instance the primary of the next term after promoteTime.
func (s *service) promote(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.instances {
		if t.id == id && !t.gone {
			go s.lead(t)
			return true
		}
	}
	return false
}

func (s *service) lead(t *instance) {
	time.Sleep(promoteTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := uint64(0)
	for _, o := range s.instances {
		newest = max(newest, o.term)
	}
	if t.gone || t.primary && t.term == newest {
		return
	}
	for _, o := range s.instances {
		o.held = 0
	}
	t.primary, t.term = true, newest+1
	s.promotedAt[t.term], s.promotedLogs[t.term] = time.Now(), slices.Clone(t.log)
	s.log.event(t.id, "leads term %d with a log of %d commits", t.term, len(t.log))
	if !t.cut {
		s.publish(t)
	}
}

// setCut partitions an instance or heals the partition.
func (s *service) setCut(t *instance, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.cut = cut
	if !cut {
		// Their far ends have given these connections up.
		t.dropConns()
	}
}

// setCutFrom partitions an instance from some daemons only, nil for none.
func (s *service) setCutFrom(t *instance, daemons map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.cutFrom = daemons
}

// setLag sets how long after its commit a replica has an entry.
func (s *service) setLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

func (s *service) setDeaf(t *instance, deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.deaf = deaf
}

// lose ends an instance for good.
func (s *service) lose(t *instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.gone = true
	_ = t.listener.Close()
	t.dropConns()
}

// restart starts an instance again that was lost, with its log: as a replica if another instance
// was promoted meanwhile.
func (s *service) restart(t *instance) error {
	l, err := net.Listen("tcp4", t.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t.listener, t.gone, t.held = l, false, 0
	for term := range s.promotedAt {
		if term > t.term {
			t.primary = false
		}
	}
	s.publish(t)
	go t.accept(l)
	return nil
}

// awaitReplicas waits until enough replicas have received a commit. It reports false if the
// instance has ended meanwhile.
func (t *instance) awaitReplicas(number int) bool {
	for {
		t.s.mu.Lock()
		have := 0
		for _, o := range t.s.instances {
			if o != t && len(o.log) >= number && len(t.log) >= number && o.log[number-1] == t.log[number-1] {
				have++
			}
		}
		ended, enough := t.gone, have >= t.s.syncReplicas
		t.s.mu.Unlock()
		if ended || enough {
			return !ended
		}
		time.Sleep(time.Millisecond)
	}
}

func (t *instance) dropConns() {
	for c := range t.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (t *instance) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.s.mu.Lock()
		full := len(t.conns) >= maxConns
		if !full {
			t.conns[c] = struct{}{}
		}
		t.s.mu.Unlock()
		if full {
			_, _ = fmt.Fprintf(c, "ERR TOOMANY %s\r\n", t.id)
			_ = c.Close()
			continue
		}
		go t.serve(c)
	}
}

// session is one connection at an instance.
type session struct {
	t        *instance
	values   map[string]string
	prepared map[string]string
	open     bool // in a transaction
	plain    bool
	failed   bool
	pending  []entry
	// committed is the number of the commit of the statement that runs, 0 for none.
	committed int
}

func (t *instance) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		t.s.mu.Lock()
		delete(t.conns, c)
		t.s.mu.Unlock()
	}()
	r := bufio.NewReaderSize(c, 4096)
	line, err := r.ReadString('\n')
	f := strings.Fields(line)
	if err != nil || len(f) < 3 || f[0] != "START" || f[1] != t.s.name || len(f) > 3 && f[3] != t.id {
		_, _ = fmt.Fprintf(c, "ERR WRONGNODE %s\r\n", t.id)
		return
	}
	time.Sleep(12 * time.Millisecond)
	s := &session{t: t, values: map[string]string{}, prepared: map[string]string{}}
	owner := ""
	if t.s.owner != nil {
		owner = t.s.owner(c)
	}
	if !t.send(c, owner, fmt.Sprintf("READY I %s\r\n", t.position())) {
		return
	}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if t.isCut(owner) {
			// Nothing arrives here as long as the partition lasts.
			t.awaitHeal(owner)
			return
		}
		s.committed = 0
		answer := s.run(id, text)
		if s.committed > 0 && !t.awaitReplicas(s.committed) {
			return
		}
		if !t.send(c, owner, answer+fmt.Sprintf("READY %s %s\r\n", s.state(), t.position())) {
			return
		}
	}
}

// send writes an answer unless the instance is cut off.
func (t *instance) send(c net.Conn, owner, text string) bool {
	if t.isCut(owner) {
		t.awaitHeal(owner)
		return false
	}
	_, err := c.Write([]byte(text))
	return err == nil
}

// isCut reports whether the instance is partitioned from a daemon.
func (t *instance) isCut(owner string) bool {
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	return t.cut || t.cutFrom[owner]
}

func (t *instance) awaitHeal(owner string) {
	for t.isCut(owner) {
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *session) state() string {
	switch {
	case s.failed:
		return "E"
	case s.open:
		return "T"
	default:
		return "I"
	}
}

func (t *instance) position() string {
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	return t.positionLocked()
}

func (t *instance) positionLocked() string {
	if len(t.log) == 0 {
		return "1.0"
	}
	return fmt.Sprintf("%d.%d", t.log[len(t.log)-1].term, len(t.log))
}

// covers reports whether the log holds a position.
func (t *instance) covers(p string) bool {
	term, number, _ := strings.Cut(p, ".")
	wantTerm, _ := strconv.ParseUint(term, 10, 64)
	want, _ := strconv.Atoi(number)
	last := uint64(1)
	if n := len(t.log); n > 0 {
		last = t.log[n-1].term
	}
	return last > wantTerm || last == wantTerm && len(t.log) >= want
}

func errorLine(code, id string) string { return "ERR " + code + " " + id + "\r\n" }

func (s *session) run(id, text string) string {
	t := s.t
	word, _, _ := strings.Cut(text, " ")
	if word == "READ" || word == "WRITE" || word == "EXEC" || word == "COMMIT" || word == "AFTER" {
		time.Sleep(workTime)
	}
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	original := text
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		p, statement, _ := strings.Cut(rest, " ")
		if !t.covers(p) {
			return errorLine("BEHIND", t.id)
		}
		text = statement
	}
	f := strings.Fields(text)
	if s.failed && f[0] != "ROLLBACK" && f[0] != "COMMIT" {
		return errorLine("BAD", t.id)
	}
	if s.open && s.plain && !t.primary && f[0] != "ROLLBACK" && !(f[0] == "COMMIT" && len(s.pending) == 0) {
		s.failed = f[0] != "COMMIT"
		s.open, s.pending = s.failed, nil
		return errorLine("READONLY", t.id)
	}
	switch f[0] {
	case "STATUS":
		return t.status()
	case "HOLD":
		term, _ := strconv.ParseUint(f[1], 10, 64)
		if term > max(t.term, t.held) && !t.primary {
			t.held = term
			t.s.log.event(t.id, "is held at term %d", t.held)
		}
		return t.status()
	case "RESUME":
		t.held = 0
		return t.status()
	case "DEMOTE":
		term, _ := strconv.ParseUint(f[1], 10, 64)
		if t.primary && t.term < term {
			t.primary = false
			t.s.log.event(t.id, "is demoted by DEMOTE %d", term)
			t.s.publish(t)
		}
		return t.status()
	case "SET":
		s.values[f[1]] = strings.Join(f[2:], " ")
	case "RESET":
		s.values, s.prepared = map[string]string{}, map[string]string{}
	case "PREPARE":
		s.prepared[f[1]] = f[2]
	case "FORGET":
		delete(s.prepared, f[1])
	case "BEGIN":
		if len(f) == 1 && !t.primary {
			return errorLine("READONLY", t.id)
		}
		s.open, s.plain, s.pending = true, len(f) == 1, nil
	case "ROLLBACK":
		s.open, s.failed, s.pending = false, false, nil
	case "COMMIT":
		if s.failed || !s.open {
			s.open, s.failed, s.pending = false, false, nil
			return errorLine("ABORTED", t.id)
		}
		number := 0
		for _, e := range s.pending {
			number = t.commit(e)
		}
		s.open, s.pending = false, nil
		s.committed = number
		t.ran(id, original, number)
		return "DONE sig-" + t.id + "-" + id + "\r\n"
	case "READ":
		return s.read(id, original, f[1])
	case "WRITE":
		return s.write(id, original, f[1], strings.Join(f[2:], " "))
	case "EXEC":
		switch s.prepared[f[1]] {
		case "READ":
			return s.read(id, original, f[2])
		case "WRITE":
			return s.write(id, original, f[2], strings.Join(f[3:], " "))
		}
		return errorLine("NOSTMT", t.id)
	default:
		return errorLine("BAD", t.id)
	}
	return "DONE -\r\n"
}

func (t *instance) status() string {
	role := "replica"
	if t.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\nDONE -\r\n", role, t.term, t.positionLocked(), t.held, len(t.conns))
}

func (t *instance) commit(e entry) int {
	e.term, e.at = t.term, time.Now()
	t.log = append(t.log, e)
	return len(t.log)
}

func (t *instance) ran(id, text string, number int) {
	t.s.runs = append(t.s.runs, run{id: id, text: text, instance: t.id, term: t.term, at: time.Now(), number: number})
	t.s.log.quiet(t.id, "runs %s %q at term %d, commit %d", id, text, t.term, number)
}

func (s *session) read(id, original, item string) string {
	t := s.t
	t.ran(id, original, 0)
	if rows, ok := strings.CutPrefix(item, "rows-"); ok {
		n, _ := strconv.Atoi(rows)
		row := "ROW " + strings.Repeat("r", maxMessage-len("ROW \r\n")) + "\r\n"
		return strings.Repeat(row, n) + fmt.Sprintf("DONE sig-%s-%s\r\n", t.id, id)
	}
	data := "none"
	for _, e := range t.log {
		if e.item == item {
			data = e.data
		}
	}
	return fmt.Sprintf("ROW %s\r\nDONE sig-%s-%s\r\n", data, t.id, id)
}

func (s *session) write(id, original, item, data string) string {
	t := s.t
	if !t.primary {
		s.failed = s.open
		return errorLine("READONLY", t.id)
	}
	e := entry{id: id, item: item, data: data}
	number := 0
	if s.open {
		s.pending = append(s.pending, e)
	} else {
		number = t.commit(e)
	}
	s.committed = number
	t.ran(id, original, number)
	return "DONE sig-" + t.id + "-" + id + "\r\n"
}

// cloud serves POST /promote.
type cloud struct {
	addr     string
	services map[string]*service
	log      *recorder
	server   *http.Server

	mu    sync.Mutex
	calls []promoteCall
	// onCall is called at each call before it is applied; it may be nil.
	onCall func(promoteCall)
}

type promoteCall struct {
	service, id, holder string
	token               uint64
	at                  time.Time
}

func newCloud(ip string, log *recorder, services ...*service) (*cloud, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	c := &cloud{addr: l.Addr().String(), services: map[string]*service{}, log: log}
	for _, s := range services {
		c.services[s.name] = s
	}
	c.server = &http.Server{Handler: c}
	go func() { _ = c.server.Serve(l) }()
	return c, nil
}

// ServeHTTP serves one promote call.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if r.URL.Path != "/promote" || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	call := promoteCall{service: body.Service, id: body.ID, holder: r.Header.Get("Duty-Holder"), token: token, at: time.Now()}
	c.mu.Lock()
	c.calls = append(c.calls, call)
	c.mu.Unlock()
	c.log.event("cloud", "POST /promote of %s, holder %s, token %d", call.id, call.holder, call.token)
	s := c.services[body.Service]
	if s == nil || !s.promote(body.ID) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusOK)
}
