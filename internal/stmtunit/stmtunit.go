// Package stmtunit defines the interface between a gateway, the daemon that a caller is
// connected to, and the home that runs the caller's statements on targets, for units
// of work that carry decoded statements.
//
// A unit is one statement outside a transaction, or one transaction.
package stmtunit

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// Header describes a unit when it is opened. Times are ages, because the clocks of two
// VMs differ.
type Header struct {
	// Session identifies the caller's session, so that the home can reuse the
	// pooled connection that served it before.
	Session uint64
	// Tenant is the name of the caller's tenant, and Key the digest of the key that
	// identified it. Both are zero on a public route.
	Tenant string            `cbor:",omitempty"`
	Key    catalog.KeyDigest `cbor:",omitzero"`
	// Route is the route of the caller's database in the configuration Version of the
	// gateway.
	Route   catalog.Route
	Version uint64
	// Begin is the statement that opens the transaction; nil for a single statement.
	Begin *query.Statement
	// Seen is the end of the log after the session's last commit, and SeenAge is the
	// time since that commit. Both are zero before the first commit.
	Seen    position.Position
	SeenAge time.Duration
}

// Call is one statement of a unit.
type Call struct {
	Statement query.Statement
	// Environment holds the session's values and the prepared statement to which
	// Statement refers.
	Environment query.Environment
	// Age is the time since the gateway read the statement from the caller.
	Age time.Duration
}

// Outcome reports how a call ended.
type Outcome uint8

// The outcomes of a call.
const (
	// Answered means that the home answered the call with Reply.Answer.
	Answered Outcome = iota
	// NotRun means that the home did not accept the call; another home may.
	NotRun
	// Lost means that the home was lost during the call, so that it may have run.
	Lost
)

// Reply is the result of a call.
type Reply struct {
	// Outcome is the outcome of the call. Peers encode it under the key "Fate".
	Outcome Outcome `cbor:"Fate"`
	Answer  query.Answer
	// Reason is the reason for which the home refused the call, and empty if it did not.
	// The gateway counts refusals by it, so it must be one of a fixed set of constants.
	Reason string `cbor:",omitempty"`
	// CutOff reports whether the home can't serve the group, though another home may:
	// it can reach neither the store nor any replica to confirm the primary's
	// answers, or the primary accepts no connection from it.
	CutOff bool
	// Committed is the end of the log after a commit of the unit; zero if there was
	// none.
	Committed position.Position
}

// Unit is an open unit. It is not safe for concurrent use.
type Unit interface {
	// Run runs one statement and waits for its reply.
	Run(c Call) Reply
	// Close ends the unit. An open transaction is rolled back.
	Close()
}

// Opener opens units at a home.
type Opener interface {
	Open(h Header) Unit
}
