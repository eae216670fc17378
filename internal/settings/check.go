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

// SettingError describes one invalid setting.
type SettingError struct {
	// Setting is the name of the flag without its dashes.
	Setting string
	// Value is the invalid value, empty if the setting is missing. Secrets are left out.
	Value string
	// Accepted describes the values that are accepted.
	Accepted string
}

// Error names the setting, its value and the values that are accepted.
func (e SettingError) Error() string {
	if e.Value == "" {
		return fmt.Sprintf("--%s is missing: want %s", e.Setting, e.Accepted)
	}
	return fmt.Sprintf("--%s is %q: want %s", e.Setting, e.Value, e.Accepted)
}

// SettingErrors is a list of invalid settings. It implements error; an empty list is no
// error.
type SettingErrors []SettingError

// Error returns one line per invalid setting.
func (e SettingErrors) Error() string {
	lines := make([]string, len(e))
	for i, setting := range e {
		lines[i] = setting.Error()
	}
	return strings.Join(lines, "\n")
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9_-]*$`)

// Check validates the settings and returns every invalid setting. It opens the key and
// certificate files to check that they are readable.
func (s *Serve) Check() SettingErrors {
	c := checker{}
	c.checkName("vm-name", s.VMName)
	c.checkName("failure-domain", s.FailureDomain)
	c.checkAddress("caller-listen", s.CallerListen)
	c.checkAddress("peer-listen", s.PeerListen)
	c.checkAddress("admin-listen", s.AdminListen)
	for _, p := range s.Peers {
		c.checkAddress("peer", p)
	}
	c.checkPlatformURL(s.PlatformURL)
	c.checkDistinctListeners(s)
	c.checkPeerKeys(s)
	c.checkCallerKeys(s)
	c.checkTokenKeys(s.TokenKeys)
	c.checkRange("max-callers", int64(s.MaxCallers), minCallers, maxCallers, "callers")
	c.checkRange("max-message", int64(s.MaxMessage), minMessageBytes, maxMessageBytes, "bytes")
	c.checkRange("log-verbosity", int64(s.LogVerbosity), 0, maxVerbosity, "")
	if s.ShutdownTimeout <= 0 || s.ShutdownTimeout > maxShutdownTimeout {
		c.addInvalid("shutdown-timeout", s.ShutdownTimeout.String(), fmt.Sprintf("a duration from 1ns to %v", maxShutdownTimeout))
	}
	if s.LedgerRetention < minLedgerRetention || s.LedgerRetention > maxLedgerRetention {
		c.addInvalid("ledger-retention", s.LedgerRetention.String(), fmt.Sprintf("a duration from %v to %v", minLedgerRetention, maxLedgerRetention))
	}
	if s.LogFormat != LogText && s.LogFormat != LogJSON {
		c.addInvalid("log-format", s.LogFormat, "text or json")
	}
	return c.invalid
}

// TokenKey is a key that signs and verifies session tokens.
type TokenKey struct {
	ID     string
	Secret []byte
}

// ParsedTokenKeys returns the token keys. The first key signs new tokens, and all of them
// verify. It returns an error if a key is malformed, which Check reports as invalid.
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

// BootstrapHash returns the SHA-256 hash of the bootstrap secret in hex, or "" without a
// bootstrap secret.
func (s *Serve) BootstrapHash() string {
	if s.BootstrapSecret == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(s.BootstrapSecret))
	return hex.EncodeToString(sum[:])
}

// checker collects the invalid settings.
type checker struct {
	invalid SettingErrors
}

func (c *checker) addInvalid(setting, value, accepted string) {
	c.invalid = append(c.invalid, SettingError{Setting: setting, Value: value, Accepted: accepted})
}

func (c *checker) checkName(setting, value string) {
	if len(value) > maxNameBytes || !namePattern.MatchString(value) {
		c.addInvalid(setting, value, "up to 63 letters, digits, _ and -")
	}
}

func (c *checker) checkAddress(setting, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		c.addInvalid(setting, value, "an IP address and a port, such as 10.0.0.7:6432")
	}
}

func (c *checker) checkPlatformURL(value string) {
	const accepted = "an http or https URL with an IP address, such as http://10.0.0.1:8080"
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		c.addInvalid("platform-url", value, accepted)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.addInvalid("platform-url", value, accepted)
	}
}

// checkDistinctListeners checks that no two TCP listeners share an address.
func (c *checker) checkDistinctListeners(s *Serve) {
	if s.PeerListen == s.CallerListen || s.PeerListen == s.AdminListen {
		c.addInvalid("peer-listen", s.PeerListen, "an address that differs from --caller-listen and --admin-listen")
	}
	if s.CallerListen == s.AdminListen && s.CallerListen != "" {
		c.addInvalid("admin-listen", s.AdminListen, "an address that differs from --caller-listen, because callers must not reach the administration API")
	}
}

func (c *checker) checkPeerKeys(s *Serve) {
	files := []struct{ setting, value string }{
		{"peer-cert", s.PeerCert},
		{"peer-key", s.PeerKey},
		{"peer-ca", s.PeerCA},
	}
	if s.PeerSecret != "" {
		for _, f := range files {
			if f.value != "" {
				c.addInvalid(f.setting, f.value, "no file together with --peer-insecure-shared-secret")
			}
		}
		return
	}
	for _, f := range files {
		c.checkFile(f.setting, f.value)
	}
}

func (c *checker) checkCallerKeys(s *Serve) {
	if s.CallerCert == "" && s.CallerKey == "" {
		if s.RequireTLS {
			c.addInvalid("caller-cert", "", "a readable file, because --require-caller-tls is set")
		}
		return
	}
	c.checkFile("caller-cert", s.CallerCert)
	c.checkFile("caller-key", s.CallerKey)
}

func (c *checker) checkFile(setting, path string) {
	if path == "" {
		c.addInvalid(setting, "", "a readable file")
		return
	}
	f, err := os.Open(path)
	if err != nil {
		c.addInvalid(setting, path, "a readable file")
		return
	}
	_ = f.Close()
}

func (c *checker) checkTokenKeys(keys []string) {
	const accepted = "ID:HEX with a unique ID and at least 32 bytes in hex"
	if len(keys) == 0 {
		c.addInvalid("token-key", "", accepted)
	}
	seen := map[string]bool{}
	for _, text := range keys {
		id, _, _ := strings.Cut(text, ":")
		key, err := parseTokenKey(text)
		if err != nil || seen[key.ID] {
			c.addInvalid("token-key", id+":...", accepted)
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

func (c *checker) checkRange(setting string, value, low, high int64, unit string) {
	if value < low || value > high {
		c.addInvalid(setting, fmt.Sprint(value), strings.TrimSpace(fmt.Sprintf("%d to %d %s", low, high, unit)))
	}
}
