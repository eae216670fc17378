package backend

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/laburnumrack/laburnumrack/internal/query"
)

// shapeHashBytes is the length in bytes of the hash in the name of a prepared statement.
// Callers choose the shapes, so the hash must resist crafted collisions.
const shapeHashBytes = 16

// shapeHash returns the hash of the shape of a statement, in hexadecimal digits.
func shapeHash(shape string) string {
	sum := sha256.Sum256([]byte(shape))
	return hex.EncodeToString(sum[:shapeHashBytes])
}

// targetStatementName returns the name of a prepared statement at the targets. It is the
// same for all sessions that prepared the same statement, so that they can share
// connections.
func targetStatementName(p query.Prepared) string {
	if p.Writes {
		return "w" + shapeHash(p.Shape)
	}
	return "r" + shapeHash(p.Shape)
}
