package executor

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
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

// fakeTarget is an in-memory target. Each statement holds a slot for serviceTime.
type fakeTarget struct {
	slots chan struct{}
	// serviceTime is how long a statement holds its slot.
	serviceTime time.Duration

	dials, open atomic.Int64
	// full makes Dial fail because the target has no connection left.
	full atomic.Bool
	// received holds the ids of the statements that reached the target.
	received sync.Map
}

// fakeConn is one connection to a fakeTarget.
type fakeConn struct {
	target   *fakeTarget
	deadline time.Time
	pending  []query.Statement
	closed   atomic.Bool
}

func (f *fakeTarget) Dial(context.Context, string, string, string, string) (backend.Conn, error) {
	f.dials.Add(1)
	if f.full.Load() {
		return nil, &backend.RefusedError{Code: query.TooManyConnections}
	}
	f.open.Add(1)
	return &fakeConn{target: f}, nil
}

func (c *fakeConn) expired() bool {
	return !c.deadline.IsZero() && !time.Now().Before(c.deadline)
}

func (c *fakeConn) Send(statements ...query.Statement) error {
	if c.expired() {
		return os.ErrDeadlineExceeded
	}
	for _, s := range statements {
		c.target.received.Store(s.ID, true)
	}
	c.pending = append(c.pending, statements...)
	return nil
}

func (c *fakeConn) Receive() (query.Answer, error) {
	s := c.pending[0]
	c.pending = c.pending[1:]
	answer := query.Answer{Signature: "sig", Position: position.Position{Term: 1, Index: 1}, State: query.Idle}
	if s.Kind == query.Status {
		return answer, nil
	}
	c.target.slots <- struct{}{}
	time.Sleep(c.target.serviceTime)
	<-c.target.slots
	if c.expired() {
		return query.Answer{}, os.ErrDeadlineExceeded
	}
	return answer, nil
}

func (c *fakeConn) ParseStatus(query.Answer) (query.TargetStatus, error) {
	return query.TargetStatus{Primary: true, Term: 1}, nil
}

func (c *fakeConn) SetDeadline(at time.Time) error {
	c.deadline = at
	return nil
}

func (c *fakeConn) Alive() bool { return !c.closed.Load() }

func (c *fakeConn) Close() error {
	if !c.closed.Swap(true) {
		c.target.open.Add(-1)
	}
	return nil
}

// emptyStore is a store without intents. As a promoter it never holds the promotion lock,
// and its promotions fail.
type emptyStore struct{}

func (emptyStore) ReadIntents(context.Context) (primarylease.Record, error) {
	return primarylease.Record{ReadStart: boottime.Now()}, nil
}

func (emptyStore) HoldsLock() bool { return false }

func (emptyStore) Promote(context.Context, *backend.Group, leadership.Reason, time.Duration) error {
	return errors.New("promotion is not supported by this fake")
}

// newTestExecutor returns an executor with one target, which leads its group.
func newTestExecutor(t *testing.T, target *fakeTarget) *Executor {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	log := eventlog.New()
	registry := backend.NewRegistry(ctx, backend.Dependencies{
		Locality: backend.Locality{FailureDomain: "north", Regions: map[string]string{"north": "home"}},
		Dialer:   target, Promoter: emptyStore{}, PrimaryLease: primarylease.New(emptyStore{}), DrainTime: 7 * time.Second, Log: log,
	})
	registry.Declare(&catalog.Configuration{Groups: map[string]catalog.GroupLimits{"g": {Name: "g", MaxConnections: 14}}})
	registry.PutTarget(catalog.Target{ID: "i-1", Group: "g", Address: "10.0.0.1:1", FailureDomain: "north", Slots: cap(target.slots), Primary: true})
	return New(registry, log)
}

// answerCounts counts the answers that callers received.
type answerCounts struct {
	mu                    sync.Mutex
	inTime, late, refused int
	slowestRefusal        time.Duration
	// unsure holds the ids of the statements that were answered as unknown.
	unsure []string
	// other counts all other answers, by code and message.
	other map[string]int
}

