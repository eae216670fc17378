// Package command executes the statements that change the configuration.
//
// Each statement becomes one conditional update of one object in the store. The
// written object carries the id of the command. If the store's response to an update
// is lost, the executor reads the object back before it retries, so a command is
// applied at most once. A command that loses a race against another one fails with
// the version that won.
package command

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// MaxBatchBytes is the maximum length of a batch name, in bytes.
const MaxBatchBytes = 64

// ID identifies a command by the name of its batch, which the sender chooses to be
// unique, and its 1-based index in the batch. A retried command has the same ID.
type ID struct {
	Batch  string
	Number int
}

// String returns the id in the form batch#number.
func (id ID) String() string {
	return id.Batch + "#" + strconv.Itoa(id.Number)
}

// ValidBatch reports whether s is a valid batch name: 1 to MaxBatchBytes printable
// ASCII characters other than space and '#'.
func ValidBatch(s string) bool {
	if s == "" || len(s) > MaxBatchBytes {
		return false
	}
	return !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' || r == '#' })
}

// parseID parses the form that ID.String returns.
func parseID(s string) (ID, error) {
	batch, number, ok := strings.Cut(s, "#")
	n, err := strconv.Atoi(number)
	if !ok || err != nil {
		return ID{}, fmt.Errorf("malformed command id %q, want batch#number", s)
	}
	return ID{batch, n}, nil
}

// coveredBy reports whether written, the command id that an object carries, is id or a
// later command of the same batch. The command id is then already applied.
func (id ID) coveredBy(written string) bool {
	other, err := parseID(written)
	return err == nil && other.Batch == id.Batch && other.Number >= id.Number
}

// sameBatch reports whether written, the command id that an object carries, belongs
// to the batch of id.
func (id ID) sameBatch(written string) bool {
	other, err := parseID(written)
	return err == nil && other.Batch == id.Batch
}

// commandIDOf returns the command id in a stored value, or "" if it has none.
func commandIDOf(value []byte) string {
	var document struct {
		CommandID string `json:"command_id"`
	}
	if json.Unmarshal(value, &document) != nil {
		return ""
	}
	return document.CommandID
}
