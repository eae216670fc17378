package backend

import (
	"context"
	"sync"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/freshness"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// refresher queries the position of the primary when requests provide no recent one.
type refresher struct {
	group *Group

	mu      sync.Mutex
	running chan struct{} // guarded by mu; nil if none is running, closed when it ends
}

// RefreshPosition queries the primary for its position. It returns a channel that is
// closed when the position is recorded or the query has failed; concurrent calls share
// one query.
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

// run queries the leader, records its position if the answer is confirmed, and closes
// done.
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
	ctx, cancel := context.WithTimeout(context.Background(), statusRoundTimeout)
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
