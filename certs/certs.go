// Package certs provides TLS configurations with certificates from files, and
// reloads the files when they change, without a restart.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of every error this package returns.
var Error = errs.Class("certs")

// minCheckInterval is the minimum time between two checks whether the files
// changed.
const minCheckInterval = time.Second

// Files holds the paths of a certificate's PEM files.
type Files struct {
	Cert string
	Key  string
	// CA is the bundle of authorities that must have issued a peer's
	// certificate. If it is empty, a server asks clients for no certificate.
	CA string
}

// snapshot is the content of the files at their last successful read.
type snapshot struct {
	cert  tls.Certificate
	roots *x509.CertPool
	// newest is the latest modification time among the files.
	newest time.Time
}

// Source provides the certificate from its files and reloads it after a change.
// If reloading fails, the error is logged and the previous certificate stays in
// use. It is safe for concurrent use.
type Source struct {
	files   Files
	logger  *slog.Logger
	now     func() time.Time
	current atomic.Pointer[snapshot]

	checkMu sync.Mutex // guards checked
	checked time.Time
}

// Load reads the files and returns a Source that reloads them when they change.
// It fails if a file can't be read or holds no valid certificate or key.
func Load(files Files, logger *slog.Logger) (*Source, error) {
	s := &Source{files: files, logger: logger, now: time.Now}
	first, err := s.read()
	if err != nil {
		return nil, err
	}
	s.current.Store(first)
	s.checked = s.now()
	return s, nil
}

// read reads and parses all files.
func (s *Source) read() (*snapshot, error) {
	newest, err := s.newestModTime()
	if err != nil {
		return nil, err
	}
	cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	result := &snapshot{cert: cert, newest: newest}
	if s.files.CA == "" {
		return result, nil
	}
	caPEM, err := os.ReadFile(s.files.CA)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	result.roots = x509.NewCertPool()
	if !result.roots.AppendCertsFromPEM(caPEM) {
		return nil, Error.New("%s holds no certificate", s.files.CA)
	}
	return result, nil
}

// newestModTime returns the latest modification time among the files.
func (s *Source) newestModTime() (time.Time, error) {
	var newest time.Time
	for _, path := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return time.Time{}, Error.Wrap(err)
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

// latest returns the current certificate. If the last check of the files is at
// least minCheckInterval ago, it first checks their modification times and
// reloads them if these changed.
func (s *Source) latest() *snapshot {
	s.checkMu.Lock()
	defer s.checkMu.Unlock()
	now := s.now()
	current := s.current.Load()
	if now.Sub(s.checked) < minCheckInterval {
		return current
	}
	s.checked = now
	newest, err := s.newestModTime()
	if err == nil && newest.Equal(current.newest) {
		return current
	}
	next, err := s.read()
	if err != nil {
		s.logger.Error("certificate not reloaded", "error", err.Error())
		return current
	}
	s.logger.Info("certificate reloaded", "file", s.files.Cert)
	s.current.Store(next)
	return next
}

// ServerConfig returns the TLS configuration of a server. With a CA, clients must
// present a certificate that it issued.
func (s *Source) ServerConfig() *tls.Config {
	config := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &s.latest().cert, nil },
	}
	if s.files.CA != "" {
		config.ClientAuth = tls.RequireAnyClientCert
		config.VerifyConnection = func(state tls.ConnectionState) error {
			return s.verify(state, x509.ExtKeyUsageClientAuth)
		}
	}
	return config
}

// ClientConfig returns the TLS configuration of a client that presents the
// certificate and accepts servers whose certificate was issued by the CA. The
// server's name is not verified: hosts change their addresses, and any holder
// of a certificate from the CA is a host.
func (s *Source) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// This disables the check of the server's name and chain;
		// VerifyConnection checks the chain.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.latest().cert, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verify(state, x509.ExtKeyUsageServerAuth)
		},
	}
}

// verify checks a peer's certificate chain against the current CA bundle.
func (s *Source) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return Error.New("the peer showed no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         s.latest().roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return Error.Wrap(err)
}
