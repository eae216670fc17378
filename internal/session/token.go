// Package session tracks the position that a session has seen of each database, and
// encodes it as a token that the caller can present to another daemon.
//
// A Token is encoded as CBOR, authenticated by HMAC-SHA-256 with a key of a Keyring,
// and written as base64url text. Tokens are merged by maximum, so that presenting an
// old one never lowers a position. The package is pure: it uses no sockets,
// goroutines or wall clock.
package session

import (
	"errors"
	"maps"
	"slices"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

// Limits of a token.
const (
	// MaxDatabases is the maximum number of databases in one token.
	MaxDatabases = 32
	// MaxNameBytes is the maximum length of a service or database name, in bytes.
	MaxNameBytes = 63
	// MaxTextBytes is the maximum length of the text form of a token, in bytes.
	MaxTextBytes = 8192
)

// ErrTooManyDatabases reports that a token would hold more than MaxDatabases.
var ErrTooManyDatabases = errors.New("session token names too many databases")

// Database identifies a database of a service.
type Database struct {
	Service string
	Name    string
}

// Token holds the position seen of each database. The zero Token holds none. A Token
// is not safe for concurrent use.
type Token struct {
	seen map[Database]position.Position
}

// Seen returns the position seen of db, or the zero Position.
func (t *Token) Seen(db Database) position.Position {
	return t.seen[db]
}

// Len returns the number of databases in t.
func (t *Token) Len() int {
	return len(t.seen)
}

// Advance raises the position seen of db to p and reports whether it changed.
// It fails with ErrTooManyDatabases if db is new and the token is full.
func (t *Token) Advance(db Database, p position.Position) (bool, error) {
	old, known := t.seen[db]
	if p.Compare(old) <= 0 {
		return false, nil
	}
	if !known && len(t.seen) >= MaxDatabases {
		return false, ErrTooManyDatabases
	}
	if t.seen == nil {
		t.seen = make(map[Database]position.Position, 1)
	}
	t.seen[db] = p
	return true, nil
}

// Merge raises the positions of t to the maximum of t and other, per database. If the
// result would hold too many databases, it fails with ErrTooManyDatabases and t is
// unchanged.
func (t *Token) Merge(other Token) error {
	merged := Token{seen: maps.Clone(t.seen)}
	for db, p := range other.seen {
		if _, err := merged.Advance(db, p); err != nil {
			return err
		}
	}
	t.seen = merged.seen
	return nil
}

// databases returns the databases of t, sorted by service and name.
func (t *Token) databases() []Database {
	return slices.SortedFunc(maps.Keys(t.seen), compareDatabases)
}

func compareDatabases(a, b Database) int {
	switch {
	case a.Service < b.Service:
		return -1
	case a.Service > b.Service:
		return 1
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	default:
		return 0
	}
}
