package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strings"
)

// Fault is one setting that can't be used.
type Fault struct {
	// Setting is the name of the flag.
	Setting string
	Value   string
	// Accepted says what would do.
	Accepted string
}

// Error names the setting, its value and what would be accepted.
func (f Fault) Error() string {
	if f.Value == "" {
		return fmt.Sprintf("--%s is missing: want %s", f.Setting, f.Accepted)
	}
	return fmt.Sprintf("--%s is %q: want %s", f.Setting, f.Value, f.Accepted)
}

// Faults is a list of faults. It is an error when it is not empty.
type Faults []Fault

// Error gives one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9_-]*$`)

// Check returns every fault of the settings.
func (s *Serve) Check() Faults {
	c := checker{}
	c.name("vm-name", s.VMName)
	c.name("failure-domain", s.FailureDomain)
	c.address("caller-listen", s.CallerListen)
	c.address("peer-listen", s.PeerListen)
	c.address("admin-listen", s.AdminListen)
	for _, p := range s.Peers {
		c.address("peer", p)
	}
	c.platform(s.PlatformURL)
	c.distinct(s)
	c.peerKeys(s)
	c.callerKeys(s)
	c.tokenKeys(s.TokenKeys)
	c.between("max-callers", int64(s.MaxCallers), minCallers, maxCallers, "callers")
	c.between("max-message", int64(s.MaxMessage), minMessageBytes, maxMessageBytes, "bytes")
	c.between("log-verbosity", int64(s.LogVerbosity), 0, maxVerbosity, "")
	if s.ShutdownTimeout <= 0 || s.ShutdownTimeout > maxShutdownTimeout {
		c.fault("shutdown-timeout", s.ShutdownTimeout.String(), fmt.Sprintf("a duration from 1ns to %v", maxShutdownTimeout))
	}
	if s.LedgerRetention < minLedgerRetention || s.LedgerRetention > maxLedgerRetention {
		c.fault("ledger-retention", s.LedgerRetention.String(), fmt.Sprintf("a duration from %v to %v", minLedgerRetention, maxLedgerRetention))
	}
	if s.LogFormat != LogText && s.LogFormat != LogJSON {
		c.fault("log-format", s.LogFormat, "text or json")
	}
	return c.faults
}

// TokenKey is one parsed key of session tokens.
type TokenKey struct {
	ID     string
	Secret []byte
}

// ParsedTokenKeys returns the token keys; the first one signs. Check must have
// found no fault.
func (s *Serve) ParsedTokenKeys() ([]TokenKey, error) {
	var keys []TokenKey
	for _, text := range s.TokenKeys {
		key, err := parseTokenKey(text)
		if err != nil {
			return nil, err
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// BootstrapHash returns the hex SHA-256 of the bootstrap secret, or "" if none
// is set.
func (s *Serve) BootstrapHash() string {
	if s.BootstrapSecret == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(s.BootstrapSecret))
	return hex.EncodeToString(sum[:])
}

type checker struct {
	faults Faults
}

func (c *checker) fault(setting, value, accepted string) {
	c.faults = append(c.faults, Fault{Setting: setting, Value: value, Accepted: accepted})
}

func (c *checker) name(setting, value string) {
	if len(value) > maxNameBytes || !namePattern.MatchString(value) {
		c.fault(setting, value, "up to 63 letters, digits, _ and -")
	}
}

func (c *checker) address(setting, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		c.fault(setting, value, "an IP number and a port, such as 10.0.0.7:6432")
	}
}

func (c *checker) platform(value string) {
	const accepted = "an http or https URL with an IP number, such as http://10.0.0.1:8080"
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		c.fault("platform-url", value, accepted)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.fault("platform-url", value, accepted)
	}
}

// distinct refuses two TCP listeners on one address.
func (c *checker) distinct(s *Serve) {
	if s.PeerListen == s.CallerListen || s.PeerListen == s.AdminListen {
		c.fault("peer-listen", s.PeerListen, "another address than --caller-listen and --admin-listen")
	}
	if s.CallerListen == s.AdminListen && s.CallerListen != "" {
		c.fault("admin-listen", s.AdminListen, "another address than --caller-listen, since callers must not reach the administration API")
	}
}

func (c *checker) peerKeys(s *Serve) {
	files := []struct{ setting, value string }{
		{"peer-cert", s.PeerCert},
		{"peer-key", s.PeerKey},
		{"peer-ca", s.PeerCA},
	}
	if s.PeerSecret != "" {
		for _, f := range files {
			if f.value != "" {
				c.fault(f.setting, f.value, "nothing beside --peer-insecure-shared-secret")
			}
		}
		return
	}
	for _, f := range files {
		c.file(f.setting, f.value)
	}
}

func (c *checker) callerKeys(s *Serve) {
	if s.CallerCert == "" && s.CallerKey == "" {
		if s.RequireTLS {
			c.fault("caller-cert", "", "a readable file, since --require-caller-tls is set")
		}
		return
	}
	c.file("caller-cert", s.CallerCert)
	c.file("caller-key", s.CallerKey)
}

func (c *checker) file(setting, path string) {
	if path == "" {
		c.fault(setting, "", "a readable file")
		return
	}
	f, err := os.Open(path)
	if err != nil {
		c.fault(setting, path, "a readable file")
		return
	}
	_ = f.Close()
}

func (c *checker) tokenKeys(keys []string) {
	const accepted = "ID:HEX with at least 32 bytes in hex and an ID of its own"
	if len(keys) == 0 {
		c.fault("token-key", "", accepted)
	}
	seen := map[string]bool{}
	for _, text := range keys {
		id, _, _ := strings.Cut(text, ":")
		key, err := parseTokenKey(text)
		if err != nil || seen[key.ID] {
			c.fault("token-key", id+":...", accepted)
			continue
		}
		seen[key.ID] = true
	}
}

func parseTokenKey(text string) (TokenKey, error) {
	id, secret, ok := strings.Cut(text, ":")
	if !ok || !namePattern.MatchString(id) {
		return TokenKey{}, fmt.Errorf("token key %q: want ID:HEX", id)
	}
	bytes, err := hex.DecodeString(secret)
	if err != nil || len(bytes) < minTokenKeyBytes {
		return TokenKey{}, fmt.Errorf("token key %q: want at least %d bytes in hex", id, minTokenKeyBytes)
	}
	return TokenKey{ID: id, Secret: bytes}, nil
}

func (c *checker) between(setting string, value, low, high int64, unit string) {
	if value < low || value > high {
		c.fault(setting, fmt.Sprint(value), strings.TrimSpace(fmt.Sprintf("%d to %d %s", low, high, unit)))
	}
}
