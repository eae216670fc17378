package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"golang.org/x/sync/errgroup"
)

// answerGrace is how long after the deadline a caller still listens for the
// final outcome.
const answerGrace = 5 * time.Second

// overheldGrace is how long after the deadline an answer may arrive without
// counting as overheld.
const overheldGrace = 100 * time.Millisecond

// Load is one open-loop run.
type Load struct {
	Deployment Deployment
	Mix        Mix
	Plan       []Arrival
	// Return makes refused callers come back after the time they were told, as
	// long as their deadline allows it.
	RetryRefused bool
	// Warm is how many connections are opened before the run for each caller,
	// database and entry. Arrivals that find none idle open one.
	WarmConnections int
}

// Run plays the plan and returns one result an arrival, in the order of the
// plan. It runs disturb beside the arrivals, with the time that they begin, and
// waits for its end.
func (l *Load) Run(ctx context.Context, disturb func(begin time.Time)) []Result {
	results := make([]Result, len(l.Plan))
	pools := newPools(&l.Deployment, &l.Mix)
	defer pools.close()
	l.warm(ctx, pools)
	begin := time.Now()
	var running sync.WaitGroup
	running.Go(func() { disturb(begin) })
	for i := range l.Plan {
		arrival := &l.Plan[i]
		if !sleepUntil(ctx, begin.Add(arrival.At)) {
			results = results[:i]
			break
		}
		running.Go(func() {
			results[arrival.Number] = l.request(ctx, pools, arrival, begin)
		})
	}
	running.Wait()
	return results
}

// warmAtOnce is how many connections are opened at the same time.
const warmAtOnce = 8

// warm opens connections ahead of the run. Those that fail are left out: the
// arrivals that need them will tell.
func (l *Load) warm(ctx context.Context, pools *pools) {
	var group errgroup.Group
	group.SetLimit(warmAtOnce)
	for i := range l.Mix.Classes {
		for _, database := range l.Mix.Databases {
			for entry := range l.Deployment.Gateways {
				key := poolKey{caller: l.Mix.Classes[i].Caller, database: database, entry: entry}
				for range l.WarmConnections {
					group.Go(func() error {
						conn, err := pools.open(ctx, key)
						if err == nil {
							pools.put(key, conn)
						}
						return nil
					})
				}
			}
		}
	}
	_ = group.Wait()
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	left := time.Until(due)
	if left <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// request runs one arrival to its final answer.
func (l *Load) request(ctx context.Context, pools *pools, a *Arrival, begin time.Time) Result {
	intended := begin.Add(a.At)
	deadline := intended.Add(a.Class.Deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(answerGrace))
	defer cancel()
	returned := 0
	mayHaveRun := false
	for {
		r := l.attempt(ctx, pools, a, deadline)
		r.Arrival = a
		r.Retries = returned
		r.Latency = time.Since(intended)
		r.Finished = time.Since(begin)
		mayHaveRun = mayHaveRun || r.MayHaveRun
		r.MayHaveRun = mayHaveRun
		comeBack := time.Now().Add(r.RetryAfter)
		if !l.RetryRefused || r.Outcome != Refused || r.RetryAfter <= 0 || comeBack.After(deadline) {
			return r
		}
		if !sleepUntil(ctx, comeBack) {
			return r
		}
		returned++
	}
}

func (l *Load) attempt(ctx context.Context, pools *pools, a *Arrival, deadline time.Time) Result {
	key := poolKey{caller: a.Class.Caller, database: a.Database, entry: a.Gateway}
	conn, err := pools.take(ctx, key)
	if err != nil {
		r := classify(err)
		if r.Outcome == Unknown {
			r.Outcome, r.Reason = Failed, "connect"
		}
		return r
	}
	defer pools.put(key, conn)
	left := remaining(deadline)
	if err := l.setUp(ctx, conn, a, left); err != nil {
		r := classify(err)
		if r.Outcome == Unknown {
			r.Outcome, r.Reason = Failed, "set_up"
		}
		return r
	}
	sent := time.Now()
	err = l.operate(ctx, conn, a)
	r := classify(err)
	r.PastDeadline = time.Since(sent) > left+overheldGrace
	r.MayHaveRun = r.Outcome == Unknown || r.Outcome == Done
	if err != nil || a.Class.Operation != InsertAndRead {
		return r
	}
	return l.readBack(ctx, pools, conn, a, deadline)
}

// remaining returns the time until a deadline as the proxy is told, at least a
// millisecond.
func remaining(deadline time.Time) time.Duration {
	return max(time.Until(deadline), time.Millisecond).Truncate(time.Millisecond)
}

func (l *Load) setUp(ctx context.Context, conn *pgx.Conn, a *Arrival, left time.Duration) error {
	pairs := [][2]string{{deadlineParameter, left.String()}}
	if a.Class.Operation == Increment {
		pairs = append(pairs, [2]string{"laburnumrack.request_id", a.ID()})
	}
	if a.Class.MaxAge > 0 {
		pairs = append(pairs, [2]string{"laburnumrack.max_age", a.Class.MaxAge.String()})
	}
	return setParameters(ctx, conn, pairs...)
}

func (l *Load) operate(ctx context.Context, conn *pgx.Conn, a *Arrival) error {
	sql := a.Class.statement()
	switch a.Class.Operation {
	case Increment:
		_, err := conn.Exec(ctx, sql, a.ID())
		return err
	case Insert, InsertAndRead:
		_, err := conn.Exec(ctx, sql, a.ID(), a.Class.Name)
		return err
	default:
		var note string
		return conn.QueryRow(ctx, sql, rowID(a.Row)).Scan(&note)
	}
}

func rowID(row int) string {
	return fmt.Sprintf("row%04d", row)
}

// readBack reads the session's own write, possibly through another entry.
func (l *Load) readBack(ctx context.Context, pools *pools, conn *pgx.Conn, a *Arrival, deadline time.Time) Result {
	if a.ReadGateway != a.Gateway {
		token := conn.PgConn().ParameterStatus(sessionToken)
		key := poolKey{caller: a.Class.Caller, database: a.Database, entry: a.ReadGateway}
		other, err := pools.take(ctx, key)
		if err == nil {
			defer pools.put(key, other)
			err = setParameters(ctx, other, [2]string{sessionToken, token})
		}
		if err != nil {
			return written(classify(err))
		}
		conn = other
	}
	left := remaining(deadline)
	if err := setParameters(ctx, conn, [2]string{deadlineParameter, left.String()}); err != nil {
		return written(classify(err))
	}
	var n int
	sent := time.Now()
	err := conn.QueryRow(ctx, a.Class.readBack(), a.ID()).Scan(&n)
	r := written(classify(err))
	r.PastDeadline = time.Since(sent) > left+overheldGrace
	r.MissedOwnWrite = err == nil && n == 0
	return r
}

// written marks the result of a read that followed an acknowledged write.
func written(r Result) Result {
	r.MayHaveRun = true
	r.RetryAfter = 0
	return r
}
