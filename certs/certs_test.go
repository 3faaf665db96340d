package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func template(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "host"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	tmpl := template(1)
	tmpl.IsCA, tmpl.BasicConstraintsValid, tmpl.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue issues a certificate with the given serial number and writes it, its
// key and the CA certificate to dir.
func (a *authority) issue(t *testing.T, dir string, serial int64) Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	der, err := x509.CreateCertificate(rand.Reader, template(serial), a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	files := Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	require.NoError(t, os.WriteFile(files.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600))
	require.NoError(t, os.WriteFile(files.CA, a.pem, 0o600))
	return files
}

func load(t *testing.T, files Files) *Source {
	s, err := Load(files, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	return s
}

// connect makes one TLS connection and returns the serial number of the server's
// certificate.
func connect(t *testing.T, server, client *tls.Config) (int64, error) {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	require.NoError(t, err)
	defer listener.Close()
	served := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			served <- err
			return
		}
		defer conn.Close()
		served <- conn.(*tls.Conn).Handshake()
	}()
	dialer := &net.Dialer{Timeout: 5 * time.Second}
	conn, err := tls.DialWithDialer(dialer, "tcp", listener.Addr().String(), client)
	if err != nil {
		return 0, errors.Join(err, <-served)
	}
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), <-served
}

// A connection needs certificates of the same CA on both sides: a client with
// one from another CA, or with none, must fail.
func TestConnectionNeedsCertificatesOfTheSameCA(t *testing.T) {
	fleet, other := newAuthority(t), newAuthority(t)
	server := load(t, fleet.issue(t, t.TempDir(), 10))
	client := load(t, fleet.issue(t, t.TempDir(), 11))
	stranger := load(t, other.issue(t, t.TempDir(), 12))
	_, err := connect(t, server.ServerConfig(), client.ClientConfig())
	require.NoError(t, err)
	_, err = connect(t, server.ServerConfig(), stranger.ClientConfig())
	require.Error(t, err)
	_, err = connect(t, server.ServerConfig(), &tls.Config{InsecureSkipVerify: true})
	require.Error(t, err, "a client without a certificate was let in")
}

// New files must be served without a restart, and a file that can't be parsed,
// as when it is read half written, must leave the previous certificate in use.
func TestChangedFilesAreReloadedWithoutRestart(t *testing.T) {
	fleet := newAuthority(t)
	dir := t.TempDir()
	server := load(t, fleet.issue(t, dir, 20))
	client := load(t, fleet.issue(t, t.TempDir(), 11))
	now := time.Now()
	server.now = func() time.Time { return now }
	files := fleet.issue(t, dir, 21)
	later := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(files.Cert, later, later))
	now = now.Add(2 * minCheckInterval)
	serial, err := connect(t, server.ServerConfig(), client.ClientConfig())
	require.NoError(t, err)
	require.EqualValues(t, 21, serial)

	require.NoError(t, os.WriteFile(files.Key, []byte("half written"), 0o600))
	now = now.Add(2 * minCheckInterval)
	serial, err = connect(t, server.ServerConfig(), client.ClientConfig())
	require.NoError(t, err, "a file that can't be read must not end service")
	require.EqualValues(t, 21, serial)
}
