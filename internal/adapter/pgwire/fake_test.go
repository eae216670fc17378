package pgwire

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/session"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

const testPassword = "correct horse"

// answer is the fake target's answer to one SQL string.
type answer struct {
	rows           int
	cell           string
	tag            string
	errorCode      string           // SQLSTATE of an error of the target
	failure        *outcome.Outcome // outcome to return instead of an answer
	firstParseOnly bool             // failure applies to the first Parse only
	block          bool             // wait for Cancel
	raw            string           // bytes to write before failure
}

// fakeOpener opens units that answer from a map and records the requests.
type fakeOpener struct {
	mu            sync.Mutex
	answers       map[string]answer
	headers       []wireunit.Header
	executed      []string
	index         uint64
	openCount     int
	started       chan string // receives each blocking statement
	completedTags map[string]string
	cancels       int
	// flags records the flags of each batch, as batchFlags formats them.
	flags []string
}

func (f *fakeOpener) Open(_ context.Context, h wireunit.Header) (wireunit.Unit, outcome.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.headers = append(f.headers, h)
	f.openCount++
	return &fakeUnit{opener: f, header: h, status: wireunit.TxIdle, canceled: make(chan struct{}, 1), portals: map[string]string{}}, outcome.Outcome{}
}

func (f *fakeOpener) executedSQL() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(f.executed, "; ")
}

func (f *fakeOpener) lastHeader() wireunit.Header {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.headers[len(f.headers)-1]
}

func (f *fakeOpener) openUnits() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.openCount
}

// fakeUnit is an open unit of a fakeOpener.
type fakeUnit struct {
	opener   *fakeOpener
	header   wireunit.Header
	status   wireunit.TxStatus
	unnamed  string
	named    map[string]string
	portals  map[string]string
	canceled chan struct{}
	closed   bool
}

func (u *fakeUnit) Cancel() {
	u.opener.mu.Lock()
	u.opener.cancels++
	u.opener.mu.Unlock()
	select {
	case u.canceled <- struct{}{}:
	default:
	}
}

func (u *fakeUnit) Close() {
	u.opener.mu.Lock()
	defer u.opener.mu.Unlock()
	if !u.closed {
		u.closed = true
		u.opener.openCount--
	}
}

func (u *fakeUnit) Exchange(_ context.Context, b wireunit.Batch, sink io.Writer) wireunit.Result {
	if tag, ok := u.opener.completedTags[u.header.RequestID]; ok && u.header.RequestID != "" {
		return wireunit.Result{Status: wireunit.TxIdle, Repeated: true, Tag: tag}
	}
	u.opener.mu.Lock()
	u.opener.flags = append(u.opener.flags, batchFlags(b))
	u.opener.mu.Unlock()
	u.named = map[string]string{}
	for _, s := range b.Statements {
		u.named[s.Name] = s.SQL
	}
	failed := false
	for rest := b.Messages; len(rest) > 0; {
		n := int(binary.BigEndian.Uint32(rest[1:])) + 1
		kind, body := rest[0], rest[headerBytes:n]
		rest = rest[n:]
		if failed {
			continue
		}
		end, ok := u.handleMessage(kind, body, sink)
		if end != nil {
			return wireunit.Result{Outcome: *end}
		}
		failed = !ok
	}
	if failed && u.status == wireunit.TxOpen {
		u.status = wireunit.TxFailed
	}
	result := wireunit.Result{Status: u.status}
	if u.status == wireunit.TxIdle && !failed {
		u.opener.mu.Lock()
		u.opener.index++
		result.Position = position.Position{Term: 1, Index: u.opener.index}
		u.opener.mu.Unlock()
	}
	return result
}

// handleMessage handles one message. It returns false after an error of the target, and
// the outcome to return instead of an answer, if any.
func (u *fakeUnit) handleMessage(kind byte, body []byte, sink io.Writer) (*outcome.Outcome, bool) {
	switch kind {
	case 'Q':
		for _, sql := range strings.Split(string(body[:len(body)-1]), ";") {
			if end, ok := u.run(strings.TrimSpace(sql), sink, true); end != nil || !ok {
				return end, ok
			}
		}
	case 'P':
		var m pgproto3.Parse
		_ = m.Decode(body)
		if a := u.opener.answers[m.Query]; a.firstParseOnly {
			end := a.failure
			a.firstParseOnly, a.failure = false, nil
			u.opener.answers[m.Query] = a
			return end, false
		}
		if m.Query == "syntax error" {
			return nil, emitError(sink, "42601")
		}
		u.unnamed = m.Query
		emit(sink, &pgproto3.ParseComplete{})
	case 'B':
		var m pgproto3.Bind
		_ = m.Decode(body)
		u.portals[m.DestinationPortal] = u.statement(m.PreparedStatement)
		emit(sink, &pgproto3.BindComplete{})
	case 'D':
		var m pgproto3.Describe
		_ = m.Decode(body)
		sql := u.portals[m.Name]
		if m.ObjectType == 'S' {
			sql = u.statement(m.Name)
			emit(sink, &pgproto3.ParameterDescription{ParameterOIDs: make([]uint32, strings.Count(sql, "$"))})
		}
		u.describe(sql, sink)
	case 'E':
		var m pgproto3.Execute
		_ = m.Decode(body)
		return u.run(u.portals[m.Portal], sink, false)
	case 'C':
		emit(sink, &pgproto3.CloseComplete{})
	}
	return nil, true
}

func batchFlags(b wireunit.Batch) string {
	var flags []string
	if b.Auxiliary {
		flags = append(flags, "aux")
	}
	if b.NoCommit {
		flags = append(flags, "nocommit")
	}
	if b.ReadOnly {
		flags = append(flags, "read")
	}
	return strings.Join(flags, " ")
}

