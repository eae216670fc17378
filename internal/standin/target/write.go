package target

import (
	"slices"
	"strconv"
)

// lockRow waits for the lock of a row. It releases the statement's slot while it waits.
func (x *execution) lockRow(name, key string) error {
	waited := false
	err := x.instance.locks.acquire(x.ctx, x.tx, lockKey{name, key}, func() {
		waited = true
		x.instance.slots.release()
	})
	if waited {
		x.instance.slots.reacquire()
	}
	return err
}

// create creates a table unless it exists. The change is committed at once, regardless
// of the transaction.
func (x *execution) create(c *createTable) (*result, error) {
	columns := make([]Column, len(c.Columns))
	for i, column := range c.Columns {
		columns[i] = Column{Name: column.Name, Type: typeByName(column.Type)}
	}
	x.instance.lockThawed()
	defer x.instance.mu.Unlock()
	if x.instance.tables[c.Name] == nil {
		if err := x.instance.checkWritable(x.tx); err != nil {
			return nil, err
		}
		x.instance.appendOwn([]Change{{Table: c.Name, Create: columns}})
	}
	return &result{tag: "CREATE TABLE"}, nil
}

func (x *execution) insert(s *insertStatement) (*result, error) {
	inserted := 0
	for _, values := range s.Rows {
		row, err := x.newRow(s, values)
		if err != nil {
			return nil, err
		}
		if err := x.lockRow(s.Table, row[0].Text); err != nil {
			return nil, err
		}
		done, err := x.insertRow(s, row)
		if err != nil {
			return nil, err
		}
		if done {
			inserted++
		}
	}
	return &result{tag: "INSERT 0 " + strconv.Itoa(inserted)}, nil
}

// newRow evaluates the values of an INSERT and returns the complete row.
func (x *execution) newRow(s *insertStatement, values *valueList) (Row, error) {
	x.instance.lockThawed()
	defer x.instance.mu.Unlock()
	if err := x.instance.checkWritable(x.tx); err != nil {
		return nil, err
	}
	t, err := x.instance.tables.table(s.Table)
	if err != nil {
		return nil, err
	}
	indexes, err := columnIndexes(t, s.Columns)
	if err != nil {
		return nil, err
	}
	if len(values.Values) != len(indexes) {
		return nil, sqlErrorf(codeSyntax, "INSERT has %d values for %d columns", len(values.Values), len(indexes))
	}
	row := slices.Repeat(Row{null}, len(t.columns))
	for i, expression := range values.Values {
		value, _, err := x.newScope(nil, nil).evalExpression(expression)
		if err != nil {
			return nil, err
		}
		if row[indexes[i]], err = coerce(value, t.columns[indexes[i]].Type); err != nil {
			return nil, err
		}
	}
	if row[0].Null {
		return nil, sqlErrorf("23502", "null value in column %q", t.columns[0].Name)
	}
	return row, nil
}

// columnIndexes returns the indexes of the named columns, or of all columns if names is
// empty.
func columnIndexes(t *table, names []string) ([]int, error) {
	if len(names) == 0 {
		indexes := make([]int, len(t.columns))
		for i := range indexes {
			indexes[i] = i
		}
		return indexes, nil
	}
	indexes := make([]int, len(names))
	for i, name := range names {
		index, err := t.column(name)
		if err != nil {
			return nil, err
		}
		indexes[i] = index
	}
	return indexes, nil
}

// insertRow inserts a row and reports whether it did. It returns false if the key exists
// and the statement has ON CONFLICT DO NOTHING.
func (x *execution) insertRow(s *insertStatement, row Row) (bool, error) {
	x.instance.lockThawed()
	defer x.instance.mu.Unlock()
	if err := x.instance.checkWritable(x.tx); err != nil {
		return false, err
	}
	t, err := x.instance.tables.table(s.Table)
	if err != nil {
		return false, err
	}
	if _, exists := x.instance.visibleRow(x.tx, s.Table, t, row[0].Text); exists {
		if s.DoNothing {
			return false, nil
		}
		return false, sqlErrorf("23505", "duplicate key value violates unique constraint %q", s.Table+"_pkey")
	}
	x.tx.write(s.Table, row[0].Text, row)
	return true, nil
}

func (x *execution) update(s *updateStatement) (*result, error) {
	count, err := x.forEachLockedRow(s.Table, s.Where, func(t *table, key string, row Row) error {
		return x.updateRow(s, t, key, row)
	})
	return &result{tag: "UPDATE " + strconv.Itoa(count)}, err
}

func (x *execution) updateRow(s *updateStatement, t *table, key string, row Row) error {
	updated := slices.Clone(row)
	for _, a := range s.Set {
		index, err := t.column(a.Column)
		if err != nil {
			return err
		}
		value, _, err := x.newScope(t, row).evalExpression(a.Value)
		if err != nil {
			return err
		}
		if updated[index], err = coerce(value, t.columns[index].Type); err != nil {
			return err
		}
	}
	if updated[0] != row[0] {
		return sqlErrorf(codeUnsupported, "the primary key cannot be updated")
	}
	x.tx.write(s.Table, key, updated)
	return nil
}

func (x *execution) delete(s *deleteStatement) (*result, error) {
	count, err := x.forEachLockedRow(s.Table, s.Where, func(_ *table, key string, _ Row) error {
		x.tx.write(s.Table, key, nil)
		return nil
	})
	return &result{tag: "DELETE " + strconv.Itoa(count)}, err
}

// forEachLockedRow locks every row that matches and calls change with mu held. Since the
// row may change during the wait for its lock, it checks the condition again after
// locking. It returns the number of rows passed to change.
func (x *execution) forEachLockedRow(name string, where []*comparison, change func(*table, string, Row) error) (int, error) {
	keys, err := x.matchingKeys(name, where, true)
	if err != nil {
		return 0, err
	}
	count := 0
	for _, key := range keys {
		if err := x.lockRow(name, key); err != nil {
			return 0, err
		}
		changed, err := x.changeRow(name, key, where, change)
		if err != nil {
			return 0, err
		}
		if changed {
			count++
		}
	}
	return count, nil
}

// changeRow calls change for a locked row if it still matches, and reports whether it did.
func (x *execution) changeRow(name, key string, where []*comparison, change func(*table, string, Row) error) (bool, error) {
	x.instance.lockThawed()
	defer x.instance.mu.Unlock()
	if err := x.instance.checkWritable(x.tx); err != nil {
		return false, err
	}
	t, err := x.instance.tables.table(name)
	if err != nil {
		return false, err
	}
	row, exists := x.instance.visibleRow(x.tx, name, t, key)
	if !exists {
		return false, nil
	}
	matches, err := x.newScope(t, row).matches(where)
	if err != nil || !matches {
		return false, err
	}
	return true, change(t, key, row)
}
