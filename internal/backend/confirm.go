package backend

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// Confirmation says whether an answer of a primary counts.
type Confirmation uint8

// The confirmations.
const (
	// Confirmed says that the primary led when it answered.
	Confirmed Confirmation = iota
	// Deposed says that a higher term is intended or reached.
	Deposed
	// Unconfirmed says that neither the store nor every replica answered in time.
	Unconfirmed
	// Isolated says that neither the store nor any replica answered in time.
	Isolated
)

// roundTimeout bounds a round of questions: two round trips between regions and the
// slots of slow targets.
const roundTimeout = 800 * time.Millisecond

// confirmer asks the replicas whether a higher term is held or reached. One round
// serves every answer that came before it began.
type confirmer struct {
	group *Group

	mu      sync.Mutex
	running bool   // guarded by mu
	next    *round // guarded by mu; waits for the running round to end
}

// round is one round about one primary.
type round struct {
	primary *Target
	done    chan struct{}
	// term is the highest term that was shown.
	term position.Term
	// answered is the number of the replicas that answered, of those asked.
	answered, asked int
}

// Confirm tells whether the answer that a primary gave before this call counts: a
// lease says so, or the replicas do.
func (g *Group) Confirm(l *LeaderView) Confirmation {
	if g.KnownTerm() > l.Term {
		g.InvalidateLeader(l)
		return Deposed
	}
	c := g.confirm(l)
	g.provable.note(c, boottime.Now())
	return c
}

func (g *Group) confirm(l *LeaderView) Confirmation {
	if g.PrimaryLease.Check(g.Name, l.Term) == primarylease.Allowed {
		return Confirmed
	}
	if !g.settled() {
		countConfirmation("nobody")
		return Unconfirmed
	}
	countConfirmation("replicas")
	r := g.confirmer.join(l.Target)
	<-r.done
	g.ObserveTerm(r.term)
	switch {
	case g.KnownTerm() > l.Term:
		g.InvalidateLeader(l)
		return Deposed
	case r.asked > 0 && r.answered == 0:
		return Isolated
	case r.asked == 0 || r.answered < r.asked:
		return Unconfirmed
	default:
		return Confirmed
	}
}

func countConfirmation(by string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_confirmations_total{by=%q}`, by)).Inc()
}

// join returns the next round about a primary.
func (c *confirmer) join(primary *Target) *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil || c.next.primary != primary {
		// Rounds about two primaries at once are rare: the second runs by itself.
		r := &round{primary: primary, done: make(chan struct{})}
		if c.next != nil {
			go c.ask(r)
			return r
		}
		c.next = r
	}
	r := c.next
	if !c.running {
		c.running = true
		go c.run()
	}
	return r
}

func (c *confirmer) run() {
	for {
		c.mu.Lock()
		r := c.next
		c.next = nil
		if r == nil {
			c.running = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		c.ask(r)
	}
}

// ask asks every target but the primary. Whichever is promoted was held first, and
// shows the hold or its new term from then on; a target that doesn't answer may be
// the one.
func (c *confirmer) ask(r *round) {
	ctx, cancel := context.WithTimeout(context.Background(), roundTimeout)
	defer cancel()
	var replicas []*Target
	for _, t := range c.group.Targets() {
		if t != r.primary {
			replicas = append(replicas, t)
		}
	}
	r.asked = len(replicas)
	statuses := make(chan *query.TargetStatus, r.asked)
	for _, t := range replicas {
		go func() {
			status, err := t.Control(ctx, query.Statement{Kind: query.Status})
			if err != nil {
				statuses <- nil
				return
			}
			statuses <- &status
		}()
	}
	for range replicas {
		if status := <-statuses; status != nil {
			r.answered++
			r.term = max(r.term, status.Term, status.Held)
		}
	}
	close(r.done)
}
