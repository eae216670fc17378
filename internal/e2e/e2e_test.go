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

// binary is the path of laburnumrack, built once for all tests.
var binary string

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

// slots is how many statements may run on a target at once.
const slots = 6

// deployment is a group of three targets, a platform and some daemons.
type deployment struct {
	t        *testing.T
	platform *standin.Platform
	group    *target.Group
	fleet    *bench.Fleet
}

func deploy(t *testing.T, block, daemons int) *deployment {
	t.Helper()
	d := &deployment{t: t}
	var err error
	d.platform, err = standin.Start(standin.Config{})
	d.must(err)
	t.Cleanup(d.platform.Close)
	d.group, err = target.StartGroup([]target.Config{
		{Name: "t1", Slots: slots, ConnectDelay: -1},
		{Name: "t2", Slots: slots, ConnectDelay: -1},
		{Name: "t3", Slots: slots, ConnectDelay: -1},
	})
	d.must(err)
	t.Cleanup(d.group.Close)
	d.fleet, err = bench.StartFleet(t.Context(), bench.FleetConfig{
		Binary:       binary,
		LogDir:       t.TempDir(),
		Domains:      []string{"east", "west"},
		AddressBlock: block,
		Platform:     d.platform,
	}, daemons)
	d.must(err)
	t.Cleanup(d.fleet.Close)
	d.declare()
	d.exec(d.fleet.VMs[0], "CREATE TABLE IF NOT EXISTS orders (id text, bin text)")
	return d
}

func (d *deployment) must(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}

