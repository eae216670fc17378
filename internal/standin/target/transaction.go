package target

import (
	"maps"
	"slices"

	"github.com/laburnumrack/laburnumrack/internal/position"
	contract "github.com/laburnumrack/laburnumrack/internal/target"
)

// transaction holds the uncommitted writes of a session. It is used only by the
// goroutine of the session, except for waitsFor and lockedKeys, which are guarded by the
// mutex of the lock table.
type transaction struct {
	explicit bool
	readOnly bool
	failed   bool
	// fence is the fence of the instance when the connection was opened.
	fence   position.Term
	writes  map[string]map[string]Row
	changes []Change

	waitsFor   *transaction
	lockedKeys []lockKey
}

func newTransaction(fence position.Term, explicit, readOnly bool) *transaction {
	return &transaction{explicit: explicit, readOnly: readOnly, fence: fence, writes: map[string]map[string]Row{}}
}

// checkWritable returns an error if tx must not write. A connection that was opened
// before the last fence cannot write, even if the instance is the primary of a later
// term: writes still in flight to the old primary must not execute in the new term. The
// caller holds mu.
func (in *Instance) checkWritable(tx *transaction) error {
	switch {
	case tx.readOnly:
		return sqlErrorf(contract.SQLStateReadOnly, "cannot execute a write in a read-only transaction")
	case len(tx.changes) > 0 && tx.fence != in.fence:
		return in.fencedAfterOpen(tx)
	case !in.primary:
		return sqlErrorf(contract.SQLStateReadOnly, "cannot execute a write on a replica")
	case tx.fence != in.fence:
		return in.fencedAfterOpen(tx)
	default:
		return nil
	}
}

func (in *Instance) fencedAfterOpen(tx *transaction) error {
	return fencedError("fenced at term %d after the connection was opened at term %d", in.fence, tx.fence)
}

// visibleRow returns the row of key that is visible to tx. The caller holds mu.
func (in *Instance) visibleRow(tx *transaction, name string, t *table, key string) (Row, bool) {
	if row, ok := tx.writes[name][key]; ok {
		return row, row != nil
	}
	row, ok := t.rows[key]
	return row, ok
}

// visibleKeys returns the keys of the rows that are visible to tx, in the order of the
// key column's type. The caller holds mu.
func (in *Instance) visibleKeys(tx *transaction, name string, t *table) []string {
	keys := make([]string, 0, len(t.rows))
	for key := range t.rows {
		if row, ok := tx.writes[name][key]; !ok || row != nil {
			keys = append(keys, key)
		}
	}
	for key, row := range tx.writes[name] {
		if _, committed := t.rows[key]; row != nil && !committed {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int {
		return compareValues(textValue(a), textValue(b), t.columns[0].Type)
	})
	return keys
}

// write records the new row of key; a nil row deletes it.
func (tx *transaction) write(name, key string, row Row) {
	if tx.writes[name] == nil {
		tx.writes[name] = map[string]Row{}
	}
	tx.writes[name][key] = row
	tx.changes = append(tx.changes, Change{Table: name, Key: key, Row: row})
}

// commit appends the writes of tx to the log as one entry and releases its locks. It
// returns an error if the instance is down or was fenced after the connection was opened.
func (in *Instance) commit(tx *transaction) error {
	defer in.locks.release(tx)
	if len(tx.changes) == 0 {
		return nil
	}
	in.lockThawed()
	defer in.mu.Unlock()
	if in.down {
		return errDown
	}
	if !in.primary || in.fence != tx.fence {
		return in.fencedAfterOpen(tx)
	}
	in.appendOwn(tx.finalChanges())
	return nil
}

// finalChanges returns the last change of each row, in the order they were made.
func (tx *transaction) finalChanges() []Change {
	last := map[lockKey]int{}
	for i, c := range tx.changes {
		last[lockKey{c.Table, c.Key}] = i
	}
	kept := slices.Sorted(maps.Values(last))
	out := make([]Change, len(kept))
	for i, index := range kept {
		out[i] = tx.changes[index]
	}
	return out
}

// rollback discards tx and releases its locks.
func (in *Instance) rollback(tx *transaction) {
	in.locks.release(tx)
}
