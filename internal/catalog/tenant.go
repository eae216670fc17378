package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
)

// KeyDigest is the first bytes of the SHA-256 digest of an API key. Daemons store, compare
// and exchange digests, so that the key itself never leaves the daemon that its caller is
// connected to.
type KeyDigest [8]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:len(KeyDigest{})])
}

// String returns the digest in hexadecimal.
func (d KeyDigest) String() string {
	return hex.EncodeToString(d[:])
}

// Tenant holds the declared limits of a tenant.
type Tenant struct {
	Name     string
	Priority int
	// Rate is the number of operations a second that all daemons together may run for
	// the tenant; Unlimited means that there is no limit. Burst is the number of
	// operations that it may run at once after a pause.
	Rate, Burst float64
}

// Unlimited is the Rate of a tenant without a limit.
var Unlimited = math.Inf(1)

// Limited reports whether the tenant has a rate limit.
func (t Tenant) Limited() bool {
	return !math.IsInf(t.Rate, 1)
}

// RequiresKey reports whether callers of r need a key.
func (c *Configuration) RequiresKey(r Route) bool {
	return c.Tenants != nil && !r.Public
}

// Authenticate returns the tenant that owns a key, and false if no tenant does.
func (c *Configuration) Authenticate(key KeyDigest) (Tenant, bool) {
	name, ok := c.Keys[key]
	if !ok {
		return Tenant{}, false
	}
	t, ok := c.Tenants[name]
	return t, ok
}
