package gateway_test

import (
	"context"
	"crypto/sha256"
	"database/sql"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/lib/pq"
	"github.com/xdg-go/scram"

	"github.com/laburnumrack/laburnumrack/internal/adapter/pgwire"
	"github.com/laburnumrack/laburnumrack/internal/adapter/platform"
	pgtarget "github.com/laburnumrack/laburnumrack/internal/adapter/target"
	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/gateway"
	"github.com/laburnumrack/laburnumrack/internal/home"
	"github.com/laburnumrack/laburnumrack/internal/session"
	standinplatform "github.com/laburnumrack/laburnumrack/internal/standin/platform"
	standin "github.com/laburnumrack/laburnumrack/internal/standin/target"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

var (
	background = context.Background()
	domains    = []string{"osijek", "vukovar", "split"}
)

// homePerDomain is a HomeFinder with one home in each failure domain. Homes begins with
// the home at index first.
type homePerDomain struct{ first int }

func (h homePerDomain) Homes(string, string) []fleet.VM {
	var vms []fleet.VM
	for i := range domains {
		vms = append(vms, fleet.VM{Name: strconv.Itoa((h.first + i) % len(domains))})
	}
	return vms
}

// HomesIn returns the home in a failure domain.
func (h homePerDomain) HomesIn(failureDomain, _, _ string) []fleet.VM {
	return []fleet.VM{{Name: strconv.Itoa(slices.Index(domains, failureDomain))}}
}

// verifier returns the SCRAM verifier of the password in the URLs of startProxy.
func verifier(t *testing.T) string {
	client, err := scram.SHA256.NewClient("", "secret", "")
	if err != nil {
		t.Fatal(err)
	}
	keys, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "0123456789abcdef", Iters: 4096})
	if err != nil {
		t.Fatal(err)
	}
	b64 := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$4096:%s$%s:%s", b64([]byte(keys.Salt)), b64(keys.StoredKey), b64(keys.ServerKey))
}

