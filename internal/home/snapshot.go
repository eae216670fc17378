package home

import (
	"sort"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/group"
	"github.com/laburnumrack/laburnumrack/internal/position"
)

// Snapshot is the state of a home, for operators.
type Snapshot struct {
	VM            string             `json:"vm"`
	FailureDomain string             `json:"failure_domain"`
	Leaving       bool               `json:"leaving"`
	Databases     []DatabaseSnapshot `json:"databases"`
}

// DatabaseSnapshot is the state of one database.
type DatabaseSnapshot struct {
	Service  string        `json:"service"`
	Database string        `json:"database"`
	Term     position.Term `json:"term"`
	Primary  string        `json:"primary"`
	Open     bool          `json:"open"`
	// Units is how many units of work are open.
	Units int64 `json:"units"`
	// WritesHeld reports whether a hand-over is blocking new writes.
	WritesHeld bool             `json:"writes_held"`
	Targets    []TargetSnapshot `json:"targets"`
}

// TargetSnapshot is the state of one target.
type TargetSnapshot struct {
	Target        string            `json:"target"`
	FailureDomain string            `json:"failure_domain"`
	Primary       bool              `json:"primary"`
	Valid         bool              `json:"valid"`
	Drained       bool              `json:"drained"`
	Fence         position.Term     `json:"fence"`
	Last          position.Position `json:"last"`
	Applied       position.Position `json:"applied"`
	// Age is the staleness of the target's data; group.UnknownAge if it is not known.
	Age time.Duration `json:"age"`
	// Silence is how long the target has not answered a status call.
	Silence time.Duration `json:"silence"`
	// RoundTrip is a moving average of the round trips of status calls.
	RoundTrip time.Duration `json:"round_trip"`
	// Used, Idle and Free count the connections of the home's share.
	Used int `json:"used"`
	Idle int `json:"idle"`
	Free int `json:"free"`
	// Slots, Running and Waiting describe the admission queue of the target.
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Holders lists the units of work that hold a connection, the longest-held first.
	Holders []Holder `json:"holders,omitempty"`
}

// Holder is one unit of work that holds a connection.
type Holder struct {
	Caller string `json:"caller"`
	Class  string `json:"class,omitempty"`
	// InTransaction reports whether the connection is waiting for the next batch of the
	// transaction.
	InTransaction bool          `json:"in_transaction"`
	Since         time.Duration `json:"since"`
}

// Snapshot returns the state of the home, sorted by service and database.
func (h *Home) Snapshot() Snapshot {
	out := Snapshot{VM: h.config.VM, FailureDomain: h.config.FailureDomain, Leaving: h.leaving.Load()}
	h.databases.Range(func(_ databaseKey, d *database) bool {
		out.Databases = append(out.Databases, d.snapshot())
		return true
	})
	sort.Slice(out.Databases, func(i, j int) bool {
		a, b := out.Databases[i], out.Databases[j]
		if a.Service != b.Service {
			return a.Service < b.Service
		}
		return a.Database < b.Database
	})
	return out
}

func (d *database) snapshot() DatabaseSnapshot {
	s, m := d.state.Load(), d.members.Load()
	out := DatabaseSnapshot{
		Service: d.key.Service, Database: d.key.Database,
		Term: s.primary.Term, Primary: s.primary.Name, Open: s.primary.Open,
		Units: d.units.Load(), WritesHeld: s.writesStopped,
	}
	for _, name := range m.electorate {
		out.Targets = append(out.Targets, m.byName[name].snapshot(s, m.snapshot))
	}
	return out
}

func (i *instance) snapshot(s *state, c *configuration.Snapshot) TargetSnapshot {
	name := i.declared.Name
	out := TargetSnapshot{
		Target:        name,
		FailureDomain: i.declared.FailureDomain,
		Primary:       s.primary.Name == name,
		Drained:       c.Drained(configuration.DrainTarget, name),
		Age:           group.UnknownAge,
		RoundTrip:     i.roundTrip(),
		Holders:       i.holders(),
	}
	if r, ok := s.replicas[name]; ok {
		out.Valid = r.Valid
		out.Fence, out.Last, out.Applied = r.Status.Fence, r.Status.Last, r.Status.Applied
		out.Age = addAge(r.Age, time.Since(s.takenAt))
	}
	out.Silence, _ = i.silence(time.Now())
	out.Used, out.Idle, out.Free = i.pool.load()
	out.Slots, out.Running, out.Waiting = i.gate.load()
	return out
}
