package home

import (
	"time"

	"github.com/laburnumrack/laburnumrack/internal/ledger"
)

// account records in the ledger how long one connection is in each state. A nil account
// records nothing.
type account struct {
	conn *ledger.Conn
}

// newAccount opens the account of a connection that is not in use; nil if there is no
// ledger.
func newAccount(l *ledger.Ledger, target string) *account {
	if l == nil {
		return nil
	}
	return &account{conn: l.Open(target, time.Now())}
}

func (a *account) set(state ledger.State, holder ledger.Holder) {
	if a != nil {
		a.conn.Set(state, holder, time.Now())
	}
}

// close ends the account. It may be called more than once.
func (a *account) close() {
	if a != nil {
		a.conn.Close(time.Now())
	}
}
