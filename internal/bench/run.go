package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"golang.org/x/sync/errgroup"
)

// finalAnswerGrace is the time after a request's deadline during which the load
// generator still waits for the final outcome.
const finalAnswerGrace = 5 * time.Second

// deadlineGrace is the time after the deadline sent to the proxy within which an
// answer does not count as past the deadline. It allows for the network.
const deadlineGrace = 100 * time.Millisecond

// Load is one open-loop run of a plan against a deployment.
type Load struct {
	Deployment Deployment
	Mix        Mix
	Plan       []Arrival
	// RetryRefused makes callers retry a refused request after the retry-after time
	// of the refusal, if that is before their deadline.
	RetryRefused bool
	// WarmConnections is the number of connections opened before the run for each
	// class, database and gateway. Arrivals that find no idle connection open one.
	WarmConnections int
}

// Run executes the plan and returns one result per arrival, in plan order. If ctx ends
// early, the results of the arrivals that had not started are left out. Run calls
// injectFaults with the start time of the run, concurrently with the arrivals, and
// returns only after injectFaults has returned.
func (l *Load) Run(ctx context.Context, injectFaults func(begin time.Time)) []Result {
	results := make([]Result, len(l.Plan))
	pools := newConnPools(&l.Deployment, &l.Mix)
	defer pools.close()
	l.openWarmConnections(ctx, pools)
	begin := time.Now()
	var running sync.WaitGroup
	running.Go(func() { injectFaults(begin) })
	for i := range l.Plan {
		arrival := &l.Plan[i]
		if !sleepUntil(ctx, begin.Add(arrival.At)) {
			results = results[:i]
			break
		}
		running.Go(func() {
			results[arrival.Number] = l.runRequest(ctx, pools, arrival, begin)
		})
	}
	running.Wait()
	return results
}

// warmConcurrency is the number of warm connections that are opened concurrently.
const warmConcurrency = 8

// openWarmConnections opens connections before the run. Failed ones are ignored,
// because the arrivals that need them open their own and report the error.
func (l *Load) openWarmConnections(ctx context.Context, pools *connPools) {
	var group errgroup.Group
	group.SetLimit(warmConcurrency)
	for i := range l.Mix.Classes {
		for _, database := range l.Mix.Databases {
			for gateway := range l.Deployment.Gateways {
				key := poolKey{caller: l.Mix.Classes[i].Caller, database: database, gateway: gateway}
				for range l.WarmConnections {
					group.Go(func() error {
						conn, err := pools.open(ctx, key)
						if err == nil {
							pools.release(key, conn)
						}
						return nil
					})
				}
			}
		}
	}
	_ = group.Wait()
}

// sleepUntil waits until due. It reports whether ctx was still active by then.
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

// runRequest runs one arrival until its final answer, retries of refusals included.
func (l *Load) runRequest(ctx context.Context, pools *connPools, a *Arrival, begin time.Time) Result {
	intended := begin.Add(a.At)
	deadline := intended.Add(a.Class.Deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(finalAnswerGrace))
	defer cancel()
	retries := 0
	mayHaveRun := false
	for {
		r := l.attempt(ctx, pools, a, deadline)
		r.Arrival = a
		r.Retries = retries
		r.Latency = time.Since(intended)
		r.Finished = time.Since(begin)
		mayHaveRun = mayHaveRun || r.MayHaveRun
		r.MayHaveRun = mayHaveRun
		retryAt := time.Now().Add(r.RetryAfter)
		if !l.RetryRefused || r.Outcome != Refused || r.RetryAfter <= 0 || retryAt.After(deadline) {
			return r
		}
		if !sleepUntil(ctx, retryAt) {
			return r
		}
		retries++
	}
}

// attempt runs the statements of one arrival once. An error before the request was
// sent is classified as Failed, since the request cannot have run.
func (l *Load) attempt(ctx context.Context, pools *connPools, a *Arrival, deadline time.Time) Result {
	key := poolKey{caller: a.Class.Caller, database: a.Database, gateway: a.Gateway}
	conn, err := pools.acquire(ctx, key)
	if err != nil {
		r := classify(err)
		if r.Outcome == Unknown {
			r.Outcome, r.Reason = Failed, "connect"
		}
		return r
	}
	defer pools.release(key, conn)
	left := remainingTime(deadline)
	if err := l.setSessionParameters(ctx, conn, a, left); err != nil {
		r := classify(err)
		if r.Outcome == Unknown {
			r.Outcome, r.Reason = Failed, "set_up"
		}
		return r
	}
	sent := time.Now()
	err = l.execute(ctx, conn, a)
	r := classify(err)
	r.PastDeadline = time.Since(sent) > left+deadlineGrace
	r.MayHaveRun = r.Outcome == Unknown || r.Outcome == Done
	if err != nil || a.Class.Operation != InsertAndRead {
		return r
	}
	return l.readBack(ctx, pools, conn, a, deadline)
}

// remainingTime returns the time until a deadline in the form sent to the proxy: whole
// milliseconds, at least one.
func remainingTime(deadline time.Time) time.Duration {
	return max(time.Until(deadline), time.Millisecond).Truncate(time.Millisecond)
}

func (l *Load) setSessionParameters(ctx context.Context, conn *pgx.Conn, a *Arrival, left time.Duration) error {
	pairs := [][2]string{{deadlineParameter, left.String()}}
	if a.Class.Operation == Increment {
		pairs = append(pairs, [2]string{"laburnumrack.request_id", a.ID()})
	}
	if a.Class.MaxAge > 0 {
		pairs = append(pairs, [2]string{"laburnumrack.max_age", a.Class.MaxAge.String()})
	}
	return setParameters(ctx, conn, pairs...)
}

func (l *Load) execute(ctx context.Context, conn *pgx.Conn, a *Arrival) error {
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

// readBack reads the session's own write, possibly through another gateway, to which
// it carries the session token.
func (l *Load) readBack(ctx context.Context, pools *connPools, conn *pgx.Conn, a *Arrival, deadline time.Time) Result {
	if a.ReadGateway != a.Gateway {
		token := conn.PgConn().ParameterStatus(sessionParameter)
		key := poolKey{caller: a.Class.Caller, database: a.Database, gateway: a.ReadGateway}
		other, err := pools.acquire(ctx, key)
		if err == nil {
			defer pools.release(key, other)
			err = setParameters(ctx, other, [2]string{sessionParameter, token})
		}
		if err != nil {
			return markWritten(classify(err))
		}
		conn = other
	}
	left := remainingTime(deadline)
	if err := setParameters(ctx, conn, [2]string{deadlineParameter, left.String()}); err != nil {
		return markWritten(classify(err))
	}
	var n int
	sent := time.Now()
	err := conn.QueryRow(ctx, a.Class.readBack(), a.ID()).Scan(&n)
	r := markWritten(classify(err))
	r.PastDeadline = time.Since(sent) > left+deadlineGrace
	r.MissedOwnWrite = err == nil && n == 0
	return r
}

// markWritten marks the result of a read that followed an acknowledged write: the
// request may have run, and must not be retried.
func markWritten(r Result) Result {
	r.MayHaveRun = true
	r.RetryAfter = 0
	return r
}
