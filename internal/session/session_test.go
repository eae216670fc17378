package session

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

var (
	oldKey = Key{ID: "k1", Secret: []byte("0123456789abcdef")}
	newKey = Key{ID: "k2", Secret: []byte("fedcba9876543210")}
)

func mustKeyring(tb testing.TB, active string, keys ...Key) *Keyring {
	tb.Helper()
	k, err := NewKeyring(active, keys...)
	if err != nil {
		tb.Fatal(err)
	}
	return k
}

func genToken(t *rapid.T) Token {
	var token Token
	for range rapid.IntRange(0, 5).Draw(t, "databases") {
		db := Database{Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), Name: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name")}
		p := position.Position{Term: position.Term(rapid.IntRange(0, 3).Draw(t, "term")), Index: rapid.Uint64().Draw(t, "index")}
		if _, err := token.Advance(db, p); err != nil {
			t.Fatal(err)
		}
	}
	return token
}

func TestTokenRoundTripAndMerge(t *testing.T) {
	k := mustKeyring(t, "k1", oldKey)
	rapid.Check(t, func(t *rapid.T) {
		a, b := genToken(t), genToken(t)
		text, err := k.Encode(a)
		if err != nil {
			t.Fatal(err)
		}
		back, err := k.Decode(text)
		if err != nil {
			t.Fatal(err)
		}
		before := back
		if err := back.Merge(b); err != nil {
			t.Fatal(err)
		}
		for _, db := range back.databases() {
			if want := position.Max(a.Seen(db), b.Seen(db)); back.Seen(db) != want {
				t.Fatalf("%v: merged %v, want %v", db, back.Seen(db), want)
			}
			if before.Seen(db) != a.Seen(db) {
				t.Fatalf("%v: merge changed a copy made before", db)
			}
		}
	})
}

func TestTokenRefusals(t *testing.T) {
	Convey("Given a token signed with the old key", t, func() {
		k := mustKeyring(t, "k1", oldKey)
		var token Token
		_, err := token.Advance(Database{"grain", "bins"}, position.Position{Term: 2, Index: 7})
		So(err, ShouldBeNil)
		text, err := k.Encode(token)
		So(err, ShouldBeNil)

		Convey("it is accepted while the keyring holds both keys", func() {
			So(k.Replace("k2", oldKey, newKey), ShouldBeNil)
			back, err := k.Decode(text)
			So(err, ShouldBeNil)
			So(back.Seen(Database{"grain", "bins"}), ShouldResemble, position.Position{Term: 2, Index: 7})
		})
		Convey("it is rejected once the old key is removed", func() {
			So(k.Replace("k2", newKey), ShouldBeNil)
			_, err := k.Decode(text)
			So(errors.Is(err, ErrUnknownKey), ShouldBeTrue)
		})
		Convey("it is rejected if the key id has another secret", func() {
			_, err := mustKeyring(t, "k1", Key{ID: "k1", Secret: newKey.Secret}).Decode(text)
			So(errors.Is(err, ErrForged), ShouldBeTrue)
		})
		Convey("it is rejected if the same secret has another key id", func() {
			payload, err := encMode.Marshal([]entry{})
			So(err, ShouldBeNil)
			raw, err := encMode.Marshal(envelope{KeyID: "k2", Payload: payload, MAC: newAuthenticator(oldKey).sum(payload)})
			So(err, ShouldBeNil)
			_, err = mustKeyring(t, "k2", Key{ID: "k2", Secret: oldKey.Secret}).Decode(encoding.EncodeToString(raw))
			So(errors.Is(err, ErrForged), ShouldBeTrue)
		})
		Convey("it is rejected after a change of any single character", func() {
			for i := range text {
				changed := text[:i] + string(text[i]^1) + text[i+1:]
				_, err := k.Decode(changed)
				So(IsTokenError(err), ShouldBeTrue)
			}
		})
		Convey("a text over MaxTextBytes is rejected", func() {
			_, err := k.Decode(strings.Repeat("A", MaxTextBytes+1))
			So(errors.Is(err, ErrOversized), ShouldBeTrue)
		})
	})
	Convey("A full token rejects another database and is unchanged", t, func() {
		var token Token
		for i := range MaxDatabases {
			_, err := token.Advance(Database{strings.Repeat("s", MaxNameBytes), fmt.Sprintf("%0*d", MaxNameBytes, i)}, position.Position{Term: 1 << 40, Index: 1 << 60})
			So(err, ShouldBeNil)
		}
		_, err := token.Advance(Database{"s", "new"}, position.Position{Term: 1})
		So(errors.Is(err, ErrTooManyDatabases), ShouldBeTrue)
		s := State{Database: Database{"s", "new"}}
		So(s.Present(token), ShouldEqual, ErrTooManyDatabases)
		So(s.Advance(position.Position{Term: 1}), ShouldBeTrue)
		So(s.Seen(), ShouldResemble, position.Position{Term: 1})
		So(s.Present(Token{}), ShouldBeNil)
		text, err := mustKeyring(t, "k1", oldKey).Encode(token)
		So(err, ShouldBeNil)
		So(len(text), ShouldBeLessThanOrEqualTo, MaxTextBytes)
	})
	Convey("Invalid keys are rejected", t, func() {
		_, err := NewKeyring("k9", oldKey)
		So(errors.Is(err, ErrNoActiveKey), ShouldBeTrue)
		_, err = NewKeyring("k1", oldKey, oldKey)
		So(err, ShouldNotBeNil)
		_, err = NewKeyring("k1", Key{ID: "k1", Secret: []byte("short")})
		So(err, ShouldNotBeNil)
	})
}

func TestStateAge(t *testing.T) {
	start := time.Unix(1000, 0)
	s := State{Started: start}
	if got := s.Age(start.Add(-time.Second)); got != 0 {
		t.Fatalf("age %v after the clock was set back, want 0", got)
	}
}

func FuzzDecode(f *testing.F) {
	k := mustKeyring(f, "k1", oldKey)
	text, err := k.Encode(Token{seen: map[Database]position.Position{{"a", "b"}: {Term: 1, Index: 2}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add("")
	f.Add("gwECQQM")
	f.Fuzz(func(t *testing.T, text string) {
		token, err := k.Decode(text)
		if err != nil {
			if !IsTokenError(err) {
				t.Fatalf("error %v is not a *TokenError", err)
			}
			return
		}
		again, err := k.Encode(token)
		if err != nil || again != text {
			t.Fatalf("accepted %q, which encodes as %q (%v)", text, again, err)
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	k := mustKeyring(b, "k1", oldKey)
	var token Token
	if _, err := token.Advance(Database{"zrnobaza", "silo1"}, position.Position{Term: 3, Index: 123456}); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := k.Encode(token); err != nil {
			b.Fatal(err)
		}
	}
}
