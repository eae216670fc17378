package session

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

// State is the session state of one caller connection. It is not safe for concurrent
// use.
type State struct {
	// ID identifies the session in logs.
	ID string
	// Database is the database that the session uses. The token always has room
	// for it.
	Database Database
	// Started is the time at which the session began at this daemon.
	Started time.Time
	// Presented reports whether the session has presented a token.
	Presented bool

	token Token
}

// Age returns the time since the session began. It is never negative, also when the
// clock was set back.
func (s *State) Age(now time.Time) time.Duration {
	return max(now.Sub(s.Started), 0)
}

// Seen returns the position of Database that a read must cover.
func (s *State) Seen() position.Position {
	return s.token.Seen(s.Database)
}

// Advance raises the position seen of Database to p and reports whether it changed.
func (s *State) Advance(p position.Position) bool {
	changed, err := s.token.Advance(s.Database, p)
	if err != nil {
		panic("session: " + err.Error()) // unreachable: Present keeps room for Database
	}
	return changed
}

// Present merges a token that the caller presented into the state. If the result
// would have no room for Database, it fails with ErrTooManyDatabases and the state is
// unchanged.
func (s *State) Present(t Token) error {
	merged := Token{seen: s.token.seen}
	if err := merged.Merge(t); err != nil {
		return err
	}
	if _, known := merged.seen[s.Database]; !known && merged.Len() >= MaxDatabases {
		return ErrTooManyDatabases
	}
	s.token = merged
	s.Presented = true
	return nil
}

// Token returns the token with all positions that the session has seen.
func (s *State) Token() Token {
	return s.token
}
