package settings

import (
	"time"

	"pollensail.dev/decision/model"
)

// Settings are the settings of one pollensail process. Load fills in the
// defaults.
type Settings struct {
	Host   model.HostID   `toml:"host"`   // required
	Domain model.DomainID `toml:"domain"` // required; the host's failure domain
	Listen Listen         `toml:"listen"`
	Store  Store          `toml:"store"`
	// Platform is used only if Store.Protocol is ProtocolPlatform.
	Platform Platform `toml:"platform"`
	TLS      TLS      `toml:"tls"`
	Limits   Limits   `toml:"limits"`
	Stop     Stop     `toml:"stop"`
	Log      Log      `toml:"log"`
}

// Stop configures a planned stop (graceful shutdown).
type Stop struct {
	// BalancerDelay is how long the platform's load balancer may keep sending
	// requests after the readiness check /readyz starts to fail. Default 5s.
	BalancerDelay Duration `toml:"balancer_delay"`
	// Grace is how long after SIGTERM the process is killed. Requests that still wait
	// for a server are refused before that. Default 0: it is never killed. The
	// platform protocol has a bound for it, which is used instead.
	Grace Duration `toml:"grace"`
}

// Listen holds the addresses that the process listens on, as "ip:port". All but
// Metrics are required. Port 0 selects any free port.
type Listen struct {
	Caller   Address `toml:"caller"`
	Peer     Address `toml:"peer"`
	Operator Address `toml:"operator"`
	// Metrics is an optional second address that serves what the operator port
	// serves.
	Metrics Address `toml:"metrics"`
}

// Store configures the connection to the platform's store.
type Store struct {
	Address  Address  `toml:"address"`  // required
	Timeout  Duration `toml:"timeout"`  // per call; default 1s
	Protocol string   `toml:"protocol"` // ProtocolOwn or ProtocolPlatform; default ProtocolOwn
}

// The values of Store.Protocol. The choice also determines the protocols spoken
// with callers and backend servers: pollensail's own, or those of the users'
// platform.
const (
	ProtocolOwn      = "own"
	ProtocolPlatform = "platform"
)

// Platform holds what a host reads from this file instead of from the
// configuration tree if it runs on the users' platform.
type Platform struct {
	Domains []string `toml:"domains"` // the fleet's failure domains
	Bounds  []string `toml:"bounds"`  // "name=value" each, parsed by package platform
	// Regions are the regions of the failure domains. That of a missing domain is
	// unknown.
	Regions map[string]string `toml:"regions"`
}

// TLS configures mutual TLS between hosts. Either Insecure is true or all three
// files are given.
type TLS struct {
	CertificateFile string `toml:"certificate"` // PEM file of this host's certificate; one of its DNS names is the host id
	KeyFile         string `toml:"key"`         // PEM file of the certificate's private key
	CAFile          string `toml:"authority"`   // PEM file of the CA certificates that hosts' certificates are verified with
	Insecure        bool   `toml:"insecure"`    // plain TCP between hosts, without authentication of the sender
}

// Limits bounds the connections, message sizes and I/O times of a process.
type Limits struct {
	CallerConnections int      `toml:"connections"`    // open connections of callers; default 10000
	RequestHeader     Size     `toml:"request_header"` // default 16KiB
	RequestBody       Size     `toml:"request_body"`   // default 4MiB
	AnswerHeader      Size     `toml:"answer_header"`  // of a backend server's response; default 16KiB
	ReadTimeout       Duration `toml:"read_timeout"`   // for reading a complete request; default 30s
	WriteTimeout      Duration `toml:"write_timeout"`  // for each write to a caller; default 10m
	IdleTimeout       Duration `toml:"idle_timeout"`   // for a caller's idle connection; default 60s
	DialTimeout       Duration `toml:"dial_timeout"`   // for connecting to a backend server or peer; default 250ms
	PeerMessage       Size     `toml:"peer_message"`   // size of one message between hosts; default 8MiB, large enough for a handover
	// Memory is the memory at which the platform kills the process. Half of it bounds
	// what is held for callers and servers. Default 0: no bound.
	Memory Memory `toml:"memory"`
}

// Log configures logging.
type Log struct {
	Level string `toml:"level"` // debug, info, warn or error; default info
}

func defaults() Settings {
	return Settings{
		Store: Store{Timeout: Duration(time.Second), Protocol: ProtocolOwn},
		Limits: Limits{
			CallerConnections: 10000,
			RequestHeader:     16 * KiB,
			RequestBody:       4 * MiB,
			AnswerHeader:      16 * KiB,
			ReadTimeout:       Duration(30 * time.Second),
			WriteTimeout:      Duration(10 * time.Minute),
			IdleTimeout:       Duration(time.Minute),
			DialTimeout:       Duration(250 * time.Millisecond),
			PeerMessage:       8 * MiB,
		},
		Stop: Stop{BalancerDelay: Duration(5 * time.Second)},
		Log:  Log{Level: "info"},
	}
}
