package peer

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"net"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// keyFiles holds the paths of the PEM files of a certificate, its key and its authority.
type keyFiles struct {
	cert, key, ca string
}

func newKeyFiles(t *testing.T) keyFiles {
	dir := t.TempDir()
	return keyFiles{
		cert: filepath.Join(dir, "cert.pem"),
		key:  filepath.Join(dir, "key.pem"),
		ca:   filepath.Join(dir, "ca.pem"),
	}
}

// issue writes a certificate and its authority, which is derived from a secret, to the
// files.
func (f keyFiles) issue(t *testing.T, secret string) {
	t.Helper()
	pair, err := deriveCredentials(secret)
	if err != nil {
		t.Fatal(err)
	}
	key, err := x509.MarshalPKCS8PrivateKey(pair.certificate.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	write := func(path, kind string, der []byte) {
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(f.cert, "CERTIFICATE", pair.certificate.Certificate[0])
	write(f.key, "PRIVATE KEY", key)
	write(f.ca, "CERTIFICATE", pair.authority.Raw)
}

// negotiateVersion runs a handshake between both sides and returns the protocol version
// they agree on.
func negotiateVersion(server, client *tls.Config) (string, error) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	accepted := make(chan error, 1)
	go func() { accepted <- tls.Server(a, server).Handshake() }()
	conn := tls.Client(b, client)
	if err := conn.Handshake(); err != nil {
		_ = b.Close()
		<-accepted
		return "", err
	}
	return conn.ConnectionState().NegotiatedProtocol, <-accepted
}

func TestKeysFromFiles(t *testing.T) {
	Convey("Keys are reloaded from files without a restart", t, func() {
		files := newKeyFiles(t)
		files.issue(t, "old")
		k, err := KeysFromFiles(files.cert, files.key, files.ca)
		So(err, ShouldBeNil)
		server := k.serverConfig(ProtocolVersions)
		_, err = negotiateVersion(server, keysFromSecret(t, "old").clientConfig(ProtocolVersions))
		So(err, ShouldBeNil)

		files.issue(t, "new")
		So(k.Reload(), ShouldBeNil)
		_, err = negotiateVersion(server, keysFromSecret(t, "new").clientConfig(ProtocolVersions))
		So(err, ShouldBeNil)
		_, err = negotiateVersion(server, keysFromSecret(t, "old").clientConfig(ProtocolVersions))
		So(err, ShouldNotBeNil)

		Convey("and the current keys stay in use when the files are invalid", func() {
			So(os.WriteFile(files.ca, []byte("nonsense"), 0o600), ShouldBeNil)
			So(k.Reload(), ShouldNotBeNil)
			_, err = negotiateVersion(server, keysFromSecret(t, "new").clientConfig(ProtocolVersions))
			So(err, ShouldBeNil)
		})
	})
}

func TestVersions(t *testing.T) {
	Convey("Daemons of different builds negotiate the best common version or fail", t, func() {
		k := keysFromSecret(t, "secret")
		version, err := negotiateVersion(k.serverConfig([]string{"laburnumrack/2", "laburnumrack/1"}), k.clientConfig([]string{"laburnumrack/1"}))
		So(err, ShouldBeNil)
		So(version, ShouldEqual, "laburnumrack/1")
		version, err = negotiateVersion(k.serverConfig([]string{"laburnumrack/2", "laburnumrack/1"}), k.clientConfig([]string{"laburnumrack/2", "laburnumrack/1"}))
		So(err, ShouldBeNil)
		So(version, ShouldEqual, "laburnumrack/2")
		_, err = negotiateVersion(k.serverConfig([]string{"laburnumrack/3"}), k.clientConfig([]string{"laburnumrack/1"}))
		So(err, ShouldNotBeNil)
	})
}
