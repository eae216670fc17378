package outcome

// Reason is the cause of a Refused or Unknown outcome. Each has a counter.
type Reason string

// Reasons of Refused outcomes: nothing ran.
const (
	NoPrimary        Reason = "no_primary"         // no valid primary is known
	NoReplica        Reason = "no_replica"         // no target satisfies the read
	QueueFull        Reason = "queue_full"         // the queue for the target's slots is full
	TooLate          Reason = "too_late"           // predicted to miss its deadline
	OverShare        Reason = "over_share"         // its tenant is above its share of the slots
	DeadlinePassed   Reason = "deadline_passed"    // the deadline had passed on arrival
	ServiceDraining  Reason = "service_draining"   // the service accepts no new requests
	ServiceStopped   Reason = "service_stopped"    // the service is stopped
	ShuttingDown     Reason = "shutting_down"      // the daemon is shutting down
	UnknownService   Reason = "unknown_service"    // the service or database does not exist
	CallerDenied     Reason = "caller_denied"      // the caller may not use the service
	PolicyDenied     Reason = "policy_denied"      // the read policy does not allow it
	AuthFailed       Reason = "auth_failed"        // the caller did not authenticate
	TokenInvalid     Reason = "token_invalid"      // the session token is forged or malformed
	ParameterInvalid Reason = "parameter_invalid"  // a session parameter has an invalid value
	Unsupported      Reason = "unsupported"        // the statement uses an unsupported feature
	Malformed        Reason = "malformed"          // a message violates the protocol
	TooLarge         Reason = "too_large"          // a message exceeds its size limit
	ConnectionLimit  Reason = "connection_limit"   // too many connections
	RetryBudget      Reason = "retry_budget"       // the retry budget is exhausted
	Elsewhere        Reason = "elsewhere"          // the home in another failure domain must run it
	HomeUnreachable  Reason = "home_unreachable"   // no home of the database can be reached
	TargetRejected   Reason = "target_rejected"    // the target rejected it before execution
	PrimaryChanged   Reason = "primary_changed"    // provably did not run; the primary changed
	NotConfirmed     Reason = "not_confirmed"      // the read could not be confirmed as current
	TransactionLost  Reason = "transaction_lost"   // rolled back with its connection or home
	Canceled         Reason = "canceled"           // canceled before it was sent
	VersionMismatch  Reason = "version_mismatch"   // the peers share no protocol version
	NoConfiguration  Reason = "configuration_none" // no configuration is known yet
)

// Reasons of Refused outcomes that depend on earlier requests of the caller.
const (
	TransactionAborted Reason = "transaction_aborted" // a statement of the transaction failed
	UnknownStatement   Reason = "unknown_statement"   // the prepared statement does not exist
	DuplicateStatement Reason = "duplicate_statement" // the prepared statement already exists
	UnknownPortal      Reason = "unknown_portal"      // the portal does not exist
	DoneBefore         Reason = "done_before"         // a transaction with this request id is done
)

// Reasons of Unknown outcomes: the request may have run.
const (
	TargetLost       Reason = "target_lost"       // the connection broke while it ran
	HomeLost         Reason = "home_lost"         // the home was lost while it ran
	PrimaryDeposed   Reason = "primary_deposed"   // ran on a primary that lost its term
	ConfirmTimeout   Reason = "confirm_timeout"   // no majority confirmed it in time
	RequestUnsettled Reason = "request_unsettled" // the request record could not be read
)

// Reasons returns all reasons, for counters and documentation.
func Reasons() []Reason {
	return []Reason{
		NoPrimary, NoReplica, QueueFull, TooLate, OverShare, DeadlinePassed, ServiceDraining, ServiceStopped,
		ShuttingDown, UnknownService, CallerDenied, PolicyDenied, AuthFailed, TokenInvalid,
		ParameterInvalid, Unsupported, Malformed, TooLarge, ConnectionLimit, RetryBudget,
		Elsewhere, HomeUnreachable, TargetRejected, PrimaryChanged, NotConfirmed, TransactionLost, Canceled,
		VersionMismatch, NoConfiguration,
		TransactionAborted, UnknownStatement, DuplicateStatement, UnknownPortal, DoneBefore,
		TargetLost, HomeLost, PrimaryDeposed, ConfirmTimeout, RequestUnsettled,
	}
}

func (r Reason) sqlState() string {
	switch r {
	case QueueFull, OverShare, ConnectionLimit:
		return "53300" // too_many_connections
	case TooLate, DeadlinePassed, Canceled:
		return "57014" // query_canceled
	case NoPrimary, NoReplica, ServiceDraining, ServiceStopped, ShuttingDown, HomeUnreachable, NoConfiguration:
		return "57P03" // cannot_connect_now
	case UnknownService:
		return "3D000" // invalid_catalog_name
	case CallerDenied, PolicyDenied:
		return "42501" // insufficient_privilege
	case AuthFailed:
		return "28P01" // invalid_password
	case TokenInvalid, ParameterInvalid:
		return "22023" // invalid_parameter_value
	case Unsupported:
		return "0A000" // feature_not_supported
	case Malformed, VersionMismatch:
		return "08P01" // protocol_violation
	case TransactionAborted:
		return "25P02" // in_failed_sql_transaction
	case UnknownStatement:
		return "26000" // invalid_sql_statement_name
	case DuplicateStatement:
		return "42P05" // duplicate_prepared_statement
	case DoneBefore:
		return "23505" // unique_violation
	case UnknownPortal:
		return "34000" // invalid_cursor_name
	case TooLarge:
		return "54000" // program_limit_exceeded
	default:
		return "40001" // serialization_failure: safe to repeat
	}
}
