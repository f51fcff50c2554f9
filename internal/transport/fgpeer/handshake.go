// Package fgpeer carries the traffic between the VMs of a fleet over one port.
// Each connection begins with a mutual proof that both ends know the fleet's
// secret, after which it speaks drpc or HTTP.
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
	// handshakeTimeout bounds the handshake, so that an idle connection from
	// outside the fleet holds no resources.
	handshakeTimeout = 5 * time.Second
)

// MinSecretBytes is the shortest fleet secret that is accepted.
const MinSecretBytes = 16

// ErrHandshake means that the other end does not know the fleet's secret.
var ErrHandshake = merry.Sentinel("the peer does not prove knowledge of the fleet secret")

// Secret authenticates the processes of a fleet to each other. It is not
// printed when formatted.
type Secret struct {
	key []byte
}

// NewSecret checks and wraps a fleet secret.
func NewSecret(key []byte) (Secret, error) {
	if len(key) < MinSecretBytes {
		return Secret{}, fmt.Errorf("the fleet secret has %d bytes; accepted are %d or more", len(key), MinSecretBytes)
	}
	return Secret{key: key}, nil
}

// String hides the secret.
func (Secret) String() string { return "[fleet secret]" }

func (s Secret) proof(role byte, protocol Protocol, client, server []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	_, _ = mac.Write([]byte{role, byte(protocol)})
	_, _ = mac.Write(client)
	_, _ = mac.Write(server)
	return mac.Sum(nil)
}

// dialHandshake proves the secret as the connecting end.
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
	answer := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(c, answer); err != nil {
		return fmt.Errorf("%w: %w", ErrHandshake, err)
	}
	client, server := hello[1:], answer[:nonceBytes]
	if !hmac.Equal(answer[nonceBytes:], s.proof('s', protocol, client, server)) {
		return merry.Wrap(ErrHandshake)
	}
	if _, err := c.Write(s.proof('c', protocol, client, server)); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

// acceptHandshake checks the secret as the listening end.
func (s Secret) acceptHandshake(c net.Conn) (Protocol, error) {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return 0, err
	}
	hello := make([]byte, 1+nonceBytes)
	if _, err := io.ReadFull(c, hello); err != nil {
		return 0, err
	}
	protocol, client := Protocol(hello[0]), hello[1:]
	server := make([]byte, nonceBytes)
	_, _ = rand.Read(server)
	if _, err := c.Write(append(server, s.proof('s', protocol, client, server)...)); err != nil {
		return 0, err
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(c, proof); err != nil {
		return 0, err
	}
	if !hmac.Equal(proof, s.proof('c', protocol, client, server)) {
		return 0, merry.Wrap(ErrHandshake)
	}
	return protocol, c.SetDeadline(time.Time{})
}
