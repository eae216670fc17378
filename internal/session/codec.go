package session

import (
	"crypto/hmac"
	"encoding/base64"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

// TokenError reports why a token was rejected. Every error of Keyring.Decode is or
// wraps one of the values below.
type TokenError struct {
	reason string
}

// Error returns the reason. It never contains the token.
func (e *TokenError) Error() string {
	return e.reason
}

// The reasons for which a token is rejected.
var (
	ErrOversized  error = &TokenError{"session token is too long"}
	ErrMalformed  error = &TokenError{"session token is malformed"}
	ErrUnknownKey error = &TokenError{"session token is signed with an unknown key"}
	ErrForged     error = &TokenError{"session token is not authentic"}
)

// envelope is the outer CBOR structure of an encoded token.
type envelope struct {
	KeyID   string `cbor:"1,keyasint"`
	Payload []byte `cbor:"2,keyasint"`
	MAC     []byte `cbor:"3,keyasint"`
}

// entry is the position of one database in a token's payload.
type entry struct {
	Service  string            `cbor:"1,keyasint"`
	Database string            `cbor:"2,keyasint"`
	Position position.Position `cbor:"3,keyasint"`
}

var (
	encoding = base64.RawURLEncoding.Strict()
	encMode  = mustEncMode()
	decMode  = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(fmt.Sprintf("session: CBOR options: %v", err))
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxArrayElements:  MaxDatabases,
		MaxMapPairs:       16,
		MaxNestedLevels:   8,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("session: CBOR options: %v", err))
	}
	return mode
}

// Encode returns the text form of t, authenticated with the active key. It fails if
// a name in t is longer than MaxNameBytes.
func (k *Keyring) Encode(t Token) (string, error) {
	entries := make([]entry, 0, t.Len())
	for _, db := range t.databases() {
		if len(db.Service) > MaxNameBytes || len(db.Name) > MaxNameBytes {
			return "", fmt.Errorf("encode session token: database %s.%s has a name of more than %d bytes", db.Service, db.Name, MaxNameBytes)
		}
		entries = append(entries, entry{Service: db.Service, Database: db.Name, Position: t.seen[db]})
	}
	payload, err := encMode.Marshal(entries)
	if err != nil {
		return "", fmt.Errorf("encode session token: %w", err)
	}
	key := k.keys.Load().active
	raw, err := encMode.Marshal(envelope{KeyID: key.id, Payload: payload, MAC: key.sum(payload)})
	if err != nil {
		return "", fmt.Errorf("encode session token: %w", err)
	}
	return encoding.EncodeToString(raw), nil
}

// Decode authenticates and parses the text form of a token. The payload is parsed
// only after its MAC was verified. The error is a *TokenError or wraps one.
func (k *Keyring) Decode(text string) (Token, error) {
	if len(text) > MaxTextBytes {
		return Token{}, ErrOversized
	}
	raw, err := encoding.DecodeString(text)
	if err != nil {
		return Token{}, ErrMalformed
	}
	var env envelope
	if err := decMode.Unmarshal(raw, &env); err != nil {
		return Token{}, ErrMalformed
	}
	key, ok := k.keys.Load().byID[env.KeyID]
	if !ok {
		return Token{}, ErrUnknownKey
	}
	if !hmac.Equal(env.MAC, key.sum(env.Payload)) {
		return Token{}, ErrForged
	}
	return decodePayload(env.Payload)
}

func decodePayload(payload []byte) (Token, error) {
	var entries []entry
	if err := decMode.Unmarshal(payload, &entries); err != nil {
		return Token{}, ErrMalformed
	}
	var t Token
	for _, e := range entries {
		if len(e.Service) > MaxNameBytes || len(e.Database) > MaxNameBytes {
			return Token{}, ErrMalformed
		}
		if _, err := t.Advance(Database{Service: e.Service, Name: e.Database}, e.Position); err != nil {
			return Token{}, ErrMalformed
		}
	}
	return t, nil
}

// IsTokenError reports whether err is or wraps a *TokenError.
func IsTokenError(err error) bool {
	var tokenError *TokenError
	return errors.As(err, &tokenError)
}
