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

// ErrUnauthenticated says that a peer did not prove that it has the fleet key.
var ErrUnauthenticated = errs.New("peer does not have the fleet key")

// ErrNoCredentials says that neither TLS nor a key is configured.
var ErrNoCredentials = errs.New("neither TLS nor a fleet key is configured")

// The handshake opens each connection: the client sends the preamble and its
// nonce, the server its own nonce and proof, the client its proof, and the
// server one byte of acceptance. Each proof covers both nonces.
const (
	preamble     = "galenaseam/1"
	nonceBytes   = 32
	accepted     = byte(1)
	serverProofs = "galenaseam link server"
	clientProofs = "galenaseam link client"
)

// authenticator proves and checks that both ends of a connection belong to the
// same fleet.
type authenticator struct {
	tls     *tls.Config
	key     []byte
	timeout time.Duration
}

func (a authenticator) usable() error {
	if a.tls == nil && len(a.key) == 0 {
		return Error.Wrap(ErrNoCredentials)
	}
	return nil
}

// client runs the client's side and returns the connection to use.
func (a authenticator) client(conn net.Conn, serverName string) (net.Conn, error) {
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
	if err := a.clientProof(conn); err != nil {
		return nil, err
	}
	return conn, Error.Wrap(conn.SetDeadline(time.Time{}))
}

// server runs the server's side and returns the connection to use.
func (a authenticator) server(conn net.Conn) (net.Conn, error) {
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
	if err := a.serverProof(conn); err != nil {
		return nil, err
	}
	return conn, Error.Wrap(conn.SetDeadline(time.Time{}))
}

func (a authenticator) clientProof(conn net.Conn) error {
	ours := newNonce()
	if _, err := conn.Write(append([]byte(preamble), ours...)); err != nil {
		return Error.Wrap(err)
	}
	reply := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, reply); err != nil {
		return Error.Wrap(err)
	}
	theirs := reply[:nonceBytes]
	if !hmac.Equal(reply[nonceBytes:], a.proof(serverProofs, ours, theirs)) {
		return Error.Wrap(ErrUnauthenticated)
	}
	if _, err := conn.Write(a.proof(clientProofs, ours, theirs)); err != nil {
		return Error.Wrap(err)
	}
	verdict := make([]byte, 1)
	if _, err := io.ReadFull(conn, verdict); err != nil {
		return errs.Combine(Error.Wrap(ErrUnauthenticated), err)
	}
	if verdict[0] != accepted {
		return Error.Wrap(ErrUnauthenticated)
	}
	return nil
}

func (a authenticator) serverProof(conn net.Conn) error {
	hello := make([]byte, len(preamble)+nonceBytes)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return errs.Combine(Error.Wrap(ErrUnauthenticated), err)
	}
	if string(hello[:len(preamble)]) != preamble {
		return Error.Wrap(ErrUnauthenticated)
	}
	theirs := hello[len(preamble):]
	ours := newNonce()
	if _, err := conn.Write(append(ours, a.proof(serverProofs, theirs, ours)...)); err != nil {
		return Error.Wrap(err)
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return errs.Combine(Error.Wrap(ErrUnauthenticated), err)
	}
	if !hmac.Equal(proof, a.proof(clientProofs, theirs, ours)) {
		return Error.Wrap(ErrUnauthenticated)
	}
	_, err := conn.Write([]byte{accepted})
	return Error.Wrap(err)
}

func (a authenticator) proof(role string, clientNonce, serverNonce []byte) []byte {
	mac := hmac.New(sha256.New, a.key)
	mac.Write([]byte(role))
	mac.Write(clientNonce)
	mac.Write(serverNonce)
	return mac.Sum(nil)
}

// newNonce returns a fresh nonce with room for a proof behind it.
func newNonce() []byte {
	nonce := make([]byte, nonceBytes, nonceBytes+sha256.Size)
	_, _ = rand.Read(nonce) // never fails: crypto/rand ends the process instead
	return nonce
}
