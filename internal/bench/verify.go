package bench

import (
	"context"
	"fmt"
)

// Checks counts the violations that the read-back of a run found. All counts except
// Requests must be zero.
type Checks struct {
	// Requests is the number of checked write requests.
	Requests int `json:"requests"`
	// Lost counts acknowledged writes that are missing.
	Lost int `json:"lost"`
	// Duplicated counts requests that ran more than once.
	Duplicated int `json:"doubled"`
	// RanAfterRefusal counts writes that ran although their outcome said that nothing
	// ran.
	RanAfterRefusal int `json:"ran_after_refusal"`
	// MissedOwnWrites counts reads that did not return the session's own write.
	MissedOwnWrites int `json:"missed_own_writes"`
}

// OK reports whether no violation was found.
func (c Checks) OK() bool {
	return c.Lost == 0 && c.Duplicated == 0 && c.RanAfterRefusal == 0 && c.MissedOwnWrites == 0
}

type rowKey struct {
	database string
	table    string
	id       string
}

// Verify reads the written rows back through new sessions and compares them with the
// results. It fails if a table cannot be read.
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

// check counts the violation, if any, of a request that ran the given number of times.
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

// readRuns returns the number of runs of each request, by its row.
func (l *Load) readRuns(ctx context.Context) (map[rowKey]int64, error) {
	runs := map[rowKey]int64{}
	for _, database := range l.Mix.Databases {
		for i := range l.Mix.Classes {
			class := &l.Mix.Classes[i]
			if class.Operation == Read {
				continue
			}
			if err := l.readTable(ctx, database, class, runs); err != nil {
				return nil, fmt.Errorf("read back table %s of database %s: %w", class.Table, database, err)
			}
		}
	}
	return runs, nil
}

// readTable adds the number of runs of every row of the class's table to runs.
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
			runs[key] = 1 // Inserted rows have no run counter.
		} else {
			runs[key] = *n
		}
	}
	return rows.Err()
}
