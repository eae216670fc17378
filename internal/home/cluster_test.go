package home

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	pgtarget "github.com/laburnumrack/laburnumrack/internal/adapter/target"
	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	standin "github.com/laburnumrack/laburnumrack/internal/standin/target"
	"github.com/laburnumrack/laburnumrack/internal/store"
	"github.com/laburnumrack/laburnumrack/internal/target"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

const (
	testService  = "zrnobaza"
	testDatabase = "osijek"
	testTimeout  = 20 * time.Second
)

// memoryStore is an in-memory store.
type memoryStore struct {
	mu          sync.Mutex
	revision    store.Revision
	objects     map[store.Key]store.Object
	unavailable bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: map[store.Key]store.Object{}}
}

func (s *memoryStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

func (s *memoryStore) has(kind store.Kind, name string) bool {
	_, err := s.Get(context.Background(), store.Key{Kind: kind, Name: name})
	return err == nil
}

func (s *memoryStore) Get(_ context.Context, k store.Key) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return store.Object{}, store.ErrUnavailable
	}
	o, ok := s.objects[k]
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return o, nil
}

func (s *memoryStore) Put(_ context.Context, o store.Object) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return store.Object{}, store.ErrUnavailable
	}
	current := s.objects[o.Key]
	if current.Version != o.Version {
		return store.Object{}, &store.ConflictError{Key: o.Key, Current: current}
	}
	s.revision++
	o.Version = s.revision
	s.objects[o.Key] = o
	return o, nil
}

func (s *memoryStore) List(context.Context, ...store.Kind) (store.Page, error) {
	return store.Page{}, store.ErrUnavailable
}

func (s *memoryStore) Delete(context.Context, store.Key, store.Revision) error {
	return store.ErrUnavailable
}

func (s *memoryStore) Watch(context.Context, store.Revision, time.Duration, ...store.Kind) (store.Page, error) {
	return store.Page{}, store.ErrUnavailable
}

func (s *memoryStore) VMs(context.Context) ([]store.VM, error) {
	return nil, store.ErrUnavailable
}

// configSource is a configuration source whose snapshot a test can replace.
type configSource struct {
	mu       sync.Mutex
	snapshot *configuration.Snapshot
}

func (s *configSource) Current() *configuration.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// change replaces the snapshot with a modified copy.
func (s *configSource) change(f func(*configuration.Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := configuration.Empty()
	next.Revision = s.snapshot.Revision + 1
	for k, v := range s.snapshot.Services {
		next.Services[k] = v
	}
	for k, v := range s.snapshot.Drains {
		next.Drains[k] = v
	}
	f(next)
	s.snapshot = next
}

// requirePrimaryReads gives a caller a read policy that allows only the primary.
func (tc *testCluster) requirePrimaryReads(caller string) {
	tc.source.change(func(n *configuration.Snapshot) {
		n.Callers[caller] = configuration.Versioned[configuration.Caller]{Value: configuration.Caller{Name: caller, Policy: "current"}}
		n.Policies["current"] = configuration.Versioned[configuration.ReadPolicy]{Value: configuration.ReadPolicy{PrimaryOnly: true}}
	})
}

func (s *configSource) drain(name string) {
	s.change(func(n *configuration.Snapshot) {
		d := configuration.Drain{Kind: configuration.DrainTarget, Name: name}
		n.Drains["target:"+name] = configuration.Versioned[configuration.Drain]{Value: d, Version: n.Revision}
	})
}

// testCluster is a group of stand-in targets with homes in front of it.
type testCluster struct {
	testing.TB
	group  *standin.Group
	store  *memoryStore
	source *configSource
	homes  []*Home
	// onOutcome, if set, is called with the outcome of every request of runWriters.
	onOutcome func(outcome.Outcome)
}

func domainOf(i int) string {
	return []string{"osijek", "vukovar", "split"}[i%3]
}

// newTestCluster starts a group of three targets and n homes, one per failure domain.
func newTestCluster(t testing.TB, n int, adjust ...func(*Config)) *testCluster {
	t.Helper()
	g, err := standin.NewGroup(3)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	tc := &testCluster{TB: t, group: g, store: newMemoryStore(), source: &configSource{snapshot: configuration.Empty()}}
	tc.declare()
	for i := range n {
		tc.addHome(i, adjust...)
	}
	tc.mustDo(tc.write("CREATE TABLE IF NOT EXISTS bins (id bigint PRIMARY KEY, state text)"))
	return tc
}

func (tc *testCluster) declare() {
	db := configuration.Database{Name: testDatabase}
	for i, in := range tc.group.Instances {
		db.Targets = append(db.Targets, configuration.Target{
			Name: in.Name(), Address: in.Address(), FailureDomain: domainOf(i), Slots: 3, Connections: 20,
		})
	}
	service := configuration.Service{Name: testService, State: configuration.ServiceActive, Databases: []configuration.Database{db}}
	tc.source.change(func(n *configuration.Snapshot) {
		n.Services[testService] = configuration.Versioned[configuration.Service]{Value: service, Version: n.Revision}
	})
}

func (tc *testCluster) addHome(i int, adjust ...func(*Config)) *Home {
	config := Config{
		Source: tc.source, Store: tc.store, Dialer: pgtarget.NewDialer(pgtarget.Config{User: "proxy"}),
		FailureDomain: domainOf(i), VM: fmt.Sprintf("vm%d", i), Seed: uint64(i + 1),
		Shares: func(_ *configuration.Snapshot, _ configuration.Database, t configuration.Target) Share {
			return Share{Slots: t.Slots, Connections: t.Connections / 3}
		},
	}
	for _, f := range adjust {
		f(&config)
	}
	h := New(config)
	tc.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = h.Shutdown(ctx)
	})
	tc.homes = append(tc.homes, h)
	return h
}

