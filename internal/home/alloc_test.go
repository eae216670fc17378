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

// cannedConn answers every batch at once, so that only the home's own work shows.
type cannedConn struct {
	target.Conn
	reply target.Reply
}

func (c *cannedConn) Exchange(_ context.Context, x target.Exchange, _ io.Writer) (target.Reply, error) {
	r := c.reply
	r.Held = append(x.Held, 'C', 0, 0, 0, 4)
	return r, nil
}

func (c *cannedConn) Reusable() bool       { return true }
func (c *cannedConn) Fence() position.Term { return 1 }
func (c *cannedConn) Dirty() bool          { return false }
func (c *cannedConn) Close() error         { return nil }

// cannedUnit returns a function that runs a read on a replica through the whole
// path of the home, without sockets.
func cannedUnit(t testing.TB) func() {
	b := newBench(t, 1, func(c *Config) {
		c.FailureDomain = "vukovar"
		c.Shares = func(*configuration.Snapshot, configuration.Database, configuration.Target) Share {
			return Share{Slots: 1, Connections: 1 + controlConnections}
		}
	})
	h := b.homes[0]
	read := b.readAnywhere("SELECT count(*) FROM bins")
	b.eventually(func() bool { return b.until(h, read).Origin.Replica })
	d, _ := h.databases.Load(databaseKey{testService, testDatabase})
	for _, i := range d.members.Load().byName {
		b.eventually(func() bool { _, idle, _ := i.pool.load(); return idle == 1 })
		canned := &cannedConn{reply: target.Reply{Status: wireunit.TxIdle, AfterKnown: true, Succeeded: true}}
		canned.reply.After = d.state.Load().replicas[i.declared.Name].Status
		i.pool.mu.Lock()
		_ = i.pool.idle[0].Close()
		i.pool.idle[0].Conn = canned
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

func BenchmarkUnit(b *testing.B) {
	run := cannedUnit(b)
	b.ReportAllocs()
	for b.Loop() {
		run()
	}
}
