package configuration

import (
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Bounds of declared values.
const (
	MaxNameBytes       = 63
	MaxDatabases       = 4096
	MaxTargets         = 15
	MaxSlots           = 10_000
	MaxConnections     = 100_000
	MaxWeight          = 100
	MaxAgeBound        = 24 * time.Hour
	MinSCRAMIterations = 4096
	MaxSCRAMIterations = 1_000_000
	// hashBytes is the length of a SHA-256 hash.
	hashBytes = 32
	// maxSaltBytes bounds the salt of a verifier.
	maxSaltBytes = 64
)

const wantName = "1 to 63 letters, digits, '_' or '-', starting with a letter or '_'"

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_-]*$`)
	vmNamePattern = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9_.:-]*$`)
)

// ValidName reports whether s may name a service, database, target, caller,
// policy, operator, region or failure domain. A dot is not allowed, because term
// objects are named service.database.
func ValidName(s string) bool {
	return len(s) <= MaxNameBytes && namePattern.MatchString(s)
}

// Validate returns every fault of the service by itself.
func (s Service) Validate() FieldErrors {
	c := &collector{object: s.Key()}
	c.name("name", s.Name)
	switch s.State {
	case ServiceActive, ServiceDraining, ServiceStopped:
	default:
		c.add("state", s.State, "active, draining or stopped")
	}
	if len(s.Databases) < 1 || len(s.Databases) > MaxDatabases {
		c.add("databases", len(s.Databases), fmt.Sprintf("1 to %d databases", MaxDatabases))
	}
	seen := newUnique(c)
	for i, db := range s.Databases {
		validateDatabase(c, seen, fmt.Sprintf("databases[%d]", i), db)
	}
	return c.faults
}

func validateDatabase(c *collector, seen *unique, path string, db Database) {
	c.name(path+".name", db.Name)
	seen.check(path+".name", "database "+db.Name, db.Name)
	if len(db.Targets) < 1 || len(db.Targets) > MaxTargets {
		c.add(path+".targets", len(db.Targets), fmt.Sprintf("1 to %d targets", MaxTargets))
	}
	for i, t := range db.Targets {
		validateTarget(c, seen, fmt.Sprintf("%s.targets[%d]", path, i), t)
	}
}

func validateTarget(c *collector, seen *unique, path string, t Target) {
	c.name(path+".name", t.Name)
	seen.check(path+".name", "target "+t.Name, t.Name)
	if !usable(t.Address) {
		c.add(path+".address", t.Address, "an IP number and a port from 1 to 65535")
	} else {
		seen.check(path+".address", "address "+t.Address.String(), t.Address.String())
	}
	c.name(path+".failure_domain", t.FailureDomain)
	c.between(path+".slots", t.Slots, 1, MaxSlots)
	c.between(path+".connections", t.Connections, 1, MaxConnections)
	if t.Slots >= 1 && t.Connections >= 1 && t.Connections <= t.Slots {
		c.add(path+".connections", t.Connections, "more than the slots, because status calls use a connection of their own")
	}
}

func usable(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified()
}

// unique finds values that stand twice in one object.
type unique struct {
	c    *collector
	seen map[string]string
}

// names checks a list of names, which needs one at least and each only once.
func (c *collector) names(field string, names []string, missing string) {
	if len(names) == 0 {
		c.add(field, "", missing)
	}
	seen := newUnique(c)
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", field, i)
		c.name(at, name)
		seen.check(at, name, name)
	}
}

func newUnique(c *collector) *unique {
	return &unique{c: c, seen: map[string]string{}}
}

func (u *unique) check(field, id, value string) {
	if first, ok := u.seen[id]; ok {
		u.c.add(field, value, "a value other than that of "+first)
		return
	}
	u.seen[id] = field
}

// Validate returns every fault of the caller by itself.
func (k Caller) Validate() FieldErrors {
	c := &collector{object: k.Key()}
	c.name("name", k.Name)
	if _, err := ParseVerifier(k.Verifier); err != nil {
		// The value stays out of the message: it is a secret.
		c.add("verifier", "(hidden)", "SCRAM-SHA-256$iterations:salt$storedkey:serverkey")
	}
	c.names("services", k.Services, "at least one service")
	if k.Policy != "" {
		c.name("policy", k.Policy)
	}
	if k.Class != "" {
		c.name("class", k.Class)
	}
	c.between("weight", k.Weight, 0, MaxWeight)
	return c.faults
}

