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

// Limits on declared values.
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
	// maxSaltBytes is the maximum length of the salt of a verifier.
	maxSaltBytes = 64
)

// wantName is the Want of a FieldError for an invalid name; see ValidName.
const wantName = "1 to 63 letters, digits, '_' or '-', starting with a letter or '_'"

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_-]*$`)
	vmNamePattern = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9_.:-]*$`)
)

// ValidName reports whether s is a valid name of a service, database, target, caller,
// policy, operator, region or failure domain. A dot is not allowed, because term
// objects are named service.database.
func ValidName(s string) bool {
	return len(s) <= MaxNameBytes && namePattern.MatchString(s)
}

// Validate returns all field errors of the service, without regard to other objects.
func (s Service) Validate() FieldErrors {
	c := &collector{object: s.Key()}
	c.checkName("name", s.Name)
	switch s.State {
	case ServiceActive, ServiceDraining, ServiceStopped:
	default:
		c.add("state", s.State, "active, draining or stopped")
	}
	if len(s.Databases) < 1 || len(s.Databases) > MaxDatabases {
		c.add("databases", len(s.Databases), fmt.Sprintf("1 to %d databases", MaxDatabases))
	}
	seen := newDuplicateChecker(c)
	for i, db := range s.Databases {
		validateDatabase(c, seen, fmt.Sprintf("databases[%d]", i), db)
	}
	return c.errs
}

func validateDatabase(c *collector, seen *duplicateChecker, path string, db Database) {
	c.checkName(path+".name", db.Name)
	seen.check(path+".name", "database "+db.Name, db.Name)
	if len(db.Targets) < 1 || len(db.Targets) > MaxTargets {
		c.add(path+".targets", len(db.Targets), fmt.Sprintf("1 to %d targets", MaxTargets))
	}
	for i, t := range db.Targets {
		validateTarget(c, seen, fmt.Sprintf("%s.targets[%d]", path, i), t)
	}
}

func validateTarget(c *collector, seen *duplicateChecker, path string, t Target) {
	c.checkName(path+".name", t.Name)
	seen.check(path+".name", "target "+t.Name, t.Name)
	if !isUsable(t.Address) {
		c.add(path+".address", t.Address, "an IP address and a port from 1 to 65535")
	} else {
		seen.check(path+".address", "address "+t.Address.String(), t.Address.String())
	}
	c.checkName(path+".failure_domain", t.FailureDomain)
	c.checkRange(path+".slots", t.Slots, 1, MaxSlots)
	c.checkRange(path+".connections", t.Connections, 1, MaxConnections)
	if t.Slots >= 1 && t.Connections >= 1 && t.Connections <= t.Slots {
		c.add(path+".connections", t.Connections, "more than the slots, because status calls use a separate connection")
	}
}

// isUsable reports whether a is an address that a target can be reached at.
func isUsable(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified()
}

// duplicateChecker reports values that must be unique in an object but occur twice.
type duplicateChecker struct {
	c *collector
	// seen maps a value, prefixed by its kind, to the field that holds it first.
	seen map[string]string
}

// checkNames checks a list of names. Each must be valid and unique, and the list must
// not be empty.
func (c *collector) checkNames(field string, names []string, missing string) {
	if len(names) == 0 {
		c.add(field, "", missing)
	}
	seen := newDuplicateChecker(c)
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", field, i)
		c.checkName(at, name)
		seen.check(at, name, name)
	}
}

func newDuplicateChecker(c *collector) *duplicateChecker {
	return &duplicateChecker{c: c, seen: map[string]string{}}
}

func (u *duplicateChecker) check(field, id, value string) {
	if first, ok := u.seen[id]; ok {
		u.c.add(field, value, "a value other than that of "+first)
		return
	}
	u.seen[id] = field
}

