// Package target implements an in-memory stand-in for one instance of a replicated
// PostgreSQL group, for tests, benchmarks and demonstrations.
//
// An instance speaks the PostgreSQL wire protocol, executes a small subset of SQL and
// streams a log of entries from the primary to its replicas. It provides the SQL
// functions named in internal/target. Terms, log and role survive Crash and Restart;
// all state is lost when the process exits.
package target
