package backend

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/freshness"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// Timing of a refresh.
const (
	// primaryHeadStart is how long the primary may take to answer before the other homes
	// of the group are asked too.
	primaryHeadStart = 100 * time.Millisecond
	// peerQueryInterval is the time between two rounds of questions to the other homes.
	peerQueryInterval = 100 * time.Millisecond
)

// refresher finds the position of the primary when requests provide no recent one. It
// queries the primary, and the group's other homes if the primary does not answer: a home
// that is cut off from the primary, or has no connection left there, can still serve
// reads from the replicas.
type refresher struct {
	group *Group

	mu         sync.Mutex
	running    chan struct{} // guarded by mu; nil if none is running, closed when it ends
	peersAsked time.Duration // guarded by mu; time since boot of the last questions to other homes
}

// RefreshPosition finds the position of the primary. It returns a channel that is closed
// when a position is recorded or none was found; concurrent calls share one search.
func (g *Group) RefreshPosition() <-chan struct{} {
	r := &g.refresh
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running == nil {
		r.running = make(chan struct{})
		go r.run(r.running)
	}
	return r.running
}

// run searches for a position and closes done.
func (r *refresher) run(done chan struct{}) {
	defer func() {
		r.mu.Lock()
		r.running = nil
		r.mu.Unlock()
		close(done)
	}()
	answered := make(chan bool, 1)
	go func() {
		answered <- r.queryPrimary()
		close(answered)
	}()
	timer := time.NewTimer(primaryHeadStart)
	defer timer.Stop()
	select {
	case ok := <-answered:
		if ok {
			return
		}
	case <-timer.C:
	}
	if !r.queryPeers() {
		<-answered
	}
}

// queryPrimary queries the leader and records its position if the answer is confirmed. It
// reports whether it did.
func (r *refresher) queryPrimary() bool {
	l := r.group.Leader()
	if l == nil {
		r.group.TriggerCheck()
		return false
	}
	at := boottime.Now()
	ctx, cancel := context.WithTimeout(context.Background(), statusRoundTimeout)
	defer cancel()
	status, err := l.Target.Control(ctx, query.Statement{Kind: query.Status})
	if err != nil {
		r.group.TriggerCheck()
		return false
	}
	if !status.Primary || status.Term != l.Term {
		r.group.ObserveTerm(status.Term)
		r.group.InvalidateLeader(l)
		return false
	}
	if r.group.Confirm(l) != Confirmed {
		return false
	}
	r.group.PositionHistory.Add(freshness.Sample{At: at, Position: status.Received})
	return true
}

// queryPeers asks the other homes of the group for the position of the primary, unless
// they were asked within peerQueryInterval. It reports whether a position was recorded.
func (r *refresher) queryPeers() bool {
	if r.group.Peers == nil || !r.allowPeerQuery() {
		return false
	}
	sample, ok := r.group.Peers.FindPosition(r.group.Name)
	if !ok {
		return false
	}
	metrics.GetOrCreateCounter(`laburnumrack_positions_from_peers_total`).Inc()
	r.group.PositionHistory.Add(sample)
	return true
}

// allowPeerQuery reports whether the other homes may be asked again, and records that
// they are.
func (r *refresher) allowPeerQuery() bool {
	now := boottime.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.peersAsked != 0 && now-r.peersAsked < peerQueryInterval {
		return false
	}
	r.peersAsked = now
	return true
}
