package pgwire

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/xdg-go/scram"
)

const (
	scramMechanism = "SCRAM-SHA-256"
	verifierPrefix = scramMechanism + "$"
	// Decoy credentials use the default iteration count and salt length of PostgreSQL.
	decoyIterations = 4096
	saltBytes       = 16
)

// parseVerifier parses a SCRAM-SHA-256 verifier in the format of PostgreSQL:
// SCRAM-SHA-256$iterations:salt$storedkey:serverkey, with base64 salt and keys. The error
// says which part is missing or invalid.
func parseVerifier(verifier string) (scram.StoredCredentials, error) {
	var none scram.StoredCredentials
	rest, ok := strings.CutPrefix(verifier, verifierPrefix)
	if !ok {
		return none, fmt.Errorf("verifier does not start with %q", verifierPrefix)
	}
	factors, keys, ok := strings.Cut(rest, "$")
	if !ok {
		return none, fmt.Errorf("verifier has no keys")
	}
	count, salt, ok := strings.Cut(factors, ":")
	if !ok {
		return none, fmt.Errorf("verifier has no salt")
	}
	iterations, err := strconv.Atoi(count)
	if err != nil || iterations < 1 {
		return none, fmt.Errorf("verifier has an invalid iteration count %q", count)
	}
	stored, server, ok := strings.Cut(keys, ":")
	if !ok {
		return none, fmt.Errorf("verifier has no server key")
	}
	var parts [3][]byte
	for i, text := range []string{salt, stored, server} {
		parts[i], err = base64.StdEncoding.DecodeString(text)
		if err != nil {
			return none, fmt.Errorf("verifier is not valid base64: %w", err)
		}
	}
	if len(parts[1]) != sha256.Size || len(parts[2]) != sha256.Size {
		return none, fmt.Errorf("verifier keys are not %d bytes long", sha256.Size)
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(parts[0]), Iters: iterations},
		StoredKey:  parts[1],
		ServerKey:  parts[2],
	}, nil
}

// decoyCredentials returns credentials for an unknown caller, so that its login runs and
// fails like one with a wrong password. The salt depends only on secret and caller, so
// that repeated attempts see the same salt, as for an existing caller.
func decoyCredentials(secret []byte, caller string) scram.StoredCredentials {
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(deriveSecret(secret, "salt", caller)[:saltBytes]), Iters: decoyIterations},
		StoredKey:  deriveSecret(secret, "stored", caller),
		ServerKey:  deriveSecret(secret, "server", caller),
	}
}

func deriveSecret(secret []byte, use, caller string) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(use))
	mac.Write([]byte{0})
	mac.Write([]byte(caller))
	return mac.Sum(nil)
}
