package target

import (
	"slices"
	"strconv"
	"strings"
)

// rowsResult returns a result that yields the given rows.
func rowsResult(columns []Column, rows []Row) *result {
	index := 0
	next := func() (Row, bool) {
		if index >= len(rows) {
			return nil, false
		}
		index++
		return rows[index-1], true
	}
	return &result{columns: columns, next: next, tag: "SELECT", countRows: true}
}

// matchingKeys returns the keys of the rows that match. With forWrite it first checks
// that the transaction may write.
func (x *execution) matchingKeys(name string, where []*comparison, forWrite bool) ([]string, error) {
	x.instance.lockThawed()
	defer x.instance.mu.Unlock()
	if forWrite {
		if err := x.instance.checkWritable(x.tx); err != nil {
			return nil, err
		}
	}
	t, err := x.instance.tables.table(name)
	if err != nil {
		return nil, err
	}
	var keys []string
	err = x.forEachMatch(name, t, where, func(key string, _ Row) { keys = append(keys, key) })
	return keys, err
}

// forEachMatch calls visit for each matching row, in key order. The caller holds mu.
func (x *execution) forEachMatch(name string, t *table, where []*comparison, visit func(string, Row)) error {
	var keys []string
	if key, ok := x.newScope(t, nil).primaryKeyFrom(where); ok {
		keys = []string{key}
	} else {
		keys = x.instance.visibleKeys(x.tx, name, t)
	}
	scope := x.newScope(t, nil)
	for _, key := range keys {
		row, exists := x.instance.visibleRow(x.tx, name, t, key)
		if !exists {
			continue
		}
		scope.row = row
		matches, err := scope.matches(where)
		if err != nil {
			return err
		}
		if matches {
			visit(key, row)
		}
	}
	return nil
}

func (x *execution) selectTable(s *selectStatement) (*result, error) {
	if s.ForUpdate {
		noChange := func(*table, string, Row) error { return nil }
		if _, err := x.forEachLockedRow(s.From.Table, s.Where, noChange); err != nil {
			return nil, err
		}
	}
	x.instance.lockThawed()
	defer x.instance.mu.Unlock()
	t, err := x.instance.tables.table(s.From.Table)
	if err != nil {
		return nil, err
	}
	var rows []Row
	err = x.forEachMatch(s.From.Table, t, s.Where, func(_ string, row Row) { rows = append(rows, row) })
	if err != nil {
		return nil, err
	}
	if column, ok := s.countColumn(); ok {
		return rowsResult([]Column{{Name: column, Type: TypeInt}}, []Row{{intValue(int64(len(rows)))}}), nil
	}
	if err := sortRows(rows, t, s.Order); err != nil {
		return nil, err
	}
	if rows, err = x.limitRows(rows, s.Limit); err != nil {
		return nil, err
	}
	return x.project(s, t, rows)
}

// countColumn returns the name of the result column of SELECT count(*), and false for
// other statements.
func (s *selectStatement) countColumn() (string, bool) {
	e := s.Items[0].Expression
	if e == nil || e.Left.Call == nil || !strings.EqualFold(e.Left.Call.Name, "count") {
		return "", false
	}
	if s.Items[0].Alias != "" {
		return s.Items[0].Alias, true
	}
	return "count", true
}

// sortRows sorts rows in place by the ORDER BY keys.
func sortRows(rows []Row, t *table, order []*orderKey) error {
	for _, key := range slices.Backward(order) {
		index, err := t.column(key.Column)
		if err != nil {
			return err
		}
		slices.SortStableFunc(rows, func(a, b Row) int {
			sign := compareValues(a[index], b[index], t.columns[index].Type)
			if key.Descending {
				return -sign
			}
			return sign
		})
	}
	return nil
}

func (x *execution) limitRows(rows []Row, limit *expression) ([]Row, error) {
	if limit == nil {
		return rows, nil
	}
	value, _, err := x.newScope(nil, nil).evalExpression(limit)
	if err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(value.Text)
	if err != nil || n < 0 {
		return nil, sqlErrorf(codeInvalidText, "LIMIT must be a non-negative integer, not %q", value.Text)
	}
	return rows[:min(n, len(rows))], nil
}

func (x *execution) project(s *selectStatement, t *table, rows []Row) (*result, error) {
	columns, err := x.selectColumns(s, t)
	if err != nil {
		return nil, err
	}
	out := make([]Row, len(rows))
	scope := x.newScope(t, nil)
	for i, row := range rows {
		scope.row = row
		for _, item := range s.Items {
			if item.Star {
				out[i] = append(out[i], row...)
				continue
			}
			value, _, err := scope.evalExpression(item.Expression)
			if err != nil {
				return nil, err
			}
			out[i] = append(out[i], value)
		}
	}
	return rowsResult(columns, out), nil
}

// selectColumns returns the result columns of a SELECT.
func (x *execution) selectColumns(s *selectStatement, t *table) ([]Column, error) {
	var columns []Column
	for _, item := range s.Items {
		if item.Star {
			if t == nil {
				return nil, sqlErrorf(codeSyntax, "SELECT * needs a table")
			}
			columns = append(columns, t.columns...)
			continue
		}
		_, typ, err := x.describeExpression(item.Expression, t)
		if err != nil {
			return nil, err
		}
		columns = append(columns, Column{Name: itemName(item), Type: typ})
	}
	return columns, nil
}

// itemName returns the column name of a SELECT item.
func itemName(item *selectItem) string {
	switch {
	case item.Alias != "":
		return item.Alias
	case item.Expression.Left.Column != "":
		return item.Expression.Left.Column
	case item.Expression.Left.Call != nil:
		return strings.ToLower(item.Expression.Left.Call.Name)
	default:
		return "?column?"
	}
}

// describeExpression determines the type of an expression without evaluating functions.
func (x *execution) describeExpression(e *expression, t *table) (Value, Type, error) {
	describe := &scope{params: x.params, table: t, callFunction: describeCall}
	if needed := maxParameter(e); needed > len(x.params) {
		describe.params = slices.Repeat([]Value{null}, needed)
	}
	return describe.evalExpression(e)
}

// maxParameter returns the highest parameter number in an expression, or 0.
func maxParameter(e *expression) int {
	highest := 0
	visitParameters(e, func(o *operand) { highest = max(highest, parameterIndex(o.Param)+1) })
	return highest
}

// visitParameters calls visit for each parameter of an expression.
func visitParameters(e *expression, visit func(*operand)) {
	operands := []*operand{e.Left}
	for _, operation := range e.Rest {
		operands = append(operands, operation.Right)
	}
	for _, o := range operands {
		if o.Param != "" {
			visit(o)
		}
		if o.Call != nil {
			for _, argument := range o.Call.Args {
				visitParameters(argument, visit)
			}
		}
	}
}

// selectValues executes a SELECT without FROM.
func (x *execution) selectValues(s *selectStatement) (*result, error) {
	columns, err := x.selectColumns(s, nil)
	if err != nil {
		return nil, err
	}
	if first := s.Items[0].Expression.Left.Call; first != nil && strings.EqualFold(first.Name, "generate_series") {
		return x.generateSeries(columns, first)
	}
	row := make(Row, len(s.Items))
	scope := &scope{params: x.params, callFunction: x.callScalar}
	for i, item := range s.Items {
		if row[i], _, err = scope.evalExpression(item.Expression); err != nil {
			return nil, err
		}
	}
	return rowsResult(columns, []Row{row}), nil
}
