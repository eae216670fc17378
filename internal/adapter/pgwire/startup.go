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

// Codes that stand in place of a protocol version.
const (
	codeCancel = 80877102
	codeSSL    = 80877103
	codeGSS    = 80877104
)

// Bounds of start-up.
const (
	startupBytes   = 10_000
	startupRounds  = 3 // GSS, SSL, then the start-up message
	secretBytesV30 = 4
	secretBytesV32 = 32
	majorVersion   = 3
)

// startup runs everything up to the first ReadyForQuery within the start-up
// timeout.
func (c *conn) startup() error {
	if err := c.raw.SetDeadline(time.Now().Add(c.server.config.Limits.Startup)); err != nil {
		return err
	}
	err := c.logIn()
	if err != nil {
		var f *fatalError
		if !errors.As(err, &f) && !errors.Is(err, errTerminated) {
			c.server.meters.startupEnd.Inc()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return fatal(outcome.AuthFailed, "start-up was not complete within %v", c.server.config.Limits.Startup)
		}
		return err
	}
	return c.raw.SetDeadline(time.Time{})
}

func (c *conn) logIn() error {
	message, err := c.startupMessage()
	if err != nil {
		return err
	}
	c.in = bufio.NewReaderSize(c.net, readBufferBytes)
	c.acquireWriter()
	if c.usesTLS() != nil && c.server.config.RequireTLS && c.net == c.raw {
		return fatal(outcome.AuthFailed, "this proxy requires TLS")
	}
	if err := c.identify(message); err != nil {
		return err
	}
	if snapshot := c.server.config.Configuration.Current(); unconfigured(snapshot) {
		return fatalOutcome(outcome.Refuse(outcome.NoConfiguration, retryConfiguration, "no configuration is known yet"))
	}
	c.negotiate(message)
	c.state = stateAuthenticating
	if err := c.authenticate(); err != nil {
		return err
	}
	return c.welcome(message)
}

func (c *conn) usesTLS() *tls.Config {
	if c.server.config.TLS == nil {
		return nil
	}
	return c.server.config.TLS()
}

// startupMessage answers requests for encryption until the start-up message
// comes. It reads not one byte too many, because TLS may start right behind.
func (c *conn) startupMessage() (*pgproto3.StartupMessage, error) {
	for range startupRounds {
		packet, err := c.readStartupPacket()
		if err != nil {
			return nil, err
		}
		switch code := binary.BigEndian.Uint32(packet); code {
		case codeCancel:
			return nil, c.cancelRequest(packet)
		case codeSSL:
			err = c.answerSSL()
		case codeGSS:
			_, err = c.net.Write([]byte{'N'})
		default:
			return decodeStartup(packet)
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, fatal(outcome.Malformed, "too many requests for encryption")
}

func (c *conn) readStartupPacket() ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(c.net, header[:]); err != nil {
		return nil, err
	}
	length := int64(binary.BigEndian.Uint32(header[:])) - int64(len(header))
	if length < 4 || length > startupBytes {
		return nil, fatal(outcome.Malformed, "start-up packet of %d bytes, accepted are 4 to %d", length, startupBytes)
	}
	packet := make([]byte, length)
	if _, err := io.ReadFull(c.net, packet); err != nil {
		return nil, err
	}
	return packet, nil
}

func (c *conn) cancelRequest(packet []byte) error {
	var m pgproto3.CancelRequest
	if err := m.Decode(packet); err != nil {
		return fatal(outcome.Malformed, "cancel request: %v", err)
	}
	c.server.cancel(m.ProcessID, m.SecretKey)
	return errTerminated
}

func (c *conn) answerSSL() error {
	config := c.usesTLS()
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
	if version>>16 != majorVersion {
		return nil, fatal(outcome.Malformed, "protocol version %d.%d is not served, accepted is %d.x", version>>16, version&0xffff, majorVersion)
	}
	// Only the known minor versions can be decoded; a later one is negotiated
	// down, as the protocol says.
	known := append([]byte(nil), packet...)
	if version > pgproto3.ProtocolVersion32 || version == pgproto3.ProtocolVersion30+1 {
		binary.BigEndian.PutUint32(known, pgproto3.ProtocolVersion30)
	}
	m := &pgproto3.StartupMessage{}
	if err := m.Decode(known); err != nil {
		return nil, fatal(outcome.Malformed, "start-up message: %v", err)
	}
	m.ProtocolVersion = version
	return m, nil
}

// negotiate tells a caller that asks for a newer minor version, or for protocol
// options, what is served.
func (c *conn) negotiate(m *pgproto3.StartupMessage) {
	var unknown []string
	for name := range m.Parameters {
		if strings.HasPrefix(name, "_pq_.") {
			unknown = append(unknown, name)
		}
	}
	sort.Strings(unknown)
	if !newerVersion(m.ProtocolVersion) && len(unknown) == 0 {
		return
	}
	newest := m.ProtocolVersion
	if newerVersion(newest) {
		newest = servedVersion(newest)
	}
	c.send(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: newest, UnrecognizedOptions: unknown})
}

