package report

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/statement"
)

// Apply returns the rows of t that a SHOW statement asks for, summed up as it says.
// The error names a column or value that does not fit the table.
func Apply(t Table, show statement.Show) (Table, error) {
	conditions := slices.Clone(show.Where)
	if show.Of != nil {
		column, err := columnOf(t, *show.Of)
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
		return group(t, show.By)
	}
	return t, nil
}

func columnOf(t Table, o statement.Object) (string, error) {
	name := strings.ToLower(string(o.Kind))
	if t.column(name) < 0 {
		return "", fmt.Errorf("SHOW %s has no %s, want one of %s", t.Name, o.Kind, names(t.Columns))
	}
	return name, nil
}

func names(columns []Column) string {
	all := make([]string, len(columns))
	for i, c := range columns {
		all[i] = c.Name
	}
	return strings.Join(all, ", ")
}

func (t Table) find(name string) (int, error) {
	i := t.column(name)
	if i < 0 {
		return 0, fmt.Errorf("SHOW %s has no column %q, want one of %s", t.Name, name, names(t.Columns))
	}
	return i, nil
}

func filter(t Table, c statement.Condition) (Table, error) {
	i, err := t.find(c.Column)
	if err != nil {
		return Table{}, err
	}
	want, err := literal(t.Columns[i], c.Value)
	if err != nil {
		return Table{}, err
	}
	kept := [][]Value{}
	for _, row := range t.Rows {
		if holds(row[i], c.Comparison, want) {
			kept = append(kept, row)
		}
	}
	t.Rows = kept
	return t, nil
}

// literal returns the value of a literal in the type of a column.
func literal(c Column, l statement.Literal) (Value, error) {
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
			return Value{}, fmt.Errorf("column %s: %q is no time, want for example '2026-01-31T12:00:00Z'", c.Name, l.Text)
		}
		return Timestamp(at), nil
	default:
		return Value{}, fmt.Errorf("column %s holds a %s, want a value of that type", c.Name, c.Kind)
	}
}

// holds compares a cell with a value. An unknown cell counts as greater than all.
func holds(v Value, comparison statement.Comparison, want Value) bool {
	order := 1
	if v.known {
		order = compare(v, want)
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

func compare(a, b Value) int {
	return cmp.Or(cmp.Compare(a.text, b.text), cmp.Compare(a.number, b.number), a.at.Compare(b.at))
}

// group sums up the rows that agree in the columns by, in the order of these.
func group(t Table, by []string) (Table, error) {
	out := Table{Name: t.Name, Missing: t.Missing, Rows: [][]Value{}}
	var keys, sums []int
	for _, name := range by {
		i, err := t.find(name)
		if err != nil {
			return Table{}, err
		}
		if slices.Contains(keys, i) {
			return Table{}, fmt.Errorf("column %q stands twice after BY", name)
		}
		keys = append(keys, i)
		out.Columns = append(out.Columns, column(t.Columns[i].Name, t.Columns[i].Kind))
	}
	out.Columns = append(out.Columns, sum("rows", NumberKind))
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
	slices.SortStableFunc(out.Rows, func(a, b []Value) int { return slices.CompareFunc(a[:len(keys)], b[:len(keys)], compare) })
	return out, nil
}

// grouper sums up rows into a table.
type grouper struct {
	table *Table
	// keys and sums are the columns of the rows that are kept and summed up.
	keys, sums []int
	// rows gives the row of the table for each key.
	rows map[string]int
}

// add adds one row to the group it belongs to.
func (g *grouper) add(row []Value) {
	var key strings.Builder
	for _, i := range g.keys {
		fmt.Fprintf(&key, "%q,", row[i])
	}
	i, ok := g.rows[key.String()]
	if !ok {
		i = len(g.table.Rows)
		g.rows[key.String()] = i
		g.table.Rows = append(g.table.Rows, g.first(row))
	}
	cells := g.table.Rows[i][len(g.keys):]
	cells[0].number++
	for j, s := range g.sums {
		cells[j+1].number += row[s].number
	}
}

// first returns the row of a new group, where nothing is summed up yet.
func (g *grouper) first(row []Value) []Value {
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
