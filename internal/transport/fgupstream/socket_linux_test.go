package fgupstream

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// readUserTimeout returns the TCP_USER_TIMEOUT of a connection.
func readUserTimeout(t *testing.T, c *net.TCPConn) time.Duration {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var millis int
	if err := raw.Control(func(fd uintptr) { millis, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }); err != nil {
		t.Fatal(err)
	}
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(millis) * time.Millisecond
}

// Guards against a connection that stays open although the peer acknowledges no
// data: TCP_USER_TIMEOUT must be set.
func TestUserTimeout(t *testing.T) {
	s := newScriptedServer(t, func(net.Conn) {})
	client := New(Options{})
	defer client.Close()
	c, err := client.transport.DialContext(t.Context(), "tcp", s.address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if got := readUserTimeout(t, c.(*conn).Conn.Conn.(*net.TCPConn)); got != 3*time.Second {
		t.Errorf("TCP_USER_TIMEOUT = %v, want 3s", got)
	}
}
