package daemon

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/buildinfo"
	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/group"
	"github.com/laburnumrack/laburnumrack/internal/ledger"
	"github.com/laburnumrack/laburnumrack/internal/report"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// localRows is what one daemon knows itself.
type localRows[T any] struct {
	Rows []T `cbor:"1,keyasint,omitempty"`
}

// gather asks every VM of the fleet for its rows; local are those of this daemon.
func gather[T any](ctx context.Context, d *Daemon, method string, local []T) report.RowSet[T] {
	view := d.members.Current()
	out := report.RowSet[T]{Rows: local}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, vm := range view.VMs {
		if vm.Name == view.Self.Name {
			continue
		}
		wg.Go(func() {
			reply, err := call[localRows[T]](ctx, d.peers, vm, method, none{})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				out.Missing = append(out.Missing, vm.Name)
				return
			}
			out.Rows = append(out.Rows, reply.Rows...)
		})
	}
	wg.Wait()
	sort.Strings(out.Missing)
	return out
}

// reporter gathers rows of the whole fleet.
type reporter struct {
	daemon *Daemon
}

// Holders returns the connections that the fleet holds to targets.
func (r reporter) Holders(ctx context.Context) (report.RowSet[report.Holder], error) {
	return gather(ctx, r.daemon, methodHolders, r.daemon.localHolders()), nil
}

// Replicas returns the targets as their homes see them.
func (r reporter) Replicas(ctx context.Context) (report.RowSet[report.Replica], error) {
	return gather(ctx, r.daemon, methodReplicas, r.daemon.localReplicas()), nil
}

// VMs returns the VMs of the fleet with the configuration they serve by.
func (r reporter) VMs(ctx context.Context) (report.RowSet[report.VM], error) {
	d := r.daemon
	g := gather(ctx, d, methodVM, d.localVMs())
	snapshot := d.holder.Current()
	view := d.members.Current()
	for _, name := range g.Missing {
		vm, _ := view.Find(name)
		g.Rows = append(g.Rows, report.VM{
			Name:          name,
			Address:       vm.Peer.String(),
			FailureDomain: vm.FailureDomain,
			State:         state(vm.Leaving),
			Drained:       snapshot.Drained(configuration.DrainVM, name),
		})
	}
	return g, nil
}

// Time merges the flushed buckets of the store with what homes hold unflushed.
func (r reporter) ConnectionTime(ctx context.Context, since time.Duration) (report.RowSet[report.ConnectionTime], error) {
	d := r.daemon
	g := gather(ctx, d, methodTime, d.localDocuments())
	documents := g.Rows
	page, err := d.store.List(ctx, store.KindLedger)
	if err != nil {
		// The store is down: what homes hold themselves is still worth showing.
		g.Missing = append(g.Missing, "platform")
	}
	for _, o := range page.Objects {
		document, err := ledger.DecodeDocument(o.Value)
		if err != nil {
			continue
		}
		documents = append(documents, document)
	}
	now := time.Now()
	documents = recent(documents, now, since)
	merged := ledger.Merge(documents, now.UnixNano())
	return report.RowSet[report.ConnectionTime]{Rows: timeRows(d.holder.Current(), merged), Missing: g.Missing}, nil
}

// recent keeps the documents whose bucket ends within since.
func recent(documents []ledger.Document, now time.Time, since time.Duration) []ledger.Document {
	if since <= 0 {
		return documents
	}
	var kept []ledger.Document
	for _, document := range documents {
		if (document.Bucket+1)*document.WidthNS >= now.Add(-since).UnixNano() {
			kept = append(kept, document)
		}
	}
	return kept
}

func timeRows(s *configuration.Snapshot, merged ledger.Report) []report.ConnectionTime {
	databases := databasesByTarget(s)
	var rows []report.ConnectionTime
	for _, e := range merged.Entries {
		place := databases[e.Target]
		rows = append(rows, report.ConnectionTime{
			Service:  place.service,
			Database: place.database,
			Target:   e.Target,
			State:    e.State,
			Caller:   e.Caller,
			Class:    e.Class,
			Spent:    time.Duration(e.NS),
		})
	}
	for target, ns := range merged.Unattributed {
		place := databases[target]
		rows = append(rows, report.ConnectionTime{
			Service:  place.service,
			Database: place.database,
			Target:   target,
			State:    "unattributed",
			Spent:    time.Duration(ns),
		})
	}
	return rows
}

// place is the database that a target belongs to.
type place struct {
	service, database string
}

func databasesByTarget(s *configuration.Snapshot) map[string]place {
	places := map[string]place{}
	for _, service := range s.Services {
		for _, database := range service.Value.Databases {
			for _, target := range database.Targets {
				places[target.Name] = place{service: service.Value.Name, database: database.Name}
			}
		}
	}
	return places
}

// Promotions returns the recorded changes of primary.
func (r reporter) Promotions(ctx context.Context, since time.Duration) (report.RowSet[report.Promotion], error) {
	page, err := r.daemon.store.List(ctx, store.KindPromotion)
	if err != nil {
		return report.RowSet[report.Promotion]{Missing: []string{"platform"}}, nil
	}
	return report.RowSet[report.Promotion]{Rows: promotionRows(page, time.Now(), since)}, nil
}

func (d *Daemon) localHolders() []report.Holder {
	var rows []report.Holder
	snapshot := d.home.Snapshot()
	for _, database := range snapshot.Databases {
		for _, t := range database.Targets {
			base := report.Holder{
				VM:            snapshot.VM,
				Service:       database.Service,
				Database:      database.Database,
				Target:        t.Target,
				FailureDomain: t.FailureDomain,
			}
			rows = append(rows, holderRows(base, t.Holders, t.Idle)...)
		}
	}
	return rows
}

func (d *Daemon) localReplicas() []report.Replica {
	var rows []report.Replica
	snapshot := d.home.Snapshot()
	for _, database := range snapshot.Databases {
		for _, t := range database.Targets {
			rows = append(rows, report.Replica{
				VM:            snapshot.VM,
				Service:       database.Service,
				Database:      database.Database,
				Target:        t.Target,
				FailureDomain: t.FailureDomain,
				Role:          role(t.Primary, t.Valid),
				Fence:         t.Fence,
				Last:          t.Last,
				Applied:       t.Applied,
				Age:           t.Age,
				AgeKnown:      t.Age != group.UnknownAge,
				Silent:        t.Silence,
				Drained:       t.Drained,
			})
		}
	}
	return rows
}

// localVMs returns the row of this daemon itself.
func (d *Daemon) localVMs() []report.VM {
	view := d.members.Current()
	self := view.Self
	return []report.VM{{
		Name:          self.Name,
		Address:       self.Peer.String(),
		FailureDomain: self.FailureDomain,
		State:         state(self.Leaving),
		Reachable:     true,
		Drained:       d.holder.Current().Drained(configuration.DrainVM, self.Name),
		Roles:         roles(view.IsRelay(), len(d.home.Snapshot().Databases) > 0),
		Configuration: d.holder.Current().Revision,
		Version:       buildinfo.Version(),
	}}
}

func (d *Daemon) localDocuments() []ledger.Document {
	return d.ledger.Flush(time.Now())
}

func state(leaving bool) string {
	if leaving {
		return string(store.VMLeaving)
	}
	return string(store.VMLive)
}

func role(primary, valid bool) string {
	switch {
	case primary:
		return "primary"
	case valid:
		return "replica"
	default:
		return "unknown"
	}
}

func roles(relay, home bool) string {
	roles := "entry"
	if home {
		roles += " home"
	}
	if relay {
		roles += " relay"
	}
	return roles
}
