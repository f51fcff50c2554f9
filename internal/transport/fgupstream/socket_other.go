//go:build !linux

package fgupstream

import "syscall"

// setUserTimeout does nothing: the option exists on Linux only. Elsewhere the
// keep-alive probes end a silent connection.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
