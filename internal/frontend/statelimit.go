package frontend

import (
	"github.com/laburnumrack/laburnumrack/internal/membudget"
	"github.com/laburnumrack/laburnumrack/internal/query"
)

// Limits on the bytes of the session state, besides those on its entries.
const (
	// maxSessionState is the largest size in bytes of the values and prepared statements of
	// one session. It leaves room for several entries of the largest message, 1 MiB.
	maxSessionState = 4 << 20
	// stateMemoryShare is the part of the memory of a VM that the state of all sessions may
	// take.
	stateMemoryShare = 0.25
	// entryOverhead is the size in bytes that an entry of the state counts besides its texts.
	entryOverhead = 64
)

// reasonStateFull is the reason of a refusal when the budget of the state is used up.
const reasonStateFull = "session_state_full"

// NewStateBudget returns the budget for the state of all sessions of a VM with the given memory
// in bytes, nil if that is not known.
func NewStateBudget(memory int64) *membudget.Budget {
	return membudget.New(memory, stateMemoryShare)
}

// resizeState accounts for a change of the size of the session's state. If that is too large,
// it returns the refusal and false, and the change must not be made.
func (s *Session) resizeState(st query.Statement, bytes int64) (query.Answer, bool) {
	if bytes > 0 && s.stateBytes+bytes > maxSessionState {
		return query.Failure(query.Bad, s.state(), "the session state is too large"), false
	}
	if !s.budget.Add(bytes) {
		return s.refuse(st, query.Busy, reasonStateFull), false
	}
	s.stateBytes += bytes
	return query.Answer{}, true
}

// releaseState returns the bytes of the session's state to the budget when the session ends.
func (s *Session) releaseState() {
	s.budget.Add(-s.stateBytes)
	s.stateBytes = 0
}

// entrySize returns the size in bytes of an entry of the state.
func entrySize(name, text string) int64 {
	return int64(len(name) + len(text) + entryOverhead)
}

// setValue sets a session value.
func (s *Session) setValue(st query.Statement) query.Answer {
	old, known := s.environment.Values[st.Name]
	if !known && len(s.environment.Values) >= maxValues {
		return query.Failure(query.Bad, s.state(), "too many session values")
	}
	growth := entrySize(st.Name, st.Value)
	if known {
		growth -= entrySize(st.Name, old)
	}
	if refusal, ok := s.resizeState(st, growth); !ok {
		return refusal
	}
	s.environment.Values[st.Name] = st.Value
	return query.Success(s.state())
}

// prepare keeps a prepared statement.
func (s *Session) prepare(st query.Statement) query.Answer {
	old, known := s.environment.Prepared[st.Name]
	if !known && len(s.environment.Prepared) >= maxPrepared {
		return query.Failure(query.Bad, s.state(), "too many prepared statements")
	}
	growth := entrySize(st.Name, st.Value)
	if known {
		growth -= entrySize(st.Name, old.Shape)
	}
	if refusal, ok := s.resizeState(st, growth); !ok {
		return refusal
	}
	s.environment.Prepared[st.Name] = query.Prepared{Shape: st.Value, Writes: st.Writes}
	return query.Success(s.state())
}

// forget drops a prepared statement, if there is one of that name.
func (s *Session) forget(st query.Statement) query.Answer {
	if old, known := s.environment.Prepared[st.Name]; known {
		// A smaller state is never refused.
		_, _ = s.resizeState(st, -entrySize(st.Name, old.Shape))
		delete(s.environment.Prepared, st.Name)
	}
	return query.Success(s.state())
}
