package target

import (
	"context"
	"encoding/binary"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// runStatement executes one statement in the session's transaction. If there is none,
// it opens an implicit transaction.
func (s *session) runStatement(ctx context.Context, st *statement, params []Value) (*result, error) {
	if st.End != nil {
		return s.endTransaction(st.End)
	}
	if s.tx != nil && s.tx.failed {
		return nil, sqlErrorf(codeFailedTx, "current transaction is aborted, commands ignored until end of transaction block")
	}
	switch {
	case st.Begin != nil:
		return s.beginTransaction(st.Begin)
	case st.Set != nil:
		return s.set(st.Set)
	case st.Show != nil:
		return s.show(st.Show), nil
	case st.Discard != nil:
		return s.discard(st.Discard)
	}
	if s.tx == nil {
		s.tx = newTransaction(s.fence, false, s.readOnlyByDefault())
	}
	x := &execution{session: s, instance: s.instance, ctx: ctx, tx: s.tx, params: params}
	return x.run(st)
}

func (s *session) beginTransaction(b *beginStatement) (*result, error) {
	if s.tx == nil {
		s.tx = newTransaction(s.fence, true, false)
	}
	s.tx.explicit = true
	s.tx.readOnly = b.readOnly() || s.readOnlyByDefault()
	return &result{tag: "BEGIN"}, nil
}

func (s *session) endTransaction(e *endStatement) (*result, error) {
	tx := s.tx
	s.tx = nil
	clear(s.portals)
	if tx == nil || tx.failed || !e.commits() {
		if tx != nil {
			s.instance.rollback(tx)
		}
		return &result{tag: endTag(e, tx)}, nil
	}
	if err := s.instance.commit(tx); err != nil {
		return nil, err
	}
	return &result{tag: "COMMIT"}, nil
}

// endTag returns the command tag of COMMIT or ROLLBACK. COMMIT of a failed transaction
// yields ROLLBACK.
func endTag(e *endStatement, tx *transaction) string {
	if e.commits() && (tx == nil || !tx.failed) {
		return "COMMIT"
	}
	return "ROLLBACK"
}

func (s *session) set(st *setStatement) (*result, error) {
	value := strings.Join(st.Value, " ")
	if strings.EqualFold(st.Name, "TRANSACTION") {
		if s.tx != nil && strings.Contains(strings.ToUpper(value), "READ ONLY") {
			s.tx.readOnly = true
		}
		return &result{tag: "SET"}, nil
	}
	s.settings[strings.ToLower(st.Name)] = value
	return &result{tag: "SET"}, nil
}

// name returns the parameter name, with the words of SHOW joined by underscores.
func (st *showStatement) name() string {
	return strings.ToLower(strings.Join(st.Name, "_"))
}

func (s *session) show(st *showStatement) *result {
	shown := rowsResult(textColumns(st.name()), []Row{{textValue(s.settings[st.name()])}})
	shown.tag = "SHOW"
	shown.countRows = false
	return shown
}

func (s *session) discard(d *discard) (*result, error) {
	word := strings.ToUpper(d.Word)
	argument := strings.ToUpper(strings.Join(d.Arguments, " "))
	switch {
	case word == "DISCARD" && s.tx != nil:
		return nil, sqlErrorf(codeActiveTx, "DISCARD ALL cannot run inside a transaction block")
	case word == "RESET":
		s.reset(argument)
	case argument == "ALL":
		clear(s.statements)
		if word == "DISCARD" {
			s.reset(argument)
		}
	default:
		delete(s.statements, d.Arguments[len(d.Arguments)-1])
	}
	if word == "RESET" {
		return &result{tag: word}, nil
	}
	return &result{tag: word + " " + argument}, nil
}

// reset removes the named parameter, or all except server_version if name is "ALL".
func (s *session) reset(name string) {
	if name != "ALL" {
		delete(s.settings, strings.ToLower(name))
		return
	}
	s.settings = map[string]string{"server_version": s.settings["server_version"]}
}

func (s *session) backendKeyData() *pgproto3.BackendKeyData {
	return &pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: binary.BigEndian.AppendUint32(nil, s.secret)}
}

// cancelSecret returns the secret key of a cancel request, or 0 if it is not 4 bytes long.
func cancelSecret(request *pgproto3.CancelRequest) uint32 {
	if len(request.SecretKey) != 4 {
		return 0
	}
	return binary.BigEndian.Uint32(request.SecretKey)
}