func newerVersion(version uint32) bool {
	return version != servedVersion(version)
}

// servedVersion returns the highest served version up to version.
func servedVersion(version uint32) uint32 {
	if version >= pgproto3.ProtocolVersion32 {
		return pgproto3.ProtocolVersion32
	}
	return pgproto3.ProtocolVersion30
}

// identify reads who connects to what. It says nothing yet of whether they exist.
func (c *conn) identify(m *pgproto3.StartupMessage) error {
	c.caller = m.Parameters["user"]
	if c.caller == "" {
		return fatal(outcome.AuthFailed, "the start-up message names no user")
	}
	if m.Parameters["replication"] != "" && m.Parameters["replication"] != "false" {
		return fatal(outcome.Unsupported, "replication connections are not served")
	}
	service, database, ok := strings.Cut(m.Parameters["database"], ".")
	if !ok || service == "" || database == "" {
		return fatal(outcome.UnknownService, "database %q: accepted is service.database", clip(m.Parameters["database"]))
	}
	c.database = session.Database{Service: service, Name: database}
	return nil
}

// welcome checks what the caller may use and sends the state of the session.
func (c *conn) welcome(m *pgproto3.StartupMessage) error {
	snapshot := c.server.config.Configuration.Current()
	if o := permitted(snapshot, c.caller, c.database); !o.OK() {
		return fatal(o.Reason, "%s", o.Message)
	}
	if c.server.loggedIn.Add(1) > int64(c.server.config.Limits.Connections) {
		c.server.loggedIn.Add(-1)
		return fatalOutcome(outcome.Refuse(outcome.ConnectionLimit, retryConnection,
			"%d callers are connected", c.server.config.Limits.Connections))
	}
	secret, err := c.startSession(m)
	if err != nil {
		c.server.loggedIn.Add(-1)
		return err
	}
	c.send(&pgproto3.AuthenticationOk{})
	for _, p := range c.parameters.announced() {
		c.send(&p)
	}
	c.send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: secret})
	c.send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	c.state = stateIdle
	return c.out.Flush()
}

// startSession starts the session and returns the secret for cancel requests.
func (c *conn) startSession(m *pgproto3.StartupMessage) ([]byte, error) {
	size := secretBytesV30
	if m.ProtocolVersion >= pgproto3.ProtocolVersion32 {
		size = secretBytesV32
	}
	secret := make([]byte, size)
	if _, err := rand.Read(secret); err != nil {
		return nil, err
	}
	c.setSecret(secret)
	c.session = session.State{ID: strconv.FormatUint(uint64(c.pid), 10), Database: c.database, Started: c.server.config.Now()}
	c.sentToken = true
	c.parameters = newParameters()
	return secret, c.applyStartup(m.Parameters)
}
