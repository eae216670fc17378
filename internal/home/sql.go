package home

import (
	"bytes"
	"encoding/binary"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/laburnumrack/laburnumrack/internal/target"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// messageHeaderBytes is the length in bytes of the type and the length field of a
// message.
const messageHeaderBytes = 5

// transactionEndWords are the words of which a statement contains at least one if it may
// commit or end an open transaction. A false match is safe: it costs a status query, or
// the outcome of a lost batch is unknown although it did not run.
var transactionEndWords = []string{"commit", "end", "prepare", "call", "do", "rollback", "abort"}

// opensTransaction reports whether the first statement of a batch is BEGIN or START
// TRANSACTION.
func opensTransaction(b wireunit.Batch) bool {
	opens, first := false, true
	eachSQL(b, func(sql string) {
		if first {
			word := firstWord(sql)
			opens = strings.EqualFold(word, "begin") || strings.EqualFold(word, "start")
		}
		first = false
	})
	return opens
}

// mayEndTransaction reports whether a batch may end an open transaction.
func mayEndTransaction(b wireunit.Batch) bool {
	if b.NoCommit {
		return false
	}
	may := false
	eachSQL(b, func(sql string) { may = may || hasAnyWord(sql, transactionEndWords) })
	return may
}

// hasSeveralStatements reports whether a batch may hold more than one statement.
func hasSeveralStatements(b wireunit.Batch) bool {
	n := 0
	eachSQL(b, func(sql string) {
		n++
		if strings.Contains(strings.TrimRight(sql, "; \t\r\n"), ";") {
			n++
		}
	})
	return n > 1
}

// endsWithSync reports whether a batch ends with a Sync message, as in the extended query
// protocol.
func endsWithSync(b wireunit.Batch) bool {
	n := len(b.Messages)
	return n >= messageHeaderBytes && b.Messages[n-messageHeaderBytes] == 'S' &&
		binary.BigEndian.Uint32(b.Messages[n-messageHeaderBytes+1:]) == messageHeaderBytes-1
}

// eachSQL calls f with the SQL of each prepared statement that a batch refers to, and of
// each Query and Parse message.
func eachSQL(b wireunit.Batch, f func(sql string)) {
	for _, s := range b.Statements {
		f(s.SQL)
	}
	messages := b.Messages
	for len(messages) >= messageHeaderBytes {
		size := int(binary.BigEndian.Uint32(messages[1:messageHeaderBytes])) + 1
		if size < messageHeaderBytes || size > len(messages) {
			return
		}
		body := messages[messageHeaderBytes:size]
		switch messages[0] {
		case 'Q':
			f(cString(body))
		case 'P':
			if end := bytes.IndexByte(body, 0); end >= 0 {
				f(cString(body[end+1:]))
			}
		}
		messages = messages[size:]
	}
}

func cString(b []byte) string {
	if end := bytes.IndexByte(b, 0); end >= 0 {
		b = b[:end]
	}
	return string(b)
}

// firstWord returns the first word of a statement after white space and comments.
func firstWord(sql string) string {
	for {
		sql = strings.TrimLeft(sql, " \t\r\n;(")
		switch {
		case strings.HasPrefix(sql, "--"):
			_, sql, _ = strings.Cut(sql, "\n")
		case strings.HasPrefix(sql, "/*"):
			_, sql, _ = strings.Cut(sql, "*/")
		default:
			end := strings.IndexFunc(sql, func(r rune) bool { return !isWordRune(r) })
			if end < 0 {
				return sql
			}
			return sql[:end]
		}
	}
}

// hasAnyWord reports whether one of the words occurs anywhere in the text, string
// literals included.
func hasAnyWord(text string, words []string) bool {
	for _, word := range strings.FieldsFunc(text, func(r rune) bool { return !isWordRune(r) }) {
		for _, w := range words {
			if strings.EqualFold(word, w) {
				return true
			}
		}
	}
	return false
}

func isWordRune(r rune) bool {
	return r == '_' || '0' <= r && r <= '9' || 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || r > 127
}

// quote returns s as an SQL string literal.
func quote(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}

// query returns a batch with one simple query.
func query(sql string) (wireunit.Batch, error) {
	message := pgproto3.Query{String: sql}
	encoded, err := message.Encode(nil)
	return wireunit.Batch{Messages: encoded}, err
}

// insertRecord, updateRecord and selectRecord return the statements on the request
// record.
func insertRecord(id, caller, tag string) string {
	return "INSERT INTO " + target.RecordTable + " (request_id, caller, tag) VALUES (" +
		quote(id) + ", " + quote(caller) + ", " + quote(tag) + ")"
}

func updateRecord(id, tag string) string {
	return "UPDATE " + target.RecordTable + " SET tag = " + quote(tag) + " WHERE request_id = " + quote(id)
}

func selectRecord(id, caller string) string {
	return "SELECT tag FROM " + target.RecordTable + " WHERE request_id = " + quote(id) + " AND caller = " + quote(caller)
}

// firstValues collects the first column of the rows that are written to it.
type firstValues struct {
	values []string
}

// Write decodes the DataRow messages among whole backend messages. It always reports all
// bytes as written.
func (v *firstValues) Write(messages []byte) (int, error) {
	total := len(messages)
	for len(messages) >= messageHeaderBytes {
		size := int(binary.BigEndian.Uint32(messages[1:messageHeaderBytes])) + 1
		if size > len(messages) {
			break
		}
		if messages[0] == 'D' {
			v.add(messages[messageHeaderBytes:size])
		}
		messages = messages[size:]
	}
	return total, nil
}

func (v *firstValues) add(body []byte) {
	var row pgproto3.DataRow
	if err := row.Decode(body); err == nil && len(row.Values) > 0 {
		v.values = append(v.values, string(row.Values[0]))
	}
}