// Validate returns all field errors of the caller, without regard to other objects.
func (k Caller) Validate() FieldErrors {
	c := &collector{object: k.Key()}
	c.checkName("name", k.Name)
	if _, err := ParseVerifier(k.Verifier); err != nil {
		// The message must not contain the value, which is a secret.
		c.add("verifier", "(hidden)", "SCRAM-SHA-256$iterations:salt$storedkey:serverkey")
	}
	c.checkNames("services", k.Services, "at least one service")
	if k.Policy != "" {
		c.checkName("policy", k.Policy)
	}
	if k.Class != "" {
		c.checkName("class", k.Class)
	}
	c.checkRange("weight", k.Weight, 0, MaxWeight)
	return c.errs
}

// Validate returns all field errors of the read policy.
func (p ReadPolicy) Validate() FieldErrors {
	c := &collector{object: p.Key()}
	c.checkName("name", p.Name)
	c.checkAge("max_age", p.MaxAge)
	c.checkAge("default_age", p.DefaultAge)
	if p.MaxAge > 0 && p.DefaultAge > p.MaxAge {
		c.add("default_age", p.DefaultAge, "at most the max_age of "+p.MaxAge.String())
	}
	if p.PrimaryOnly && (p.MaxAge != 0 || p.DefaultAge != 0) {
		c.add("primary_only", p.PrimaryOnly, "false if max_age or default_age is set")
	}
	return c.errs
}

func (c *collector) checkAge(field string, d time.Duration) {
	if d < 0 || d > MaxAgeBound {
		c.add(field, d, "a duration from 0s to "+MaxAgeBound.String())
	}
}

// Validate returns all field errors of the operator.
func (o Operator) Validate() FieldErrors {
	c := &collector{object: o.Key()}
	c.checkName("name", o.Name)
	if o.Role != RoleViewer && o.Role != RoleEditor {
		c.add("role", o.Role, "viewer or editor")
	}
	if b, err := hex.DecodeString(o.SecretHash); err != nil || len(b) != hashBytes {
		c.add("secret_hash", "(hidden)", "64 hexadecimal digits of a SHA-256 hash")
	}
	return c.errs
}

// Validate returns all field errors of the region, without regard to other objects.
func (r Region) Validate() FieldErrors {
	c := &collector{object: r.Key()}
	c.checkName("name", r.Name)
	c.checkNames("failure_domains", r.FailureDomains, "at least one failure domain")
	return c.errs
}

// Validate returns all field errors of the drain, without regard to other objects.
func (d Drain) Validate() FieldErrors {
	c := &collector{object: d.Key()}
	switch d.Kind {
	case DrainTarget:
		c.checkName("name", d.Name)
	case DrainVM:
		if len(d.Name) > MaxNameBytes || !vmNamePattern.MatchString(d.Name) {
			c.add("name", d.Name, "the name of a VM that the platform lists")
		}
	default:
		c.add("kind", d.Kind, "target or vm")
	}
	return c.errs
}

// Verifier is a parsed SCRAM-SHA-256 verifier.
type Verifier struct {
	Iterations           int
	Salt                 []byte
	StoredKey, ServerKey []byte
}

// ParseVerifier parses a verifier in the format that PostgreSQL stores:
// SCRAM-SHA-256$iterations:salt$storedkey:serverkey, with base64 values. Its errors do
// not contain the verifier, which is a secret.
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
		return Verifier{}, fmt.Errorf("verifier salt is not base64 of 1 to %d bytes", maxSaltBytes)
	}
	if v.StoredKey, err = base64.StdEncoding.DecodeString(stored); err != nil || len(v.StoredKey) != hashBytes {
		return Verifier{}, fmt.Errorf("verifier stored key is not base64 of %d bytes", hashBytes)
	}
	if v.ServerKey, err = base64.StdEncoding.DecodeString(server); err != nil || len(v.ServerKey) != hashBytes {
		return Verifier{}, fmt.Errorf("verifier server key is not base64 of %d bytes", hashBytes)
	}
	return v, nil
}
