package target

import (
	"encoding/binary"
	"fmt"

	"github.com/laburnumrack/laburnumrack/internal/target"
)

// headerBytes is the size of a message's type byte and length field.
const headerBytes = 5

// answerCounts holds the number of messages of each type in the answer to a batch that
// completes without an error.
type answerCounts struct {
	parses    int
	binds     int
	closes    int
	describes int
	executes  int
	// simple reports whether the batch is one Query. Its number of statements is
	// unknown, so the counts are not compared.
	simple bool
}

// inspect checks that messages are complete frontend messages that end with the only
// Query or Sync, and returns the counts of the expected answer. The error wraps
// target.ErrMalformed.
func inspect(messages []byte) (answerCounts, error) {
	var e answerCounts
	for len(messages) > 0 {
		kind, size, err := parseHeader(messages)
		if err != nil {
			return e, err
		}
		messages = messages[size:]
		switch kind {
		case 'P':
			e.parses++
		case 'B':
			e.binds++
		case 'C':
			e.closes++
		case 'D':
			e.describes++
		case 'E':
			e.executes++
		case 'H':
		case 'Q', 'S':
			e.simple = kind == 'Q'
			if len(messages) > 0 {
				return e, fmt.Errorf("%w: messages after Query or Sync", target.ErrMalformed)
			}
			return e, nil
		default:
			return e, fmt.Errorf("%w: unexpected message type %q", target.ErrMalformed, kind)
		}
	}
	return e, fmt.Errorf("%w: no Query or Sync at the end", target.ErrMalformed)
}

// parseHeader returns the type of the first message and its size in bytes, header
// included. The error wraps target.ErrMalformed if the message is incomplete.
func parseHeader(messages []byte) (kind byte, size int, err error) {
	if len(messages) < headerBytes {
		return 0, 0, fmt.Errorf("%w: truncated message header", target.ErrMalformed)
	}
	length := binary.BigEndian.Uint32(messages[1:headerBytes])
	if length < 4 || uint64(length)+1 > uint64(len(messages)) {
		return 0, 0, fmt.Errorf("%w: invalid message length %d", target.ErrMalformed, length)
	}
	return messages[0], int(length) + 1, nil
}
