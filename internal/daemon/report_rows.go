package daemon

import (
	"encoding/json"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/home"
	"github.com/laburnumrack/laburnumrack/internal/report"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// States of a target connection in SHOW HOLDERS.
const (
	stateWorking = "working"
	stateIdle    = "idle"
	stateFree    = "free"
)

// holderRows returns one row for each connection of a target: first the connections that
// callers hold, then the free ones. The fields of base are copied into each row.
func holderRows(base report.Holder, holders []home.Holder, free int) []report.Holder {
	var rows []report.Holder
	for _, h := range holders {
		row := base
		row.Connection = uint64(len(rows) + 1)
		row.State = stateWorking
		if h.InTransaction {
			row.State = stateIdle
		}
		row.Caller = h.Caller
		row.Class = h.Class
		row.For = h.Since
		rows = append(rows, row)
	}
	for range free {
		row := base
		row.Connection = uint64(len(rows) + 1)
		row.State = stateFree
		rows = append(rows, row)
	}
	return rows
}

// promotionRows decodes the promotion records of page that are not older than since; zero
// selects all. Records that can't be decoded are skipped.
func promotionRows(page store.Page, now time.Time, since time.Duration) []report.Promotion {
	var rows []report.Promotion
	for _, o := range page.Objects {
		var p report.Promotion
		if err := json.Unmarshal(o.Value, &p); err != nil {
			continue
		}
		if since > 0 && now.Sub(p.At) > since {
			continue
		}
		rows = append(rows, p)
	}
	return rows
}
