package node

import (
	"context"
	"errors"

	"github.com/laburnumrack/laburnumrack/internal/failover"
	"github.com/laburnumrack/laburnumrack/internal/permit"
)

// relayedIntents reads the intents of promotions from the relay, or from the store
// where this daemon is the relay or that can't answer.
type relayedIntents struct {
	relays Relays
	direct *permit.Permits
	duties *failover.DutyKeeper
}

// errStoreSilent says that neither relay nor store answered.
var errStoreSilent = errors.New("the store does not answer")

// ReadIntents implements permit.Reader.
func (r *relayedIntents) ReadIntents(context.Context) (permit.Record, error) {
	record, err := r.read()
	if err == nil {
		r.duties.SawRevision(record.Version)
	}
	return record, err
}

func (r *relayedIntents) read() (permit.Record, error) {
	if relay := r.relays.Relay(); relay != nil {
		if record, err := relay.Intents(); err == nil {
			return record, nil
		}
	}
	record, ok := r.direct.Fresh()
	if !ok {
		return permit.Record{}, errStoreSilent
	}
	return record, nil
}
