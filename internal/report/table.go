package report

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"
)

// Kind is the type of the values in a column.
type Kind string

// The kinds of columns.
const (
	TextKind     Kind = "text"
	NumberKind   Kind = "number"
	DurationKind Kind = "duration" // nanoseconds in JSON
	BoolKind     Kind = "bool"
	TimeKind     Kind = "time" // RFC 3339 in JSON
)

// Column is one column of a table.
type Column struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Sum is set if a BY clause sums up the column.
	Sum bool `json:"sum,omitempty"`
}

// Value is the value of one cell. The zero Value is unknown.
type Value struct {
	known  bool
	kind   Kind
	text   string
	number int64 // also nanoseconds of a duration, and 0 or 1 for a bool
	at     time.Time
}

// Text returns a text cell.
func Text(s string) Value { return Value{known: true, kind: TextKind, text: s} }

// Number returns a number cell.
func Number[T ~int | ~int64 | ~uint64](n T) Value {
	return Value{known: true, kind: NumberKind, number: int64(n)}
}

// Duration returns a duration cell.
func Duration(d time.Duration) Value {
	return Value{known: true, kind: DurationKind, number: int64(d)}
}

// Bool returns a boolean cell.
func Bool(b bool) Value {
	v := Value{known: true, kind: BoolKind}
	if b {
		v.number = 1
	}
	return v
}

// Timestamp returns a time cell; the zero time gives an unknown value.
func Timestamp(t time.Time) Value {
	return Value{known: !t.IsZero(), kind: TimeKind, at: t}
}

// String formats the value for a text table. An unknown value is "-".
func (v Value) String() string {
	if !v.known {
		return "-"
	}
	switch v.kind {
	case NumberKind:
		return strconv.FormatInt(v.number, 10)
	case DurationKind:
		return time.Duration(v.number).String()
	case BoolKind:
		return strconv.FormatBool(v.number == 1)
	case TimeKind:
		return v.at.UTC().Format(time.RFC3339Nano)
	default:
		return v.text
	}
}

// MarshalJSON encodes the value as a string, number or boolean, and an unknown value as
// null. Durations are numbers of nanoseconds, times are RFC 3339 strings.
func (v Value) MarshalJSON() ([]byte, error) {
	if !v.known {
		return []byte("null"), nil
	}
	switch v.kind {
	case NumberKind, DurationKind:
		return json.Marshal(v.number)
	case BoolKind:
		return json.Marshal(v.number == 1)
	case TimeKind:
		return json.Marshal(v.at.UTC())
	default:
		return json.Marshal(v.text)
	}
}

// Table is the result of a SHOW statement.
type Table struct {
	// Name is the name of the table in SHOW, for example HOLDERS.
	Name    string    `json:"what"`
	Columns []Column  `json:"columns"`
	Rows    [][]Value `json:"rows"`
	// Missing names the VMs that did not answer.
	Missing []string `json:"missing,omitempty"`
}

// UnmarshalJSON decodes a table and takes the kinds of the cells from its columns. It
// fails if a row does not have one cell for each column, or if a cell is not of the kind
// of its column.
func (t *Table) UnmarshalJSON(b []byte) error {
	var wire struct {
		Name    string              `json:"what"`
		Columns []Column            `json:"columns"`
		Rows    [][]json.RawMessage `json:"rows"`
		Missing []string            `json:"missing"`
	}
	if err := json.Unmarshal(b, &wire); err != nil {
		return err
	}
	*t = Table{Name: wire.Name, Columns: wire.Columns, Missing: wire.Missing, Rows: make([][]Value, len(wire.Rows))}
	for i, row := range wire.Rows {
		if len(row) != len(wire.Columns) {
			return fmt.Errorf("table %s: row %d has %d cells, want %d", wire.Name, i, len(row), len(wire.Columns))
		}
		for j, cell := range row {
			v, err := decodeValue(wire.Columns[j].Kind, cell)
			if err != nil {
				return fmt.Errorf("table %s, column %s: %w", wire.Name, wire.Columns[j].Name, err)
			}
			t.Rows[i] = append(t.Rows[i], v)
		}
	}
	return nil
}

// decodeValue decodes a cell of a kind; null is the unknown value.
func decodeValue(kind Kind, cell json.RawMessage) (Value, error) {
	if string(cell) == "null" {
		return Value{}, nil
	}
	v := Value{known: true, kind: kind}
	var err error
	switch kind {
	case NumberKind, DurationKind:
		err = json.Unmarshal(cell, &v.number)
	case BoolKind:
		var b bool
		err = json.Unmarshal(cell, &b)
		v = Bool(b)
	case TimeKind:
		err = json.Unmarshal(cell, &v.at)
	default:
		err = json.Unmarshal(cell, &v.text)
	}
	return v, err
}

// indexOf returns the index of a column, or -1 if the table does not have it.
func (t Table) indexOf(name string) int {
	for i, c := range t.Columns {
		if c.Name == name {
			return i
		}
	}
	return -1
}
