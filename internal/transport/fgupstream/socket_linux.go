package fgupstream

import (
	"net"

	"golang.org/x/sys/unix"
)

// setUserTimeout makes the kernel close a connection on which sent data or
// keep-alive probes stay unacknowledged for userTimeout.
func setUserTimeout(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var sockoptErr error
	err = raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
