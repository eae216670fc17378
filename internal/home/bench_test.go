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
	testPatience = 20 * time.Second
)

// memoryStore is a store of one process.
type memoryStore struct {
	mu       sync.Mutex
	revision store.Revision
	objects  map[store.Key]store.Object
	down     bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: map[store.Key]store.Object{}}
}

func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *memoryStore) has(kind store.Kind, name string) bool {
	_, err := s.Get(context.Background(), store.Key{Kind: kind, Name: name})
	return err == nil
}

func (s *memoryStore) Get(_ context.Context, k store.Key) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
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
	if s.down {
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

// source is a configuration that a test can replace.
type source struct {
	mu       sync.Mutex
	snapshot *configuration.Snapshot
}

func (s *source) Current() *configuration.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// change replaces the snapshot by a changed copy.
func (s *source) change(f func(*configuration.Snapshot)) {
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

// readAtPrimary gives a caller a read policy that allows the primary only.
func (b *bench) readAtPrimary(caller string) {
	b.source.change(func(n *configuration.Snapshot) {
		n.Callers[caller] = configuration.Versioned[configuration.Caller]{Value: configuration.Caller{Name: caller, Policy: "current"}}
		n.Policies["current"] = configuration.Versioned[configuration.ReadPolicy]{Value: configuration.ReadPolicy{PrimaryOnly: true}}
	})
}

func (s *source) drain(name string) {
	s.change(func(n *configuration.Snapshot) {
		d := configuration.Drain{Kind: configuration.DrainTarget, Name: name}
		n.Drains["target:"+name] = configuration.Versioned[configuration.Drain]{Value: d, Version: n.Revision}
	})
}

// bench is a group of stand-ins with homes in front of it.
type bench struct {
	testing.TB
	group  *standin.Group
	store  *memoryStore
	source *source
	homes  []*Home
	// onOutcome, if set, sees the outcome of every request of load.
	onOutcome func(outcome.Outcome)
}

func domainOf(i int) string {
	return []string{"osijek", "vukovar", "split"}[i%3]
}

// newBench starts a group of three and n homes, one a failure domain.
func newBench(t testing.TB, n int, adjust ...func(*Config)) *bench {
	t.Helper()
	g, err := standin.NewGroup(3)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	b := &bench{TB: t, group: g, store: newMemoryStore(), source: &source{snapshot: configuration.Empty()}}
	b.declare()
	for i := range n {
		b.addHome(i, adjust...)
	}
	b.mustDo(b.write("CREATE TABLE IF NOT EXISTS bins (id bigint PRIMARY KEY, state text)"))
	return b
}

func (b *bench) declare() {
	db := configuration.Database{Name: testDatabase}
	for i, in := range b.group.Instances {
		db.Targets = append(db.Targets, configuration.Target{
			Name: in.Name(), Address: in.Address(), FailureDomain: domainOf(i), Slots: 3, Connections: 20,
		})
	}
	service := configuration.Service{Name: testService, State: configuration.ServiceActive, Databases: []configuration.Database{db}}
	b.source.change(func(n *configuration.Snapshot) {
		n.Services[testService] = configuration.Versioned[configuration.Service]{Value: service, Version: n.Revision}
	})
}

func (b *bench) addHome(i int, adjust ...func(*Config)) *Home {
	config := Config{
		Source: b.source, Store: b.store, Dialer: pgtarget.NewDialer(pgtarget.Config{User: "proxy"}),
		FailureDomain: domainOf(i), VM: fmt.Sprintf("vm%d", i), Seed: uint64(i + 1),
		Shares: func(_ *configuration.Snapshot, _ configuration.Database, t configuration.Target) Share {
			return Share{Slots: t.Slots, Connections: t.Connections / 3}
		},
	}
	for _, f := range adjust {
		f(&config)
	}
	h := New(config)
	b.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = h.Shutdown(ctx)
	})
	b.homes = append(b.homes, h)
	return h
}

// request is one unit of work with one batch.
type request struct {
	header wireunit.Header
	sql    string
	// extended asks for the extended query protocol.
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

func (b *bench) write(sql string) request {
	return request{header: wireunit.Header{Service: testService, Database: testDatabase, Caller: "silo"}, sql: sql}
}

func (b *bench) readAnywhere(sql string) request {
	r := b.write(sql)
	r.header.ReadOnly = true
	r.header.SessionAge = time.Hour
	return r
}

// mayWrite returns the header of a unit that is not known to write nothing.
func (r request) mayWrite() wireunit.Header {
	r.header.ReadOnly = false
	return r.header
}

func (r request) id(id string) request {
	r.header.RequestID = id
	return r
}

// answer is what a unit of work brought.
type answer struct {
	wireunit.Result
	messages []byte
}

// types returns the types of the messages in the answer.
func (a answer) types() string {
	var out []byte
	for m := a.messages; len(m) >= messageHeaderBytes; m = m[binary.BigEndian.Uint32(m[1:])+1:] {
		out = append(out, m[0])
	}
	return string(out)
}

// values returns the first column of the rows in the answer.
func (a answer) values() []string {
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

func (b *bench) doAt(h *Home, r request) answer {
	u, o := h.Open(context.Background(), r.header)
	if !o.OK() {
		return answer{Result: ended(o)}
	}
	defer u.Close()
	var sink bytes.Buffer
	result := u.Exchange(context.Background(), r.batch(b), &sink)
	return answer{Result: result, messages: sink.Bytes()}
}

func (b *bench) do(r request) answer {
	return b.doAt(b.homes[0], r)
}

func (b *bench) mustDo(r request) answer {
	b.Helper()
	a := b.do(r)
	if !a.Outcome.OK() {
		b.Fatalf("%s: %+v", r.sql, a.Outcome)
	}
	return a
}

// until repeats a request until it is done. Only what did not run is repeated.
func (b *bench) until(h *Home, r request) answer {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testPatience)
	defer cancel()
	for {
		a := b.doAt(h, r)
		if a.Outcome.OK() || ctx.Err() != nil {
			return a
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (b *bench) wait(in *standin.Instance, cond func(target.Status) bool) {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testPatience)
	defer cancel()
	if err := in.Wait(ctx, cond); err != nil {
		b.Fatalf("waiting for %s: %v", in.Name(), err)
	}
}

// replicated waits until every instance has applied the position.
func (b *bench) replicated(a answer) {
	b.Helper()
	for _, in := range b.group.Instances {
		b.wait(in, func(s target.Status) bool { return s.Applied.Covers(a.Position) })
	}
}

// count returns how many rows the table has, read at the primary.
func (b *bench) count(h *Home, where string) string {
	b.Helper()
	a := b.until(h, b.write("SELECT count(*) FROM bins WHERE "+where))
	if len(a.values()) != 1 {
		b.Fatalf("count: %+v", a.Result)
	}
	return a.values()[0]
}
