package target

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

// flushBytes is the number of buffered result bytes that triggers a flush.
const flushBytes = 32 << 10

// session is a client connection. All fields are owned by its goroutine, except those
// guarded by cancelMu.
type session struct {
	instance *Instance
	conn     net.Conn
	backend  *pgproto3.Backend
	pid      uint32
	secret   uint32
	// fence is the fence of the instance when the connection was opened.
	fence  position.Term
	ctx    context.Context
	cancel context.CancelFunc
	// finished is closed when the session has rolled back and is unregistered.
	finished chan struct{}

	tx         *transaction
	settings   map[string]string
	statements map[string]*preparedStatement
	portals    map[string]*portal
	// skipUntilSync is set after an error in the extended protocol: messages are discarded
	// until the next Sync.
	skipUntilSync bool

	// cancelMu guards cancelStatement, which is nil while no statement runs.
	cancelMu        sync.Mutex
	cancelStatement context.CancelFunc
}

// abort cancels the running statement and closes the connection.
func (s *session) abort() {
	s.cancel()
	_ = s.conn.Close()
}

// finish rolls back the open transaction and removes the session from the instance.
func (s *session) finish() {
	s.abort()
	if s.tx != nil {
		s.instance.rollback(s.tx)
		s.tx = nil
	}
	s.instance.mu.Lock()
	delete(s.instance.sessions, s.pid)
	s.instance.mu.Unlock()
	close(s.finished)
}

// run handles messages until the client terminates or an error occurs.
func (s *session) run() {
	for {
		message, err := s.backend.Receive()
		if err != nil {
			return
		}
		s.instance.waitUntilThawed()
		if s.ctx.Err() != nil {
			return
		}
		if _, ok := message.(*pgproto3.Terminate); ok {
			return
		}
		if err := s.handle(message); err != nil {
			return
		}
	}
}

// handle processes one message. An error closes the connection.
func (s *session) handle(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Query:
		s.handleQuery(m.String)
		return s.sendReadyForQuery()
	case *pgproto3.Sync:
		return s.handleSync()
	case *pgproto3.Flush:
		return s.backend.Flush()
	}
	if s.skipUntilSync {
		return nil
	}
	if err := s.handleExtended(message); err != nil {
		s.fail(err)
		s.skipUntilSync = true
	}
	return nil
}

// handleExtended processes one message of the extended query protocol. An error is sent
// to the client and aborts the transaction.
func (s *session) handleExtended(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return s.handleParse(m)
	case *pgproto3.Bind:
		return s.handleBind(m)
	case *pgproto3.Describe:
		return s.handleDescribe(m)
	case *pgproto3.Execute:
		return s.handleExecute(m)
	case *pgproto3.Close:
		s.handleClose(m)
		return nil
	default:
		return sqlErrorf(codeUnsupported, "message %T is not supported", message)
	}
}

func (s *session) handleParse(m *pgproto3.Parse) error {
	if m.Name != "" && s.statements[m.Name] != nil {
		return sqlErrorf(codeDuplicateStatement, "prepared statement %q already exists", m.Name)
	}
	p, err := s.prepare(m)
	if err != nil {
		return err
	}
	s.statements[m.Name] = p
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) handleBind(m *pgproto3.Bind) error {
	p, err := s.bind(m)
	if err != nil {
		return err
	}
	s.portals[m.DestinationPortal] = p
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) handleDescribe(m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		p := s.portals[m.Name]
		if p == nil {
			return sqlErrorf(codeUndefinedPortal, "portal %q does not exist", m.Name)
		}
		s.sendDescription(p.prepared.columns, p.formats)
		return nil
	}
	p := s.statements[m.Name]
	if p == nil {
		return sqlErrorf(codeUndefinedStatement, "prepared statement %q does not exist", m.Name)
	}
	oids := make([]uint32, len(p.parameters))
	for i, t := range p.parameters {
		oids[i] = uint32(t)
	}
	s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
	s.sendDescription(p.columns, nil)
	return nil
}