// declare loads the configuration and waits until it is in force everywhere.
func (d *deployment) declare() {
	d.t.Helper()
	domains := []string{"east", "west", "west"}
	targets := make([]string, len(domains))
	for i, in := range d.group.Instances {
		targets[i] = fmt.Sprintf("TARGET %s AT %s IN %s SLOTS %d CONNECTIONS 20", in.Name(), in.Address(), domains[i], slots)
	}
	text := fmt.Sprintf(`
		DECLARE REGION r (FAILURE DOMAIN east, west);
		DECLARE SERVICE s (DATABASE d (%s));
		DECLARE CALLER c (PASSWORD 'pw', SERVICES s, CLASS fan-order);`, strings.Join(targets, ", "))
	d.must(ctl.Run(d.t.Context(), ctl.Options{
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

func (d *deployment) connect(ctx context.Context, vm *bench.FleetVM) (*pgx.Conn, error) {
	return pgx.Connect(ctx, fmt.Sprintf("postgres://c:pw@%s/s.d?sslmode=disable", vm.Caller))
}

// exec runs a statement that must succeed, trying again what was not run.
func (d *deployment) exec(vm *bench.FleetVM, sql string) {
	d.t.Helper()
	for {
		err := d.try(vm, sql)
		if err == nil {
			return
		}
		if !notRun(err) || d.t.Context().Err() != nil {
			d.t.Fatalf("%s at %s: %v", sql, vm.Name, err)
		}
	}
}

func (d *deployment) try(vm *bench.FleetVM, sql string) error {
	conn, err := d.connect(d.t.Context(), vm)
	if err != nil {
		return err
	}
	defer conn.Close(context.Background())
	_, err = conn.Exec(d.t.Context(), sql)
	return err
}

// ids returns the keys of the orders as the primary has them.
func (d *deployment) ids(vm *bench.FleetVM) map[string]bool {
	d.t.Helper()
	conn, err := d.connect(d.t.Context(), vm)
	d.must(err)
	defer conn.Close(context.Background())
	rows, err := conn.Query(d.t.Context(), "SELECT id FROM orders")
	d.must(err)
	list, err := pgx.CollectRows(rows, pgx.RowTo[string])
	d.must(err)
	ids := map[string]bool{}
	for _, id := range list {
		if ids[id] {
			d.t.Errorf("order %s is there twice", id)
		}
		ids[id] = true
	}
	return ids
}

// notRun reports whether an error says that nothing ran.
func notRun(err error) bool {
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

// writer sends orders through the fleet, one after another.
type writer struct {
	d    *deployment
	name string
	// entries gives the daemons to choose from.
	entries func() []*bench.FleetVM
	done    []string
	// cut counts requests that ended without an answer, unknown those whose
	// answer was unknown.
	cut, unknown int
}

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
				w.done = append(w.done, id)
				break
			}
			if notRun(err) {
				continue
			}
			w.d.t.Logf("order %s: %v", id, err)
			var pg *pgconn.PgError
			if errors.As(err, &pg) {
				w.unknown++
			} else {
				w.cut++
			}
			break
		}
	}
}

// dial connects to one of the daemons, or returns nil.
func (w *writer) dial(n int) *pgx.Conn {
	entries := w.entries()
	conn, err := w.d.connect(context.Background(), entries[n%len(entries)])
	if err != nil {
		return nil
	}
	return conn
}

// load runs writers while during runs, and returns them.
func (d *deployment) load(count int, entries func() []*bench.FleetVM, during func(written func() int64)) []*writer {
	ctx, stop := context.WithCancel(d.t.Context())
	var wg sync.WaitGroup
	writers := make([]*writer, count)
	for i := range writers {
		writers[i] = &writer{d: d, name: fmt.Sprintf("w%d", i), entries: entries}
		wg.Go(func() { writers[i].run(ctx) })
	}
	during(func() int64 { return int64(len(d.group.Instances[0].Log())) })
	stop()
	wg.Wait()
	return writers
}

// waitFor polls a condition until it holds or the test's own time is up.
func (d *deployment) waitFor(condition func() bool) {
	d.t.Helper()
	for !condition() {
		select {
		case <-d.t.Context().Done():
			d.t.Fatal("the condition never held")
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func TestRollingReplacement(t *testing.T) {
	d := deploy(t, 3, 4)
	var mu sync.Mutex
	entries := func() []*bench.FleetVM {
		mu.Lock()
		defer mu.Unlock()
		return append([]*bench.FleetVM(nil), d.fleet.VMs...)
	}
	writers := d.load(4, entries, func(written func() int64) {
		for range 4 {
			before := written()
			d.waitFor(func() bool { return written() > before+20 })
			mu.Lock()
			err := d.fleet.Replace()
			mu.Unlock()
			d.must(err)
			d.must(d.fleet.Ready(t.Context()))
		}
	})
	ids := d.ids(d.fleet.VMs[0])
	acknowledged := 0
	for _, w := range writers {
		if w.cut != 0 || w.unknown != 0 {
			t.Errorf("writer %s: %d requests were cut, %d unknown", w.name, w.cut, w.unknown)
		}
		for _, id := range w.done {
			acknowledged++
			if !ids[id] {
				t.Errorf("order %s was acknowledged and is missing", id)
			}
		}
	}
	if len(ids) != acknowledged {
		t.Errorf("%d orders are there, %d were acknowledged", len(ids), acknowledged)
	}
	t.Logf("%d orders through 4 replacements", acknowledged)
}

func TestKilledHome(t *testing.T) {
	d := deploy(t, 4, 4)
	ctx := t.Context()
	vms := d.fleet.VMs
	// vm0 and vm2 are in one failure domain; one of them is the home of s.d for
	// both. A transaction through each, then the home dies.
	conns := map[*bench.FleetVM]*pgx.Conn{}
	transactions := map[*bench.FleetVM]pgx.Tx{}
	for _, vm := range []*bench.FleetVM{vms[0], vms[2]} {
		conn, err := d.connect(ctx, vm)
		d.must(err)
		tx, err := conn.Begin(ctx)
		d.must(err)
		_, err = tx.Exec(ctx, "INSERT INTO orders (id, bin) VALUES ($1, 'tx')", vm.Name)
		d.must(err)
		conns[vm], transactions[vm] = conn, tx
	}
	home := d.homeOf(vms[0], vms[2])
	other := vms[0]
	if home == other {
		other = vms[2]
	}
	d.fleet.Kill(home)
	_, err := transactions[other].Exec(ctx, "INSERT INTO orders (id, bin) VALUES ('late', 'tx')")
	if err == nil {
		t.Error("a transaction went on after its home died")
	}
	if err := transactions[other].Commit(ctx); err == nil {
		t.Error("a transaction was committed after its home died")
	}
	d.exec(other, "INSERT INTO orders (id, bin) VALUES ('after', 'b')")
	ids := d.ids(other)
	if len(ids) != 1 || !ids["after"] {
		t.Errorf("orders after the death of the home: %v, want only the one after it", ids)
	}
	for _, conn := range conns {
		conn.Close(ctx)
	}
}

// homeOf returns the VM that runs the units of both.
func (d *deployment) homeOf(vms ...*bench.FleetVM) *bench.FleetVM {
	d.t.Helper()
	for _, vm := range vms {
		counters, _ := bench.Scrape(d.t.Context(), []string{vm.Admin}, "laburnumrack_home_connections_opened_total")
		if counters["laburnumrack_home_connections_opened_total"] > 0 {
			return vm
		}
	}
	d.t.Fatal("no VM is home")
	return nil
}

func TestStartInOutage(t *testing.T) {
	d := deploy(t, 5, 2)
	d.platform.SetFaults(standin.Faults{Outage: standin.OutageUnavailable})
	vm, err := d.fleet.Add("--peer", d.fleet.VMs[0].Peer)
	d.must(err)
	d.must(d.fleet.Ready(t.Context()))
	d.exec(vm, "INSERT INTO orders (id, bin) VALUES ('outage', 'b')")
	if ids := d.ids(vm); !ids["outage"] {
		t.Errorf("a daemon that started in an outage does not see its own write: %v", ids)
	}
}

func TestPrimaryCrash(t *testing.T) {
	d := deploy(t, 6, 2)
	entries := func() []*bench.FleetVM { return d.fleet.VMs }
	writers := d.load(3, entries, func(written func() int64) {
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
		if w.cut != 0 {
			t.Errorf("writer %s: %d requests ended without an answer", w.name, w.cut)
		}
		for _, id := range w.done {
			if !ids[id] {
				t.Errorf("order %s was acknowledged and is missing", id)
			}
		}
	}
}
