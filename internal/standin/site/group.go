package site

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Group is a database group.
type Group struct {
	Name           string
	MaxConnections int
	// StatementTime is the time of a read, write or commit.
	StatementTime time.Duration
	Targets       []*Target

	store *Store
	mu    sync.Mutex
	// sessions holds the values of the connection that ran a statement, by its id.
	sessions map[string]map[string]string
	most     int
	refused  int
	stopped  chan struct{}
}

// NewGroup starts a group with a target in each zone, the first being the primary,
// and lists them in the store.
func NewGroup(name, ip string, zones []string, maxConnections int, store *Store) (*Group, error) {
	g := &Group{Name: name, MaxConnections: maxConnections, store: store, sessions: map[string]map[string]string{}, stopped: make(chan struct{})}
	for i, zone := range zones {
		t := &Target{
			ID: name + "-" + strconv.Itoa(i), Zone: zone, group: g, primary: i == 0, term: 1,
			conns: map[net.Conn]struct{}{}, runs: map[string]int{},
		}
		if err := t.start(ip); err != nil {
			return nil, err
		}
		g.Targets = append(g.Targets, t)
		g.list(t)
	}
	go g.replicate()
	return g, nil
}

// Close stops the group.
func (g *Group) Close() {
	close(g.stopped)
	for _, t := range g.Targets {
		_ = t.listener.Close()
	}
}

// ServerSpec returns the entry of a target in the store.
func (g *Group) ServerSpec(i int) map[string]any {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.entry(g.Targets[i])
}

// list writes the entry of a target.
func (g *Group) list(t *Target) {
	g.store.Put("servers", t.ID, g.entry(t))
}

func (g *Group) entry(t *Target) map[string]any {
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

// append adds a write to the log of a target.
func (g *Group) append(t *Target, w write) {
	w.at = time.Now()
	t.log = append(t.log, w)
}

// replicationInterval is the time between two copies of the primary's log.
const replicationInterval = 2 * time.Millisecond

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

// copyLogs brings the replicas that receive up to the newest primary.
func (g *Group) copyLogs(now time.Time) {
	p := g.newestPrimary()
	if p == nil || p.cut || p.down {
		return
	}
	for _, t := range g.Targets {
		if t == p || t.down || t.cut || t.held > p.term {
			continue
		}
		if t.term < p.term {
			t.term, t.held, t.primary = p.term, 0, false
		}
		n := 0
		for n < len(p.log) && now.Sub(p.log[n].at) >= t.lag {
			n++
		}
		t.log = slices.Clone(p.log[:max(n, min(len(t.log), len(p.log)))])
	}
}

func (g *Group) newestPrimary() *Target {
	var newest *Target
	for _, t := range g.Targets {
		if t.primary && !t.down && (newest == nil || t.term > newest.term) {
			newest = t
		}
	}
	return newest
}

// promote makes a target the primary of the next term. It releases the holds of
// all, as the platform does.
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
		t.held = 0
	}
	if !chosen.primary || chosen.term < term {
		chosen.primary, chosen.term = true, term+1
	}
	for _, t := range g.Targets {
		if !t.down {
			g.list(t)
		}
	}
	return true
}

// Crash takes a target down: its connections and its port reset.
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

// SetPartitioned separates a target from the others, not from its callers.
func (g *Group) SetPartitioned(i int, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Targets[i].cut = cut
}

// Drain lists a target as draining.
func (g *Group) Drain(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Targets[i].draining = true
	g.list(g.Targets[i])
}

// SetLag sets how far behind a replica is.
func (g *Group) SetLag(i int, lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Targets[i].lag = lag
}

// LoseAnswers makes a target run the next n statements of callers and break the
// connection in place of the answer.
func (g *Group) LoseAnswers(i, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Targets[i].lose = n
}

// RunCount returns how often a statement ran, on all targets.
func (g *Group) RunCount(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, t := range g.Targets {
		n += t.runs[id]
	}
	return n
}

// RanOn returns the index of the target that ran a statement, -1 if none did.
func (g *Group) RanOn(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.IndexFunc(g.Targets, func(t *Target) bool { return t.runs[id] > 0 })
}

// SessionValues returns the session values of the connection that ran a statement.
func (g *Group) SessionValues(id string) map[string]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sessions[id]
}

// Primary returns the index of the newest primary and its term.
func (g *Group) Primary() (int, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.newestPrimary()
	if p == nil {
		return -1, 0
	}
	return slices.Index(g.Targets, p), p.term
}

// PeakConnections returns the highest number of connections that one target had.
func (g *Group) PeakConnections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.most
}

// RefusedConnections returns how many connections found a target at its cap.
func (g *Group) RefusedConnections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refused
}

// Promotion is one promote call.
type Promotion struct {
	Group, Target, Holder string
	Token                 uint64
	At                    time.Time
}

// PromotionServer takes the promote calls.
type PromotionServer struct {
	Address string

	mu     sync.Mutex
	groups map[string]*Group
	calls  []Promotion
	server *http.Server
}

// NewPromotionServer starts the stand-in of the promote call for some groups.
func NewPromotionServer(ip string, groups ...*Group) (*PromotionServer, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	c := &PromotionServer{Address: l.Addr().String(), groups: map[string]*Group{}}
	for _, g := range groups {
		c.groups[g.Name] = g
	}
	c.server = &http.Server{Handler: c, ReadHeaderTimeout: time.Second}
	go func() { _ = c.server.Serve(l) }()
	return c, nil
}

// Close stops the stand-in.
func (c *PromotionServer) Close() {
	_ = c.server.Close()
}

// Calls returns the promote calls in their order.
func (c *PromotionServer) Calls() []Promotion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.calls)
}

// ServeHTTP serves one promote call.
func (c *PromotionServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	c.calls = append(c.calls, Promotion{Group: body.Service, Target: body.ID, Holder: r.Header.Get("Duty-Holder"), Token: token, At: time.Now()})
	g := c.groups[body.Service]
	c.mu.Unlock()
	if g == nil || !g.promote(body.ID) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Committed returns the data that was committed to an item, in the order of the
// newest primary's log.
func (g *Group) Committed(item string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.newestPrimary()
	if p == nil {
		return nil
	}
	var data []string
	for _, w := range p.log {
		if w.item == item {
			data = append(data, w.data)
		}
	}
	return data
}
