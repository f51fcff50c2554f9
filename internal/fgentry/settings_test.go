package fgentry

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Guards against invalid settings that are reported one by one or not at all,
// and against an operators' listener that can be reached from outside without
// TLS.
func TestInvalidSettings(t *testing.T) {
	dir := t.TempDir()
	empty := filepath.Join(dir, "empty")
	secret := filepath.Join(dir, "secret")
	for name, text := range map[string]string{empty: " \n", secret: strings.Repeat("s", 32)} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	valid := RawSettings{
		VM: "vm-1", Region: "r", AvailabilityZone: "r-a", Platform: "http://127.0.0.1:1",
		CallerListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0", MetricsListen: "127.0.0.1:0",
		FleetSecretFile: secret, OperatorTokenFile: secret,
	}
	tests := []struct {
		name   string
		change func(*RawSettings)
		want   []string
	}{
		{"valid", func(*RawSettings) {}, nil},
		{"all at once", func(r *RawSettings) {
			r.VM, r.CallerListen, r.OperatorTokenFile, r.DrainWait, r.OperatorTLSKeyFile = "", "localhost:80", empty, -time.Second, secret
		}, []string{
			"--vm is not set",
			`--caller-listen is "localhost:80"; accepted is an IP address and port, for example 10.0.0.5:8080`,
			"--drain-wait is -1s; accepted is 0s or more",
			"--operator-tls-key-file is set without --operator-tls-cert-file",
			"--operator-token-file: " + empty + " is empty",
		}},
		{"operators from outside without TLS", func(r *RawSettings) { r.OperatorListen = "10.0.0.5:8082" }, []string{
			`--operator-listen is "10.0.0.5:8082"; without TLS, accepted is a loopback address`,
		}},
		{"certificate that is none", func(r *RawSettings) {
			r.OperatorListen, r.OperatorTLSCertFile, r.OperatorTLSKeyFile = "10.0.0.5:8082", secret, secret
		}, []string{"--operator-tls-cert-file and --operator-tls-key-file: tls: failed to find any PEM data in certificate input"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			raw := valid
			tt.change(&raw)
			_, err := raw.Check()
			got := ""
			if err != nil {
				got = err.Error()
			}
			if want := strings.Join(tt.want, "\n"); got != want {
				t.Errorf("got:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}
