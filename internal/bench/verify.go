package bench

import (
	"context"
	"fmt"
)

// Checks is what reading back found. All of its counts but Requests must be
// zero.
type Checks struct {
	// Requests is how many writes were looked at.
	Requests int `json:"requests"`
	// Lost counts acknowledged writes that are missing.
	Lost int `json:"lost"`
	// Doubled counts requests that ran more than once.
	Duplicated int `json:"doubled"`
	// RanAfterRefusal counts writes that ran although the caller was told that
	// nothing had.
	RanAfterRefusal int `json:"ran_after_refusal"`
	// MissedOwnWrites counts reads that did not show the session's own write.
	MissedOwnWrites int `json:"missed_own_writes"`
}

// OK reports whether every check held.
func (c Checks) OK() bool {
	return c.Lost == 0 && c.Duplicated == 0 && c.RanAfterRefusal == 0 && c.MissedOwnWrites == 0
}

type rowKey struct {
	database string
	table    string
	id       string
}

// Verify reads everything back through a fresh session and checks it against
// the results.
func (l *Load) Verify(ctx context.Context, results []Result) (Checks, error) {
	runs, err := l.readRuns(ctx)
	if err != nil {
		return Checks{}, err
	}
	var checks Checks
	for i := range results {
		r := &results[i]
		if r.MissedOwnWrite {
			checks.MissedOwnWrites++
		}
		if r.Arrival == nil || r.Arrival.Class.Operation == Read {
			continue
		}
		checks.Requests++
		checks.check(r, runs[rowKey{r.Arrival.Database, r.Arrival.Class.Table, r.Arrival.ID()}])
	}
	return checks, nil
}

func (c *Checks) check(r *Result, runs int64) {
	switch {
	case runs > 1:
		c.Duplicated++
	case r.Outcome == Done && runs == 0:
		c.Lost++
	case !r.MayHaveRun && runs > 0:
		c.RanAfterRefusal++
	}
}

// readRuns returns how often each request ran, by its row.
func (l *Load) readRuns(ctx context.Context) (map[rowKey]int64, error) {
	runs := map[rowKey]int64{}
	for _, database := range l.Mix.Databases {
		for i := range l.Mix.Classes {
			class := &l.Mix.Classes[i]
			if class.Operation == Read {
				continue
			}
			if err := l.readTable(ctx, database, class, runs); err != nil {
				return nil, fmt.Errorf("read %s of %s back: %w", class.Table, database, err)
			}
		}
	}
	return runs, nil
}

func (l *Load) readTable(ctx context.Context, database string, class *Class, runs map[rowKey]int64) error {
	conn, err := l.Deployment.connect(ctx, 0, class.Caller, l.Mix.Service, database)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	rows, err := conn.Query(ctx, "SELECT id, runs FROM "+class.Table)
	if err != nil {
		return err
	}
	defer rows.Close()
	for rows.Next() {
		var id string
		var n *int64
		if err := rows.Scan(&id, &n); err != nil {
			return err
		}
		key := rowKey{database, class.Table, id}
		if n == nil {
			runs[key] = 1 // an inserted row
		} else {
			runs[key] = *n
		}
	}
	return rows.Err()
}
