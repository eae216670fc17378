package backend

import (
	"context"
	"sync"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/freshness"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// refresher brings a fact about the primary's position when traffic brings none.
type refresher struct {
	group *Group

	mu      sync.Mutex
	running chan struct{} // guarded by mu; closed when the running refresh ends
}

// RefreshPosition asks the primary for its position, and returns a channel that is
// closed when the fact is recorded or the attempt has failed.
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

func (r *refresher) run(done chan struct{}) {
	defer func() {
		r.mu.Lock()
		r.running = nil
		r.mu.Unlock()
		close(done)
	}()
	l := r.group.Leader()
	if l == nil {
		r.group.TriggerCheck()
		return
	}
	at := boottime.Now()
	ctx, cancel := context.WithTimeout(context.Background(), roundTimeout)
	defer cancel()
	status, err := l.Target.Control(ctx, query.Statement{Kind: query.Status})
	if err != nil {
		r.group.TriggerCheck()
		return
	}
	if !status.Primary || status.Term != l.Term {
		r.group.ObserveTerm(status.Term)
		r.group.InvalidateLeader(l)
		return
	}
	if r.group.Confirm(l) == Confirmed {
		r.group.PositionHistory.Add(freshness.Sample{At: at, Position: status.Received})
	}
}
