package target

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/target"
)

const (
	selectStatus = "SELECT * FROM " + target.FuncStatus + "()"
	rolePrimary  = "primary"
	// closeTimeout limits the orderly close of a control connection.
	closeTimeout = time.Second
)

// The columns of a status row, as documented at target.FuncStatus.
const (
	columnTarget = iota
	columnRole
	columnFence
	columnJoined
	columnLastTerm
	columnLastIndex
	columnAppliedTerm
	columnAppliedIndex
	statusColumns
)

// errProtocol reports that a target violated the protocol.
var errProtocol = errors.New("target violated the protocol")

// nullLength is the length field of a NULL value in a DataRow.
const nullLength = -1

// decodeStatus decodes the status in the body of a DataRow message. It returns
// errProtocol if the row is not a status row.
func decodeStatus(body []byte) (target.Status, error) {
	var row [statusColumns][]byte
	if len(body) < 2 || int(binary.BigEndian.Uint16(body)) != statusColumns {
		return target.Status{}, fmt.Errorf("%w: status row has an unexpected number of columns", errProtocol)
	}
	body = body[2:]
	for i := range row {
		if len(body) < 4 {
			return target.Status{}, fmt.Errorf("%w: status row is truncated", errProtocol)
		}
		n := int(int32(binary.BigEndian.Uint32(body)))
		body = body[4:]
		if n == nullLength {
			continue
		}
		if n < 0 || n > len(body) {
			return target.Status{}, fmt.Errorf("%w: status row is truncated", errProtocol)
		}
		row[i] = body[:n]
		body = body[n:]
	}
	return parseStatusRow(row[:])
}
