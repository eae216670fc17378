package node

import (
	"github.com/laburnumrack/laburnumrack/internal/freshness"
	"github.com/laburnumrack/laburnumrack/internal/membership"
)

// peerPositions implements backend.PositionFinder for a registry that is created before
// the members are. members must be set before the first call.
type peerPositions struct {
	members *membership.Members
}

// FindPosition asks the other homes of a group for the position of its primary.
func (p *peerPositions) FindPosition(group string) (freshness.Sample, bool) {
	return p.members.FindPosition(group)
}
