package executor

import (
	"context"
	"fmt"
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