// add counts the answer a to statement id. An answer within objective is in time.
func (c *answerCounts) add(id string, a query.Answer, elapsed, objective time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case a.OK() && elapsed <= objective:
		c.inTime++
	case a.OK():
		c.late++
	case a.Code == query.Busy:
		c.refused++
		c.slowestRefusal = max(c.slowestRefusal, elapsed)
	case a.Code == query.Unsure:
		c.unsure = append(c.unsure, id)
	default:
		c.other[fmt.Sprint(a.Code, " ", a.Message)]++
	}
}

// sendWrites sends n writes, one per interval, and returns the counts of their answers.
func sendWrites(e *Executor, route catalog.Route, interval time.Duration, n int) *answerCounts {
	got := &answerCounts{other: map[string]int{}}
	var wg sync.WaitGroup
	for i := range n {
		time.Sleep(interval)
		wg.Go(func() {
			u := e.Open(stmtunit.Header{Session: uint64(i), Route: route})
			defer u.Close()
			start := time.Now()
			id := fmt.Sprint("id", i)
			r := u.Run(stmtunit.Call{Statement: query.Statement{ID: id, Kind: query.Write, Writes: true}})
			got.add(id, r.Answer, time.Since(start), route.Objective)
		})
	}
	wg.Wait()
	return got
}

// Guards against statements that are sent after their timeout. On a primary with twice its
// capacity of work, as when the replicas lag, statements waited for admission beyond their
// timeout. Each one sent after it cost its connection, and writes were answered as unknown.
func TestTimeoutBelowObjective(t *testing.T) {
	Convey("With a statement timeout below the objective, an overload costs no connections and answers are correct", t, func() {
		target := &fakeTarget{slots: make(chan struct{}, 3), serviceTime: 20 * time.Millisecond}
		e := newTestExecutor(t, target)
		route := catalog.Route{Database: "db", Group: "g", Consistency: catalog.Current, StatementTimeout: 200 * time.Millisecond, Objective: 400 * time.Millisecond, Priority: 1}
		const interval, n = 3 * time.Millisecond, 500
		got := sendWrites(e, route, interval, n)
		So(got.other, ShouldBeEmpty)
		for _, id := range got.unsure {
			_, reached := target.received.Load(id)
			So(reached, ShouldBeTrue)
		}
		So(got.inTime, ShouldBeGreaterThan, n*interval.Microseconds()*3/target.serviceTime.Microseconds()*7/10)
		So(got.refused, ShouldBeGreaterThan, n/4)
		So(got.slowestRefusal, ShouldBeLessThan, route.StatementTimeout+50*time.Millisecond)
		// A connection is lost only with a statement that timed out after it was sent.
		So(target.dials.Load()-target.open.Load(), ShouldEqual, len(got.unsure))
		So(target.open.Load(), ShouldBeLessThanOrEqualTo, 14)
	})
}

// Guards against idle transactions that hold every connection. Requests waited for them,
// some beyond the time that they may wait, and occupied the slots of the target without
// running.
func TestRestingTransactions(t *testing.T) {
	Convey("Requests are served in time while as many idle transactions as there are connections are asked for", t, func() {
		target := &fakeTarget{slots: make(chan struct{}, 3), serviceTime: 10 * time.Millisecond}
		e := newTestExecutor(t, target)
		route := catalog.Route{Database: "db", Group: "g", Consistency: catalog.Current, StatementTimeout: time.Second, Objective: time.Second, Priority: 1}
		const connections, idleTime = 12, 500 * time.Millisecond
		var begun sync.WaitGroup
		var ended sync.WaitGroup
		var holding atomic.Int64
		for i := range connections {
			begun.Add(1)
			ended.Go(func() {
				u := e.Open(stmtunit.Header{Session: uint64(i), Route: route, Begin: &query.Statement{Kind: query.Begin, Writes: true}})
				defer u.Close()
				first := u.Run(stmtunit.Call{Statement: query.Statement{ID: fmt.Sprint("first", i), Kind: query.Write, Writes: true}})
				begun.Done()
				if !first.Answer.OK() {
					return
				}
				holding.Add(1)
				time.Sleep(idleTime)
				u.Run(stmtunit.Call{Statement: query.Statement{ID: fmt.Sprint("end", i), Kind: query.Commit}})
			})
		}
		begun.Wait()
		So(holding.Load(), ShouldEqual, connections-1)
		So(target.open.Load(), ShouldBeLessThanOrEqualTo, connections)
		got := sendWrites(e, route, 10*time.Millisecond, 10)
		ended.Wait()
		So(got.other, ShouldBeEmpty)
		So(got.unsure, ShouldBeEmpty)
		So(got.refused, ShouldEqual, 0)
		So(got.inTime, ShouldEqual, 10)
	})
}