func (u *fakeUnit) statement(name string) string {
	if name == "" {
		return u.unnamed
	}
	return u.named[name]
}

func (u *fakeUnit) describe(sql string, sink io.Writer) {
	if u.opener.answers[sql].rows == 0 {
		emit(sink, &pgproto3.NoData{})
		return
	}
	emit(sink, showDescription("cell"))
}

func (u *fakeUnit) run(sql string, sink io.Writer, simple bool) (*outcome.Outcome, bool) {
	a, known := u.opener.answers[sql]
	u.opener.mu.Lock()
	u.opener.executed = append(u.opener.executed, sql)
	u.opener.mu.Unlock()
	if a.block {
		u.opener.started <- sql
		<-u.canceled
		a.errorCode = "57014"
	}
	switch word, _, _ := strings.Cut(strings.ToUpper(sql), " "); {
	case a.failure != nil:
		_, _ = io.WriteString(sink, a.raw)
		return a.failure, false
	case a.errorCode != "":
		return nil, emitError(sink, a.errorCode)
	case word == "BEGIN":
		u.status, a.tag = wireunit.TxOpen, word
	case word == "COMMIT" || word == "ROLLBACK":
		if u.status == wireunit.TxFailed {
			word = "ROLLBACK"
		}
		u.status, a.tag = wireunit.TxIdle, word
	case u.status == wireunit.TxFailed:
		return nil, emitError(sink, "25P02")
	case !known:
		return nil, emitError(sink, "42601")
	}
	if simple && a.rows > 0 {
		u.describe(sql, sink)
	}
	row := &pgproto3.DataRow{Values: [][]byte{[]byte(a.cell)}}
	for range a.rows {
		emit(sink, row)
	}
	emit(sink, &pgproto3.CommandComplete{CommandTag: []byte(a.tag)})
	return nil, true
}

func emit(sink io.Writer, m pgproto3.BackendMessage) {
	encoded, _ := m.Encode(nil)
	_, _ = sink.Write(encoded)
}

func emitError(sink io.Writer, code string) bool {
	emit(sink, &pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: "from the target"})
	return false
}

// verifier returns the SCRAM verifier of testPassword.
func verifier(tb testing.TB) string {
	tb.Helper()
	client, err := scram.SHA256.NewClient("", testPassword, "")
	if err != nil {
		tb.Fatal(err)
	}
	keys, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "0123456789abcdef", Iters: 4096})
	if err != nil {
		tb.Fatal(err)
	}
	b64 := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$4096:%s$%s:%s", b64([]byte(keys.Salt)), b64(keys.StoredKey), b64(keys.ServerKey))
}

// fixture is a running server with its fake target.
type fixture struct {
	server  *Server
	opener  *fakeOpener
	config  *configuration.Snapshot
	metrics *metrics.Set
	address string
}

func (f *fixture) url(params string) string {
	return fmt.Sprintf("postgres://foreman:%s@%s/grain.bins?%s", strings.ReplaceAll(testPassword, " ", "%20"), f.address, params)
}

func (f *fixture) refusedCount(r outcome.Reason) uint64 {
	return f.server.metrics.refused[r].Get()
}

// startServer serves on a loopback port until the test ends. Callers log in as foreman to
// grain.bins; configure, if not nil, changes the configuration first.
func startServer(tb testing.TB, configure func(*Config)) *fixture {
	tb.Helper()
	snapshot := configuration.Empty()
	snapshot.Revision = 1
	snapshot.Services["grain"] = configuration.Versioned[configuration.Service]{Value: configuration.Service{
		Name: "grain", State: configuration.ServiceActive, Databases: []configuration.Database{{Name: "bins"}}}}
	snapshot.Services["ducts"] = snapshot.Services["grain"]
	snapshot.Callers["foreman"] = configuration.Versioned[configuration.Caller]{Value: configuration.Caller{
		Name: "foreman", Verifier: verifier(tb), Services: []string{"grain"}, Policy: "minute", Class: "fan-order"}}
	snapshot.Policies["minute"] = configuration.Versioned[configuration.ReadPolicy]{Value: configuration.ReadPolicy{Name: "minute", MaxAge: 60e9}}
	keyring, err := session.NewKeyring("k", session.Key{ID: "k", Secret: make([]byte, sha256.Size)})
	if err != nil {
		tb.Fatal(err)
	}
	f := &fixture{config: snapshot, metrics: metrics.NewSet(), opener: &fakeOpener{
		started: make(chan string, 16),
		answers: map[string]answer{
			"select 1":             {rows: 1, cell: "1", tag: "SELECT 1"},
			"select a where x=$1":  {rows: 1, cell: "a", tag: "SELECT 1"},
			"select many":          {rows: 1_000_000, cell: strings.Repeat("x", 80), tag: "SELECT 1000000"},
			"select slow":          {block: true},
			"insert into t":        {tag: "INSERT 0 1"},
			"insert into t set $1": {tag: "INSERT 0 1"},
			"select broken":        {errorCode: "42703"},
		}}}
	config := Config{Configuration: configuration.Static{Snapshot: snapshot}, Opener: f.opener, Keyring: keyring, Metrics: f.metrics}
	if configure != nil {
		configure(&config)
	}
	f.server, err = New(config)
	if err != nil {
		tb.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	f.address = listener.Addr().String()
	served := make(chan error, 1)
	go func() { served <- f.server.Serve(context.Background(), listener) }()
	tb.Cleanup(func() {
		f.server.Close()
		<-served
		<-f.server.drained
	})
	return f
}
