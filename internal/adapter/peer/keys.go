package peer

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"math/big"
	"os"
	"sync/atomic"
	"time"
)

// serverName is the DNS name in the certificate of every daemon. Daemons are identified
// by their addresses, not by their certificates.
const serverName = "laburnumrack-peer"

// derivedCertValidity is the validity of a certificate that is derived from a shared
// secret.
const derivedCertValidity = 10 * 365 * 24 * time.Hour

// Keys holds the current certificate and the certificate authorities that peers are
// verified against. Reload replaces both atomically. It is safe for concurrent use.
type Keys struct {
	load    func() (*credentials, error)
	current atomic.Pointer[credentials]
}

// credentials is a certificate with its key and the authorities to verify peers against.
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	// authority is set if it was derived from a secret.
	authority *x509.Certificate
}

// KeysFromFiles reads the certificate, its key and the certificate authorities from PEM
// files. Reload reads the files again.
func KeysFromFiles(certFile, keyFile, caFile string) (*Keys, error) {
	return newKeys(func() (*credentials, error) {
		cert, err := tls.LoadX509KeyPair(certFile, keyFile)
		if err != nil {
			return nil, fmt.Errorf("load peer certificate: %w", err)
		}
		pem, err := os.ReadFile(caFile)
		if err != nil {
			return nil, fmt.Errorf("load peer authorities: %w", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("load peer authorities: %s contains no certificate", caFile)
		}
		return &credentials{certificate: cert, authorities: pool}, nil
	})
}

// KeysFromSecret derives a certificate authority from a shared secret and issues a
// certificate from it. It is insecure and meant for tests: everyone who knows the secret
// can act as a peer.
func KeysFromSecret(secret string) (*Keys, error) {
	if secret == "" {
		return nil, errors.New("derive peer keys: shared secret is empty")
	}
	return newKeys(func() (*credentials, error) { return deriveCredentials(secret) })
}

func newKeys(load func() (*credentials, error)) (*Keys, error) {
	k := &Keys{load: load}
	if err := k.Reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Reload loads the certificate and the authorities again. If that fails, the current ones
// stay in use.
func (k *Keys) Reload() error {
	pair, err := k.load()
	if err != nil {
		return err
	}
	k.current.Store(pair)
	return nil
}

// serverConfig returns the TLS configuration of a listener. It looks up the current
// certificate and authorities for each handshake.
func (k *Keys) serverConfig(versions []string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: versions,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair := k.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   versions,
				Certificates: []tls.Certificate{pair.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pair.authorities,
			}, nil
		},
	}
}

// clientConfig returns the TLS configuration of one dial.
func (k *Keys) clientConfig(versions []string) *tls.Config {
	pair := k.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   versions,
		Certificates: []tls.Certificate{pair.certificate},
		RootCAs:      pair.authorities,
		ServerName:   serverName,
	}
}

// deriveCredentials derives an authority from secret, the same on every daemon, and
// issues a certificate for a new key.
func deriveCredentials(secret string) (*credentials, error) {
	seed := sha256.Sum256([]byte("laburnumrack peer authority\x00" + secret))
	caKey := ed25519.NewKeyFromSeed(seed[:])
	notBefore := time.Now().Add(-time.Hour)
	ca := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "laburnumrack derived authority"},
		NotBefore:             notBefore,
		NotAfter:              notBefore.Add(derivedCertValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, caKey.Public(), caKey)
	if err != nil {
		return nil, fmt.Errorf("derive peer authority: %w", err)
	}
	caCert, err := x509.ParseCertificate(caDER)
	if err != nil {
		return nil, fmt.Errorf("derive peer authority: %w", err)
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate peer key: %w", err)
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: serverName},
		DNSNames:     []string{serverName},
		NotBefore:    notBefore,
		NotAfter:     notBefore.Add(derivedCertValidity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, caCert, public, caKey)
	if err != nil {
		return nil, fmt.Errorf("issue peer certificate: %w", err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(caCert)
	cert := tls.Certificate{Certificate: [][]byte{leafDER}, PrivateKey: private}
	return &credentials{certificate: cert, authorities: pool, authority: caCert}, nil
}