func (s *session) sendDescription(columns []Column, formats []int16) {
	if columns == nil {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, c := range columns {
		fields[i] = pgproto3.FieldDescription{
			Name:         []byte(c.Name),
			DataTypeOID:  uint32(c.Type),
			DataTypeSize: typeSize(c.Type),
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		}
	}
	s.backend.Send(&pgproto3.RowDescription{Fields: fields})
}

func (s *session) handleClose(m *pgproto3.Close) {
	if m.ObjectType == 'P' {
		delete(s.portals, m.Name)
	} else {
		delete(s.statements, m.Name)
	}
	s.backend.Send(&pgproto3.CloseComplete{})
}

func (s *session) handleExecute(m *pgproto3.Execute) error {
	p := s.portals[m.Portal]
	switch {
	case p == nil:
		return sqlErrorf(codeUndefinedPortal, "portal %q does not exist", m.Portal)
	case p.prepared.statement == nil:
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	ctx, done := s.statementContext()
	defer done()
	if p.result == nil {
		result, err := s.runStatement(ctx, p.prepared.statement, p.params)
		if err != nil {
			return err
		}
		p.result = result
	}
	finished, err := s.sendRows(ctx, p, int(m.MaxRows))
	if err != nil {
		return err
	}
	if !finished {
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.sendCommandComplete(p)
	return nil
}

func (s *session) sendCommandComplete(p *portal) {
	tag := p.result.tag
	if p.result.countRows {
		tag += " " + strconv.Itoa(p.rowsSent)
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// sendRows sends up to limit rows, or all rows if limit is 0. It reports whether the
// result is exhausted.
func (s *session) sendRows(ctx context.Context, p *portal, limit int) (bool, error) {
	if p.result.next == nil {
		return true, nil
	}
	buffered := 0
	for sent := 0; limit == 0 || sent < limit; sent++ {
		row, ok := p.result.next()
		if !ok {
			return true, nil
		}
		values := make([][]byte, len(row))
		for i, v := range row {
			values[i] = encodeResult(v, p.result.columns[i].Type, formatOf(p.formats, i))
			buffered += len(values[i]) + 4
		}
		s.backend.Send(&pgproto3.DataRow{Values: values})
		p.rowsSent++
		if buffered < flushBytes {
			continue
		}
		buffered = 0
		if err := s.backend.Flush(); err != nil {
			s.cancel()
			return false, err
		}
		if err := ctx.Err(); err != nil {
			return false, err
		}
	}
	return false, nil
}

// handleQuery executes all statements of a simple query in one implicit transaction.
func (s *session) handleQuery(sql string) {
	ctx, done := s.statementContext()
	defer done()
	statements, err := s.instance.parseCache.parse(sql)
	if err != nil {
		s.fail(err)
		return
	}
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, st := range statements {
		if err := s.runSimpleStatement(ctx, st, i == len(statements)-1); err != nil {
			s.fail(err)
			return
		}
	}
}

// runSimpleStatement executes one statement of a simple query. After the last statement
// it commits the implicit transaction.
func (s *session) runSimpleStatement(ctx context.Context, st *statement, last bool) error {
	result, err := s.runStatement(ctx, st, nil)
	if err != nil {
		return err
	}
	if result.columns != nil {
		s.sendDescription(result.columns, nil)
	}
	p := &portal{result: result}
	if _, err := s.sendRows(ctx, p, 0); err != nil {
		return err
	}
	if last {
		if err := s.commitImplicit(); err != nil {
			return err
		}
	}
	s.sendCommandComplete(p)
	return nil
}

// statementContext returns a context for a statement that a cancel request cancels, and
// a function that releases it.
func (s *session) statementContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.cancelMu.Lock()
	s.cancelStatement = cancel
	s.cancelMu.Unlock()
	return ctx, func() {
		s.cancelMu.Lock()
		s.cancelStatement = nil
		s.cancelMu.Unlock()
		cancel()
	}
}

// handleSync ends an extended query and commits its implicit transaction.
func (s *session) handleSync() error {
	s.skipUntilSync = false
	if err := s.commitImplicit(); err != nil {
		s.fail(err)
	}
	return s.sendReadyForQuery()
}

// commitImplicit commits the current transaction unless it was opened with BEGIN.
func (s *session) commitImplicit() error {
	tx := s.tx
	if tx == nil || tx.explicit {
		return nil
	}
	s.tx = nil
	clear(s.portals)
	return s.instance.commit(tx)
}

// fail sends an error response and rolls back the transaction. An explicit transaction
// stays in the failed state until the client ends it.
func (s *session) fail(err error) {
	s.backend.Send(errorResponse(err, "ERROR"))
	if s.tx == nil {
		return
	}
	s.instance.rollback(s.tx)
	if !s.tx.explicit {
		s.tx = nil
		return
	}
	s.tx = &transaction{explicit: true, failed: true}
}

// sendReadyForQuery sends ReadyForQuery with the transaction status and flushes.
func (s *session) sendReadyForQuery() error {
	status := byte('I')
	switch {
	case s.tx == nil:
	case s.tx.failed:
		status = 'E'
	case s.tx.explicit:
		status = 'T'
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return s.backend.Flush()
}

// readOnlyByDefault reports whether new transactions are read-only.
func (s *session) readOnlyByDefault() bool {
	switch strings.ToLower(s.settings["default_transaction_read_only"]) {
	case "on", "true", "1", "yes":
		return true
	default:
		return false
	}
}
