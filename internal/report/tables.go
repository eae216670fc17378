package report

import (
	"maps"
	"slices"
	"strings"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/statement"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

func text(names ...string) []Column {
	columns := make([]Column, len(names))
	for i, name := range names {
		columns[i] = Column{Name: name, Kind: TextKind}
	}
	return columns
}

func column(name string, kind Kind) Column {
	return Column{Name: name, Kind: kind}
}

func sum(name string, kind Kind) Column {
	return Column{Name: name, Kind: kind, Sum: true}
}

func build[T any](what statement.TableName, g RowSet[T], columns []Column, cells func(T) []Value) Table {
	t := Table{Name: string(what), Columns: columns, Rows: [][]Value{}, Missing: g.Missing}
	for _, row := range g.Rows {
		t.Rows = append(t.Rows, cells(row))
	}
	return t
}

// Holders returns the table of connections.
func Holders(g RowSet[Holder]) Table {
	columns := append(text("vm", "service", "database", "target", "failure_domain"),
		column("connection", NumberKind), column("state", TextKind), column("caller", TextKind), column("class", TextKind), sum("for", DurationKind))
	return build(statement.ShowHolders, g, columns, func(r Holder) []Value {
		return []Value{Text(r.VM), Text(r.Service), Text(r.Database), Text(r.Target), Text(r.FailureDomain),
			Number(r.Connection), Text(r.State), Text(r.Caller), Text(r.Class), Duration(r.For)}
	})
}

// Replicas returns the table of targets and their staleness.
func Replicas(g RowSet[Replica]) Table {
	columns := append(text("vm", "service", "database", "target", "failure_domain", "role"),
		column("fence", NumberKind), column("last", TextKind), column("applied", TextKind),
		column("age", DurationKind), column("silent", DurationKind), column("drained", BoolKind))
	return build(statement.ShowReplicas, g, columns, func(r Replica) []Value {
		age := Value{}
		if r.AgeKnown {
			age = Duration(r.Age)
		}
		return []Value{Text(r.VM), Text(r.Service), Text(r.Database), Text(r.Target), Text(r.FailureDomain), Text(r.Role),
			Number(r.Fence), Text(r.Last.String()), Text(r.Applied.String()), age, Duration(r.Silent), Bool(r.Drained)}
	})
}

// ConnectionTimes returns the table of connection time.
func ConnectionTimes(g RowSet[ConnectionTime]) Table {
	columns := append(text("service", "database", "target", "state", "caller", "class"), sum("spent", DurationKind))
	return build(statement.ShowTime, g, columns, func(r ConnectionTime) []Value {
		return []Value{Text(r.Service), Text(r.Database), Text(r.Target), Text(r.State), Text(r.Caller), Text(r.Class), Duration(r.Spent)}
	})
}

// VMs returns the table of entry VMs.
func VMs(g RowSet[VM]) Table {
	columns := append(text("vm", "address", "failure_domain", "state"), column("reachable", BoolKind), column("drained", BoolKind),
		column("roles", TextKind), column("configuration", NumberKind), column("version", TextKind))
	return build(statement.ShowVMs, g, columns, func(r VM) []Value {
		revision := Value{}
		if r.Configuration != 0 {
			revision = Number(r.Configuration)
		}
		return []Value{Text(r.Name), Text(r.Address), Text(r.FailureDomain), Text(r.State), Bool(r.Reachable), Bool(r.Drained),
			Text(r.Roles), revision, Text(r.Version)}
	})
}

// Promotions returns the table of changes of primary.
func Promotions(g RowSet[Promotion]) Table {
	columns := append([]Column{column("at", TimeKind)}, text("service", "database")...)
	columns = append(columns, column("term", NumberKind), column("primary", TextKind), column("reason", TextKind), column("took", DurationKind))
	return build(statement.ShowPromotions, g, columns, func(r Promotion) []Value {
		return []Value{Timestamp(r.At), Text(r.Service), Text(r.Database), Number(r.Term), Text(r.Primary), Text(r.Reason), Duration(r.Took)}
	})
}

// sorted returns the values of a map in the order of their names.
func sorted[T any](m map[string]T) RowSet[T] {
	var g RowSet[T]
	for _, name := range slices.Sorted(maps.Keys(m)) {
		g.Rows = append(g.Rows, m[name])
	}
	return g
}

// serviceTarget is one row of the table of services.
type serviceTarget struct {
	service configuration.Versioned[configuration.Service]
	db      configuration.Database
	target  configuration.Target
}

// Services returns the table of declared targets.
func Services(s *configuration.Snapshot) Table {
	var g RowSet[serviceTarget]
	for _, svc := range sorted(s.Services).Rows {
		for _, db := range svc.Value.Databases {
			for _, t := range db.Targets {
				g.Rows = append(g.Rows, serviceTarget{svc, db, t})
			}
		}
	}
	columns := append(text("service", "state", "database", "target", "address", "failure_domain", "region"),
		sum("slots", NumberKind), sum("connections", NumberKind), column("drained", BoolKind), column("version", NumberKind))
	return build(statement.ShowServices, g, columns, func(r serviceTarget) []Value {
		return []Value{Text(r.service.Value.Name), Text(string(r.service.Value.State)), Text(r.db.Name), Text(r.target.Name),
			Text(r.target.Address.String()), Text(r.target.FailureDomain), Text(s.RegionOf(r.target.FailureDomain)),
			Number(r.target.Slots), Number(r.target.Connections), Bool(s.Drained(configuration.DrainTarget, r.target.Name)), Number(r.service.Version)}
	})
}

// Callers returns the table of declared callers.
func Callers(s *configuration.Snapshot) Table {
	columns := append(text("caller", "services", "policy", "class"),
		column("weight", NumberKind), column("read_only", BoolKind), column("version", NumberKind))
	return build(statement.ShowCallers, sorted(s.Callers), columns, func(r configuration.Versioned[configuration.Caller]) []Value {
		k := r.Value
		return []Value{Text(k.Name), Text(strings.Join(k.Services, ", ")), Text(k.Policy), Text(k.Class),
			Number(max(k.Weight, 1)), Bool(k.ReadOnly), Number(r.Version)}
	})
}

// Policies returns the table of declared read policies.
func Policies(s *configuration.Snapshot) Table {
	columns := []Column{column("policy", TextKind), column("max_age", DurationKind), column("default_age", DurationKind),
		column("primary_only", BoolKind), column("version", NumberKind)}
	return build(statement.ShowPolicies, sorted(s.Policies), columns, func(r configuration.Versioned[configuration.ReadPolicy]) []Value {
		p := r.Value
		maxAge := Value{}
		if p.MaxAge != 0 {
			maxAge = Duration(p.MaxAge)
		}
		return []Value{Text(p.Name), maxAge, Duration(p.DefaultAge), Bool(p.PrimaryOnly), Number(r.Version)}
	})
}

// Config returns every object with its version and the statements that make it.
// Without secrets, verifiers and hashes are hidden.
func Config(s *configuration.Snapshot, secrets bool) Table {
	g := RowSet[configuration.Document]{Rows: s.Documents()}
	references := map[store.Key]configuration.FieldErrors{}
	for _, f := range s.ReferenceErrors() {
		references[f.Object] = append(references[f.Object], f)
	}
	columns := append(text("kind", "name"), column("version", NumberKind), column("command", TextKind), column("statement", TextKind), column("fault", TextKind))
	table := build(statement.ShowConfig, g, columns, func(d configuration.Document) []Value {
		k := d.Key()
		fault := strings.ReplaceAll(references[k].Error(), "\n", "; ")
		if r, ok := s.Rejected[k]; ok {
			fault = "the newest version is not in force: " + r.Err.Error()
		}
		return configRow(k, s.Version(k), d.Command(), statements(d, secrets), fault)
	})
	for k, r := range s.Rejected {
		if _, ok := s.Document(k); !ok {
			table.Rows = append(table.Rows, configRow(k, r.Version, "", "", r.Err.Error()))
		}
	}
	return table
}

func configRow(k store.Key, version store.Revision, command, text, fault string) []Value {
	return []Value{Text(string(k.Kind)), Text(k.Name), Number(version), Text(command), Text(text), Text(fault)}
}

const hidden = "(hidden)"

func statements(d configuration.Document, secrets bool) string {
	switch doc := d.(type) {
	case configuration.Caller:
		if !secrets {
			doc.Verifier = hidden
		}
		d = doc
	case configuration.Operator:
		if !secrets {
			doc.SecretHash = hidden
		}
		d = doc
	}
	var all []string
	for _, s := range statement.FromDocument(d) {
		all = append(all, s.String())
	}
	return strings.Join(all, " ")
}
