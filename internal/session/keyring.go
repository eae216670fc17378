package session

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"hash"
	"sync"
	"sync/atomic"
)

// Limits of a key.
const (
	// MinSecretBytes is the minimum length of a key's secret, in bytes.
	MinSecretBytes = 16
	// MaxKeyIDBytes is the maximum length of a key id, in bytes.
	MaxKeyIDBytes = 32
)

// Key is an HMAC key. Each token carries the id of the key that authenticates it.
type Key struct {
	ID     string
	Secret []byte
}

// ErrNoActiveKey reports that no key has the id of the active key.
var ErrNoActiveKey = errors.New("active session key is not among the keys")

// Keyring holds the keys that verify tokens and the active key that signs new tokens.
// To rotate keys, add the new key on every daemon, then make it active on every
// daemon, then remove the old one. A Keyring is safe for concurrent use.
type Keyring struct {
	keys atomic.Pointer[keySet]
}

// keySet is an immutable set of keys.
type keySet struct {
	active *authenticator
	byID   map[string]*authenticator
}

// authenticator computes HMACs with one key. It is safe for concurrent use.
type authenticator struct {
	id     string
	hashes sync.Pool // of hash.Hash
}

func newAuthenticator(key Key) *authenticator {
	secret := bytes.Clone(key.Secret)
	a := &authenticator{id: key.ID}
	a.hashes.New = func() any { return hmac.New(sha256.New, secret) }
	return a
}

// NewKeyring returns a keyring of keys that signs tokens with the key activeID. The
// errors are those of Replace.
func NewKeyring(activeID string, keys ...Key) (*Keyring, error) {
	k := &Keyring{}
	if err := k.Replace(activeID, keys...); err != nil {
		return nil, err
	}
	return k, nil
}

// Replace replaces all keys. It fails if a key is invalid, if two keys have the same
// id, or with ErrNoActiveKey; the keyring is unchanged then.
func (k *Keyring) Replace(activeID string, keys ...Key) error {
	set := &keySet{byID: make(map[string]*authenticator, len(keys))}
	for _, key := range keys {
		if err := checkKey(key); err != nil {
			return err
		}
		if _, duplicate := set.byID[key.ID]; duplicate {
			return fmt.Errorf("duplicate session key id %q", key.ID)
		}
		set.byID[key.ID] = newAuthenticator(key)
	}
	active, ok := set.byID[activeID]
	if !ok {
		return fmt.Errorf("%w: %q", ErrNoActiveKey, activeID)
	}
	set.active = active
	k.keys.Store(set)
	return nil
}

func checkKey(key Key) error {
	if key.ID == "" || len(key.ID) > MaxKeyIDBytes {
		return fmt.Errorf("session key id %q: want 1 to %d bytes", key.ID, MaxKeyIDBytes)
	}
	if len(key.Secret) < MinSecretBytes {
		return fmt.Errorf("session key %q: secret has %d bytes, want at least %d", key.ID, len(key.Secret), MinSecretBytes)
	}
	return nil
}

// sum returns the HMAC of the key id and payload.
func (a *authenticator) sum(payload []byte) []byte {
	mac := a.hashes.Get().(hash.Hash)
	defer a.hashes.Put(mac)
	mac.Reset()
	mac.Write([]byte{byte(len(a.id))})
	mac.Write([]byte(a.id))
	mac.Write(payload)
	return mac.Sum(nil)
}
