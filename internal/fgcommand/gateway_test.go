package fgcommand

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/filbertgap/filbertgap/internal/fggateway"
	fgadapter "github.com/filbertgap/filbertgap/platform"
)

const gatewaySettingsFile = `
local_node: {node_name: vm-1, ip: 127.0.0.1, zone: az-1, region: east}
network: {listen: {front: "127.0.0.1:1", ready: "127.0.0.1:2", directory: "127.0.0.1:3"}, port_range: [4, 5], zones: {az-1: east}}
platform: {platform: {address: "127.0.0.1:6"}}
terms: {bounds: {grace: GRACE, ttl_max: 5s}}
`

// syncBuffer is a log buffer that is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) contains(s string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.text.String(), s)
}

// Guards against a gateway that SIGHUP terminates, that does not reload changed
// settings, or that applies invalid ones.
func TestReloadSettingsOnSIGHUP(t *testing.T) {
	// Keeps SIGHUP from terminating the test before watchSettings handles it.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	path := filepath.Join(t.TempDir(), "node.yaml")
	write := func(grace string) {
		if err := os.WriteFile(path, []byte(strings.Replace(gatewaySettingsFile, "GRACE", grace, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("1s")
	s, err := fgadapter.ReadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	logs := &syncBuffer{}
	logger := newLogger(logs)
	g := fggateway.New(fggateway.Options{
		Settings: gatewaySettings(s), Feed: fgadapter.NewStore(s.StoreAddress), Codec: fgadapter.Codec{}, EncodeMember: fgadapter.Codec{}.EncodeMember,
		Dialect: fgadapter.Dialect{}, Logger: logger,
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- watchSettings(ctx, path, g, logger, hangups) }()
	sendHangupUntil := func(line string) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !logs.contains(line); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("no log line contains %s", line)
			}
			if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		}
	}
	write("7s")
	sendHangupUntil(`"Grace":7000000000`)
	write("soon")
	sendHangupUntil(`"msg":"settings not reloaded","reason":"SIGHUP"`)
	if logs.contains(`"Grace":0`) {
		t.Error("invalid settings were applied")
	}
	cancel()
	<-done
}

// Guards against a SIGHUP that ends a gateway which is still starting.
func TestHangupDuringStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	gateway := exec.Cmd{Path: self, Args: []string{"filbertgap", "gateway", "--settings", path}}
	if err := gateway.Start(); err != nil {
		t.Fatal(err)
	}
	// Opening the pipe succeeds when the gateway reads its settings.
	settings, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := gateway.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	_, _ = settings.WriteString("not a table")
	_ = settings.Close()
	_ = gateway.Wait()
	if code := gateway.ProcessState.ExitCode(); code != exitUsage {
		t.Errorf("the gateway ended with %v, want exit code %d for its settings", gateway.ProcessState, exitUsage)
	}
}
