package e2e

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/laburnumrack/laburnumrack/internal/bench"
	"github.com/laburnumrack/laburnumrack/internal/ctl"
	standin "github.com/laburnumrack/laburnumrack/internal/standin/platform"
	"github.com/laburnumrack/laburnumrack/internal/standin/target"
)

// binary is the path of the laburnumrack executable, built once for all tests.
var binary string

// TestMain builds the executable and removes it after the tests.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "laburnumrack-e2e")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "laburnumrack")
	build := exec.Command("go", "build", "-o", binary, "github.com/laburnumrack/laburnumrack/cmd/laburnumrack")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// slotsPerTarget is how many statements may run on a target at once.
const slotsPerTarget = 6

// deployment is a group of three targets, a platform stand-in and a fleet of daemons.
type deployment struct {
	t        *testing.T
	platform *standin.Platform
	group    *target.Group
	fleet    *bench.Fleet
}

// deploy starts a deployment with a number of daemons, loads its configuration and
// creates the table of orders. block selects the addresses of the fleet, so that each
// test has its own.
func deploy(t *testing.T, block, daemons int) *deployment {
	t.Helper()
	d := &deployment{t: t}
	var err error
	d.platform, err = standin.Start(standin.Config{})
	d.requireNoError(err)
	t.Cleanup(d.platform.Close)
	d.group, err = target.StartGroup([]target.Config{
		{Name: "t1", Slots: slotsPerTarget, ConnectDelay: -1},
		{Name: "t2", Slots: slotsPerTarget, ConnectDelay: -1},
		{Name: "t3", Slots: slotsPerTarget, ConnectDelay: -1},
	})
	d.requireNoError(err)
	t.Cleanup(d.group.Close)
	d.fleet, err = bench.StartFleet(t.Context(), bench.FleetConfig{
		Binary:       binary,
		LogDir:       t.TempDir(),
		Domains:      []string{"east", "west"},
		AddressBlock: block,
		Platform:     d.platform,
	}, daemons)
	d.requireNoError(err)
	t.Cleanup(d.fleet.Close)
	d.declare()
	d.exec(d.fleet.VMs[0], "CREATE TABLE IF NOT EXISTS orders (id text, bin text)")
	return d
}

// requireNoError ends the test if err is not nil.
func (d *deployment) requireNoError(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}

// declare loads the configuration and waits until every daemon applies it.
func (d *deployment) declare() {
	d.t.Helper()
	domains := []string{"east", "west", "west"}
	targets := make([]string, len(domains))
	for i, in := range d.group.Instances {
		targets[i] = fmt.Sprintf("TARGET %s AT %s IN %s SLOTS %d CONNECTIONS 20", in.Name(), in.Address(), domains[i], slotsPerTarget)
	}
	text := fmt.Sprintf(`
		DECLARE REGION r (FAILURE DOMAIN east, west);
		DECLARE SERVICE s (DATABASE d (%s));
		DECLARE CALLER c (PASSWORD 'pw', SERVICES s, CLASS fan-order);`, strings.Join(targets, ", "))
	d.requireNoError(ctl.Run(d.t.Context(), ctl.Options{
		Addresses: []string{d.fleet.VMs[0].Admin},
		Secret:    bench.FleetSecret,
		File:      "-",
		In:        strings.NewReader(text),
		Out:       io.Discard,
	}))
	const gauge = "laburnumrack_config_revision"
	for _, vm := range d.fleet.VMs {
		d.waitFor(func() bool {
			counters, _ := bench.Scrape(d.t.Context(), []string{vm.Admin}, gauge)
			return counters[gauge] >= float64(d.platform.Revision())
		})
	}
}

// connect opens a session at a daemon.
func (d *deployment) connect(ctx context.Context, vm *bench.FleetVM) (*pgx.Conn, error) {
	return pgx.Connect(ctx, fmt.Sprintf("postgres://c:pw@%s/s.d?sslmode=disable", vm.Caller))
}

// exec runs a statement that must succeed. It retries while the error says that the
// statement did not run.
func (d *deployment) exec(vm *bench.FleetVM, sql string) {
	d.t.Helper()
	for {
		err := d.tryExec(vm, sql)
		if err == nil {
			return
		}
		if !isNotExecuted(err) || d.t.Context().Err() != nil {
			d.t.Fatalf("%s at %s: %v", sql, vm.Name, err)
		}
	}
}

// tryExec runs a statement once in a session of its own.
func (d *deployment) tryExec(vm *bench.FleetVM, sql string) error {
	conn, err := d.connect(d.t.Context(), vm)
	if err != nil {
		return err
	}
	defer conn.Close(context.Background())
	_, err = conn.Exec(d.t.Context(), sql)
	return err
}

