package pgwire

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/laburnumrack/laburnumrack/internal/request"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

const (
	// statementPrefix is the prefix of the names of prepared statements at targets.
	statementPrefix    = "lr_"
	statementHashBytes = 16
	// statementOverheadBytes is the approximate memory of a statement besides its text.
	statementOverheadBytes = 256
)

// preparedStatement is a prepared statement of a caller.
type preparedStatement struct {
	target    wireunit.Statement
	statement request.Statement
}

// newPreparedStatement returns a statement that is named at targets by a hash of its SQL
// and parameter types. The hash is cryptographic, because callers share target
// connections, and a caller must not be able to create a statement whose name collides
// with that of another caller.
func newPreparedStatement(sql string, oids []uint32) *preparedStatement {
	return &preparedStatement{
		target:    wireunit.Statement{Name: statementName(sql, oids), SQL: sql, ParameterOIDs: oids},
		statement: classifySingle(sql),
	}
}

func statementName(sql string, oids []uint32) string {
	h := sha256.New()
	h.Write([]byte(sql))
	word := []byte{0, 0, 0, 0, 0}
	for _, oid := range oids {
		binary.BigEndian.PutUint32(word[1:], oid)
		h.Write(word)
	}
	return statementPrefix + hex.EncodeToString(h.Sum(nil)[:statementHashBytes])
}

// memoryBytes returns the memory that is charged for the statement.
func (p *preparedStatement) memoryBytes() int {
	return statementOverheadBytes + len(p.target.SQL) + 4*len(p.target.ParameterOIDs)
}

// classifySingle classifies the SQL of a Parse message. If it doesn't hold exactly one
// statement, the kind is Other, and the target refuses it. The result holds no reference
// to sql, so that the SQL text can be freed.
func classifySingle(sql string) request.Statement {
	all := request.Classify(sql)
	if len(all) != 1 {
		return request.Statement{Kind: request.Other}
	}
	s := all[0]
	s.Name = strings.Clone(s.Name)
	s.Value = strings.Clone(s.Value)
	if s.Kind.BeginsTransaction() {
		s.Text = strings.Clone(s.Text)
	} else {
		s.Text = ""
	}
	return s
}

// portal is a portal bound by the caller.
type portal struct {
	statement request.Statement
	// local reports whether the portal is answered without a target.
	local bool
}
