package home

import (
	"context"
	"io"
	"testing"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/target"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// stubConn answers every batch at once with a fixed reply, so that a benchmark measures
// only the work of the home.
type stubConn struct {
	target.Conn
	reply target.Reply
}

func (c *stubConn) Exchange(_ context.Context, x target.Exchange, _ io.Writer) (target.Reply, error) {
	r := c.reply
	r.Held = append(x.Held, 'C', 0, 0, 0, 4)
	return r, nil
}

func (c *stubConn) Reusable() bool       { return true }
func (c *stubConn) Fence() position.Term { return 1 }
func (c *stubConn) Dirty() bool          { return false }
func (c *stubConn) Close() error         { return nil }

// newStubbedRead returns a function that runs a read on a replica through all of the
// home, without sockets.
func newStubbedRead(t testing.TB) func() {
	tc := newTestCluster(t, 1, func(c *Config) {
		c.FailureDomain = "vukovar"
		c.Shares = func(*configuration.Snapshot, configuration.Database, configuration.Target) Share {
			return Share{Slots: 1, Connections: 1 + controlConnections}
		}
	})
	h := tc.homes[0]
	read := tc.readAnywhere("SELECT count(*) FROM bins")
	tc.eventually(func() bool { return tc.doUntilDone(h, read).Origin.Replica })
	d, _ := h.databases.Load(databaseKey{testService, testDatabase})
	for _, i := range d.members.Load().byName {
		tc.eventually(func() bool { _, idle, _ := i.pool.load(); return idle == 1 })
		stub := &stubConn{reply: target.Reply{Status: wireunit.TxIdle, HasStatusAfter: true, Succeeded: true}}
		stub.reply.StatusAfter = d.state.Load().replicas[i.declared.Name].Status
		i.pool.mu.Lock()
		_ = i.pool.idle[0].Close()
		i.pool.idle[0].Conn = stub
		i.pool.mu.Unlock()
	}
	batch := mustQuery(t, read.sql)
	return func() {
		u, o := h.Open(context.Background(), read.header)
		if !o.OK() {
			t.Fatal(o)
		}
		if r := u.Exchange(context.Background(), batch, io.Discard); r.Outcome.Kind != outcome.Done {
			t.Fatal(r.Outcome)
		}
		u.Close()
	}
}

// BenchmarkUnit measures the time and the allocations of one replica read in the home.
func BenchmarkUnit(b *testing.B) {
	run := newStubbedRead(b)
	b.ReportAllocs()
	for b.Loop() {
		run()
	}
}