// ids returns the IDs of the orders that the primary has, read through a daemon. It
// fails the test if an ID occurs twice.
func (d *deployment) ids(vm *bench.FleetVM) map[string]bool {
	d.t.Helper()
	conn, err := d.connect(d.t.Context(), vm)
	d.requireNoError(err)
	defer conn.Close(context.Background())
	rows, err := conn.Query(d.t.Context(), "SELECT id FROM orders")
	d.requireNoError(err)
	list, err := pgx.CollectRows(rows, pgx.RowTo[string])
	d.requireNoError(err)
	ids := map[string]bool{}
	for _, id := range list {
		if ids[id] {
			d.t.Errorf("order %s exists twice", id)
		}
		ids[id] = true
	}
	return ids
}

// isNotExecuted reports whether an error has a code that guarantees that the statement
// did not run.
func isNotExecuted(err error) bool {
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		return false
	}
	switch pg.Code {
	case "57P01", "57P03", "53300", "40001", "57014":
		return true
	default:
		return false
	}
}

// writer inserts orders through the fleet, one at a time.
type writer struct {
	d    *deployment
	name string
	// gateways returns the daemons to connect to.
	gateways func() []*bench.FleetVM
	// acknowledged holds the IDs of the orders whose insert succeeded.
	acknowledged []string
	// disconnected counts requests whose connection ended without an answer, unknown
	// those with an error that leaves the outcome open.
	disconnected, unknown int
}

// run inserts orders until ctx ends, and retries those that did not run.
func (w *writer) run(ctx context.Context) {
	var conn *pgx.Conn
	defer func() {
		if conn != nil {
			conn.Close(context.Background())
		}
	}()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", w.name, n)
		for ctx.Err() == nil {
			if conn == nil || conn.IsClosed() {
				conn = w.dial(n)
				continue
			}
			_, err := conn.Exec(context.Background(), "INSERT INTO orders (id, bin) VALUES ($1, 'b')", id)
			if err == nil {
				w.acknowledged = append(w.acknowledged, id)
				break
			}
			if isNotExecuted(err) {
				continue
			}
			w.d.t.Logf("order %s: %v", id, err)
			var pg *pgconn.PgError
			if errors.As(err, &pg) {
				w.unknown++
			} else {
				w.disconnected++
			}
			break
		}
	}
}

// dial connects to the daemon selected by n, or returns nil if that fails.
func (w *writer) dial(n int) *pgx.Conn {
	gateways := w.gateways()
	conn, err := w.d.connect(context.Background(), gateways[n%len(gateways)])
	if err != nil {
		return nil
	}
	return conn
}

// load runs writers while during runs, and returns them once they have stopped. during
// gets a function that returns the length of the log of the first target.
func (d *deployment) load(count int, gateways func() []*bench.FleetVM, during func(written func() int64)) []*writer {
	ctx, stop := context.WithCancel(d.t.Context())
	var wg sync.WaitGroup
	writers := make([]*writer, count)
	for i := range writers {
		writers[i] = &writer{d: d, name: fmt.Sprintf("w%d", i), gateways: gateways}
		wg.Go(func() { writers[i].run(ctx) })
	}
	during(func() int64 { return int64(len(d.group.Instances[0].Log())) })
	stop()
	wg.Wait()
	return writers
}

