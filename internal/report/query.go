package report

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/statement"
)

// Apply returns the rows of t that match the conditions of a SHOW statement, grouped and
// summed up if the statement has a BY clause. It fails if the statement names a column
// that the table does not have, a column twice, or a value of the wrong type.
func Apply(t Table, show statement.Show) (Table, error) {
	conditions := slices.Clone(show.Where)
	if show.Of != nil {
		column, err := objectColumn(t, *show.Of)
		if err != nil {
			return Table{}, err
		}
		name := statement.Literal{Kind: statement.TextLiteral, Text: show.Of.Name}
		conditions = append(conditions, statement.Condition{Column: column, Comparison: statement.Equal, Value: name})
	}
	for _, c := range conditions {
		next, err := filter(t, c)
		if err != nil {
			return Table{}, err
		}
		t = next
	}
	if len(show.By) > 0 {
		return groupBy(t, show.By)
	}
	return t, nil
}

// objectColumn returns the name of the column that the OF clause of a SHOW statement
// restricts.
func objectColumn(t Table, o statement.Object) (string, error) {
	name := strings.ToLower(string(o.Kind))
	if t.indexOf(name) < 0 {
		return "", fmt.Errorf("SHOW %s has no %s, want one of %s", t.Name, o.Kind, columnNames(t.Columns))
	}
	return name, nil
}

// columnNames returns the names of columns, separated by commas.
func columnNames(columns []Column) string {
	all := make([]string, len(columns))
	for i, c := range columns {
		all[i] = c.Name
	}
	return strings.Join(all, ", ")
}

// lookup returns the index of a column, or an error if the table does not have it.
func (t Table) lookup(name string) (int, error) {
	i := t.indexOf(name)
	if i < 0 {
		return 0, fmt.Errorf("SHOW %s has no column %q, want one of %s", t.Name, name, columnNames(t.Columns))
	}
	return i, nil
}

// filter returns the table with the rows that match a condition.
func filter(t Table, c statement.Condition) (Table, error) {
	i, err := t.lookup(c.Column)
	if err != nil {
		return Table{}, err
	}
	want, err := literalValue(t.Columns[i], c.Value)
	if err != nil {
		return Table{}, err
	}
	kept := [][]Value{}
	for _, row := range t.Rows {
		if matches(row[i], c.Comparison, want) {
			kept = append(kept, row)
		}
	}
	t.Rows = kept
	return t, nil
}

// literalValue converts a literal to the type of a column. It fails if the literal is of
// another type.
func literalValue(c Column, l statement.Literal) (Value, error) {
	switch {
	case c.Kind == TextKind && l.Kind == statement.TextLiteral:
		return Text(l.Text), nil
	case c.Kind == TextKind && l.Kind == statement.NumberLiteral:
		return Text(fmt.Sprint(l.Number)), nil
	case c.Kind == NumberKind && l.Kind == statement.NumberLiteral:
		return Number(l.Number), nil
	case c.Kind == DurationKind && l.Kind == statement.DurationLiteral:
		return Duration(l.Duration), nil
	case c.Kind == BoolKind && (l.Text == "true" || l.Text == "false"):
		return Bool(l.Text == "true"), nil
	case c.Kind == TimeKind && l.Kind == statement.TextLiteral:
		at, err := time.Parse(time.RFC3339, l.Text)
		if err != nil {
			return Value{}, fmt.Errorf("column %s: %q is not a time, want RFC 3339 format such as '2026-01-31T12:00:00Z'", c.Name, l.Text)
		}
		return Timestamp(at), nil
	default:
		return Value{}, fmt.Errorf("column %s holds a %s, want a value of that type", c.Name, c.Kind)
	}
}

// matches reports whether a cell compares as required with a value. An unknown cell is
// greater than every value.
func matches(v Value, comparison statement.Comparison, want Value) bool {
	order := 1
	if v.known {
		order = compareValues(v, want)
	}
	switch comparison {
	case statement.Equal:
		return order == 0
	case statement.NotEqual:
		return order != 0
	case statement.Less:
		return order < 0
	case statement.LessOrEqual:
		return order <= 0
	case statement.Greater:
		return order > 0
	default:
		return order >= 0
	}
}

// compareValues orders two known values of the same kind.
func compareValues(a, b Value) int {
	return cmp.Or(cmp.Compare(a.text, b.text), cmp.Compare(a.number, b.number), a.at.Compare(b.at))
}

// groupBy returns one row for each combination of values of the columns by, sorted by
// these columns, with the number of rows and the sums of the other summable columns.
func groupBy(t Table, by []string) (Table, error) {
	out := Table{Name: t.Name, Missing: t.Missing, Rows: [][]Value{}}
	var keys, sums []int
	for _, name := range by {
		i, err := t.lookup(name)
		if err != nil {
			return Table{}, err
		}
		if slices.Contains(keys, i) {
			return Table{}, fmt.Errorf("column %q is listed twice after BY", name)
		}
		keys = append(keys, i)
		out.Columns = append(out.Columns, newColumn(t.Columns[i].Name, t.Columns[i].Kind))
	}
	out.Columns = append(out.Columns, sumColumn("rows", NumberKind))
	for i, c := range t.Columns {
		if c.Sum && !slices.Contains(keys, i) {
			sums = append(sums, i)
			out.Columns = append(out.Columns, c)
		}
	}
	g := grouper{table: &out, keys: keys, sums: sums, rows: map[string]int{}}
	for _, row := range t.Rows {
		g.add(row)
	}
	slices.SortStableFunc(out.Rows, func(a, b []Value) int { return slices.CompareFunc(a[:len(keys)], b[:len(keys)], compareValues) })
	return out, nil
}

// grouper groups rows and sums them up in a table.
type grouper struct {
	table *Table
	// keys and sums are the indexes of the columns to group by and to sum up.
	keys, sums []int
	// rows maps the encoded key of a group to the index of its row in table.
	rows map[string]int
}

// add adds a row to its group and creates the group if needed.
func (g *grouper) add(row []Value) {
	var key strings.Builder
	for _, i := range g.keys {
		fmt.Fprintf(&key, "%q,", row[i])
	}
	i, ok := g.rows[key.String()]
	if !ok {
		i = len(g.table.Rows)
		g.rows[key.String()] = i
		g.table.Rows = append(g.table.Rows, g.newRow(row))
	}
	cells := g.table.Rows[i][len(g.keys):]
	cells[0].number++
	for j, s := range g.sums {
		cells[j+1].number += row[s].number
	}
}

// newRow returns the row of a new group, with the key columns of row and all sums zero.
func (g *grouper) newRow(row []Value) []Value {
	var cells []Value
	for _, i := range g.keys {
		cells = append(cells, row[i])
	}
	cells = append(cells, Number(0))
	for _, i := range g.sums {
		cells = append(cells, Value{known: true, kind: row[i].kind})
	}
	return cells
}
