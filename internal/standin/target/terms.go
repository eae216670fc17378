package target

import (
	"net/netip"

	"github.com/laburnumrack/laburnumrack/internal/position"
	contract "github.com/laburnumrack/laburnumrack/internal/target"
)

// fenceLocked raises the fence of the instance to t, which ends its role of primary and
// its replication stream. It returns an error if the fence is higher or the instance is
// down. The caller holds mu.
func (in *Instance) fenceLocked(t position.Term) error {
	switch {
	case in.down:
		return errDown
	case t < in.fence:
		return fencedError("fence %d is above term %d", in.fence, t)
	case t == in.fence:
		return nil
	}
	in.fence = t
	in.primary = false
	in.receiver.stop()
	in.receiver = nil
	in.notifyChanged()
	return nil
}

// Fence raises the fence of the instance to t. It returns an error with SQLSTATE
// SQLStateFenced if the fence is higher, and an error if the instance is down.
func (in *Instance) Fence(t position.Term) (contract.Status, error) {
	in.lockThawed()
	defer in.mu.Unlock()
	err := in.fenceLocked(t)
	return in.status(), err
}

// Promote makes the instance the primary of term t. The instance must be fenced at t and
// must not follow a primary of that term; otherwise Promote returns an error with SQLSTATE
// 55000, or SQLStateFenced if the fence is higher than t.
func (in *Instance) Promote(t position.Term) (contract.Status, error) {
	in.lockThawed()
	defer in.mu.Unlock()
	err := in.promoteLocked(t)
	return in.status(), err
}

func (in *Instance) promoteLocked(t position.Term) error {
	switch {
	case in.down:
		return errDown
	case t < in.fence:
		return fencedError("fence %d is above term %d", in.fence, t)
	case t > in.fence:
		return sqlErrorf(codePrerequisite, "instance is not fenced at term %d", t)
	case in.primary:
		return nil
	case in.receiver != nil || in.joined == t:
		return sqlErrorf(codePrerequisite, "instance already follows a primary of term %d", t)
	}
	in.applyThrough(uint64(len(in.log)))
	in.primary = true
	in.joined = t
	in.appendOwn(nil)
	return nil
}

// Follow makes the instance a replica of the given primary in term t. It returns before
// the instance has joined the term. It fails like Fence, and with SQLSTATE 55000 if the
// instance is the primary of term t.
func (in *Instance) Follow(t position.Term, primary netip.AddrPort) (contract.Status, error) {
	in.lockThawed()
	defer in.mu.Unlock()
	err := in.followLocked(t, primary)
	return in.status(), err
}

// follow is like Follow, but does not wait while the instance is frozen.
func (in *Instance) follow(t position.Term, primary netip.AddrPort) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.followLocked(t, primary)
}

func (in *Instance) followLocked(t position.Term, primary netip.AddrPort) error {
	if err := in.fenceLocked(t); err != nil {
		return err
	}
	if in.primary {
		return sqlErrorf(codePrerequisite, "instance is the primary of term %d", t)
	}
	if in.receiver != nil && in.receiver.primaryAddress == primary {
		return nil
	}
	in.receiver.stop()
	in.receiver = startReceiver(in, t, primary)
	return nil
}
