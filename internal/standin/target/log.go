package target

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

// Column describes a column of a table. The first column of a table is its primary key.
type Column struct {
	Name string `cbor:"1,keyasint"`
	Type Type   `cbor:"2,keyasint"`
}

// Change is the insertion, update or deletion of a row, or the creation of a table.
type Change struct {
	Table string `cbor:"1,keyasint"`
	// Create holds the columns of a new table. The fields below are unset in this case.
	Create []Column `cbor:"2,keyasint,omitempty"`
	Key    string   `cbor:"3,keyasint,omitempty"`
	// Row is the new row; nil deletes the row.
	Row Row `cbor:"4,keyasint,omitempty"`
}

// Entry is an entry of the replicated log. It holds the changes of one transaction; the
// first entry of a term holds none.
type Entry struct {
	Position position.Position `cbor:"1,keyasint"`
	Changes  []Change          `cbor:"2,keyasint,omitempty"`
	// Written is the time at which the primary appended the entry, in Unix nanoseconds.
	Written int64 `cbor:"3,keyasint"`
}

// termSpan describes the consecutive log entries of one term by the index of the last.
type termSpan struct {
	Term position.Term `json:"term"`
	Last uint64        `json:"last"`
}

// summarizeTerms returns one span per term of the log, in log order.
func summarizeTerms(log []Entry) []termSpan {
	var out []termSpan
	for _, e := range log {
		if n := len(out); n > 0 && out[n-1].Term == e.Position.Term {
			out[n-1].Last = e.Position.Index
			continue
		}
		out = append(out, termSpan{Term: e.Position.Term, Last: e.Position.Index})
	}
	return out
}

// commonPrefix returns the length of the longest common prefix of two logs. If two logs
// have entries of the same term at an index, they are identical up to that index.
func commonPrefix(a, b []termSpan) uint64 {
	common := uint64(0)
	for i := 0; i < len(a) && i < len(b) && a[i].Term == b[i].Term; i++ {
		common = min(a[i].Last, b[i].Last)
		if a[i].Last != b[i].Last {
			break
		}
	}
	return common
}

// table holds the committed rows of one table by primary key.
type table struct {
	columns []Column
	rows    map[string]Row
}

func newTable(columns []Column) *table {
	return &table{columns: columns, rows: map[string]Row{}}
}

// column returns the index of the named column.
func (t *table) column(name string) (int, error) {
	for i, c := range t.columns {
		if c.Name == name {
			return i, nil
		}
	}
	return 0, sqlErrorf(codeUndefinedColumn, "column %q does not exist", name)
}

// catalog holds the committed tables of an instance by name.
type catalog map[string]*table

func newCatalog() catalog {
	return catalog{recordTable: newTable(recordColumns)}
}

// apply applies the changes of a log entry to the tables.
func (c catalog) apply(e Entry) {
	for _, change := range e.Changes {
		switch {
		case change.Create != nil:
			if c[change.Table] == nil {
				c[change.Table] = newTable(change.Create)
			}
		case change.Row == nil:
			delete(c[change.Table].rows, change.Key)
		default:
			c[change.Table].rows[change.Key] = change.Row
		}
	}
}

// table returns the named table, or an error with SQLSTATE 42P01 if it does not exist.
func (c catalog) table(name string) (*table, error) {
	t := c[name]
	if t == nil {
		return nil, sqlErrorf(codeUndefinedTable, "relation %q does not exist", name)
	}
	return t, nil
}

// lastPosition returns the position of the last log entry. The caller holds mu.
func (in *Instance) lastPosition() position.Position {
	return in.positionAt(uint64(len(in.log)))
}

// positionAt returns the position of the entry at index, counted from 1. Index 0 yields
// the zero position. The caller holds mu.
func (in *Instance) positionAt(index uint64) position.Position {
	if index == 0 {
		return position.Position{}
	}
	return in.log[index-1].Position
}

// appendOwn appends an entry that originates at this instance, which is the primary,
// and applies it at once. The caller holds mu, except in Start.
func (in *Instance) appendOwn(changes []Change) {
	next := position.Position{Term: in.fence, Index: uint64(len(in.log)) + 1}
	in.log = append(in.log, Entry{Position: next, Changes: changes, Written: time.Now().UnixNano()})
	in.applyThrough(next.Index)
	in.notifyChanged()
}

// applyThrough applies the log entries up to and including index. The caller holds mu.
func (in *Instance) applyThrough(index uint64) {
	for in.applied < index {
		in.tables.apply(in.log[in.applied])
		in.applied++
	}
}

// truncate removes the log entries after index. If some of them were already applied,
// it rebuilds the tables from the remaining log. The caller holds mu.
func (in *Instance) truncate(index uint64) {
	in.log = in.log[:index:index]
	if in.applied <= index {
		return
	}
	in.tables = newCatalog()
	in.applied = 0
	in.applyThrough(index)
}

// notifyChanged wakes all goroutines that wait for a change of the instance's state. The
// caller holds mu.
func (in *Instance) notifyChanged() {
	close(in.changed)
	in.changed = make(chan struct{})
}
