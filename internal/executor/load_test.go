package executor

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/backend"
	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/leadership"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
	"github.com/laburnumrack/laburnumrack/internal/query"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
)

// database is a target in memory: statements take a slot for the time of their work.
type database struct {
	slots chan struct{}
	// work is how long a statement holds its slot.
	work time.Duration

	dials, open atomic.Int64
	// full makes it refuse connections for want of room.
	full atomic.Bool
	// received holds the ids of the statements that reached the target.
	received sync.Map
}

// connection is one connection to a database.
type connection struct {
	database *database
	deadline time.Time
	pending  []query.Statement
	closed   atomic.Bool
}

func (d *database) Dial(context.Context, string, string, string) (backend.Conn, error) {
	d.dials.Add(1)
	if d.full.Load() {
		return nil, &backend.RefusedError{Code: query.TooManyConnections}
	}
	d.open.Add(1)
	return &connection{database: d}, nil
}

func (c *connection) expired() bool {
	return !c.deadline.IsZero() && !time.Now().Before(c.deadline)
}

func (c *connection) Send(statements ...query.Statement) error {
	if c.expired() {
		return os.ErrDeadlineExceeded
	}
	for _, s := range statements {
		c.database.received.Store(s.ID, true)
	}
	c.pending = append(c.pending, statements...)
	return nil
}

func (c *connection) Receive() (query.Answer, error) {
	s := c.pending[0]
	c.pending = c.pending[1:]
	answer := query.Answer{Signature: "sig", Position: position.Position{Term: 1, Index: 1}, State: query.Idle}
	if s.Kind == query.Status {
		return answer, nil
	}
	c.database.slots <- struct{}{}
	time.Sleep(c.database.work)
	<-c.database.slots
	if c.expired() {
		return query.Answer{}, os.ErrDeadlineExceeded
	}
	return answer, nil
}

func (c *connection) ParseStatus(query.Answer) (query.TargetStatus, error) {
	return query.TargetStatus{Primary: true, Term: 1}, nil
}

func (c *connection) SetDeadline(at time.Time) error {
	c.deadline = at
	return nil
}

func (c *connection) Alive() bool { return !c.closed.Load() }

func (c *connection) Close() error {
	if !c.closed.Swap(true) {
		c.database.open.Add(-1)
	}
	return nil
}

// storeSaysNothing is a store without intents, and nobody who promotes.
type storeSaysNothing struct{}

func (storeSaysNothing) ReadIntents(context.Context) (primarylease.Record, error) {
	return primarylease.Record{ReadStart: boottime.Now()}, nil
}

func (storeSaysNothing) Holder() bool { return false }

func (storeSaysNothing) Promote(context.Context, *backend.Group, leadership.Reason, time.Duration) error {
	return errors.New("nobody promotes")
}

// newPlay returns an executor before one database that leads its group.
func newPlay(t *testing.T, d *database) *Executor {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	log := eventlog.New()
	registry := backend.NewRegistry(ctx, backend.Dependencies{
		Locality: backend.Locality{FailureDomain: "north", Regions: map[string]string{"north": "home"}},
		Dialer:   d, Promoter: storeSaysNothing{}, PrimaryLease: primarylease.New(storeSaysNothing{}), DrainTime: 7 * time.Second, Log: log,
	})
	registry.Declare(&catalog.Configuration{Groups: map[string]catalog.GroupLimits{"g": {Name: "g", MaxConnections: 14}}})
	registry.PutTarget(catalog.Target{ID: "i-1", Group: "g", Address: "10.0.0.1:1", FailureDomain: "north", Slots: cap(d.slots), Primary: true})
	return New(registry, log)
}

// tally counts what callers got.
type tally struct {
	mu                    sync.Mutex
	inTime, late, refused int
	slowestRefusal        time.Duration
	// unsure are the ids of the statements that were said to have run perhaps.
	unsure []string
	// other counts the answers that are none of these.
	other map[string]int
}

func (c *tally) count(id string, a query.Answer, took, aim time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case a.OK() && took <= aim:
		c.inTime++
	case a.OK():
		c.late++
	case a.Code == query.Busy:
		c.refused++
		c.slowestRefusal = max(c.slowestRefusal, took)
	case a.Code == query.Unsure:
		c.unsure = append(c.unsure, id)
	default:
		c.other[fmt.Sprint(a.Code, " ", a.Message)]++
	}
}

