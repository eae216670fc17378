package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
)

// bootstrapName is the name of the operator that the bootstrap secret authenticates.
const bootstrapName = "(bootstrap)"

// maxSecretBytes is the maximum size of a bearer secret.
const maxSecretBytes = 1024

// authenticate returns the operator whose bearer secret the request contains, and whether
// there is one.
func (s *Server) authenticate(r *http.Request) (configuration.Operator, bool) {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || secret == "" || len(secret) > maxSecretBytes {
		return configuration.Operator{}, false
	}
	sum := sha256.Sum256([]byte(secret))
	hash := hex.EncodeToString(sum[:])
	var found configuration.Operator
	known := false
	for _, o := range s.options.Configuration.Current().Operators {
		if equalHashes(o.Value.SecretHash, hash) {
			found, known = o.Value, true
		}
	}
	if s.options.BootstrapHash != "" && equalHashes(s.options.BootstrapHash, hash) {
		found, known = configuration.Operator{Name: bootstrapName, Role: configuration.RoleEditor}, true
	}
	return found, known
}

// equalHashes compares two hex hashes in constant time, so that the duration does not
// reveal how much of them agrees. The case of declared is ignored.
func equalHashes(declared, presented string) bool {
	return subtle.ConstantTimeCompare([]byte(strings.ToLower(declared)), []byte(presented)) == 1
}
