package session

import (
	"crypto/hmac"
	"encoding/base64"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

// TokenError says why a token was not accepted. Errors of Decode are one of its
// values, perhaps wrapped.
type TokenError struct {
	problem string
}

// Error returns the problem in plain words. It never repeats the token.
func (e *TokenError) Error() string {
	return e.problem
}

// The ways in which a token is not accepted.
var (
	ErrOversized  error = &TokenError{"session token is too long"}
	ErrMalformed  error = &TokenError{"session token is broken"}
	ErrUnknownKey error = &TokenError{"session token was made with an unknown key"}
	ErrForged     error = &TokenError{"session token is not authentic"}
)

// envelope is the outer form of a token.
type envelope struct {
	KeyID   string `cbor:"1,keyasint"`
	Payload []byte `cbor:"2,keyasint"`
	MAC     []byte `cbor:"3,keyasint"`
}

// entry is one database of a token's payload.
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

// Encode returns the text form of t, authenticated with the active key.
func (k *Keyring) Encode(t Token) (string, error) {
	entries := make([]entry, 0, t.Len())
	for _, db := range t.databases() {
		if len(db.Service) > MaxNameBytes || len(db.Name) > MaxNameBytes {
			return "", fmt.Errorf("database %s.%s: a name is over %d bytes", db.Service, db.Name, MaxNameBytes)
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

// Decode checks and reads the text form of a token. The payload is read only
// after its MAC was checked. The error is a *TokenError or wraps one.
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

// IsTokenError reports whether err says that a token was not accepted.
func IsTokenError(err error) bool {
	var tokenError *TokenError
	return errors.As(err, &tokenError)
}
