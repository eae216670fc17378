// Package stmtunit is the contract between the daemon that a caller is connected to
// and the home that runs the caller's statements on targets.
//
// A unit is one single statement or one transaction. Its statements are decoded.
package stmtunit

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// Header opens a unit. Times are ages, because the clocks of two VMs differ.
type Header struct {
	// Session names the caller's session, so that its connection can be found again.
	Session uint64
	// Route is that of the configuration Version at the caller's daemon.
	Route   catalog.Route
	Version uint64
	// Begin opens a transaction; nil for a single statement.
	Begin *query.Statement
	// Seen is the end of the log after the session's last commit, SeenAge the time
	// since that commit.
	Seen    position.Position
	SeenAge time.Duration
}

// Call is one statement of a unit.
type Call struct {
	Statement query.Statement
	// Environment holds the session's values and the prepared statement that
	// Statement names.
	Environment query.Environment
	// Age is the time since the statement was read from the caller.
	Age time.Duration
}

// Outcome reports how a call ended.
type Outcome uint8

// The outcomes of a call.
const (
	// Answered says that Answer is the outcome.
	Answered Outcome = iota
	// NotRun says that the home did not take the call; another may.
	NotRun
	// Lost says that the home was lost while the call was under way.
	Lost
)

// Reply ends a call.
type Reply struct {
	Fate   Outcome
	Answer query.Answer
	// CutOff says that the home can't serve the group, but another may: it reaches
	// neither the store nor any replica, so that it can't pass on what the primary
	// answers, or the primary has no room for its connections.
	CutOff bool
	// Committed is the end of the log after a commit of the unit; zero if it made
	// none.
	Committed position.Position
}

// Unit is an open unit. One goroutine uses it.
type Unit interface {
	// Run runs one statement; the next is run after its reply.
	Run(c Call) Reply
	// Close ends the unit; an open transaction is rolled back.
	Close()
}

// Opener opens units.
type Opener interface {
	Open(h Header) Unit
}