// waitFor polls a condition until it holds. It fails the test when the context of the
// test ends.
func (d *deployment) waitFor(condition func() bool) {
	d.t.Helper()
	for !condition() {
		select {
		case <-d.t.Context().Done():
			d.t.Fatal("condition was not met before the test ended")
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// TestRollingReplacement guards against lost, cut or repeated requests when all daemons
// are replaced one by one under load.
func TestRollingReplacement(t *testing.T) {
	d := deploy(t, 3, 4)
	var mu sync.Mutex
	gateways := func() []*bench.FleetVM {
		mu.Lock()
		defer mu.Unlock()
		return append([]*bench.FleetVM(nil), d.fleet.VMs...)
	}
	writers := d.load(4, gateways, func(written func() int64) {
		for range 4 {
			before := written()
			d.waitFor(func() bool { return written() > before+20 })
			mu.Lock()
			err := d.fleet.Replace()
			mu.Unlock()
			d.requireNoError(err)
			d.requireNoError(d.fleet.Ready(t.Context()))
		}
	})
	ids := d.ids(d.fleet.VMs[0])
	acknowledged := 0
	for _, w := range writers {
		if w.disconnected != 0 || w.unknown != 0 {
			t.Errorf("writer %s: %d requests ended without an answer, %d with unknown outcome", w.name, w.disconnected, w.unknown)
		}
		for _, id := range w.acknowledged {
			acknowledged++
			if !ids[id] {
				t.Errorf("order %s was acknowledged and is missing", id)
			}
		}
	}
	if len(ids) != acknowledged {
		t.Errorf("%d orders exist, %d were acknowledged", len(ids), acknowledged)
	}
	t.Logf("%d orders through 4 replacements", acknowledged)
}

// TestKilledHome guards against a commit of a transaction whose home was killed: the
// transaction of another daemon in the failure domain must fail and leave no rows, and a
// later statement must succeed at a new home.
func TestKilledHome(t *testing.T) {
	d := deploy(t, 4, 4)
	ctx := t.Context()
	vms := d.fleet.VMs
	// vm0 and vm2 are in one failure domain, and one of them is the home of s.d for
	// both, as soon as they know each other. Each opens a transaction before the home is
	// killed.
	conns := map[*bench.FleetVM]*pgx.Conn{}
	for _, vm := range []*bench.FleetVM{vms[0], vms[2]} {
		conn, err := d.connect(ctx, vm)
		d.requireNoError(err)
		conns[vm] = conn
	}
	home, transactions := d.beginAtCommonHome(ctx, conns)
	other := vms[0]
	if home == other {
		other = vms[2]
	}
	d.fleet.Kill(home)
	_, err := transactions[other].Exec(ctx, "INSERT INTO orders (id, bin) VALUES ('late', 'tx')")
	if err == nil {
		t.Error("a statement succeeded in a transaction whose home was killed")
	}
	if err := transactions[other].Commit(ctx); err == nil {
		t.Error("a transaction was committed whose home was killed")
	}
	d.exec(other, "INSERT INTO orders (id, bin) VALUES ('after', 'b')")
	ids := d.ids(other)
	if len(ids) != 1 || !ids["after"] {
		t.Errorf("orders after the home was killed: %v, want only the one inserted afterwards", ids)
	}
	for _, conn := range conns {
		conn.Close(ctx)
	}
}

// commonHomeTimeout is how long the daemons of a failure domain may take to agree on the
// home of a group.
const commonHomeTimeout = 10 * time.Second

// beginAtCommonHome begins a transaction on each connection and inserts the name of its VM.
// It returns the VM that runs all of them as the home of the group, and the transactions.
// While each VM runs its own, it rolls them back and begins again.
func (d *deployment) beginAtCommonHome(ctx context.Context, conns map[*bench.FleetVM]*pgx.Conn) (*bench.FleetVM, map[*bench.FleetVM]pgx.Tx) {
	d.t.Helper()
	for started := time.Now(); time.Since(started) < commonHomeTimeout; time.Sleep(50 * time.Millisecond) {
		before := homeBatches(ctx, conns)
		transactions := map[*bench.FleetVM]pgx.Tx{}
		for vm, conn := range conns {
			tx, err := conn.Begin(ctx)
			d.requireNoError(err)
			_, err = tx.Exec(ctx, "INSERT INTO orders (id, bin) VALUES ($1, 'tx')", vm.Name)
			d.requireNoError(err)
			transactions[vm] = tx
		}
		var homes []*bench.FleetVM
		for vm, batches := range homeBatches(ctx, conns) {
			if batches > before[vm] {
				homes = append(homes, vm)
			}
		}
		if len(homes) == 1 {
			return homes[0], transactions
		}
		for _, tx := range transactions {
			d.requireNoError(tx.Rollback(ctx))
		}
	}
	d.t.Fatal("the VMs of a failure domain did not agree on a home")
	return nil, nil
}

// homeBatches returns how many batches each VM has run as a home.
func homeBatches(ctx context.Context, conns map[*bench.FleetVM]*pgx.Conn) map[*bench.FleetVM]float64 {
	batches := map[*bench.FleetVM]float64{}
	for vm := range conns {
		counters, _ := bench.Scrape(ctx, []string{vm.Admin}, "laburnumrack_home_batches_total")
		for _, n := range counters {
			batches[vm] += n
		}
	}
	return batches
}

// TestStartInOutage guards against a daemon that cannot start or serve while the object
// service is unavailable and only a peer can give it the configuration.
func TestStartInOutage(t *testing.T) {
	d := deploy(t, 5, 2)
	d.platform.SetFaults(standin.Faults{Outage: standin.OutageUnavailable})
	vm, err := d.fleet.Add("--peer", d.fleet.VMs[0].Peer)
	d.requireNoError(err)
	d.requireNoError(d.fleet.Ready(t.Context()))
	d.exec(vm, "INSERT INTO orders (id, bin) VALUES ('outage', 'b')")
	if ids := d.ids(vm); !ids["outage"] {
		t.Errorf("a daemon started during an outage does not return its own write: orders %v", ids)
	}
}

// TestPrimaryCrash guards against lost acknowledged writes and requests without an
// answer when the primary crashes under load and a replica is promoted.
func TestPrimaryCrash(t *testing.T) {
	d := deploy(t, 6, 2)
	gateways := func() []*bench.FleetVM { return d.fleet.VMs }
	writers := d.load(3, gateways, func(written func() int64) {
		before := written()
		d.waitFor(func() bool { return written() > before+20 })
		d.group.Instances[0].Crash()
		d.waitFor(func() bool {
			for _, in := range d.group.Instances[1:] {
				if s := in.Status(); s.Primary && s.Last.Index > uint64(before)+60 {
					return true
				}
			}
			return false
		})
	})
	ids := d.ids(d.fleet.VMs[0])
	for _, w := range writers {
		if w.disconnected != 0 {
			t.Errorf("writer %s: %d requests ended without an answer", w.name, w.disconnected)
		}
		for _, id := range w.acknowledged {
			if !ids[id] {
				t.Errorf("order %s was acknowledged and is missing", id)
			}
		}
	}
}
