// Package settings is the settings of one process: its own addresses and
// place, the platform's addresses, keys, and limits. What the fleet does is in
// the operators' document, not here.
package settings

import (
	"net/netip"
	"time"

	"github.com/galenaseam/galenaseam/internal/strictyaml"
)

// Settings is the settings of one host's process. Parse returns it checked.
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

// Host says which host this is and where it stands.
type Host struct {
	// ID names the process; empty makes a new one at each start.
	ID         string `yaml:"id"`
	DataCentre string `yaml:"data_centre"`
	Region     string `yaml:"region"`
}

// Listen is the addresses the process listens at, by IP number and port.
type Listen struct {
	HTTP     string `yaml:"http"`
	Link     string `yaml:"link"`
	Operator string `yaml:"operator"`
}

// Platform is where the platform's services are, as base URLs.
type Platform struct {
	Store    []string `yaml:"store"`
	HostList string   `yaml:"host_list"`
	Weights  string   `yaml:"weights"`
	// StoreTimeout bounds one call of the key-value service.
	StoreTimeout Duration `yaml:"store_timeout"`
	// HostListEvery is how often the host list is read.
	HostListEvery Duration `yaml:"host_list_every"`
}

// Fleet is how the hosts know each other.
type Fleet struct {
	// KeyFile holds the key that authenticates hosts to each other.
	KeyFile string `yaml:"key_file"`
	// Seeds are link addresses of other hosts, beside the host list's.
	Seeds []string `yaml:"seeds"`
}

// TLS is the certificates; all empty means plain connections.
type TLS struct {
	Callers KeyPair `yaml:"callers"`
	Links   KeyPair `yaml:"links"`
}

// KeyPair is one certificate, its key, and the authority that peers must have.
type KeyPair struct {
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`
	CAFile   string `yaml:"ca_file"`
}

// IsSet says whether the key pair is to be used.
func (k KeyPair) IsSet() bool { return k.CertFile != "" }

// Limits bounds what callers may hold.
type Limits struct {
	MaxBodyBytes      int      `yaml:"max_body_bytes"`
	MaxHeaderBytes    int      `yaml:"max_header_bytes"`
	MaxConnections    int      `yaml:"max_connections"`
	ReadHeaderTimeout Duration `yaml:"read_header_timeout"`
	ReadTimeout       Duration `yaml:"read_timeout"`
	IdleTimeout       Duration `yaml:"idle_timeout"`
}

// Drain is how a host shuts down.
type Drain struct {
	// Delay is how long the host still takes new work after it says that it is
	// not ready, so that the balancer can look away.
	Delay Duration `yaml:"delay"`
	// Timeout bounds the wait for requests in flight.
	Timeout Duration `yaml:"timeout"`
}

// Claims is how calls that may run only once are recorded. Shards and
// Retention must be alike on all hosts.
type Claims struct {
	Shards      int      `yaml:"shards"`
	Retention   Duration `yaml:"retention"`
	BatchWindow Duration `yaml:"batch_window"`
	Timeout     Duration `yaml:"timeout"`
}

// Operator is the operators' interface.
type Operator struct {
	// TokenFile holds the token that operators present; empty leaves the
	// interface open, which is allowed on loopback only.
	TokenFile string `yaml:"token_file"`
}

// Log is the process log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
}

// Duration is a time.Duration written as text with its unit.
type Duration = strictyaml.Duration

// Default returns the settings that Parse starts from.
func Default() Settings {
	return Settings{
		Platform: Platform{
			StoreTimeout:  Duration(time.Second),
			HostListEvery: Duration(time.Second),
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

// isLoopback says whether an address listens on this machine alone.
func isLoopback(addr string) bool {
	parsed, err := netip.ParseAddrPort(addr)
	return err == nil && parsed.Addr().IsLoopback()
}
