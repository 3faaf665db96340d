package link

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/zeebo/errs"
)

// ErrUnauthenticated means that a peer did not prove that it has the fleet key,
// or that the TLS handshake failed on the server.
var ErrUnauthenticated = errs.New("peer does not have the fleet key")

// ErrNoCredentials means that neither TLS nor a key is configured.
var ErrNoCredentials = errs.New("neither TLS nor a fleet key is configured")

// Each connection starts with a handshake: the client sends the preamble and its
// nonce, the server its own nonce and its proof, the client its proof, and the
// server an accept byte. A proof is an HMAC over the sender's label and both
// nonces.
const (
	preamble         = "galenaseam/1"
	nonceBytes       = 32
	acceptByte       = byte(1)
	serverProofLabel = "galenaseam link server"
	clientProofLabel = "galenaseam link client"
)

// authenticator runs the handshake, which proves that both ends of a connection
// belong to the same fleet.
type authenticator struct {
	tls     *tls.Config
	key     []byte
	timeout time.Duration
}

func (a authenticator) checkCredentials() error {
	if a.tls == nil && len(a.key) == 0 {
		return Error.Wrap(ErrNoCredentials)
	}
	return nil
}

// clientHandshake runs the client side of the handshake, over TLS if configured,
// and returns the connection to use.
func (a authenticator) clientHandshake(conn net.Conn, serverName string) (net.Conn, error) {
	if err := conn.SetDeadline(time.Now().Add(a.timeout)); err != nil {
		return nil, Error.Wrap(err)
	}
	if a.tls != nil {
		config := a.tls.Clone()
		if config.ServerName == "" {
			config.ServerName = serverName
		}
		secure := tls.Client(conn, config)
		if err := secure.Handshake(); err != nil {
			return nil, Error.Wrap(err)
		}
		conn = secure
	}
	if err := a.authenticateAsClient(conn); err != nil {
		return nil, err
	}
	return conn, Error.Wrap(conn.SetDeadline(time.Time{}))
}

// serverHandshake runs the server side of the handshake, over TLS if configured,
// and returns the connection to use.
func (a authenticator) serverHandshake(conn net.Conn) (net.Conn, error) {
	if err := conn.SetDeadline(time.Now().Add(a.timeout)); err != nil {
		return nil, Error.Wrap(err)
	}
	if a.tls != nil {
		config := a.tls.Clone()
		config.ClientAuth = tls.RequireAndVerifyClientCert
		secure := tls.Server(conn, config)
		if err := secure.Handshake(); err != nil {
			return nil, errs.Combine(Error.Wrap(ErrUnauthenticated), err)
		}
		conn = secure
	}
	if err := a.authenticateAsServer(conn); err != nil {
		return nil, err
	}
	return conn, Error.Wrap(conn.SetDeadline(time.Time{}))
}

func (a authenticator) authenticateAsClient(conn net.Conn) error {
	ours := newNonce()
	if _, err := conn.Write(append([]byte(preamble), ours...)); err != nil {
		return Error.Wrap(err)
	}
	reply := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, reply); err != nil {
		return Error.Wrap(err)
	}
	theirs := reply[:nonceBytes]
	if !hmac.Equal(reply[nonceBytes:], a.proof(serverProofLabel, ours, theirs)) {
		return Error.Wrap(ErrUnauthenticated)
	}
	if _, err := conn.Write(a.proof(clientProofLabel, ours, theirs)); err != nil {
		return Error.Wrap(err)
	}
	acceptance := make([]byte, 1)
	if _, err := io.ReadFull(conn, acceptance); err != nil {
		return errs.Combine(Error.Wrap(ErrUnauthenticated), err)
	}
	if acceptance[0] != acceptByte {
		return Error.Wrap(ErrUnauthenticated)
	}
	return nil
}

func (a authenticator) authenticateAsServer(conn net.Conn) error {
	hello := make([]byte, len(preamble)+nonceBytes)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return errs.Combine(Error.Wrap(ErrUnauthenticated), err)
	}
	if string(hello[:len(preamble)]) != preamble {
		return Error.Wrap(ErrUnauthenticated)
	}
	theirs := hello[len(preamble):]
	ours := newNonce()
	if _, err := conn.Write(append(ours, a.proof(serverProofLabel, theirs, ours)...)); err != nil {
		return Error.Wrap(err)
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return errs.Combine(Error.Wrap(ErrUnauthenticated), err)
	}
	if !hmac.Equal(proof, a.proof(clientProofLabel, theirs, ours)) {
		return Error.Wrap(ErrUnauthenticated)
	}
	_, err := conn.Write([]byte{acceptByte})
	return Error.Wrap(err)
}

func (a authenticator) proof(label string, clientNonce, serverNonce []byte) []byte {
	mac := hmac.New(sha256.New, a.key)
	mac.Write([]byte(label))
	mac.Write(clientNonce)
	mac.Write(serverNonce)
	return mac.Sum(nil)
}

// newNonce returns a random nonce with capacity for a proof to be appended.
func newNonce() []byte {
	nonce := make([]byte, nonceBytes, nonceBytes+sha256.Size)
	_, _ = rand.Read(nonce) // never fails: crypto/rand ends the process instead
	return nonce
}