// startProxies starts a group of three targets, and in each failure domain a home and a
// proxy, all in this process. It returns the group and the URLs of the proxies.
func startProxies(t *testing.T) (*standin.Group, []string) {
	group, err := standin.NewGroup(len(domains))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	objects, err := standinplatform.Start(standinplatform.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(objects.Close)
	store, err := platform.New(platform.Options{URL: objects.URL()})
	if err != nil {
		t.Fatal(err)
	}
	db := configuration.Database{Name: "bins"}
	for i, instance := range group.Instances {
		db.Targets = append(db.Targets, configuration.Target{Name: instance.Name(), Address: instance.Address(), FailureDomain: domains[i], Slots: 3, Connections: 20})
	}
	snapshot, err := configuration.Build(
		configuration.Service{Name: "grain", State: configuration.ServiceActive, Databases: []configuration.Database{db}},
		configuration.Caller{Name: "foreman", Verifier: verifier(t), Services: []string{"grain"}},
		configuration.Region{Name: "slavonia", FailureDomains: domains},
	)
	if err != nil {
		t.Fatal(err)
	}
	keyring, err := session.NewKeyring("k", session.Key{ID: "k", Secret: make([]byte, sha256.Size)})
	if err != nil {
		t.Fatal(err)
	}
	source := configuration.Static{Snapshot: snapshot}
	openers := make([]wireunit.Opener, len(domains))
	var urls []string
	for i, domain := range domains {
		h := home.New(home.Config{
			Source: source, Store: store, Dialer: pgtarget.NewDialer(pgtarget.Config{User: "proxy"}),
			FailureDomain: domain, VM: domain, Metrics: metrics.NewSet(), Seed: uint64(i + 1),
			Shares: func(_ *configuration.Snapshot, _ configuration.Database, t configuration.Target) home.Share {
				return home.Share{Slots: t.Slots, Connections: t.Connections / len(domains)}
			},
		})
		openers[i] = h
		t.Cleanup(func() { _ = h.Shutdown(background) })
		urls = append(urls, startProxy(t, i, source, openers, keyring))
	}
	return group, urls
}

// startProxy starts the proxy of the failure domain with index i and returns its URL.
func startProxy(t *testing.T, i int, source configuration.Source, openers []wireunit.Opener, keyring *session.Keyring) string {
	set := metrics.NewSet()
	g, err := gateway.New(gateway.Config{
		Homes: homePerDomain{first: i}, Configuration: source, FailureDomain: domains[i], Metrics: set, Seed: uint64(i),
		OpenerFor: func(vm fleet.VM) wireunit.Opener {
			index, _ := strconv.Atoi(vm.Name)
			return openers[index]
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	server, err := pgwire.New(pgwire.Config{Configuration: source, Opener: g, Keyring: keyring, Metrics: set})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(background, listener) }()
	t.Cleanup(func() { _ = server.Shutdown(background) })
	return fmt.Sprintf("postgres://foreman:secret@%s/grain.bins?sslmode=disable", listener.Addr())
}

func connect(t *testing.T, url string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(background, url)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(background) })
	return conn
}

// TestWholePath runs the statements of a caller through pgwire, gateway, home and targets
// and compares the command tag or SQLSTATE of each.
func TestWholePath(t *testing.T) {
	_, urls := startProxies(t)
	conn := connect(t, urls[0])
	for _, step := range []struct{ sql, want string }{
		{"create table if not exists bins (id bigint primary key, state text)", "CREATE TABLE"},
		{"insert into bins values (1, 'on')", "INSERT 0 1"},
		{"begin", "BEGIN"}, {"select state from bins", "SELECT 1"}, {"insert into bins values (2, 'on')", "INSERT 0 1"}, {"commit", "COMMIT"},
		{"begin; insert into bins values (3, 'on'); rollback", "ROLLBACK"},
		{"begin", "BEGIN"}, {"insert into bins values (1, 'on')", "23505"}, {"select 1", "25P02"}, {"commit", "ROLLBACK"},
		{"begin read only; select count(*) from bins; commit", "COMMIT"},
		{"set laburnumrack.request_id = 'order-1'; insert into bins values (4, 'on')", "INSERT 0 1"},
		{"set laburnumrack.request_id = 'order-1'; insert into bins values (4, 'on')", "INSERT 0 1"},
		{"set laburnumrack.request_id = 'order-2'; begin; insert into bins values (5, 'on'); commit", "COMMIT"},
		{"set laburnumrack.request_id = 'order-2'; begin; insert into bins values (5, 'on'); commit", "23505"}, {"rollback", "ROLLBACK"},
		{"set laburnumrack.deadline = '50ms'; select pg_sleep(60)", "57014"},
		{"set default_transaction_read_only = on; select pg_sleep(0)", "SELECT 1"}, {"set default_transaction_read_only = off", "SET"},
		{"select state from bins where id < 9", "SELECT 4"},
	} {
		tag, err := conn.Exec(background, step.sql)
		got := tag.String()
		var e *pgconn.PgError
		if errors.As(err, &e) {
			got = e.Code
		}
		if got != step.want {
			t.Fatalf("%s: %s (%v), want %s", step.sql, got, err, step.want)
		}
	}
	t.Run("lib/pq describes before it writes in a transaction", func(t *testing.T) {
		db, err := sql.Open("postgres", urls[1])
		if err != nil {
			t.Fatal(err)
		}
		defer db.Close()
		tx, err := db.Begin()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tx.Exec("insert into bins values ($1, $2)", 6, "on"); err != nil {
			t.Fatal(err)
		}
		if err := tx.Commit(); err != nil {
			t.Fatal(err)
		}
	})
	t.Run("a large result streams", func(t *testing.T) {
		rows, err := conn.Query(background, "select generate_series(1, 100000)")
		n := 0
		for err == nil && rows.Next() {
			n++
		}
		if n != 100_000 || rows.Err() != nil {
			t.Fatalf("%d rows, %v", n, rows.Err())
		}
	})
}

// TestReadYourWritesOverFailover writes and reads while the primary crashes, in sessions
// that stay connected, move to another proxy with their token, or are new. It guards
// against acknowledged writes that a later read does not see, and against errors that do
// not say whether the write may have run.
func TestReadYourWritesOverFailover(t *testing.T) {
	const workers, writes, crashAfter = 6, 120, 200
	group, urls := startProxies(t)
	if _, err := connect(t, urls[0]).Exec(background, "create table if not exists bins (id bigint primary key, state text)"); err != nil {
		t.Fatal(err)
	}
	for _, instance := range group.Instances {
		instance.SetLag(20 * time.Millisecond)
	}
	var acknowledged, unknown atomic.Int64
	var crash sync.Once
	var wg sync.WaitGroup
	expectVisible := func(conn *pgx.Conn, id int, reader string) {
		var state string
		err := conn.QueryRow(background, "select state from bins where id = $1", id).Scan(&state)
		if errors.Is(err, pgx.ErrNoRows) {
			t.Errorf("%s does not see the acknowledged write %d", reader, id)
		}
	}
	for w := range workers {
		wg.Go(func() {
			at := w % len(urls)
			conn := connect(t, urls[at])
			for n := range writes {
				id := w*writes + n
				for {
					_, err := conn.Exec(background, "insert into bins values ($1, 'on')", id)
					var e *pgconn.PgError
					if err == nil {
						break
					}
					if !errors.As(err, &e) || e.Code != "08007" && e.Code != "23505" && !strings.Contains(e.Detail, "not_run=true") {
						t.Errorf("write %d: %v", id, err)
						return
					}
					if e.Code == "08007" {
						unknown.Add(1)
						continue // if the write ran, the retry fails with a duplicate key
					}
					if e.Code == "23505" {
						break
					}
				}
				if acknowledged.Add(1) == crashAfter {
					crash.Do(group.Instances[0].Crash)
				}
				expectVisible(conn, id, "the session")
				switch n % 8 {
				case 3:
					token := conn.PgConn().ParameterStatus("laburnumrack.session")
					at = (at + 1) % len(urls)
					conn = connect(t, urls[at]+"&laburnumrack.session="+token)
					expectVisible(conn, id, "the session that moved to another proxy")
				case 7:
					expectVisible(connect(t, urls[(at+1)%len(urls)]), id, "a new session")
				}
			}
		})
	}
	wg.Wait()
	var rows []int
	got, err := connect(t, urls[0]).Query(background, "select id from bins")
	if err != nil {
		t.Fatal(err)
	}
	if rows, err = pgx.CollectRows(got, pgx.RowTo[int]); err != nil {
		t.Fatal(err)
	}
	slices.Sort(rows)
	if len(slices.Compact(rows)) != workers*writes || acknowledged.Load() != workers*writes {
		t.Fatalf("%d rows of %d acknowledged writes", len(rows), acknowledged.Load())
	}
	t.Logf("%d acknowledged, %d unknown", acknowledged.Load(), unknown.Load())
}
