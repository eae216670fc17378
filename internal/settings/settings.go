package settings

import (
	"time"
)

// Serve holds the settings of the serve command, which runs a daemon.
type Serve struct {
	VMName        string `arg:"--vm-name,env:LABURNUMRACK_VM_NAME" placeholder:"NAME" help:"name of this VM in the platform's list"`
	FailureDomain string `arg:"--failure-domain,env:LABURNUMRACK_FAILURE_DOMAIN" placeholder:"NAME" help:"failure domain of this VM"`

	CallerListen string `arg:"--caller-listen,env:LABURNUMRACK_CALLER_LISTEN" placeholder:"IP:PORT" help:"TCP address for callers" default:"127.0.0.1:6432"`
	PeerListen   string `arg:"--peer-listen,env:LABURNUMRACK_PEER_LISTEN" placeholder:"IP:PORT" help:"UDP and TCP address for other daemons" default:"127.0.0.1:6433"`
	AdminListen  string `arg:"--admin-listen,env:LABURNUMRACK_ADMIN_LISTEN" placeholder:"IP:PORT" help:"TCP address for operators, metrics and health" default:"127.0.0.1:6434"`
	PlatformURL  string `arg:"--platform-url,env:LABURNUMRACK_PLATFORM_URL" placeholder:"URL" help:"http URL of the platform's object service, with an IP address"`

	PeerCert   string `arg:"--peer-cert,env:LABURNUMRACK_PEER_CERT" placeholder:"FILE" help:"PEM certificate that is presented to other daemons"`
	PeerKey    string `arg:"--peer-key,env:LABURNUMRACK_PEER_KEY" placeholder:"FILE" help:"PEM key of the peer certificate"`
	PeerCA     string `arg:"--peer-ca,env:LABURNUMRACK_PEER_CA" placeholder:"FILE" help:"PEM certificates of the authorities that sign the certificates of other daemons"`
	PeerSecret string `arg:"--peer-insecure-shared-secret,env:LABURNUMRACK_PEER_INSECURE_SHARED_SECRET" placeholder:"TEXT" help:"derive the peer certificate from this text instead of files; for testing only"`

	Peers []string `arg:"--peer,separate,env:LABURNUMRACK_PEERS" placeholder:"IP:PORT" help:"peer address of another daemon, used to get the list of VMs if the platform does not answer at the start; repeat, or separate by commas in the variable"`

	CallerCert string `arg:"--caller-cert,env:LABURNUMRACK_CALLER_CERT" placeholder:"FILE" help:"PEM certificate that is presented to callers; without it TLS is disabled"`
	CallerKey  string `arg:"--caller-key,env:LABURNUMRACK_CALLER_KEY" placeholder:"FILE" help:"PEM key of the caller certificate"`
	RequireTLS bool   `arg:"--require-caller-tls,env:LABURNUMRACK_REQUIRE_CALLER_TLS" help:"reject callers that do not use TLS"`

	TokenKeys []string `arg:"--token-key,separate,env:LABURNUMRACK_TOKEN_KEYS" placeholder:"ID:HEX" help:"key of session tokens, at least 32 bytes in hex; the first key signs, all keys are accepted; repeat, or separate by commas in the variable"`

	TargetUser     string `arg:"--target-user,env:LABURNUMRACK_TARGET_USER" placeholder:"NAME" help:"user name for connections to targets" default:"laburnumrack"`
	TargetPassword string `arg:"--target-password,env:LABURNUMRACK_TARGET_PASSWORD" placeholder:"TEXT" help:"password for connections to targets"`

	BootstrapSecret string `arg:"--bootstrap-secret,env:LABURNUMRACK_BOOTSTRAP_SECRET" placeholder:"TEXT" help:"secret that grants the role editor, for a deployment that declares no operator yet"`

	MaxCallers      int           `arg:"--max-callers,env:LABURNUMRACK_MAX_CALLERS" placeholder:"N" help:"maximum number of caller connections" default:"10000"`
	MaxMessage      int           `arg:"--max-message,env:LABURNUMRACK_MAX_MESSAGE" placeholder:"BYTES" help:"maximum size of a message from a caller, in bytes" default:"4194304"`
	ShutdownTimeout time.Duration `arg:"--shutdown-timeout,env:LABURNUMRACK_SHUTDOWN_TIMEOUT" placeholder:"DURATION" help:"maximum time that a shutdown waits for requests" default:"30s"`

	LedgerRetention time.Duration `arg:"--ledger-retention,env:LABURNUMRACK_LEDGER_RETENTION" placeholder:"DURATION" help:"how long the store keeps the ledger of connection time" default:"840h"`

	LogFormat    string `arg:"--log-format,env:LABURNUMRACK_LOG_FORMAT" placeholder:"text|json" help:"format of log lines" default:"text"`
	LogVerbosity int    `arg:"--log-verbosity,env:LABURNUMRACK_LOG_VERBOSITY" placeholder:"0-5" help:"verbosity of the log; 0 logs the least" default:"0"`
}

// Bounds of the settings that Check enforces.
const (
	minCallers         = 1
	maxCallers         = 1_000_000
	minMessageBytes    = 1 << 10
	maxMessageBytes    = 15 << 20
	maxShutdownTimeout = time.Hour
	minLedgerRetention = time.Hour
	maxLedgerRetention = 400 * 24 * time.Hour
	maxVerbosity       = 5
	minTokenKeyBytes   = 32
	maxNameBytes       = 63
)

// Values of LogFormat.
const (
	LogText = "text"
	LogJSON = "json"
)