// Guards against a home that refuses units of a group that it does not know yet. After a
// loss of power, gateways that start sooner than the home send it such units.
func TestUnitBeforeItsGroup(t *testing.T) {
	route := catalog.Route{Database: "db", Group: "g", Consistency: catalog.Current, StatementTimeout: time.Second, Objective: 800 * time.Millisecond}
	write := stmtunit.Call{Statement: query.Statement{ID: "id", Kind: query.Write, Writes: true}}
	Convey("A unit that arrives before its group is known waits for the group", t, func() {
		target := &fakeTarget{slots: make(chan struct{}, 3), serviceTime: time.Millisecond}
		e := newTestExecutor(t, target)
		late := route
		late.Group = "late"
		time.AfterFunc(100*time.Millisecond, func() {
			e.Groups.PutTarget(catalog.Target{ID: "i-2", Group: "late", Address: "10.0.0.2:1", FailureDomain: "north", Slots: 3, Primary: true})
		})
		u := e.Open(stmtunit.Header{Route: late})
		So(u.Run(write).Answer.Code, ShouldEqual, query.OK)
	})
	Convey("A unit is refused if its group stays unknown", t, func() {
		e := newTestExecutor(t, &fakeTarget{slots: make(chan struct{}, 3)})
		unknown := route
		unknown.Group = "unknown"
		start := time.Now()
		u := e.Open(stmtunit.Header{Route: unknown})
		So(u.Run(write).Answer.Code, ShouldEqual, query.Busy)
		So(time.Since(start), ShouldBeLessThan, route.Objective/2)
	})
}

// Guards against transactions that displace single statements under overload, as on a
// primary whose replicas lag. A transaction needs a slot once per statement, so admitting
// it at the cost of one statement rejects several single statements for one success.
func TestTransactionsYieldToSingleStatements(t *testing.T) {
	const (
		objective  = 400 * time.Millisecond
		statements = 7
	)
	route := catalog.Route{Database: "db", Group: "g", Consistency: catalog.Current, StatementTimeout: objective, Objective: objective, Priority: 2}
	// runTransaction runs a transaction of six writes and a commit.
	runTransaction := func(e *Executor, got *answerCounts, i int) {
		u := e.Open(stmtunit.Header{Session: uint64(i), Route: route, Begin: &query.Statement{Kind: query.Begin, Writes: true}})
		defer u.Close()
		start := time.Now()
		for k := range statements {
			st := query.Statement{ID: fmt.Sprint("tx", i, "-", k), Kind: query.Write, Writes: true}
			if k == statements-1 {
				st.Kind, st.Writes = query.Commit, false
			}
			r := u.Run(stmtunit.Call{Statement: st})
			if !r.Answer.OK() || k == statements-1 {
				got.add(st.ID, r.Answer, time.Since(start), objective)
				return
			}
		}
	}
	Convey("At 140% of the capacity single statements are served, and transactions use what is left", t, func() {
		target := &fakeTarget{slots: make(chan struct{}, 3), serviceTime: 10 * time.Millisecond}
		e := newTestExecutor(t, target)
		singles, transactions := &answerCounts{other: map[string]int{}}, &answerCounts{other: map[string]int{}}
		var wg sync.WaitGroup
		const n = 360
		for i := range n {
			time.Sleep(5555 * time.Microsecond) // 180 a second, 60% of the capacity
			wg.Go(func() {
				u := e.Open(stmtunit.Header{Session: uint64(n + i), Route: route})
				defer u.Close()
				start := time.Now()
				id := fmt.Sprint("single", i)
				r := u.Run(stmtunit.Call{Statement: query.Statement{ID: id, Kind: query.Write, Writes: true}})
				singles.add(id, r.Answer, time.Since(start), objective)
			})
			if i%5 == 0 {
				wg.Go(func() { runTransaction(e, transactions, i) })
			}
		}
		wg.Wait()
		// The optimum serves all single statements, and transactions with the rest.
		capacity := int(n * 5555 * time.Microsecond * 3 / target.serviceTime)
		best := n + (capacity-n)/statements
		So(singles.inTime+transactions.inTime, ShouldBeGreaterThan, best*8/10)
		So(transactions.inTime, ShouldBeGreaterThan, 0)
	})
}

