package executor

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/backend"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

var statementKindNames = map[query.Kind]string{
	query.Begin: "begin", query.Commit: "commit", query.Rollback: "rollback", query.Read: "read", query.Write: "write",
	query.Execute: "execute",
}

// observeStatement records an answer and the time since its statement was read from the
// caller.
func observeStatement(r *request, a query.Answer, total time.Duration) {
	kind, ok := statementKindNames[r.statement.Kind]
	if !ok {
		kind = "session"
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf(`laburnumrack_statement_seconds{consistency=%q,kind=%q,code=%q}`, r.route.Consistency, kind, a.Code.String())).Update(total.Seconds())
}

// observeQueue records how long a statement waited for admission and a connection.
func observeQueue(r *request, verdict backend.Verdict, waited time.Duration) {
	outcome := "refused"
	if verdict == backend.Acquired {
		outcome = "acquired"
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf(`laburnumrack_queue_seconds{consistency=%q,outcome=%q}`, r.route.Consistency, outcome)).Update(waited.Seconds())
}

// observeExchange records the duration of one exchange with a target.
func observeExchange(r *request, lost bool, elapsed time.Duration) {
	outcome := "answered"
	if lost {
		outcome = "lost"
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf(`laburnumrack_target_seconds{consistency=%q,outcome=%q}`, r.route.Consistency, outcome)).Update(elapsed.Seconds())
}
