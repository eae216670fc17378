package command

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/base64"
	"fmt"

	"github.com/xdg-go/scram"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
)

// The iteration count and salt length that PostgreSQL uses for its own verifiers.
const (
	scramIterations = 4096
	saltBytes       = 16
)

// SCRAM is a PasswordHasher that creates SCRAM-SHA-256 verifiers with a random salt.
type SCRAM struct{}

// Verifier returns a new verifier for password in the format that PostgreSQL stores.
// It fails if the password is not valid for SCRAM or no random salt can be read.
func (SCRAM) Verifier(_, password string) (string, error) {
	salt := make([]byte, saltBytes)
	if _, err := rand.Read(salt); err != nil {
		return "", fmt.Errorf("generate SCRAM salt: %w", err)
	}
	keys, err := derive(password, salt, scramIterations)
	if err != nil {
		return "", err
	}
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s", scramIterations, encode(salt), encode(keys.StoredKey), encode(keys.ServerKey)), nil
}

// Matches reports whether verifier was derived from password. A malformed verifier
// matches no password. The keys are compared in constant time.
func (SCRAM) Matches(verifier, password string) bool {
	v, err := configuration.ParseVerifier(verifier)
	if err != nil {
		return false
	}
	keys, err := derive(password, v.Salt, v.Iterations)
	if err != nil {
		return false
	}
	return subtle.ConstantTimeCompare(keys.StoredKey, v.StoredKey)&subtle.ConstantTimeCompare(keys.ServerKey, v.ServerKey) == 1
}

// derive computes the stored key and server key of password.
func derive(password string, salt []byte, iterations int) (scram.StoredCredentials, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return scram.StoredCredentials{}, fmt.Errorf("prepare password for SCRAM: %w", err)
	}
	keys, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return scram.StoredCredentials{}, fmt.Errorf("derive SCRAM keys from password: %w", err)
	}
	return keys, nil
}
