package report

import (
	"maps"
	"slices"
	"strings"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/statement"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// textColumns returns columns of kind TextKind.
func textColumns(names ...string) []Column {
	columns := make([]Column, len(names))
	for i, name := range names {
		columns[i] = Column{Name: name, Kind: TextKind}
	}
	return columns
}

// newColumn returns a column that a BY clause does not sum up.
func newColumn(name string, kind Kind) Column {
	return Column{Name: name, Kind: kind}
}

// sumColumn returns a column that a BY clause sums up.
func sumColumn(name string, kind Kind) Column {
	return Column{Name: name, Kind: kind, Sum: true}
}

// buildTable returns the table with one row for each row of g. cells returns the values of
// a row in the order of columns.
func buildTable[T any](name statement.TableName, g RowSet[T], columns []Column, cells func(T) []Value) Table {
	t := Table{Name: string(name), Columns: columns, Rows: [][]Value{}, Missing: g.Missing}
	for _, row := range g.Rows {
		t.Rows = append(t.Rows, cells(row))
	}
	return t
}

// Holders returns the table of connections and their holders.
func Holders(g RowSet[Holder]) Table {
	columns := append(textColumns("vm", "service", "database", "target", "failure_domain"),
		newColumn("connection", NumberKind), newColumn("state", TextKind), newColumn("caller", TextKind), newColumn("class", TextKind), sumColumn("for", DurationKind))
	return buildTable(statement.ShowHolders, g, columns, func(r Holder) []Value {
		return []Value{Text(r.VM), Text(r.Service), Text(r.Database), Text(r.Target), Text(r.FailureDomain),
			Number(r.Connection), Text(r.State), Text(r.Caller), Text(r.Class), Duration(r.For)}
	})
}

// Replicas returns the table of targets with their role, position and staleness.
func Replicas(g RowSet[Replica]) Table {
	columns := append(textColumns("vm", "service", "database", "target", "failure_domain", "role"),
		newColumn("fence", NumberKind), newColumn("last", TextKind), newColumn("applied", TextKind),
		newColumn("age", DurationKind), newColumn("silent", DurationKind), newColumn("drained", BoolKind))
	return buildTable(statement.ShowReplicas, g, columns, func(r Replica) []Value {
		age := Value{}
		if r.AgeKnown {
			age = Duration(r.Age)
		}
		return []Value{Text(r.VM), Text(r.Service), Text(r.Database), Text(r.Target), Text(r.FailureDomain), Text(r.Role),
			Number(r.Fence), Text(r.Last.String()), Text(r.Applied.String()), age, Duration(r.Silent), Bool(r.Drained)}
	})
}

// ConnectionTimes returns the table of connection time by holder.
func ConnectionTimes(g RowSet[ConnectionTime]) Table {
	columns := append(textColumns("service", "database", "target", "state", "caller", "class"), sumColumn("spent", DurationKind))
	return buildTable(statement.ShowTime, g, columns, func(r ConnectionTime) []Value {
		return []Value{Text(r.Service), Text(r.Database), Text(r.Target), Text(r.State), Text(r.Caller), Text(r.Class), Duration(r.Spent)}
	})
}

// VMs returns the table of the VMs of the fleet.
func VMs(g RowSet[VM]) Table {
	columns := append(textColumns("vm", "address", "failure_domain", "state"), newColumn("reachable", BoolKind), newColumn("drained", BoolKind),
		newColumn("roles", TextKind), newColumn("configuration", NumberKind), newColumn("version", TextKind))
	return buildTable(statement.ShowVMs, g, columns, func(r VM) []Value {
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
	columns := append([]Column{newColumn("at", TimeKind)}, textColumns("service", "database")...)
	columns = append(columns, newColumn("term", NumberKind), newColumn("primary", TextKind), newColumn("reason", TextKind), newColumn("took", DurationKind))
	return buildTable(statement.ShowPromotions, g, columns, func(r Promotion) []Value {
		return []Value{Timestamp(r.At), Text(r.Service), Text(r.Database), Number(r.Term), Text(r.Primary), Text(r.Reason), Duration(r.Took)}
	})
}

// sortedValues returns the values of a map in the order of their keys.
func sortedValues[T any](m map[string]T) RowSet[T] {
	var g RowSet[T]
	for _, name := range slices.Sorted(maps.Keys(m)) {
		g.Rows = append(g.Rows, m[name])
	}
	return g
}

// serviceTarget is one row of the table of services: a target with its service and
// database.
type serviceTarget struct {
	service configuration.Versioned[configuration.Service]
	db      configuration.Database
	target  configuration.Target
}

// Services returns the table of declared services, one row for each target.
func Services(s *configuration.Snapshot) Table {
	var g RowSet[serviceTarget]
	for _, svc := range sortedValues(s.Services).Rows {
		for _, db := range svc.Value.Databases {
			for _, t := range db.Targets {
				g.Rows = append(g.Rows, serviceTarget{svc, db, t})
			}
		}
	}
	columns := append(textColumns("service", "state", "database", "target", "address", "failure_domain", "region"),
		sumColumn("slots", NumberKind), sumColumn("connections", NumberKind), newColumn("drained", BoolKind), newColumn("version", NumberKind))
	return buildTable(statement.ShowServices, g, columns, func(r serviceTarget) []Value {
		return []Value{Text(r.service.Value.Name), Text(string(r.service.Value.State)), Text(r.db.Name), Text(r.target.Name),
			Text(r.target.Address.String()), Text(r.target.FailureDomain), Text(s.RegionOf(r.target.FailureDomain)),
			Number(r.target.Slots), Number(r.target.Connections), Bool(s.Drained(configuration.DrainTarget, r.target.Name)), Number(r.service.Version)}
	})
}

// Callers returns the table of declared callers.
func Callers(s *configuration.Snapshot) Table {
	columns := append(textColumns("caller", "services", "policy", "class"),
		newColumn("weight", NumberKind), newColumn("read_only", BoolKind), newColumn("version", NumberKind))
	return buildTable(statement.ShowCallers, sortedValues(s.Callers), columns, func(r configuration.Versioned[configuration.Caller]) []Value {
		caller := r.Value
		return []Value{Text(caller.Name), Text(strings.Join(caller.Services, ", ")), Text(caller.Policy), Text(caller.Class),
			Number(max(caller.Weight, 1)), Bool(caller.ReadOnly), Number(r.Version)}
	})
}

// Policies returns the table of declared read policies.
func Policies(s *configuration.Snapshot) Table {
	columns := []Column{newColumn("policy", TextKind), newColumn("max_age", DurationKind), newColumn("default_age", DurationKind),
		newColumn("primary_only", BoolKind), newColumn("version", NumberKind)}
	return buildTable(statement.ShowPolicies, sortedValues(s.Policies), columns, func(r configuration.Versioned[configuration.ReadPolicy]) []Value {
		p := r.Value
		maxAge := Value{}
		if p.MaxAge != 0 {
			maxAge = Duration(p.MaxAge)
		}
		return []Value{Text(p.Name), maxAge, Duration(p.DefaultAge), Bool(p.PrimaryOnly), Number(r.Version)}
	})
}

// Config returns the table of configuration objects, each with its version, the
// statements that declare it and its fault, if it has one. Unless secrets is set,
// verifiers and secret hashes are replaced by hiddenSecret.
func Config(s *configuration.Snapshot, secrets bool) Table {
	g := RowSet[configuration.Document]{Rows: s.Documents()}
	referenceErrors := map[store.Key]configuration.FieldErrors{}
	for _, f := range s.ReferenceErrors() {
		referenceErrors[f.Object] = append(referenceErrors[f.Object], f)
	}
	columns := append(textColumns("kind", "name"), newColumn("version", NumberKind), newColumn("command", TextKind), newColumn("statement", TextKind), newColumn("fault", TextKind))
	table := buildTable(statement.ShowConfig, g, columns, func(d configuration.Document) []Value {
		k := d.Key()
		fault := strings.ReplaceAll(referenceErrors[k].Error(), "\n", "; ")
		if r, ok := s.Rejected[k]; ok {
			fault = "the newest version is not in force: " + r.Err.Error()
		}
		return configRow(k, s.Version(k), d.Command(), statementText(d, secrets), fault)
	})
	for k, r := range s.Rejected {
		if _, ok := s.Document(k); !ok {
			table.Rows = append(table.Rows, configRow(k, r.Version, "", "", r.Err.Error()))
		}
	}
	return table
}

// configRow returns one row of the table of configuration objects.
func configRow(k store.Key, version store.Revision, command, text, fault string) []Value {
	return []Value{Text(string(k.Kind)), Text(k.Name), Number(version), Text(command), Text(text), Text(fault)}
}

// hiddenSecret replaces secrets in the output of SHOW CONFIG.
const hiddenSecret = "(hidden)"

// statementText returns the statements that declare a document, separated by spaces.
func statementText(d configuration.Document, secrets bool) string {
	switch doc := d.(type) {
	case configuration.Caller:
		if !secrets {
			doc.Verifier = hiddenSecret
		}
		d = doc
	case configuration.Operator:
		if !secrets {
			doc.SecretHash = hiddenSecret
		}
		d = doc
	}
	var all []string
	for _, s := range statement.FromDocument(d) {
		all = append(all, s.String())
	}
	return strings.Join(all, " ")
}
