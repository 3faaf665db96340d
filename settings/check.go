package settings

import (
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"
)

// checkFailure is a setting that failed a check.
type checkFailure struct {
	// key is the path of the setting, such as "listen.http".
	key     string
	message string
}

// checker runs the checks and collects those that failed.
type checker struct {
	failures []checkFailure
}

// add records a failed check.
func (c *checker) add(key, message string) {
	c.failures = append(c.failures, checkFailure{key: key, message: message})
}

// check validates every section of the settings, and settings that depend on each
// other. It returns the checks that failed.
func check(s Settings) []checkFailure {
	c := &checker{}
	c.host(s.Host)
	c.listen(s.Listen)
	c.platform(s.Platform)
	c.fleet(s.Fleet)
	c.tls(s.TLS)
	c.limits(s.Limits)
	c.drain(s.Drain)
	c.claims(s.Claims)
	c.operator(s)
	c.log(s.Log)
	return c.failures
}

func (c *checker) host(h Host) {
	c.required("host.data_centre", h.DataCentre)
	c.required("host.region", h.Region)
}

func (c *checker) listen(l Listen) {
	c.addr("listen.http", l.HTTP)
	c.addr("listen.link", l.Link)
	c.addr("listen.operator", l.Operator)
	if l.HTTP != "" && l.HTTP == l.Operator && !strings.HasSuffix(l.HTTP, ":0") {
		c.add("listen.operator", "must not be the same address as listen.http")
	}
}

func (c *checker) platform(p Platform) {
	if len(p.Store) == 0 {
		c.add("platform.store", "must name at least one base URL")
	}
	for _, base := range p.Store {
		c.baseURL("platform.store", base)
	}
	c.required("platform.host_list", p.HostList)
	c.baseURL("platform.host_list", p.HostList)
	c.baseURL("platform.weights", p.Weights)
	c.between("platform.store_timeout", p.StoreTimeout, 10*time.Millisecond, time.Minute)
	c.between("platform.host_list_every", p.HostListInterval, 100*time.Millisecond, time.Minute)
}

func (c *checker) fleet(f Fleet) {
	c.required("fleet.key_file", f.KeyFile)
	for _, seed := range f.Seeds {
		c.addr("fleet.seeds", seed)
	}
}

func (c *checker) tls(t TLS) {
	c.keyPair("tls.callers", t.Callers)
	c.keyPair("tls.links", t.Links)
	if t.Links.IsSet() && t.Links.CAFile == "" {
		c.add("tls.links.ca_file", "is needed, since hosts check each other's certificates")
	}
}

func (c *checker) keyPair(key string, k KeyPair) {
	if (k.CertFile == "") != (k.KeyFile == "") {
		c.add(key, "needs cert_file and key_file together")
	}
}

func (c *checker) limits(l Limits) {
	c.positive("limits.max_body_bytes", l.MaxBodyBytes)
	c.positive("limits.max_header_bytes", l.MaxHeaderBytes)
	c.positive("limits.max_connections", l.MaxConnections)
	c.between("limits.read_header_timeout", l.ReadHeaderTimeout, 100*time.Millisecond, time.Minute)
	c.between("limits.read_timeout", l.ReadTimeout, time.Second, 10*time.Minute)
	c.between("limits.idle_timeout", l.IdleTimeout, time.Second, time.Hour)
}

func (c *checker) drain(d Drain) {
	c.between("drain.delay", d.Delay, 0, time.Minute)
	c.between("drain.timeout", d.Timeout, time.Second, time.Hour)
}

func (c *checker) claims(k Claims) {
	const maxShards = 4096
	if k.Shards < 1 || k.Shards > maxShards {
		c.add("claims.shards", "must be from 1 to 4096")
	}
	c.between("claims.retention", k.Retention, time.Minute, 31*24*time.Hour)
	c.between("claims.batch_window", k.BatchWindow, 0, time.Second)
	c.between("claims.timeout", k.Timeout, 50*time.Millisecond, time.Minute)
}

func (c *checker) operator(s Settings) {
	if s.Operator.TokenFile == "" && !isLoopback(s.Listen.Operator) {
		c.add("operator.token_file", "is needed, since listen.operator is not on loopback")
	}
}

func (c *checker) log(l Log) {
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, l.Level) {
		c.add("log.level", "must be debug, info, warn or error")
	}
}

func (c *checker) required(key, value string) {
	if value == "" {
		c.add(key, "must be set")
	}
}

func (c *checker) positive(key string, value int) {
	if value <= 0 {
		c.add(key, "must be over 0")
	}
}

func (c *checker) between(key string, value Duration, low, high time.Duration) {
	if value.Std() < low || value.Std() > high {
		c.add(key, "must be from "+low.String()+" to "+high.String())
	}
}

func (c *checker) addr(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(key, "must be an IP number and a port, such as 10.0.0.1:8080")
	}
}

func (c *checker) baseURL(key, value string) {
	if value == "" {
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.add(key, "must be an http or https URL")
	}
}
