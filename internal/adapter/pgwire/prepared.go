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
	// statementPrefix starts the names of prepared statements at targets.
	statementPrefix   = "lr_"
	statementHashSize = 16
	// statementOverhead is about what a statement costs beside its text.
	statementOverhead = 256
)

// prepared is a prepared statement of a caller.
type prepared struct {
	target wireunit.Statement
	class  request.Statement
}

// newPrepared names a statement by a hash of its SQL and parameter types. The
// hash is a cryptographic one: callers share the connections of a target, and
// none may make a statement that collides with another's.
func newPrepared(sql string, oids []uint32) *prepared {
	return &prepared{
		target: wireunit.Statement{Name: statementName(sql, oids), SQL: sql, ParameterOIDs: oids},
		class:  classifySingle(sql),
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
	return statementPrefix + hex.EncodeToString(h.Sum(nil)[:statementHashSize])
}

// bytes returns the memory that the statement is charged with.
func (p *prepared) bytes() int {
	return statementOverhead + len(p.target.SQL) + 4*len(p.target.ParameterOIDs)
}

// classifySingle classifies a string that should hold one statement. The target
// refuses several. What it returns does not keep the string alive.
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

// portal is a portal that the caller has bound.
type portal struct {
	class request.Statement
	// local says that it is answered here.
	local bool
}
