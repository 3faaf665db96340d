package link

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTLS returns the TLS configuration of a host with a new self-signed
// certificate, which is the only one that it trusts.
func newTLS(t *testing.T) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "host"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		IsCA:         true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	leaf, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	trusted := x509.NewCertPool()
	trusted.AddCert(leaf)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      trusted, ClientCAs: trusted,
		MinVersion: tls.VersionTLS13,
	}
}

func TestMutualTLS(t *testing.T) {
	config := newTLS(t)
	server := startServer(t, echoMux(), ServerConfig{TLS: config})
	call := func(c ClientConfig) error {
		client := NewClient(c)
		defer client.Close()
		return client.Call(context.Background(), server.addr, "test.Echo", echo{}, &echo{})
	}
	require.NoError(t, call(ClientConfig{TLS: config}))
	require.ErrorIs(t, call(ClientConfig{TLS: newTLS(t)}), ErrNotSent)
	require.ErrorIs(t, call(ClientConfig{TLS: &tls.Config{RootCAs: config.RootCAs}}), ErrNotSent)
	require.ErrorIs(t, call(ClientConfig{Key: fleetKey}), ErrNotSent)
}
