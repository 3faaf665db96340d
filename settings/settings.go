// Package settings reads and validates the settings of one host process: its
// addresses and location, the platform's addresses, key files and limits. What
// the whole fleet shares is in the operators' document (package document).
package settings

import (
	"net/netip"
	"time"

	"github.com/galenaseam/galenaseam/internal/strictyaml"
)

// Settings holds the settings of one host process. Parse and Load return them
// validated.
type Settings struct {
	Host     Host     `yaml:"host"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	Fleet    Fleet    `yaml:"fleet"`
	TLS      TLS      `yaml:"tls"`
	Limits   Limits   `yaml:"limits"`
	Drain    Drain    `yaml:"drain"`
	Claims   Claims   `yaml:"claims"`
	Operator Operator `yaml:"operator"`
	Log      Log      `yaml:"log"`
}

// Host identifies the host and its location.
type Host struct {
	// ID is the name of the process; if empty, a new one is generated at every
	// start.
	ID         string `yaml:"id"`
	DataCentre string `yaml:"data_centre"`
	Region     string `yaml:"region"`
}

// Listen holds the addresses the process listens on, as IP address and port.
type Listen struct {
	HTTP     string `yaml:"http"`
	Link     string `yaml:"link"`
	Operator string `yaml:"operator"`
}

// Platform holds the URLs of the platform's services and how to call them.
type Platform struct {
	Store    []string `yaml:"store"`
	HostList string   `yaml:"host_list"`
	Weights  string   `yaml:"weights"`
	// StoreTimeout limits one call of the key-value service.
	StoreTimeout Duration `yaml:"store_timeout"`
	// HostListInterval is the interval at which the host list is read.
	HostListInterval Duration `yaml:"host_list_every"`
}

// Fleet configures how hosts find and authenticate each other.
type Fleet struct {
	// KeyFile is the path of the key that authenticates hosts to each other.
	KeyFile string `yaml:"key_file"`
	// Seeds are link addresses of other hosts to contact first, in addition to
	// those from the host list.
	Seeds []string `yaml:"seeds"`
}

// TLS holds the certificates for connections from callers and between hosts.
// Connections whose key pair is empty are not encrypted.
type TLS struct {
	Callers KeyPair `yaml:"callers"`
	Links   KeyPair `yaml:"links"`
}

// KeyPair holds the paths of a certificate, its private key, and the CA that
// must have issued peers' certificates.
type KeyPair struct {
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`
	CAFile   string `yaml:"ca_file"`
}

// IsSet reports whether a certificate is configured.
func (k KeyPair) IsSet() bool { return k.CertFile != "" }

// Limits bounds the resources that callers' connections and requests may use.
type Limits struct {
	MaxBodyBytes      int      `yaml:"max_body_bytes"`
	MaxHeaderBytes    int      `yaml:"max_header_bytes"`
	MaxConnections    int      `yaml:"max_connections"`
	ReadHeaderTimeout Duration `yaml:"read_header_timeout"`
	ReadTimeout       Duration `yaml:"read_timeout"`
	IdleTimeout       Duration `yaml:"idle_timeout"`
}

// Drain configures the graceful shutdown.
type Drain struct {
	// Delay is how long the host still accepts new requests after it starts to
	// report that it is not ready, so that the load balancer has time to stop
	// sending them.
	Delay Duration `yaml:"delay"`
	// Timeout limits the wait for requests in flight.
	Timeout Duration `yaml:"timeout"`
}

// Claims configures the records of calls that may run only once. Shards and
// Retention must be the same on all hosts.
type Claims struct {
	// Shards is the number of logs that the idempotency keys are distributed
	// over.
	Shards int `yaml:"shards"`
	// Retention is how long an idempotency key that contains a time is remembered;
	// other keys are never forgotten.
	Retention Duration `yaml:"retention"`
	// BatchWindow is the minimum time between two writes of one shard.
	BatchWindow Duration `yaml:"batch_window"`
	// Timeout limits how long a host tries to claim a request.
	Timeout Duration `yaml:"timeout"`
}

// Operator configures the operators' interface.
type Operator struct {
	// TokenFile is the path of the token that operators must send. If it is
	// empty, the interface needs no authentication, which is allowed only on a
	// loopback address.
	TokenFile string `yaml:"token_file"`
}

// Log configures the process's log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
}

// Duration is a time.Duration that is written as text with units, such as
// "250ms".
type Duration = strictyaml.Duration

// Default returns the default settings, over which Parse decodes the file.
func Default() Settings {
	return Settings{
		Platform: Platform{
			StoreTimeout:     Duration(time.Second),
			HostListInterval: Duration(time.Second),
		},
		Limits: Limits{
			MaxBodyBytes:      1 << 20,
			MaxHeaderBytes:    32 << 10,
			MaxConnections:    10_000,
			ReadHeaderTimeout: Duration(5 * time.Second),
			ReadTimeout:       Duration(30 * time.Second),
			IdleTimeout:       Duration(2 * time.Minute),
		},
		Drain: Drain{
			Delay:   Duration(3 * time.Second),
			Timeout: Duration(2 * time.Minute),
		},
		Claims: Claims{
			Shards:      16,
			Retention:   Duration(24 * time.Hour),
			BatchWindow: Duration(60 * time.Millisecond),
			Timeout:     Duration(3 * time.Second),
		},
		Log: Log{Level: "info"},
	}
}

// isLoopback reports whether an address accepts connections from this machine
// only.
func isLoopback(addr string) bool {
	parsed, err := netip.ParseAddrPort(addr)
	return err == nil && parsed.Addr().IsLoopback()
}
