package site

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Group is a database group: one primary and its replicas. All methods may be called
// from any goroutine.
type Group struct {
	Name string
	// MaxConnections limits the connections of each target.
	MaxConnections int
	// StatementTime is how long a target takes for READ, WRITE, EXEC and COMMIT; zero
	// adds no delay. Set it before the group serves statements.
	StatementTime time.Duration
	Targets       []*Target

	store *Store
	mu    sync.Mutex
	// sessionValues holds, by statement ID, the session values of the connection that
	// ran the statement.
	sessionValues map[string]map[string]string
	// peakConnections is the highest number of connections that one target had;
	// refusedConnections counts connections to targets at MaxConnections.
	peakConnections    int
	refusedConnections int
	// runs holds every run of a caller's statement, in the order of time.
	runs []*Run
	// opened and open count the connections by the tenant in their first message, since
	// the start and now.
	opened, open map[string]int
	// demoted is the target that was demoted last; nil before the first demotion.
	demoted *Target
	// stopped is closed when the group closes.
	stopped chan struct{}
}

// NewGroup starts a group with one target in each zone, all on free ports of ip, and
// publishes the targets in the store. The first target is the primary. It returns an
// error if a target cannot listen.
func NewGroup(name, ip string, zones []string, maxConnections int, store *Store) (*Group, error) {
	g := &Group{Name: name, MaxConnections: maxConnections, store: store, sessionValues: map[string]map[string]string{}, opened: map[string]int{}, open: map[string]int{}, stopped: make(chan struct{})}
	for i, zone := range zones {
		t := &Target{
			ID: name + "-" + strconv.Itoa(i), Zone: zone, group: g, primary: i == 0, term: 1,
			conns: map[net.Conn]struct{}{}, runCounts: map[string]int{},
		}
		if err := t.start(ip); err != nil {
			return nil, err
		}
		g.Targets = append(g.Targets, t)
		g.publish(t)
	}
	go g.replicate()
	return g, nil
}

// Close stops replication and closes the listeners. Open connections stay open. Call it
// only once.
func (g *Group) Close() {
	close(g.stopped)
	for _, t := range g.Targets {
		_ = t.listener.Close()
	}
}

// ServerSpec returns the spec of the store object of target i.
func (g *Group) ServerSpec(i int) map[string]any {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serverSpec(g.Targets[i])
}

// publish writes the store object of a target. The caller holds mu or has not shared the
// group yet.
func (g *Group) publish(t *Target) {
	g.store.Put("servers", t.ID, g.serverSpec(t))
}

// serverSpec returns the spec of the store object of a target. The caller holds mu or
// has not shared the group yet.
func (g *Group) serverSpec(t *Target) map[string]any {
	role, state := "replica", "ready"
	if t.primary {
		role = "primary"
	}
	if t.draining {
		state = "draining"
	}
	return map[string]any{
		"service": g.Name, "addr": t.Address, "zone": t.Zone, "version": "v1", "slots": 3, "state": state,
		"cold_left_ms": 0, "db_role": role, "seq": 1, "born": 1,
	}
}

// appendWrite adds a committed write to the log of a target. The caller holds mu.
func (g *Group) appendWrite(t *Target, w write) {
	w.at = time.Now()
	t.log = append(t.log, w)
}

// replicationInterval is the time between two copies of the primary's log.
const replicationInterval = 2 * time.Millisecond

// replicate copies the primary's log to the replicas until the group closes.
func (g *Group) replicate() {
	ticker := time.NewTicker(replicationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.stopped:
			return
		case now := <-ticker.C:
			g.mu.Lock()
			g.copyLogs(now)
			g.mu.Unlock()
		}
	}
}

// replicationSource returns the target whose log the replicas receive: the newest primary
// or, if there is none, the target that was demoted last, whose commits are still on
// their way. It returns nil if there is neither. The caller holds mu.
func (g *Group) replicationSource() *Target {
	if p := g.newestPrimary(); p != nil {
		return p
	}
	return g.demoted
}

