package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// commit is one entry of a log: the writes of one commit.
type commit struct {
	term   uint64
	at     time.Time
	writes []string // ids of the statements
	from   string   // id of the commit or single write
}

// run is one run of a client's statement at an instance.
type run struct {
	id, text, instance string
	at                 time.Time
	values             map[string]string
	committed          bool
}

// service is a primary with its replicas.
type service struct {
	name      string
	rig       *rig
	instances []*instance
	promoteIn time.Duration
	// syncReplicas is the number of replicas that receive a commit before it is
	// acknowledged, 0 or 1.
	syncReplicas int
	// received is signalled when a replica has received commits.
	received *sync.Cond
	work     time.Duration

	mu    sync.Mutex
	runs  []run
	calls []promotion
	// lastBeat is when the instances last wrote their entries.
	lastBeat time.Time
	// onLead is called with the new primary when a promote has taken effect; it may be nil.
	onLead func(in *instance)
}

type promotion struct {
	at            time.Time
	service, id   string
	holder, token string
	status        int
}

// instance is one server of a service. Its fields are guarded by service.mu.
type instance struct {
	service    *service
	id, zone   string
	addr       string
	listener   net.Listener
	primary    bool
	term, held uint64
	log        []commit
	conns      map[net.Conn]struct{}
	maxConns   int
	slots      chan struct{}
	seq        int
	born       int64
	// receiveLag is how long a commit of the primary is on its way to the instance.
	receiveLag time.Duration
	draining   bool
	// down is set while no process runs.
	down bool
	// deaf is set while the instance receives nothing from the primary.
	deaf bool
	// cut is set while the instance is partitioned from the other instances, and mendedAt
	// is when that ended.
	cut      bool
	mendedAt time.Time
	// shed, if not nil, reports whether the instance answers a request with BUSY although
	// its health is good.
	shed func() bool
}

func newService(r *rig, name string, slots, maxConns int, work, lag, promoteIn time.Duration) *service {
	s := &service{name: name, rig: r, promoteIn: promoteIn, work: work}
	s.received = sync.NewCond(&s.mu)
	for i, zone := range r.zones {
		l, err := net.Listen("tcp4", "127.0.1."+strconv.Itoa(10+len(r.services)*4+i)+":0")
		cannotRun(err)
		in := &instance{
			service: s, id: "i-" + name + strconv.Itoa(i), zone: zone, addr: l.Addr().String(), listener: l,
			primary: i == 0, term: 3, conns: map[net.Conn]struct{}{}, maxConns: maxConns, slots: make(chan struct{}, slots), born: time.Now().UnixMilli(), receiveLag: lag,
		}
		s.instances = append(s.instances, in)
		in.publish()
		go in.accept()
	}
	go s.replicate()
	go s.beat()
	return s
}

// publish writes the entry of the instance. The service's mutex must be held, or the
// instance not shared yet.
func (in *instance) publish() {
	if in.down {
		return
	}
	role, state := "replica", "ready"
	if in.primary {
		role = "primary"
	}
	if in.draining {
		state = "draining"
	}
	in.seq++
	in.service.rig.store.put("servers", in.id, map[string]any{
		"service": in.service.name, "addr": in.addr, "zone": in.zone, "version": "v1", "slots": cap(in.slots), "state": state,
		"cold_left_ms": 0, "seq": in.seq, "db_role": role, "born": in.born,
	})
}

// beat writes the entries of the instances about every heartbeat.
func (s *service) beat() {
	for range time.Tick(heartbeat) {
		s.mu.Lock()
		s.lastBeat = time.Now()
		for _, in := range s.instances {
			in.publish()
		}
		s.mu.Unlock()
	}
}

// replicate copies the log of the newest primary to the replicas.
func (s *service) replicate() {
	for range time.Tick(2 * time.Millisecond) {
		s.mu.Lock()
		var p *instance
		for _, in := range s.instances {
			if in.primary && !in.down && (p == nil || in.term > p.term) {
				p = in
			}
		}
		if p != nil && !p.cut {
			for _, in := range s.instances {
				if in == p || in.down || in.deaf || in.cut || in.held > p.term {
					continue
				}
				if in.primary && time.Since(in.mendedAt) < time.Second {
					// An old primary continues until a second after it reaches the new one.
					continue
				}
				changed := in.primary
				if in.term < p.term {
					in.term, in.held, in.primary = p.term, 0, false
				}
				n := len(p.log)
				for n > 0 && time.Since(p.log[n-1].at) < in.receiveLag {
					n--
				}
				if n > len(in.log) || len(in.log) > len(p.log) {
					in.log = append([]commit(nil), p.log[:max(n, min(len(in.log), len(p.log)))]...)
					s.received.Broadcast()
				}
				if changed {
					in.publish()
				}
			}
		}
		s.mu.Unlock()
	}
}

