package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/freshness"
	"github.com/laburnumrack/laburnumrack/internal/position"
)

// PositionResponse is the answer to a request for the log position of a group's primary.
type PositionResponse struct {
	Position position.Position `cbor:"1,keyasint"`
	// Age is the time since the sample was taken.
	Age time.Duration `cbor:"2,keyasint"`
	// Known is false if the peer has no sample of the group.
	Known bool `cbor:"3,keyasint,omitempty"`
}

// PositionSource returns the newest sample of a group's primary. It reports false if
// there is none.
type PositionSource interface {
	NewestPosition(group string) (freshness.Sample, bool)
}

func (c *serverConn) answerPosition(id uint64, group string) {
	var answer PositionResponse
	if c.server.Positions != nil {
		if s, ok := c.server.Positions.NewestPosition(group); ok {
			answer = PositionResponse{Position: s.Position, Age: boottime.Now() - s.At, Known: true}
		}
	}
	// The client learns of a failed write from the end of the connection.
	_ = c.frames.write(response{Unit: id, Position: &answer})
}

// ErrNoPosition is returned if the peer has no sample of the group.
var ErrNoPosition = errors.New("peer has no position of the group")

// positionTimeout limits a request for a position: a round trip between regions.
const positionTimeout = 150 * time.Millisecond

// Position asks the peer for the newest position of a group's primary. The time of the
// sample is the start of this call minus the age that the peer reports, so it never
// counts as younger than it is. The error may wrap ErrNoPosition.
func (c *Client) Position(group string) (freshness.Sample, error) {
	start := boottime.Now()
	conn, err := c.connect()
	if err != nil {
		return freshness.Sample{}, err
	}
	answer, _, err := conn.roundTrip(request{Unit: conn.lastID.Add(1), PositionOf: group}, positionTimeout)
	if err != nil {
		return freshness.Sample{}, fmt.Errorf("get position of group %s from peer %s: %w", group, c.name, err)
	}
	if answer.Position == nil || !answer.Position.Known {
		return freshness.Sample{}, fmt.Errorf("get position of group %s from peer %s: %w", group, c.name, ErrNoPosition)
	}
	return freshness.Sample{At: start - answer.Position.Age, Position: answer.Position.Position}, nil
}
