// Package fgpeer carries the traffic between the VMs of a fleet over one port.
// Each connection begins with a handshake in which both peers prove that they
// know the fleet's secret, and then carries drpc or HTTP.
package fgpeer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
)

// Protocol selects what a connection carries after the handshake.
type Protocol byte

// The protocols of a connection.
const (
	ProtocolRPC  Protocol = 'd'
	ProtocolHTTP Protocol = 'h'
)

const (
	nonceBytes = 32
	// handshakeTimeout is the timeout of the handshake. It limits how long a
	// connection from outside the fleet can hold resources. It also bounds the time
	// in which the header of a forwarded HTTP request must arrive.
	handshakeTimeout = 5 * time.Second
)

// MinSecretBytes is the minimum length of a fleet secret.
const MinSecretBytes = 16

// ErrHandshake means that the peer did not prove that it knows the fleet's
// secret.
var ErrHandshake = merry.Sentinel("the peer did not prove that it knows the fleet secret")

// Secret authenticates the processes of a fleet to each other. It formats as a
// placeholder, so logs do not show the key.
type Secret struct {
	key []byte
}

// NewSecret returns a Secret for a key. It returns an error if the key has fewer
// than MinSecretBytes bytes.
func NewSecret(key []byte) (Secret, error) {
	if len(key) < MinSecretBytes {
		return Secret{}, fmt.Errorf("the fleet secret has %d bytes; accepted are %d or more", len(key), MinSecretBytes)
	}
	return Secret{key: key}, nil
}

// String returns a placeholder.
func (Secret) String() string { return "[fleet secret]" }

// proof returns the HMAC with which a peer proves that it knows the secret. The
// role is 's' for the accepting peer and 'c' for the dialing one, so that one
// proof can't be sent back as the other. The nonces of both peers prevent a
// replay.
func (s Secret) proof(role byte, protocol Protocol, clientNonce, serverNonce []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	_, _ = mac.Write([]byte{role, byte(protocol)})
	_, _ = mac.Write(clientNonce)
	_, _ = mac.Write(serverNonce)
	return mac.Sum(nil)
}

// dialHandshake performs the handshake as the dialing peer: it sends the protocol
// and a nonce, verifies the other peer's proof and sends its own.
func (s Secret) dialHandshake(c net.Conn, protocol Protocol) error {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	hello := make([]byte, 1+nonceBytes)
	hello[0] = byte(protocol)
	_, _ = rand.Read(hello[1:])
	if _, err := c.Write(hello); err != nil {
		return err
	}
	response := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(c, response); err != nil {
		return fmt.Errorf("%w: %w", ErrHandshake, err)
	}
	clientNonce, serverNonce := hello[1:], response[:nonceBytes]
	if !hmac.Equal(response[nonceBytes:], s.proof('s', protocol, clientNonce, serverNonce)) {
		return merry.Wrap(ErrHandshake)
	}
	if _, err := c.Write(s.proof('c', protocol, clientNonce, serverNonce)); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

// acceptHandshake performs the handshake as the accepting peer. It returns the
// protocol that the dialing peer has selected.
func (s Secret) acceptHandshake(c net.Conn) (Protocol, error) {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return 0, err
	}
	hello := make([]byte, 1+nonceBytes)
	if _, err := io.ReadFull(c, hello); err != nil {
		return 0, err
	}
	protocol, clientNonce := Protocol(hello[0]), hello[1:]
	serverNonce := make([]byte, nonceBytes)
	_, _ = rand.Read(serverNonce)
	if _, err := c.Write(append(serverNonce, s.proof('s', protocol, clientNonce, serverNonce)...)); err != nil {
		return 0, err
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(c, proof); err != nil {
		return 0, err
	}
	if !hmac.Equal(proof, s.proof('c', protocol, clientNonce, serverNonce)) {
		return 0, merry.Wrap(ErrHandshake)
	}
	return protocol, c.SetDeadline(time.Time{})
}