// servePromote serves the promote call of the platform.
func (r *rig) servePromote(w http.ResponseWriter, q *http.Request) {
	var body struct{ Service, ID string }
	if json.NewDecoder(q.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := http.StatusConflict
	for _, s := range r.services {
		if s.name != body.Service {
			continue
		}
		s.mu.Lock()
		for _, in := range s.instances {
			if in.id == body.ID && !in.down {
				status = http.StatusOK
				if !in.primary {
					time.AfterFunc(s.promoteIn, func() { s.lead(in) })
				}
			}
		}
		s.calls = append(s.calls, promotion{time.Now(), body.Service, body.ID, q.Header.Get("Duty-Holder"), q.Header.Get("Fence-Token"), status})
		s.mu.Unlock()
	}
	w.WriteHeader(status)
}

// lead makes an instance the primary of the next term.
func (s *service) lead(in *instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest := uint64(0)
	for _, other := range s.instances {
		highest = max(highest, other.term)
	}
	if in.down {
		return
	}
	in.primary, in.term, in.held = true, highest+1, 0
	in.publish()
	s.received.Broadcast()
	if s.onLead != nil {
		s.onLead(in)
	}
}

// drain makes an instance report that it is about to end. It goes on serving and receiving.
func (in *instance) drain() {
	in.service.mu.Lock()
	defer in.service.mu.Unlock()
	in.draining = true
	in.publish()
}

// crash ends the process of an instance: its connections are reset and its port is closed.
func (in *instance) crash() {
	in.service.mu.Lock()
	defer in.service.mu.Unlock()
	in.down = true
	_ = in.listener.Close()
	for c := range in.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	in.service.received.Broadcast()
}

// append adds a commit to the log of the primary, and waits until as many replicas as the
// service asks for have received it. It reports false if the instance ended or lost the lead
// meanwhile. The service's mutex must be held.
func (in *instance) append(c commit) bool {
	s := in.service
	in.log = append(in.log, c)
	number := len(in.log)
	for s.syncReplicas > 0 && in.primary && !in.down {
		for _, other := range s.instances {
			if other != in && !other.down && len(other.log) >= number && other.log[number-1].from == c.from {
				return true
			}
		}
		s.received.Wait()
	}
	return in.primary && !in.down
}

func (in *instance) accept() {
	for {
		c, err := in.listener.Accept()
		if err != nil {
			return
		}
		in.service.mu.Lock()
		full := len(in.conns) >= in.maxConns
		if !full {
			in.conns[c] = struct{}{}
		}
		in.service.mu.Unlock()
		go in.serve(c, full)
	}
}

// conn is the state of one connection at an instance.
type conn struct {
	in       *instance
	values   map[string]string
	prepared map[string]string
	open     bool
	plain    bool
	failed   bool
	pending  []string
}

func (in *instance) serve(c net.Conn, full bool) {
	defer func() {
		_ = c.Close()
		in.service.mu.Lock()
		delete(in.conns, c)
		in.service.mu.Unlock()
	}()
	lines := bufio.NewScanner(c)
	lines.Buffer(nil, 1<<20+2)
	if !lines.Scan() {
		return
	}
	f := strings.Fields(lines.Text())
	if full {
		fmt.Fprintf(c, "ERR TOOMANY %s\r\n", in.id)
		return
	}
	if len(f) < 3 || f[0] != "START" || f[1] != in.service.name || len(f) > 3 && f[3] != in.id {
		fmt.Fprintf(c, "ERR WRONGNODE %s\r\n", in.id)
		return
	}
	in.occupy(12 * time.Millisecond)
	s := &conn{in: in, values: map[string]string{}, prepared: map[string]string{}}
	fmt.Fprintf(c, "READY I %s\r\n", in.position())
	for lines.Scan() {
		word, rest, _ := strings.Cut(lines.Text(), " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		answer := s.run(id, text)
		if answer == "" {
			return
		}
		if _, err := fmt.Fprintf(c, "%sREADY %s %s\r\n", answer, s.state(), in.position()); err != nil {
			return
		}
	}
}

func (in *instance) occupy(d time.Duration) {
	in.slots <- struct{}{}
	time.Sleep(d)
	<-in.slots
}

func (s *conn) state() string {
	switch {
	case s.failed:
		return "E"
	case s.open:
		return "T"
	}
	return "I"
}

func (in *instance) position() string {
	in.service.mu.Lock()
	defer in.service.mu.Unlock()
	return in.positionLocked()
}

func (in *instance) positionLocked() string {
	if len(in.log) == 0 {
		return fmt.Sprintf("%d.0", in.term)
	}
	return fmt.Sprintf("%d.%d", in.log[len(in.log)-1].term, len(in.log))
}

func failure(code string) string { return "ERR " + code + " stand-in\r\n" }

func (s *conn) run(id, text string) string {
	in, g := s.in, s.in.service
	after := -1
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		p, statement, _ := strings.Cut(rest, " ")
		_, n, _ := strings.Cut(p, ".")
		after, _ = strconv.Atoi(n)
		text = statement
	}
	f := strings.Fields(text)
	word := f[0]
	control := word == "STATUS" || word == "HOLD" || word == "RESUME" || word == "DEMOTE"
	g.mu.Lock()
	shed := in.shed
	g.mu.Unlock()
	if shed != nil && !control && shed() {
		if id == "-" {
			g.rig.note("instance %s sheds %q", in.id, text)
		}
		return failure("BUSY")
	}
	if word == "READ" || word == "WRITE" || word == "EXEC" || word == "COMMIT" {
		in.occupy(g.work)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if in.down {
		return ""
	}
	if s.failed && word != "ROLLBACK" && word != "COMMIT" {
		return failure("BAD")
	}
	if after > len(in.log) {
		return failure("BEHIND")
	}
	if s.open && s.plain && !in.primary && word != "ROLLBACK" && !(word == "COMMIT" && len(s.pending) == 0) {
		s.failed, s.open = word != "COMMIT", word != "COMMIT"
		return failure("READONLY")
	}
	term := uint64(0)
	if (word == "HOLD" || word == "DEMOTE") && len(f) > 1 {
		term, _ = strconv.ParseUint(f[1], 10, 64)
	}
	switch word {
	case "HOLD":
		if !in.primary && term > in.term {
			in.held = max(in.held, term)
		}
		return in.status()
	case "RESUME":
		in.held = 0
		return in.status()
	case "DEMOTE":
		if in.primary && term > in.term {
			in.primary = false
			in.publish()
		}
		return in.status()
	case "STATUS":
		return in.status()
	case "SET":
		s.values[f[1]] = strings.Join(f[2:], " ")
	case "RESET":
		s.values, s.prepared = map[string]string{}, map[string]string{}
	case "PREPARE":
		s.prepared[f[1]] = f[2]
	case "FORGET":
		delete(s.prepared, f[1])
	case "BEGIN":
		if len(f) == 1 && !in.primary {
			return failure("READONLY")
		}
		s.open, s.plain, s.pending = true, len(f) == 1, nil
	case "ROLLBACK":
		s.open, s.failed, s.pending = false, false, nil
	case "COMMIT":
		if s.failed || !s.open {
			s.open, s.failed, s.pending = false, false, nil
			return failure("ABORTED")
		}
		in.record(id, text, s.values, true)
		writes := s.pending
		s.open, s.pending = false, nil
		if len(writes) > 0 && !in.append(commit{in.term, time.Now(), writes, id}) {
			return ""
		}
		return "DONE " + sign(in.id, id) + "\r\n"
	case "READ", "WRITE", "EXEC":
		return s.statement(id, text, f)
	default:
		return failure("BAD")
	}
	return "DONE -\r\n"
}

func (s *conn) statement(id, text string, f []string) string {
	in := s.in
	access := f[0]
	if f[0] == "EXEC" {
		if access = s.prepared[f[1]]; access == "" {
			return failure("NOSTMT")
		}
	}
	if access == "WRITE" && !in.primary {
		s.failed = s.open
		return failure("READONLY")
	}
	in.record(id, text, s.values, access == "WRITE" && !s.open)
	switch {
	case access == "READ":
		return fmt.Sprintf("ROW %d\r\nDONE %s\r\n", len(in.log), sign(in.id, id))
	case s.open:
		s.pending = append(s.pending, id)
	default:
		if !in.append(commit{in.term, time.Now(), []string{id}, id}) {
			return ""
		}
	}
	return "DONE " + sign(in.id, id) + "\r\n"
}

func sign(instance, id string) string { return "sig." + instance + "." + id }

// record records a run. The service's mutex must be held.
func (in *instance) record(id, text string, values map[string]string, committed bool) {
	in.service.runs = append(in.service.runs, run{id, text, in.id, time.Now(), maps.Clone(values), committed})
}

func (in *instance) status() string {
	role := "replica"
	if in.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d %d %d %d\r\nDONE -\r\n", role, in.term, in.positionLocked(), in.held, in.receiveLag.Milliseconds(), len(in.slots), len(in.conns))
}