// Validate returns every fault of the read policy by itself.
func (p ReadPolicy) Validate() FieldErrors {
	c := &collector{object: p.Key()}
	c.name("name", p.Name)
	c.age("max_age", p.MaxAge)
	c.age("default_age", p.DefaultAge)
	if p.MaxAge > 0 && p.DefaultAge > p.MaxAge {
		c.add("default_age", p.DefaultAge, "at most the max_age of "+p.MaxAge.String())
	}
	if p.PrimaryOnly && (p.MaxAge != 0 || p.DefaultAge != 0) {
		c.add("primary_only", p.PrimaryOnly, "no max_age and no default_age beside it")
	}
	return c.faults
}

func (c *collector) age(field string, d time.Duration) {
	if d < 0 || d > MaxAgeBound {
		c.add(field, d, "a duration from 0s to "+MaxAgeBound.String())
	}
}

// Validate returns every fault of the operator by itself.
func (o Operator) Validate() FieldErrors {
	c := &collector{object: o.Key()}
	c.name("name", o.Name)
	if o.Role != RoleViewer && o.Role != RoleEditor {
		c.add("role", o.Role, "viewer or editor")
	}
	if b, err := hex.DecodeString(o.SecretHash); err != nil || len(b) != hashBytes {
		c.add("secret_hash", "(hidden)", "64 hexadecimal digits of a SHA-256 hash")
	}
	return c.faults
}

// Validate returns every fault of the region by itself.
func (r Region) Validate() FieldErrors {
	c := &collector{object: r.Key()}
	c.name("name", r.Name)
	c.names("failure_domains", r.FailureDomains, "at least one failure domain")
	return c.faults
}

// Validate returns every fault of the drain by itself.
func (d Drain) Validate() FieldErrors {
	c := &collector{object: d.Key()}
	switch d.Kind {
	case DrainTarget:
		c.name("name", d.Name)
	case DrainVM:
		if len(d.Name) > MaxNameBytes || !vmNamePattern.MatchString(d.Name) {
			c.add("name", d.Name, "the name of a VM of the platform's list")
		}
	default:
		c.add("kind", d.Kind, "target or vm")
	}
	return c.faults
}

// Verifier is a parsed SCRAM-SHA-256 verifier.
type Verifier struct {
	Iterations           int
	Salt                 []byte
	StoredKey, ServerKey []byte
}

// ParseVerifier reads the form that PostgreSQL stores:
// SCRAM-SHA-256$iterations:salt$storedkey:serverkey, with base64 values.
func ParseVerifier(s string) (Verifier, error) {
	parts := strings.Split(s, "$")
	if len(parts) != 3 || parts[0] != "SCRAM-SHA-256" {
		return Verifier{}, fmt.Errorf("verifier is not of the form SCRAM-SHA-256$iterations:salt$storedkey:serverkey")
	}
	iterations, salt, ok := strings.Cut(parts[1], ":")
	if !ok {
		return Verifier{}, fmt.Errorf("verifier has no salt")
	}
	stored, server, ok := strings.Cut(parts[2], ":")
	if !ok {
		return Verifier{}, fmt.Errorf("verifier has no server key")
	}
	n, err := strconv.Atoi(iterations)
	if err != nil || n < MinSCRAMIterations || n > MaxSCRAMIterations {
		return Verifier{}, fmt.Errorf("verifier has %q iterations, want %d to %d", iterations, MinSCRAMIterations, MaxSCRAMIterations)
	}
	v := Verifier{Iterations: n}
	if v.Salt, err = base64.StdEncoding.DecodeString(salt); err != nil || len(v.Salt) == 0 || len(v.Salt) > maxSaltBytes {
		return Verifier{}, fmt.Errorf("verifier has a salt that is not 1 to %d bytes in base64", maxSaltBytes)
	}
	if v.StoredKey, err = base64.StdEncoding.DecodeString(stored); err != nil || len(v.StoredKey) != hashBytes {
		return Verifier{}, fmt.Errorf("verifier has a stored key that is not %d bytes in base64", hashBytes)
	}
	if v.ServerKey, err = base64.StdEncoding.DecodeString(server); err != nil || len(v.ServerKey) != hashBytes {
		return Verifier{}, fmt.Errorf("verifier has a server key that is not %d bytes in base64", hashBytes)
	}
	return v, nil
}
