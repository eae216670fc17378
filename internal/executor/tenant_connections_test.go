package executor

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/backend"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
	"github.com/laburnumrack/laburnumrack/internal/query"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
)

// tenantTarget is a fakeTarget that records under which tenant each statement arrived.
type tenantTarget struct {
	fakeTarget
	// tenants maps the ids of statements to the tenants of their connections.
	tenants sync.Map
}

// tenantConn is a connection to a tenantTarget.
type tenantConn struct {
	*fakeConn
	target *tenantTarget
	tenant string
}

func (t *tenantTarget) Dial(ctx context.Context, address, group, tenant, id string) (backend.Conn, error) {
	conn, err := t.fakeTarget.Dial(ctx, address, group, tenant, id)
	if err != nil {
		return nil, err
	}
	return tenantConn{fakeConn: conn.(*fakeConn), target: t, tenant: tenant}, nil
}

func (c tenantConn) Send(statements ...query.Statement) error {
	for _, s := range statements {
		c.target.tenants.Store(s.ID, c.tenant)
	}
	return c.fakeConn.Send(statements...)
}

// Guards against a statement of a transaction or outside one that arrives at the target
// under another tenant than that of its unit.
func TestStatementsRunUnderTheirTenant(t *testing.T) {
	Convey("With more tenants than connections, statements arrive under the tenant of their unit", t, func() {
		const tenants, units, maxConnections = 12, 240, 7
		target := &tenantTarget{fakeTarget: fakeTarget{slots: make(chan struct{}, 3), serviceTime: 2 * time.Millisecond}}
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		log := eventlog.New()
		registry := backend.NewRegistry(ctx, backend.Dependencies{
			Locality: backend.Locality{FailureDomain: "north", Regions: map[string]string{"north": "home"}},
			Dialer:   target, Promoter: emptyStore{}, PrimaryLease: primarylease.New(emptyStore{}), DrainTime: 7 * time.Second, Log: log,
		})
		registry.Declare(&catalog.Configuration{
			Groups: map[string]catalog.GroupLimits{"g": {Name: "g", MaxConnections: maxConnections}}, Tenants: map[string]catalog.Tenant{},
		})
		registry.PutTarget(catalog.Target{ID: "i-1", Group: "g", Address: "10.0.0.1:1", FailureDomain: "north", Slots: cap(target.slots), Primary: true})
		e := New(registry, log)
		route := catalog.Route{Database: "db", Group: "g", Consistency: catalog.Current, StatementTimeout: 5 * time.Second, Objective: 5 * time.Second, Priority: 1}
		var wg sync.WaitGroup
		want := make(map[string]string)
		failed := make(chan string, 4*units)
		for i := range units {
			tenant := ""
			if n := 5 * i % (tenants + 1); n < tenants {
				tenant = fmt.Sprint("tenant-", n)
			}
			h := stmtunit.Header{Session: uint64(i), Tenant: tenant, Route: route}
			kinds := []query.Kind{query.Write}
			if i%3 == 0 {
				h.Begin = &query.Statement{Kind: query.Begin, Writes: true, ID: fmt.Sprint(i, "-begin")}
				kinds = []query.Kind{query.Write, query.Write, query.Commit}
				want[h.Begin.ID] = tenant
			}
			for n := range kinds {
				want[fmt.Sprint(i, "-", n)] = tenant
			}
			wg.Go(func() {
				u := e.Open(h)
				defer u.Close()
				for n, kind := range kinds {
					id := fmt.Sprint(i, "-", n)
					if a := u.Run(stmtunit.Call{Statement: query.Statement{ID: id, Kind: kind, Writes: true}}).Answer; !a.OK() {
						failed <- fmt.Sprint(id, " ", a.Code, " ", a.Message)
					}
				}
			})
			time.Sleep(5 * time.Millisecond)
		}
		wg.Wait()
		close(failed)
		for f := range failed {
			t.Log(f)
			So(f, ShouldBeEmpty)
		}
		for id, tenant := range want {
			got, ok := target.tenants.Load(id)
			So(ok, ShouldBeTrue)
			So(got, ShouldEqual, tenant)
		}
	})
}

// countingDialer opens connections that are never used, and counts them. The address that
// it dials is the time that this takes.
type countingDialer struct{ dials int }

func (d *countingDialer) Dial(_ context.Context, address, _, _, _ string) (backend.Conn, error) {
	took, err := time.ParseDuration(address)
	if err != nil {
		return nil, err
	}
	time.Sleep(took)
	d.dials++
	return &fakeConn{target: &fakeTarget{}}, nil
}

// Guards against reads that all go to the nearest replica, whose connections then serve all
// tenants while those of the other replica serve none.
func TestReadsOfTenantsUseAllReplicas(t *testing.T) {
	Convey("Fewer connections are opened if reads go where their tenant has a connection", t, func() {
		const tenants, skew, limit, requests = 80, 1.2, 11, 600
		// The leader and two replicas. Opening a connection takes 12 ms of a slot and, to
		// another failure domain, two round trips of 3 ms.
		distances, openTimes := []int{1, 0, 1}, []string{"18ms", "12ms", "18ms"}
		play := func(useOpening bool) (dials int, reads []int) {
			dialer := &countingDialer{}
			random := rand.New(rand.NewPCG(1, 2))
			var targets []*backend.Target
			for i := range distances {
				target := backend.NewTarget(catalog.Target{ID: fmt.Sprint("i-", i), Address: openTimes[i], Slots: 4}, dialer)
				target.Pool.SetKeepIdle(true)
				target.Pool.SetLimits(1, limit)
				targets = append(targets, target)
			}
			reads = make([]int, len(targets))
			zipf := make([]float64, tenants)
			total := 0.0
			for i := range zipf {
				zipf[i] = math.Pow(float64(i+1), -skew)
				total += zipf[i]
			}
			for range requests {
				x, n := random.Float64()*total, 0
				for n < tenants-1 && x >= zipf[n] {
					x -= zipf[n]
					n++
				}
				tenant, at := fmt.Sprint(n), 0
				if random.IntN(2) == 0 {
					var candidates []Candidate
					for i, target := range targets {
						c := Candidate{Index: i, Leader: i == 0, Distance: distances[i], Slots: 4, Latency: 25 * time.Millisecond}
						if useOpening {
							c.Opening = target.Pool.OpeningCost(tenant)
						}
						candidates = append(candidates, c)
					}
					equalizeLeaderOpening(candidates)
					at = RankCandidates(candidates, Requirement{})[0]
					reads[at]++
				}
				c, verdict := targets[at].Pool.AcquireFor(tenant, 1, 0, time.Now().Add(time.Second))
				if verdict != backend.Acquired {
					t.Errorf("request of tenant %s: verdict %d", tenant, verdict)
					continue
				}
				targets[at].Pool.Release(c)
			}
			return dialer.dials, reads
		}
		var nearest, sticky int
		var readsNearest, readsSticky []int
		var wg sync.WaitGroup
		wg.Go(func() { nearest, readsNearest = play(false) })
		wg.Go(func() { sticky, readsSticky = play(true) })
		wg.Wait()
		t.Logf("%d requests, half of them reads: %d openings with all reads at the nearest replica %v, %d with the cost of opening %v",
			requests, nearest, readsNearest, sticky, readsSticky)
		So(sticky, ShouldBeLessThan, nearest)
	})
}
