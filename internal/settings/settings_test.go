package settings

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func validSettings() Serve {
	return Serve{
		VMName:          "vm1",
		FailureDomain:   "osijek",
		CallerListen:    "127.0.0.1:6432",
		PeerListen:      "127.0.0.1:6433",
		AdminListen:     "127.0.0.1:6434",
		PlatformURL:     "http://127.0.0.1:8080",
		PeerSecret:      "secret",
		TokenKeys:       []string{"k1:" + strings.Repeat("ab", 32)},
		MaxCallers:      10,
		MaxMessage:      1 << 20,
		ShutdownTimeout: time.Second,
		LedgerRetention: time.Hour,
		LogFormat:       LogText,
	}
}

func TestCheck(t *testing.T) {
	Convey("Valid settings have no faults", t, func() {
		s := validSettings()
		So(s.Check(), ShouldBeEmpty)
		keys, err := s.ParsedTokenKeys()
		So(err, ShouldBeNil)
		So(keys[0].ID, ShouldEqual, "k1")
	})

	Convey("An invalid setting is reported with its name, its value and the accepted values", t, func() {
		cases := []struct {
			setting string
			value   string
			change  func(*Serve)
		}{
			{"vm-name", "", func(s *Serve) { s.VMName = "" }},
			{"failure-domain", "a b", func(s *Serve) { s.FailureDomain = "a b" }},
			{"caller-listen", "localhost:1", func(s *Serve) { s.CallerListen = "localhost:1" }},
			{"peer-listen", "127.0.0.1", func(s *Serve) { s.PeerListen = "127.0.0.1" }},
			{"peer-listen", "127.0.0.1:6432", func(s *Serve) { s.PeerListen = s.CallerListen }},
			{"admin-listen", "0.0.0.0:1", func(s *Serve) { s.AdminListen = "0.0.0.0:1" }},
			{"admin-listen", "127.0.0.1:6432", func(s *Serve) { s.AdminListen = s.CallerListen }},
			{"platform-url", "http://platform.example", func(s *Serve) { s.PlatformURL = "http://platform.example" }},
			{"peer-cert", "", func(s *Serve) { s.PeerSecret = "" }},
			{"peer-ca", "x", func(s *Serve) { s.PeerCA = "x" }},
			{"peer", "x:1", func(s *Serve) { s.Peers = []string{"x:1"} }},
			{"caller-cert", "", func(s *Serve) { s.RequireTLS = true }},
			{"token-key", "", func(s *Serve) { s.TokenKeys = nil }},
			{"token-key", "k1:...", func(s *Serve) { s.TokenKeys = []string{"k1:abcd"} }},
			{"max-callers", "0", func(s *Serve) { s.MaxCallers = 0 }},
			{"max-message", "1", func(s *Serve) { s.MaxMessage = 1 }},
			{"shutdown-timeout", "0s", func(s *Serve) { s.ShutdownTimeout = 0 }},
			{"ledger-retention", "59m59s", func(s *Serve) { s.LedgerRetention = time.Hour - time.Second }},
			{"ledger-retention", "9600h0m1s", func(s *Serve) { s.LedgerRetention = maxLedgerRetention + time.Second }},
			{"log-format", "xml", func(s *Serve) { s.LogFormat = "xml" }},
			{"log-verbosity", "9", func(s *Serve) { s.LogVerbosity = 9 }},
		}
		for _, c := range cases {
			s := validSettings()
			c.change(&s)
			faults := s.Check()
			So(faults, ShouldNotBeEmpty)
			So(faults[0].Setting, ShouldEqual, c.setting)
			So(faults[0].Value, ShouldEqual, c.value)
			So(faults[0].Accepted, ShouldNotBeBlank)
		}
	})

	Convey("All faults are reported at once and without secrets", t, func() {
		s := validSettings()
		s.VMName, s.LogFormat = "", "xml"
		s.TokenKeys = []string{"k1:feed"}
		text := s.Check().Error()
		So(strings.Count(text, "\n"), ShouldEqual, 2)
		So(text, ShouldNotContainSubstring, "feed")
	})
}