// copyLogs copies the log of the replication source to every reachable target that is not
// held for a later term. A target of an older term becomes a replica of the new term.
// The caller holds mu.
func (g *Group) copyLogs(now time.Time) {
	p := g.replicationSource()
	if p == nil || p.partitioned || p.down {
		return
	}
	for _, t := range g.Targets {
		if t == p || t.down || t.partitioned || t.heldTerm > p.term {
			continue
		}
		if t.term < p.term {
			t.term, t.heldTerm, t.primary = p.term, 0, false
		}
		n := 0
		for n < len(p.log) && now.Sub(p.log[n].at) >= t.lag {
			n++
		}
		t.log = slices.Clone(p.log[:max(n, min(len(t.log), len(p.log)))])
	}
}

// newestPrimary returns the running primary of the highest term, or nil. The caller
// holds mu.
func (g *Group) newestPrimary() *Target {
	var newest *Target
	for _, t := range g.Targets {
		if t.primary && !t.down && (newest == nil || t.term > newest.term) {
			newest = t
		}
	}
	return newest
}

// promote makes a target the primary of the next term, unless it is the newest primary
// already, and publishes all running targets. It reports false if the target is unknown
// or down. It releases the holds of all targets, as the platform does.
func (g *Group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	term := uint64(0)
	var chosen *Target
	for _, t := range g.Targets {
		term = max(term, t.term)
		if t.ID == id && !t.down {
			chosen = t
		}
	}
	if chosen == nil {
		return false
	}
	for _, t := range g.Targets {
		t.heldTerm = 0
	}
	if !chosen.primary || chosen.term < term {
		chosen.primary, chosen.term = true, term+1
	}
	for _, t := range g.Targets {
		if !t.down {
			g.publish(t)
		}
	}
	return true
}

// Crash takes target i down: it resets the connections and closes the listener.
func (g *Group) Crash(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.Targets[i]
	t.down = true
	for c := range t.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	_ = t.listener.Close()
}

// Restart starts target i again at its address after a crash, with the log, the term and the
// role that it had. It returns an error if it cannot listen there.
func (g *Group) Restart(i int) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.Targets[i]
	l, err := net.Listen("tcp4", t.Address)
	if err != nil {
		return err
	}
	t.listener, t.down = l, false
	g.publish(t)
	go t.accept(l)
	return nil
}

// SetPartitioned sets whether target i is separated from the other targets. Callers
// still reach it.
func (g *Group) SetPartitioned(i int, partitioned bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Targets[i].partitioned = partitioned
}

// Drain publishes target i with the state draining.
func (g *Group) Drain(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Targets[i].draining = true
	g.publish(g.Targets[i])
}

// SetLag sets the replication delay of target i.
func (g *Group) SetLag(i int, lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Targets[i].lag = lag
}

// LoseAnswers makes target i run the next n successful statements of callers and close
// the connection instead of answering.
func (g *Group) LoseAnswers(i, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Targets[i].answersToLose = n
}

// SetShedding makes target i answer the statements with BUSY for which sheds returns true, nil
// for none. Calls of sheds do not overlap.
func (g *Group) SetShedding(i int, sheds func(text string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Targets[i].sheds = sheds
}

// RunCount returns how often a statement ran, summed over all targets.
func (g *Group) RunCount(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, t := range g.Targets {
		n += t.runCounts[id]
	}
	return n
}

// RanOn returns the index of the first target that ran a statement, or -1.
func (g *Group) RanOn(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.IndexFunc(g.Targets, func(t *Target) bool { return t.runCounts[id] > 0 })
}

// SessionValues returns the session values of the connection that ran a statement, as
// they were when it ran.
func (g *Group) SessionValues(id string) map[string]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sessionValues[id]
}

// Primary returns the index of the newest primary and its term, or -1 and 0.
func (g *Group) Primary() (int, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.newestPrimary()
	if p == nil {
		return -1, 0
	}
	return slices.Index(g.Targets, p), p.term
}

