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

// localRows is the reply to a report call: the rows of one daemon.
type localRows[T any] struct {
	Rows []T `cbor:"1,keyasint,omitempty"`
}

// gather calls method on every other VM of the fleet and returns local, the rows of this
// daemon, together with theirs. VMs that do not reply are listed in Missing.
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
			reply, err := call[localRows[T]](ctx, d.peerClient, vm, method, emptyRequest{})
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

// reporter returns reports about the whole fleet.
type reporter struct {
	daemon *Daemon
}

// Holders returns the connections of all homes to their targets.
func (r reporter) Holders(ctx context.Context) (report.RowSet[report.Holder], error) {
	return gather(ctx, r.daemon, methodHolders, r.daemon.localHolders()), nil
}

// Replicas returns the state of each target as observed by each of its homes.
func (r reporter) Replicas(ctx context.Context) (report.RowSet[report.Replica], error) {
	return gather(ctx, r.daemon, methodReplicas, r.daemon.localReplicas()), nil
}

// VMs returns the VMs of the fleet with their roles and configuration revisions. A VM
// that does not reply is listed as not reachable.
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
			State:         vmState(vm.Leaving),
			Drained:       snapshot.Drained(configuration.DrainVM, name),
		})
	}
	return g, nil
}

// ConnectionTime returns the connection time of the last since, merged from the documents
// in the store and those that homes have not flushed yet; zero selects all.
func (r reporter) ConnectionTime(ctx context.Context, since time.Duration) (report.RowSet[report.ConnectionTime], error) {
	d := r.daemon
	g := gather(ctx, d, methodTime, d.localDocuments())
	documents := g.Rows
	page, err := d.store.List(ctx, store.KindLedger)
	if err != nil {
		// Without the store, the report still shows the documents of the homes.
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
	documents = documentsSince(documents, now, since)
	merged := ledger.Merge(documents, now.UnixNano())
	return report.RowSet[report.ConnectionTime]{Rows: timeRows(d.holder.Current(), merged), Missing: g.Missing}, nil
}

// documentsSince returns the documents whose bucket ends within the last since; zero
// selects all.
func documentsSince(documents []ledger.Document, now time.Time, since time.Duration) []ledger.Document {
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
		ref := databases[e.Target]
		rows = append(rows, report.ConnectionTime{
			Service:  ref.service,
			Database: ref.database,
			Target:   e.Target,
			State:    e.State,
			Caller:   e.Caller,
			Class:    e.Class,
			Spent:    time.Duration(e.NS),
		})
	}
	for target, ns := range merged.Unattributed {
		ref := databases[target]
		rows = append(rows, report.ConnectionTime{
			Service:  ref.service,
			Database: ref.database,
			Target:   target,
			State:    "unattributed",
			Spent:    time.Duration(ns),
		})
	}
	return rows
}

// databaseRef names the database that a target belongs to.
type databaseRef struct {
	service, database string
}

func databasesByTarget(s *configuration.Snapshot) map[string]databaseRef {
	refs := map[string]databaseRef{}
	for _, service := range s.Services {
		for _, database := range service.Value.Databases {
			for _, target := range database.Targets {
				refs[target.Name] = databaseRef{service: service.Value.Name, database: database.Name}
			}
		}
	}
	return refs
}

// Promotions returns the promotion records of the last since; zero selects all.
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
				Role:          targetRole(t.Primary, t.Valid),
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

// localVMs returns the row of this VM.
func (d *Daemon) localVMs() []report.VM {
	view := d.members.Current()
	self := view.Self
	return []report.VM{{
		Name:          self.Name,
		Address:       self.Peer.String(),
		FailureDomain: self.FailureDomain,
		State:         vmState(self.Leaving),
		Reachable:     true,
		Drained:       d.holder.Current().Drained(configuration.DrainVM, self.Name),
		Roles:         vmRoles(view.IsRelay(), len(d.home.Snapshot().Databases) > 0),
		Configuration: d.holder.Current().Revision,
		Version:       buildinfo.Version(),
	}}
}

func (d *Daemon) localDocuments() []ledger.Document {
	return d.ledger.Flush(time.Now())
}

func vmState(leaving bool) string {
	if leaving {
		return string(store.VMLeaving)
	}
	return string(store.VMLive)
}

func targetRole(primary, valid bool) string {
	switch {
	case primary:
		return "primary"
	case valid:
		return "replica"
	default:
		return "unknown"
	}
}

func vmRoles(relay, home bool) string {
	roles := "entry"
	if home {
		roles += " home"
	}
	if relay {
		roles += " relay"
	}
	return roles
}
