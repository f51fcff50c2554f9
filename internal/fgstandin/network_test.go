package fgstandin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

var (
	hostA = netip.MustParseAddr("10.0.0.1")
	hostB = netip.MustParseAddr("10.0.0.2")
)

// Guards against a network over which net/http does not work, or which delays
// data wrongly.
func TestHTTPOverNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Network{}
		n.SetDelay(func(_, _ netip.Addr) time.Duration { return 55 * time.Millisecond })
		l, err := n.Host(hostB).Listen("tcp", "10.0.0.2:80")
		if err != nil {
			t.Fatal(err)
		}
		s := &http.Server{Handler: &Upstream{}}
		go func() { _ = s.Serve(l) }()
		defer func() { _ = s.Close() }()
		transport := &http.Transport{DialContext: n.Host(hostA).DialContext}
		defer transport.CloseIdleConnections()
		start := time.Now()
		res, err := (&http.Client{Transport: transport}).Get("http://10.0.0.2:80/x")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		// Opening the connection takes one round trip and the request another.
		if took := time.Since(start); took != 220*time.Millisecond {
			t.Errorf("took %s, want 220ms", took)
		}
	})
}

// Guards against faults that do not show as on a real network: a refused
// connection, a partition, a silent connection, a closed host.
func TestNetworkFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Network{}
		if _, err := n.Host(hostA).DialContext(t.Context(), "tcp", "10.0.0.2:80"); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("dial without a listener: %v", err)
		}
		l, err := n.Host(hostB).Listen("tcp", "10.0.0.2:80")
		if err != nil {
			t.Fatal(err)
		}
		n.SetPartitioned(hostA, hostB, true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := n.Host(hostA).DialContext(ctx, "tcp", "10.0.0.2:80"); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("dial over a partitioned link: %v", err)
		}
		n.SetPartitioned(hostA, hostB, false)
		c, err := n.Host(hostA).DialContext(t.Context(), "tcp", "10.0.0.2:80")
		if err != nil {
			t.Fatal(err)
		}
		n.SilenceConns(hostA, hostB)
		peer, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte("x")); err != nil {
			t.Errorf("write to a silent connection: %v", err)
		}
		_ = peer.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := peer.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("read from a silent connection: %v", err)
		}
		n.CloseHost(hostA)
		if _, err := c.Write([]byte("x")); err == nil {
			t.Error("write from a closed host succeeded")
		}
	})
}

// Guards against a reset that delivers what a partition holds back, and a normal close
// that does not: TCP drops the first and sends the second again.
func TestResetDropsHeldData(t *testing.T) {
	tests := []struct {
		linger int
		want   string
		err    error
	}{{0, "", syscall.ECONNRESET}, {-1, "held", nil}}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			n := &Network{}
			l, err := n.Host(hostB).Listen("tcp", "10.0.0.2:80")
			if err != nil {
				t.Fatal(err)
			}
			c, err := n.Host(hostA).DialContext(t.Context(), "tcp", "10.0.0.2:80")
			if err != nil {
				t.Fatal(err)
			}
			peer, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			n.SetPartitioned(hostA, hostB, true)
			if _, err := io.WriteString(c, "held"); err != nil {
				t.Fatal(err)
			}
			mc := c.(*memoryConn)
			if unacknowledged, err := mc.Unacknowledged(); unacknowledged != 4 || err != nil {
				t.Errorf("%d bytes are unacknowledged, %v; want 4", unacknowledged, err)
			}
			_ = mc.SetLinger(tt.linger)
			_ = c.Close()
			n.SetPartitioned(hostA, hostB, false)
			if got, err := io.ReadAll(peer); string(got) != tt.want || !errors.Is(err, tt.err) {
				t.Errorf("linger %d: got %q, %v; want %q, %v", tt.linger, got, err, tt.want, tt.err)
			}
			n.CloseHost(hostB)
		})
	}
}
