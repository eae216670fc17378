package membership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/peer"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// KindFounder is the kind of the objects that name, for each failure domain, the daemon that
// started first in it. They are read at the first start of the system only.
const KindFounder store.Kind = "laburnumrack-founders"

// Timing of the first start.
const (
	// foundingTimeout bounds the call by which a daemon becomes the founder or learns of it.
	foundingTimeout = time.Second
	// joinTime is how long after that the founder acts as relay of its failure domain,
	// whatever VMs are known. Meanwhile all VMs register.
	joinTime = 2 * time.Second
)

// founder is the value of an object of KindFounder.
type founder struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Found makes this daemon the founder of its failure domain or, if there is one already,
// takes the founder as contact, at the first start of the system. One call per daemon then
// replaces the lists that each of them would get from the store. If the store does not
// answer, the daemon starts without a contact, and the error says why.
func (m *Members) Found(ctx context.Context, objects Objects) error {
	ctx, cancel := context.WithTimeout(ctx, foundingTimeout)
	defer cancel()
	self := founder{Name: m.self.Name, Address: m.self.Peer.String()}
	value, err := json.Marshal(self)
	if err != nil {
		return fmt.Errorf("encode founder: %w", err)
	}
	// Other daemons may connect to the founder before it knows that it is the founder.
	m.joinUntil.Store(int64(boottime.Now() + joinTime))
	known, err := putFounder(ctx, objects, store.Object{Key: store.Key{Kind: KindFounder, Name: m.self.FailureDomain}, Value: value})
	if err != nil {
		m.joinUntil.Store(0)
		return fmt.Errorf("found failure domain %s: %w", m.self.FailureDomain, err)
	}
	m.log.StateChange("founder_known", "peer", known.Name, "address", known.Address)
	if known.Name != m.self.Name {
		m.addContact(peer.Identity{Name: known.Name, Address: known.Address})
	}
	return nil
}

// putFounder creates an object of KindFounder and returns the value that the store has
// afterwards, which is that of another daemon if the object exists.
func putFounder(ctx context.Context, objects Objects, o store.Object) (founder, error) {
	stored := o
	_, err := objects.Put(ctx, o)
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		stored = conflict.Current
	case err != nil:
		return founder{}, err
	}
	var known founder
	if err := json.Unmarshal(stored.Value, &known); err != nil {
		return founder{}, fmt.Errorf("decode founder: %w", err)
	}
	return known, nil
}

// JoiningFor returns how much longer the founder acts as relay of this failure domain, not
// positive if it does not.
func (m *Members) JoiningFor() time.Duration {
	return time.Duration(m.joinUntil.Load()) - boottime.Now()
}

// joining reports whether the founder acts as relay of this failure domain.
func (m *Members) joining() bool {
	return m.JoiningFor() > 0
}
