//go:build !linux

package fgupstream

import "net"

// setUserTimeout does nothing: the option exists on Linux only. Elsewhere the
// keep-alive probes end a silent connection.
func setUserTimeout(*net.TCPConn) error { return nil }
