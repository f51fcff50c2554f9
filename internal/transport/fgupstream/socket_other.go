//go:build !linux

package fgupstream

import "net"

// setUserTimeout does nothing, because TCP_USER_TIMEOUT exists on Linux only.
// Elsewhere, keep-alive probes detect an unresponsive peer.
func setUserTimeout(*net.TCPConn) error { return nil }