// Held returns the term that target i has joined and the one at which it is held, 0 for none.
func (g *Group) Held(i int) (joined, held uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Targets[i].term, g.Targets[i].heldTerm
}

// PeakConnections returns the highest number of connections that one target had at once.
func (g *Group) PeakConnections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peakConnections
}

// RefusedConnections returns how many connections were refused because their target was
// at MaxConnections.
func (g *Group) RefusedConnections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refusedConnections
}

// Run is one run of a caller's statement at a target.
type Run struct {
	// ID is the statement ID.
	ID string
	// Tenant is the one that the connection was opened for.
	Tenant string
	// Target is the ID of the target.
	Target string
	// At is when the statement arrived at the target.
	At time.Time
	// First is true for a single statement and for the first statement of a transaction.
	First bool
	// ReadID is the ID of the write whose value a read returned, and ReadPosition that
	// write's position in the log of the target. They are zero for other statements and if
	// the item was never written.
	ReadID       string
	ReadPosition int
}

// Runs returns all runs of callers' statements in the order of time.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	runs := make([]Run, len(g.runs))
	for i, r := range g.runs {
		runs[i] = *r
	}
	return runs
}

// connectionOpened counts a connection by its tenant.
func (g *Group) connectionOpened(tenant string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opened[tenant]++
	g.open[tenant]++
}

// connectionClosed ends what connectionOpened counts as open.
func (g *Group) connectionClosed(tenant string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open[tenant]--
}

// OpenedConnections returns how many connections were opened to the targets since the
// start, by tenant.
func (g *Group) OpenedConnections() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.opened)
}

// OpenConnections returns how many connections a tenant has to the targets now.
func (g *Group) OpenConnections(tenant string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open[tenant]
}

// Promotion is one promote call as it was received.
type Promotion struct {
	Group, Target, Holder string
	Token                 uint64
	At                    time.Time
}

// PromotionServer is a stand-in of the platform's promote call. All methods may be
// called from any goroutine.
type PromotionServer struct {
	Address string

	mu     sync.Mutex
	groups map[string]*Group
	calls  []Promotion
	server *http.Server
}

// NewPromotionServer serves promote calls for groups on a free port of ip.
func NewPromotionServer(ip string, groups ...*Group) (*PromotionServer, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &PromotionServer{Address: l.Addr().String(), groups: map[string]*Group{}}
	for _, g := range groups {
		s.groups[g.Name] = g
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Close stops the server and closes its connections.
func (s *PromotionServer) Close() {
	_ = s.server.Close()
}

// Calls returns all promote calls in the order of arrival, those that failed included.
func (s *PromotionServer) Calls() []Promotion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// ServeHTTP serves one promote call. It answers 400 for a malformed call and 409 if the
// target cannot be promoted.
func (s *PromotionServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.calls = append(s.calls, Promotion{Group: body.Service, Target: body.ID, Holder: r.Header.Get("Duty-Holder"), Token: token, At: time.Now()})
	g := s.groups[body.Service]
	s.mu.Unlock()
	if g == nil || !g.promote(body.ID) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Commit is a write in the log of a target.
type Commit struct {
	// ID is the ID of the statement that wrote the value.
	ID, Data string
	// Position is the place in the log, from 1.
	Position int
	At       time.Time
}

// Commits returns the writes of an item in the order of the newest primary's log.
func (g *Group) Commits(item string) []Commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.newestPrimary()
	if p == nil {
		return nil
	}
	var commits []Commit
	for i, w := range p.log {
		if w.item == item {
			commits = append(commits, Commit{ID: w.id, Data: w.data, Position: i + 1, At: w.at})
		}
	}
	return commits
}

// Committed returns the values that were committed to an item, in the order of the
// newest primary's log.
func (g *Group) Committed(item string) []string {
	var data []string
	for _, c := range g.Commits(item) {
		data = append(data, c.Data)
	}
	return data
}