// Guards against a home that lets callers wait while its primary refuses connections. After
// a loss of power the primary counts lost connections for 1.5 s more, and homes in other
// failure domains may still have some.
func TestOutOfConnections(t *testing.T) {
	route := catalog.Route{Database: "db", Group: "g", Consistency: catalog.Current, StatementTimeout: 2 * time.Second, Objective: 2 * time.Second}
	write := stmtunit.Call{Statement: query.Statement{ID: "id", Kind: query.Write, Writes: true}}
	Convey("A home without a connection to the primary reports that at once, and serves once it has one", t, func() {
		target := &fakeTarget{slots: make(chan struct{}, 3), serviceTime: time.Millisecond}
		target.full.Store(true)
		e := newTestExecutor(t, target)
		u := e.Open(stmtunit.Header{Route: route})
		start := time.Now()
		r := u.Run(write)
		So(r.Answer.Code, ShouldEqual, query.Busy)
		So(r.CutOff, ShouldBeTrue)
		So(time.Since(start), ShouldBeLessThan, 100*time.Millisecond)
		target.full.Store(false)
		time.Sleep(300 * time.Millisecond)
		u = e.Open(stmtunit.Header{Route: route})
		So(u.Run(write).Answer.OK(), ShouldBeTrue)
	})
}

// Guards against a tenant that takes the slots of the others by sending more than its
// share, and against refusals that don't tell the caller why and when to retry.
func TestTenantAboveItsShare(t *testing.T) {
	route := catalog.Route{Database: "db", Group: "g", Consistency: catalog.Current, StatementTimeout: 400 * time.Millisecond, Objective: 400 * time.Millisecond, Priority: 1}
	Convey("Tenants within their share are served in time while another sends nine times its share", t, func() {
		target := &fakeTarget{slots: make(chan struct{}, 3), serviceTime: 20 * time.Millisecond}
		e := newTestExecutor(t, target)
		counts := map[string]*answerCounts{"large": {other: map[string]int{}}, "small": {other: map[string]int{}}}
		refusedBefore := metrics.GetOrCreateCounter(`laburnumrack_refused_total{reason="over_share"}`).Get()
		var messages sync.Map
		var wg sync.WaitGroup
		run := func(tenant string, i int) {
			wg.Go(func() {
				u := e.Open(stmtunit.Header{Session: uint64(i), Tenant: tenant, Route: route})
				defer u.Close()
				start := time.Now()
				id := fmt.Sprint(tenant, i)
				r := u.Run(stmtunit.Call{Statement: query.Statement{ID: id, Kind: query.Write, Writes: true}})
				counts[tenant].add(id, r.Answer, time.Since(start), route.Objective)
				if r.Answer.Code == query.Busy {
					messages.Store(strings.TrimRight(r.Answer.Message, "0123456789"), tenant)
				}
			})
		}
		// The capacity is 150 statements a second. The small tenant sends 42, the large
		// one 375.
		const n = 300
		for i := range n {
			time.Sleep(8 * time.Millisecond)
			for k := range 3 {
				run("large", 3*i+k)
			}
			if i%3 == 0 {
				run("small", 3*n+i)
			}
		}
		wg.Wait()
		So(counts["small"].inTime, ShouldBeGreaterThanOrEqualTo, n/3*98/100)
		So(counts["large"].refused, ShouldBeGreaterThan, n)
		So(counts["large"].inTime, ShouldBeGreaterThan, n*8*3/20*5/10)
		message := "not run: over_share retry_after_ms="
		_, told := messages.Load(message)
		So(told, ShouldBeTrue)
		So(metrics.GetOrCreateCounter(`laburnumrack_refused_total{reason="over_share"}`).Get()-refusedBefore, ShouldBeGreaterThan, n/2)
	})
}