// play sends a write every interval and returns what callers got.
func play(e *Executor, route catalog.Route, every time.Duration, n int) *tally {
	got := &tally{other: map[string]int{}}
	var wg sync.WaitGroup
	for i := range n {
		time.Sleep(every)
		wg.Go(func() {
			u := e.Open(stmtunit.Header{Session: uint64(i), Route: route})
			defer u.Close()
			began := time.Now()
			id := fmt.Sprint("id", i)
			r := u.Run(stmtunit.Call{Statement: query.Statement{ID: id, Kind: query.Write, Writes: true}})
			got.count(id, r.Answer, time.Since(began), route.Objective)
		})
	}
	wg.Wait()
	return got
}

// Of a group whose replicas lagged, the primary had twice the work that it could do.
// Statements waited for a place beyond their own time-out, were sent after it, and cost
// their connection; the writes among them were answered as unknown.
func TestTimeoutBelowObjective(t *testing.T) {
	Convey("Where statements time out before the objective, an overload keeps the connections and its answers are true", t, func() {
		d := &database{slots: make(chan struct{}, 3), work: 20 * time.Millisecond}
		e := newPlay(t, d)
		route := catalog.Route{Database: "db", Group: "g", Consistency: catalog.Current, StatementTimeout: 200 * time.Millisecond, Objective: 400 * time.Millisecond, Priority: 1}
		const every, n = 3 * time.Millisecond, 500
		got := play(e, route, every, n)
		So(got.other, ShouldBeEmpty)
		for _, id := range got.unsure {
			_, reached := d.received.Load(id)
			So(reached, ShouldBeTrue)
		}
		So(got.inTime, ShouldBeGreaterThan, n*every.Microseconds()*3/d.work.Microseconds()*7/10)
		So(got.refused, ShouldBeGreaterThan, n/4)
		So(got.slowestRefusal, ShouldBeLessThan, route.StatementTimeout+50*time.Millisecond)
		// A connection is lost only with a statement that was out when it timed out.
		So(d.dials.Load()-d.open.Load(), ShouldEqual, len(got.unsure))
		So(d.open.Load(), ShouldBeLessThanOrEqualTo, 14)
	})
}

// Requests that held a place before the target waited there for a connection, while
// transactions rested on all of them.
func TestRestingTransactions(t *testing.T) {
	Convey("Requests wait out the transactions that rest on every connection, and are served in time", t, func() {
		d := &database{slots: make(chan struct{}, 3), work: 10 * time.Millisecond}
		e := newPlay(t, d)
		route := catalog.Route{Database: "db", Group: "g", Consistency: catalog.Current, StatementTimeout: time.Second, Objective: time.Second, Priority: 1}
		const connections, rest = 12, 500 * time.Millisecond
		var resting sync.WaitGroup
		var ended sync.WaitGroup
		for i := range connections {
			resting.Add(1)
			ended.Go(func() {
				u := e.Open(stmtunit.Header{Session: uint64(i), Route: route, Begin: &query.Statement{Kind: query.Begin, Writes: true}})
				defer u.Close()
				first := u.Run(stmtunit.Call{Statement: query.Statement{ID: fmt.Sprint("first", i), Kind: query.Write, Writes: true}})
				resting.Done()
				if !first.Answer.OK() {
					return
				}
				time.Sleep(rest)
				u.Run(stmtunit.Call{Statement: query.Statement{ID: fmt.Sprint("end", i), Kind: query.Commit}})
			})
		}
		resting.Wait()
		So(d.open.Load(), ShouldEqual, connections)
		got := play(e, route, 10*time.Millisecond, 10)
		ended.Wait()
		So(got.other, ShouldBeEmpty)
		So(got.unsure, ShouldBeEmpty)
		So(got.refused, ShouldEqual, 0)
		So(got.inTime, ShouldEqual, 10)
	})
}

// After a loss of power, entries that had started sooner sent units to a home that did
// not know the groups yet, which refused them.
func TestUnitBeforeItsGroup(t *testing.T) {
	route := catalog.Route{Database: "db", Group: "g", Consistency: catalog.Current, StatementTimeout: time.Second, Objective: 800 * time.Millisecond}
	write := stmtunit.Call{Statement: query.Statement{ID: "id", Kind: query.Write, Writes: true}}
	Convey("A unit that comes before the list of its group waits for it", t, func() {
		d := &database{slots: make(chan struct{}, 3), work: time.Millisecond}
		e := newPlay(t, d)
		late := route
		late.Group = "late"
		time.AfterFunc(100*time.Millisecond, func() {
			e.Groups.PutTarget(catalog.Target{ID: "i-2", Group: "late", Address: "10.0.0.2:1", FailureDomain: "north", Slots: 3, Primary: true})
		})
		u := e.Open(stmtunit.Header{Route: late})
		So(u.Run(write).Answer.Code, ShouldEqual, query.OK)
	})
	Convey("and is refused where the group stays unknown", t, func() {
		e := newPlay(t, &database{slots: make(chan struct{}, 3)})
		unknown := route
		unknown.Group = "unknown"
		began := time.Now()
		u := e.Open(stmtunit.Header{Route: unknown})
		So(u.Run(write).Answer.Code, ShouldEqual, query.Busy)
		So(time.Since(began), ShouldBeLessThan, route.Objective/2)
	})
}