// request is a unit of work with a single batch.
type request struct {
	header wireunit.Header
	sql    string
	// extended selects the extended query protocol.
	extended bool
}

func (r request) batch(t testing.TB) wireunit.Batch {
	if !r.extended {
		return mustQuery(t, r.sql)
	}
	var out []byte
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Parse{Query: r.sql}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{},
	} {
		var err error
		if out, err = m.Encode(out); err != nil {
			t.Fatal(err)
		}
	}
	return wireunit.Batch{Messages: out}
}

func (tc *testCluster) write(sql string) request {
	return request{header: wireunit.Header{Service: testService, Database: testDatabase, Caller: "silo"}, sql: sql}
}

func (tc *testCluster) readAnywhere(sql string) request {
	r := tc.write(sql)
	r.header.ReadOnly = true
	r.header.SessionAge = time.Hour
	return r
}

// writableHeader returns the header for a unit that may write.
func (r request) writableHeader() wireunit.Header {
	r.header.ReadOnly = false
	return r.header
}

func (r request) withID(id string) request {
	r.header.RequestID = id
	return r
}

// response is the result of a unit of work, with the messages that reached the caller.
type response struct {
	wireunit.Result
	messages []byte
}

// types returns the type bytes of the messages.
func (a response) types() string {
	var out []byte
	for m := a.messages; len(m) >= messageHeaderBytes; m = m[binary.BigEndian.Uint32(m[1:])+1:] {
		out = append(out, m[0])
	}
	return string(out)
}

// values returns the first column of the rows.
func (a response) values() []string {
	var v firstValues
	_, _ = v.Write(a.messages)
	return v.values
}

func mustQuery(t testing.TB, sql string) wireunit.Batch {
	batch, err := query(sql)
	if err != nil {
		t.Fatal(err)
	}
	return batch
}

func (tc *testCluster) doAt(h *Home, r request) response {
	u, o := h.Open(context.Background(), r.header)
	if !o.OK() {
		return response{Result: failedResult(o)}
	}
	defer u.Close()
	var sink bytes.Buffer
	result := u.Exchange(context.Background(), r.batch(tc), &sink)
	return response{Result: result, messages: sink.Bytes()}
}

func (tc *testCluster) do(r request) response {
	return tc.doAt(tc.homes[0], r)
}

func (tc *testCluster) mustDo(r request) response {
	tc.Helper()
	a := tc.do(r)
	if !a.Outcome.OK() {
		tc.Fatalf("%s: %+v", r.sql, a.Outcome)
	}
	return a
}

// doUntilDone repeats a request until it is done or testTimeout has passed.
func (tc *testCluster) doUntilDone(h *Home, r request) response {
	tc.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for {
		a := tc.doAt(h, r)
		if a.Outcome.OK() || ctx.Err() != nil {
			return a
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (tc *testCluster) waitForStatus(in *standin.Instance, cond func(target.Status) bool) {
	tc.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := in.Wait(ctx, cond); err != nil {
		tc.Fatalf("waiting for %s: %v", in.Name(), err)
	}
}

// waitForReplication waits until every instance has applied the position.
func (tc *testCluster) waitForReplication(a response) {
	tc.Helper()
	for _, in := range tc.group.Instances {
		tc.waitForStatus(in, func(s target.Status) bool { return s.Applied.Covers(a.Position) })
	}
}

// countRows returns how many rows match, read at the primary.
func (tc *testCluster) countRows(h *Home, where string) string {
	tc.Helper()
	a := tc.doUntilDone(h, tc.write("SELECT count(*) FROM bins WHERE "+where))
	if len(a.values()) != 1 {
		tc.Fatalf("counting rows: %+v", a.Result)
	}
	return a.values()[0]
}
