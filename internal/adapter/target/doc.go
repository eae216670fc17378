// Package target implements the interfaces of internal/target for instances that speak
// the PostgreSQL protocol.
//
// A control connection reads and sets the term of an instance. A data connection
// forwards the messages of callers by their frame headers: rows are neither parsed nor
// copied between buffers. The package makes no routing or retry decisions; its errors
// report whether a request may have reached the target.
package target