// A primary whose replicas lag gets more than it can do. A transaction takes as many
// turns of its slots as it has statements, and was let in before as many singles.
func TestTransactionsGiveWay(t *testing.T) {
	const (
		aim        = 400 * time.Millisecond
		statements = 7
	)
	route := catalog.Route{Database: "db", Group: "g", Consistency: catalog.Current, StatementTimeout: aim, Objective: aim, Priority: 2}
	// transaction runs one of six writes and a commit.
	transaction := func(e *Executor, got *tally, i int) {
		u := e.Open(stmtunit.Header{Session: uint64(i), Route: route, Begin: &query.Statement{Kind: query.Begin, Writes: true}})
		defer u.Close()
		began := time.Now()
		for k := range statements {
			st := query.Statement{ID: fmt.Sprint("tx", i, "-", k), Kind: query.Write, Writes: true}
			if k == statements-1 {
				st.Kind, st.Writes = query.Commit, false
			}
			r := u.Run(stmtunit.Call{Statement: st})
			if !r.Answer.OK() || k == statements-1 {
				got.count(st.ID, r.Answer, time.Since(began), aim)
				return
			}
		}
	}
	Convey("At 140% of the capacity the singles, which fit, are served, and transactions give way", t, func() {
		d := &database{slots: make(chan struct{}, 3), work: 10 * time.Millisecond}
		e := newPlay(t, d)
		singles, transactions := &tally{other: map[string]int{}}, &tally{other: map[string]int{}}
		var wg sync.WaitGroup
		const n = 360
		for i := range n {
			time.Sleep(5555 * time.Microsecond) // 180 a second, 60% of the capacity
			wg.Go(func() {
				u := e.Open(stmtunit.Header{Session: uint64(n + i), Route: route})
				defer u.Close()
				began := time.Now()
				id := fmt.Sprint("single", i)
				r := u.Run(stmtunit.Call{Statement: query.Statement{ID: id, Kind: query.Write, Writes: true}})
				singles.count(id, r.Answer, time.Since(began), aim)
			})
			if i%5 == 0 {
				wg.Go(func() { transaction(e, transactions, i) })
			}
		}
		wg.Wait()
		// The best choice serves all singles, and transactions with what is left.
		capacity := int(n * 5555 * time.Microsecond * 3 / d.work)
		best := n + (capacity-n)/statements
		So(singles.inTime+transactions.inTime, ShouldBeGreaterThan, best*8/10)
		So(transactions.inTime, ShouldBeGreaterThan, 0)
	})
}

// After a loss of power the connections of before counted at the primaries for 1.5 s
// more. Homes without one let their callers wait and refused them, while homes of other
// failure domains had some.
func TestShutOut(t *testing.T) {
	route := catalog.Route{Database: "db", Group: "g", Consistency: catalog.Current, StatementTimeout: 2 * time.Second, Objective: 2 * time.Second}
	write := stmtunit.Call{Statement: query.Statement{ID: "id", Kind: query.Write, Writes: true}}
	Convey("A home that the primary has no room for says so at once, and serves when it has", t, func() {
		d := &database{slots: make(chan struct{}, 3), work: time.Millisecond}
		d.full.Store(true)
		e := newPlay(t, d)
		u := e.Open(stmtunit.Header{Route: route})
		began := time.Now()
		r := u.Run(write)
		So(r.Answer.Code, ShouldEqual, query.Busy)
		So(r.CutOff, ShouldBeTrue)
		So(time.Since(began), ShouldBeLessThan, 100*time.Millisecond)
		d.full.Store(false)
		time.Sleep(300 * time.Millisecond)
		u = e.Open(stmtunit.Header{Route: route})
		So(u.Run(write).Answer.OK(), ShouldBeTrue)
	})
}
