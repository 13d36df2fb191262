package settings

import (
	"time"

	"pollensail.dev/decision/model"
)

// Settings are the settings of one pollensail process. Load fills in the
// defaults.
type Settings struct {
	Host   model.HostID   `toml:"host"`   // required
	Domain model.DomainID `toml:"domain"` // required, the failure domain
	Listen Listen         `toml:"listen"`
	Store  Store          `toml:"store"`
	// Platform is read where Store.Protocol is ProtocolPlatform.
	Platform Platform `toml:"platform"`
	TLS      TLS      `toml:"tls"`
	Limits   Limits   `toml:"limits"`
	Stop     Stop     `toml:"stop"`
	Log      Log      `toml:"log"`
}

// Stop says how a planned stop proceeds.
type Stop struct {
	// BalancerDelay is how long the platform's balancer may keep sending
	// requests after /readyz fails. Default 5s.
	BalancerDelay Duration `toml:"balancer_delay"`
}

// Listen holds the addresses, as "ip:port", on which the process listens. All
// but Metrics are required. Port 0 takes any free port.
type Listen struct {
	Caller   Address `toml:"caller"`
	Peer     Address `toml:"peer"`
	Operator Address `toml:"operator"`
	// Metrics is one more address that answers like the operator port; empty:
	// none.
	Metrics Address `toml:"metrics"`
}

// Store says where the platform's store is.
type Store struct {
	Address  Address  `toml:"address"`  // required
	Timeout  Duration `toml:"timeout"`  // of one call; default 1s
	Protocol string   `toml:"protocol"` // "own" or "platform"; default own
}

// The protocols of a store, with which go those of callers and backend servers.
const (
	ProtocolOwn      = "own"
	ProtocolPlatform = "platform"
)

// Platform is what a host on the users' platform learns from its settings
// instead of from the tree.
type Platform struct {
	Domains []string `toml:"domains"` // the fleet's failure domains
	Bounds  []string `toml:"bounds"`  // "name=value", read by package platform
}

// TLS names the files for mutual TLS between hosts. Either Insecure is true or
// all three files are given.
type TLS struct {
	Certificate string `toml:"certificate"` // PEM file; one of its DNS names is the host id
	Key         string `toml:"key"`         // PEM file
	Authority   string `toml:"authority"`   // PEM file of the authorities that sign hosts' certificates
	Insecure    bool   `toml:"insecure"`    // plain TCP between hosts, any sender is believed
}

// Limits bound what a process accepts.
type Limits struct {
	Connections   int      `toml:"connections"`    // of callers; default 10000
	RequestHeader Size     `toml:"request_header"` // default 16KiB
	RequestBody   Size     `toml:"request_body"`   // default 4MiB
	AnswerHeader  Size     `toml:"answer_header"`  // default 16KiB
	ReadTimeout   Duration `toml:"read_timeout"`   // of a whole request; default 30s
	WriteTimeout  Duration `toml:"write_timeout"`  // of a whole answer; default 10m
	IdleTimeout   Duration `toml:"idle_timeout"`   // of a caller's connection; default 60s
	DialTimeout   Duration `toml:"dial_timeout"`   // of a connection to a backend server or peer; default 250ms
	PeerMessage   Size     `toml:"peer_message"`   // default 8MiB, which holds a handover
}

// Log says what is logged.
type Log struct {
	Level string `toml:"level"` // debug, info, warn or error; default info
}

func defaults() Settings {
	return Settings{
		Store: Store{Timeout: Duration(time.Second), Protocol: ProtocolOwn},
		Limits: Limits{
			Connections:   10000,
			RequestHeader: 16 * KiB,
			RequestBody:   4 * MiB,
			AnswerHeader:  16 * KiB,
			ReadTimeout:   Duration(30 * time.Second),
			WriteTimeout:  Duration(10 * time.Minute),
			IdleTimeout:   Duration(time.Minute),
			DialTimeout:   Duration(250 * time.Millisecond),
			PeerMessage:   8 * MiB,
		},
		Stop: Stop{BalancerDelay: Duration(5 * time.Second)},
		Log:  Log{Level: "info"},
	}
}
