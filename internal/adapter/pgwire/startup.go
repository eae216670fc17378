package pgwire

import (
	"bufio"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/session"
)

// Request codes that are sent in place of a protocol version.
const (
	cancelRequestCode = 80877102
	sslRequestCode    = 80877103
	gssEncRequestCode = 80877104
)

// Limits of the startup phase.
const (
	maxStartupPacketBytes = 10_000
	maxStartupPackets     = 3 // GSSENCRequest, SSLRequest and StartupMessage
	cancelSecretBytesV30  = 4
	cancelSecretBytesV32  = 32
	protocolMajorVersion  = 3
)

// startup runs the startup phase, up to the first ReadyForQuery, within
// Limits.StartupTimeout.
func (c *conn) startup() error {
	if err := c.raw.SetDeadline(time.Now().Add(c.server.config.Limits.StartupTimeout)); err != nil {
		return err
	}
	err := c.logIn()
	if err != nil {
		var f *fatalError
		if !errors.As(err, &f) && !errors.Is(err, errTerminated) {
			c.server.metrics.startupAbandoned.Inc()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return fatal(outcome.AuthFailed, "startup was not complete within %v", c.server.config.Limits.StartupTimeout)
		}
		return err
	}
	return c.raw.SetDeadline(time.Time{})
}

func (c *conn) logIn() error {
	message, err := c.readStartupMessage()
	if err != nil {
		return err
	}
	c.in = bufio.NewReaderSize(c.net, readBufferBytes)
	c.acquireWriter()
	if c.tlsConfig() != nil && c.server.config.RequireTLS && c.net == c.raw {
		return fatal(outcome.AuthFailed, "this proxy requires TLS")
	}
	if err := c.readIdentity(message); err != nil {
		return err
	}
	if snapshot := c.server.config.Configuration.Current(); unconfigured(snapshot) {
		return fatalOutcome(outcome.Refuse(outcome.NoConfiguration, retryAfterNoConfiguration, "no configuration is known yet"))
	}
	c.negotiate(message)
	c.state = stateAuthenticating
	if err := c.authenticate(); err != nil {
		return err
	}
	return c.completeLogin(message)
}

func (c *conn) tlsConfig() *tls.Config {
	if c.server.config.TLS == nil {
		return nil
	}
	return c.server.config.TLS()
}

// readStartupMessage answers encryption requests and returns the startup message. It
// reads unbuffered, because a TLS handshake may follow a packet directly. A cancel
// request ends it with errTerminated.
func (c *conn) readStartupMessage() (*pgproto3.StartupMessage, error) {
	for range maxStartupPackets {
		packet, err := c.readStartupPacket()
		if err != nil {
			return nil, err
		}
		switch code := binary.BigEndian.Uint32(packet); code {
		case cancelRequestCode:
			return nil, c.handleCancelRequest(packet)
		case sslRequestCode:
			err = c.answerSSLRequest()
		case gssEncRequestCode:
			_, err = c.net.Write([]byte{'N'})
		default:
			return decodeStartup(packet)
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, fatal(outcome.Malformed, "too many encryption requests")
}

func (c *conn) readStartupPacket() ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(c.net, header[:]); err != nil {
		return nil, err
	}
	length := int64(binary.BigEndian.Uint32(header[:])) - int64(len(header))
	if length < 4 || length > maxStartupPacketBytes {
		return nil, fatal(outcome.Malformed, "startup packet has a body of %d bytes, accepted are 4 to %d", length, maxStartupPacketBytes)
	}
	packet := make([]byte, length)
	if _, err := io.ReadFull(c.net, packet); err != nil {
		return nil, err
	}
	return packet, nil
}

func (c *conn) handleCancelRequest(packet []byte) error {
	var m pgproto3.CancelRequest
	if err := m.Decode(packet); err != nil {
		return fatal(outcome.Malformed, "invalid cancel request: %v", err)
	}
	c.server.cancel(m.ProcessID, m.SecretKey)
	return errTerminated
}

func (c *conn) answerSSLRequest() error {
	config := c.tlsConfig()
	if config == nil || c.net != c.raw {
		_, err := c.net.Write([]byte{'N'})
		return err
	}
	if _, err := c.net.Write([]byte{'S'}); err != nil {
		return err
	}
	conn := tls.Server(c.raw, config)
	if err := conn.Handshake(); err != nil {
		return err
	}
	c.net = conn
	return nil
}

func decodeStartup(packet []byte) (*pgproto3.StartupMessage, error) {
	version := binary.BigEndian.Uint32(packet)
	if version>>16 != protocolMajorVersion {
		return nil, fatal(outcome.Malformed, "protocol version %d.%d is not supported, use %d.x", version>>16, version&0xffff, protocolMajorVersion)
	}
	// pgproto3 decodes only the minor versions that it knows. Other ones are negotiated
	// down later, as the protocol requires.
	known := append([]byte(nil), packet...)
	if version > pgproto3.ProtocolVersion32 || version == pgproto3.ProtocolVersion30+1 {
		binary.BigEndian.PutUint32(known, pgproto3.ProtocolVersion30)
	}
	m := &pgproto3.StartupMessage{}
	if err := m.Decode(known); err != nil {
		return nil, fatal(outcome.Malformed, "invalid startup message: %v", err)
	}
	m.ProtocolVersion = version
	return m, nil
}

// negotiate sends NegotiateProtocolVersion to a caller that requests an unsupported minor
// version or protocol options.
func (c *conn) negotiate(m *pgproto3.StartupMessage) {
	var unknown []string
	for name := range m.Parameters {
		if strings.HasPrefix(name, "_pq_.") {
			unknown = append(unknown, name)
		}
	}
	sort.Strings(unknown)
	if !isUnsupportedVersion(m.ProtocolVersion) && len(unknown) == 0 {
		return
	}
	newest := m.ProtocolVersion
	if isUnsupportedVersion(newest) {
		newest = supportedVersion(newest)
	}
	c.send(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: newest, UnrecognizedOptions: unknown})
}

