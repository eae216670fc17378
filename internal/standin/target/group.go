package target

import (
	"fmt"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

// firstTerm is the term in which a new group starts.
const firstTerm position.Term = 1

// Group is a set of instances that replicate one log.
type Group struct {
	Instances []*Instance
}

// NewGroup starts a group of n instances named t1 to tn, with default settings and no
// connection delay. The first instance is the primary of term 1, the others follow it.
func NewGroup(n int) (*Group, error) {
	configs := make([]Config, n)
	for i := range configs {
		configs[i] = Config{Name: fmt.Sprintf("t%d", i+1), ConnectDelay: -1}
	}
	return StartGroup(configs)
}

// StartGroup starts one group with an instance per configuration. The first instance
// is the primary of term 1, the others follow it. If an instance fails to start, the
// instances started before it are closed.
func StartGroup(configs []Config) (*Group, error) {
	g := &Group{}
	for i, config := range configs {
		if i == 0 {
			config.PrimaryTerm = firstTerm
		} else {
			config.Follow, config.FollowTerm = g.Instances[0].Address(), firstTerm
		}
		in, err := Start(config)
		if err != nil {
			g.Close()
			return nil, err
		}
		g.Instances = append(g.Instances, in)
	}
	return g, nil
}

// Close closes all instances of the group.
func (g *Group) Close() {
	for _, in := range g.Instances {
		in.Close()
	}
}
