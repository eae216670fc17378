package target

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/laburnumrack/laburnumrack/internal/target"
)

// answer counts the messages of an answer, so that a truncated or duplicated answer is
// detected before its success is reported to the caller.
type answer struct {
	// counts covers the caller's batch. The answers to the prelude and to the
	// preparation are counted separately.
	counts answerCounts
	// preludeCompletions is the number of prelude statements that have completed.
	preludeCompletions int
	// preparationCloses and preparationParses are the numbers of CloseComplete and
	// ParseComplete messages received for the preparation.
	preparationCloses int
	preparationParses int
	// rows is the number of DataRows of the current statement, and described reports
	// whether a RowDescription preceded them.
	rows      int
	described bool
	// failed reports whether an ErrorResponse was received.
	failed bool
	// holding reports whether messages are held back instead of forwarded.
	holding bool
}

// record counts one message of the answer and reports whether the message is forwarded
// to the caller. It returns errProtocol for a message that no answer may contain.
func (e *exchange) record(message []byte) (forward bool, err error) {
	a := &e.answer
	if a.preludeCompletions < len(e.request.Prelude) && !a.failed {
		return false, e.recordPrelude(message)
	}
	switch message[0] {
	case 'D':
		a.rows++
	case 'T':
		a.described, a.rows = true, 0
		a.counts.describes++
	case 'n':
		a.counts.describes++
	case 't', 'N':
	case '1':
		return e.recordParse(), nil
	case '2':
		a.counts.binds++
	case '3':
		return e.recordClose(), nil
	case 'C', 'I', 's':
		return true, e.recordCompletion(message)
	case 'E':
		a.failed, a.holding = true, true
		e.reply.SQLState = errorField(message[headerBytes:], 'C')
	case 'S':
		e.conn.dirty = true
	case 'A':
		return false, nil
	default:
		return false, fmt.Errorf("%w: unexpected message %q in answer", errProtocol, message[0])
	}
	return true, nil
}

// isResult reports whether a message of the given type ends a statement.
func isResult(kind byte) bool {
	switch kind {
	case 'C', 'I', 's', 'E':
		return true
	default:
		return false
	}
}

// recordPrelude counts one message of the answer to the prelude. After an error the
// target skips all messages up to Sync, so the batch does not run.
func (e *exchange) recordPrelude(message []byte) error {
	switch message[0] {
	case '1', '2', 'N', 'A':
	case 'S':
		e.conn.dirty = true
	case 'C':
		e.answer.preludeCompletions++
	case 'E':
		e.answer.failed = true
		e.reply.PreludeState = errorField(message[headerBytes:], 'C')
		e.reply.SQLState = e.reply.PreludeState
	default:
		return fmt.Errorf("%w: unexpected message %q in answer to prelude", errProtocol, message[0])
	}
	return nil
}

// recordParse counts a ParseComplete. The first ones answer the preparation and are not
// forwarded.
func (e *exchange) recordParse() (forward bool) {
	if e.answer.preparationParses < len(e.preparation.missing) {
		e.conn.statements.add(e.preparation.missing[e.answer.preparationParses].Name)
		e.answer.preparationParses++
		return false
	}
	e.answer.counts.parses++
	return true
}

// recordClose counts a CloseComplete. The first ones answer the preparation and are not
// forwarded.
func (e *exchange) recordClose() (forward bool) {
	if e.answer.preparationCloses < len(e.preparation.closes) {
		e.conn.statements.remove(e.preparation.closes[e.answer.preparationCloses])
		e.answer.preparationCloses++
		return false
	}
	e.answer.counts.closes++
	return true
}

// recordCompletion counts the successful end of a statement. The messages from here on
// are held back until the batch is confirmed.
func (e *exchange) recordCompletion(message []byte) error {
	a := &e.answer
	a.holding = true
	a.counts.executes++
	e.reply.Succeeded = true
	if message[0] == 'C' {
		if err := e.recordTag(bytes.TrimRight(message[headerBytes:], "\x00")); err != nil {
			return err
		}
	}
	a.described, a.rows = false, 0
	return nil
}

// recordTag stores a command tag and compares the row count of a SELECT tag with the
// number of rows received.
func (e *exchange) recordTag(tag []byte) error {
	a, c := &e.answer, e.conn
	if c.lastTag != string(tag) {
		c.lastTag = string(tag)
	}
	e.reply.Tag = c.lastTag
	if changesSession(c.lastTag) {
		c.dirty = true
	}
	count, isSelect := strings.CutPrefix(c.lastTag, "SELECT ")
	if !isSelect || (a.rows == 0 && !a.described) {
		return nil
	}
	if n, err := strconv.Atoi(count); err != nil || n != a.rows {
		return fmt.Errorf("%w: received %d rows before command tag %q", errProtocol, a.rows, c.lastTag)
	}
	return nil
}

// checkComplete returns errProtocol if an answer without an error does not match the
// batch that was sent: want for the caller's messages, p for the preparation, and
// prelude statements.
func (a *answer) checkComplete(want answerCounts, p preparation, prelude int) error {
	if a.failed {
		return nil
	}
	if a.preludeCompletions < prelude {
		return fmt.Errorf("%w: answer ended before the prelude completed", errProtocol)
	}
	got := a.counts
	if want.simple {
		if got.executes == 0 {
			return fmt.Errorf("%w: answer has no command completion", errProtocol)
		}
		return nil
	}
	if got != want || a.preparationParses != len(p.missing) || a.preparationCloses != len(p.closes) {
		return fmt.Errorf("%w: received answer %+v, want %+v", errProtocol, got, want)
	}
	return nil
}

// sessionTags are prefixes of the command tags of statements that may leave session
// state on a connection.
var sessionTags = []string{
	"SET", "RESET", "LISTEN", "UNLISTEN", "PREPARE", "DEALLOCATE", "DISCARD", "DECLARE CURSOR", "LOAD",
	"CREATE TABLE", "CREATE VIEW", "CREATE SEQUENCE",
}

// changesSession reports whether a statement with this tag may leave session state.
func changesSession(tag string) bool {
	for _, t := range sessionTags {
		if strings.HasPrefix(tag, t) {
			return true
		}
	}
	return false
}

// errorField returns a field of the body of an ErrorResponse, or SQLStateUnnamed if the
// body has no such field.
func errorField(body []byte, field byte) string {
	for len(body) > 1 {
		end := bytes.IndexByte(body, 0)
		if end < 0 {
			break
		}
		if body[0] == field {
			return string(body[1:end])
		}
		body = body[end+1:]
	}
	return target.SQLStateUnnamed
}