func isUnsupportedVersion(version uint32) bool {
	return version != supportedVersion(version)
}

// supportedVersion returns the highest supported version that is not above version.
func supportedVersion(version uint32) uint32 {
	if version >= pgproto3.ProtocolVersion32 {
		return pgproto3.ProtocolVersion32
	}
	return pgproto3.ProtocolVersion30
}

// readIdentity sets the caller and database from the startup message. It doesn't check
// whether they exist.
func (c *conn) readIdentity(m *pgproto3.StartupMessage) error {
	c.caller = m.Parameters["user"]
	if c.caller == "" {
		return fatal(outcome.AuthFailed, "the startup message has no user")
	}
	if m.Parameters["replication"] != "" && m.Parameters["replication"] != "false" {
		return fatal(outcome.Unsupported, "replication connections are not supported")
	}
	service, database, ok := strings.Cut(m.Parameters["database"], ".")
	if !ok || service == "" || database == "" {
		return fatal(outcome.UnknownService, "invalid database %q, accepted form: service.database", clip(m.Parameters["database"]))
	}
	c.database = session.Database{Service: service, Name: database}
	return nil
}

// completeLogin checks the caller's access and the connection limit, starts the session
// and sends the messages up to the first ReadyForQuery.
func (c *conn) completeLogin(m *pgproto3.StartupMessage) error {
	snapshot := c.server.config.Configuration.Current()
	if o := checkAccess(snapshot, c.caller, c.database); !o.OK() {
		return fatal(o.Reason, "%s", o.Message)
	}
	if c.server.loggedIn.Add(1) > int64(c.server.config.Limits.Connections) {
		c.server.loggedIn.Add(-1)
		return fatalOutcome(outcome.Refuse(outcome.ConnectionLimit, retryAfterConnectionLimit,
			"connection limit reached: %d callers are connected", c.server.config.Limits.Connections))
	}
	secret, err := c.startSession(m)
	if err != nil {
		c.server.loggedIn.Add(-1)
		return err
	}
	c.send(&pgproto3.AuthenticationOk{})
	for _, p := range c.parameters.statusMessages() {
		c.send(&p)
	}
	c.send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: secret})
	c.send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	c.state = stateIdle
	return c.out.Flush()
}

// startSession starts the session with the parameters of the startup message and returns
// the secret key for cancel requests.
func (c *conn) startSession(m *pgproto3.StartupMessage) ([]byte, error) {
	size := cancelSecretBytesV30
	if m.ProtocolVersion >= pgproto3.ProtocolVersion32 {
		size = cancelSecretBytesV32
	}
	secret := make([]byte, size)
	if _, err := rand.Read(secret); err != nil {
		return nil, err
	}
	c.setCancelSecret(secret)
	c.session = session.State{ID: strconv.FormatUint(uint64(c.pid), 10), Database: c.database, Started: c.server.config.Now()}
	c.tokenSent = true
	c.parameters = newParameters()
	return secret, c.applyStartup(m.Parameters)
}
